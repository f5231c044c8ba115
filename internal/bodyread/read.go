package bodyread

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/membudget"
)

// Body is the body of a request. A nil body is empty.
type Body struct {
	pool *Pool
	data []byte
	hold *membudget.Hold // nil without shared memory
}

// Bytes returns the body, which is not to be used after Release.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// Release gives the memory of the body back.
func (b *Body) Release() {
	if b == nil || b.hold == nil {
		return
	}
	b.pool.release(b.hold)
	b.hold, b.data = nil, nil
}

// drainTimeout bounds how long net/http reads what remains of a body that is refused. It reads up to 256 KiB, so
// that a sender which is still sending gets the answer.
const drainTimeout = time.Second

// Read reads the body of a request of a limited size within a time. After an error the connection has a short
// read deadline; otherwise it has none.
func (p *Pool) Read(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) (*Body, error) {
	if r.ContentLength > limit {
		p.countRefused(ErrTooLarge)
		return nil, ErrTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	now := time.Now()
	if err := control.SetReadDeadline(now.Add(min(timeout, p.stall))); err != nil {
		return nil, errors.Wrap(err, "read deadline")
	}
	body, err := p.read(r, control, limit, now.Add(timeout))
	deadline := time.Time{}
	if err != nil {
		deadline = time.Now().Add(drainTimeout)
		p.countRefused(err)
	}
	if deadlineErr := control.SetReadDeadline(deadline); err == nil {
		err = errors.Wrap(deadlineErr, "read deadline")
	}
	return body, err
}

func (p *Pool) read(r *http.Request, control *http.ResponseController, limit int64, end time.Time) (*Body, error) {
	small, err := readSmall(r)
	switch {
	case errors.Is(err, io.EOF):
		if int64(len(small)) > limit {
			return nil, ErrTooLarge
		}
		return &Body{data: small}, nil
	case err != nil:
		return nil, classify(err)
	}
	s := &sender{pool: p, control: control, hold: p.budget.StrictHold(), began: time.Now(), end: end}
	s.received.Store(int64(len(small)))
	s.progress.Store(s.began.UnixNano())
	p.add(s)
	err = s.read(r.Body, limit)
	var body *Body
	if err == nil {
		body = s.join(small)
	}
	p.remove(s, err == nil)
	return body, err
}

// readSmall reads the first smallBytes of a body. The error is io.EOF if that is all of it.
func readSmall(r *http.Request) ([]byte, error) {
	if n := r.ContentLength; n >= 0 && n <= smallBytes {
		data := make([]byte, n)
		if _, err := io.ReadFull(r.Body, data); err != nil {
			return nil, unexpected(err)
		}
		return data, io.EOF
	}
	const first = 1 << 10
	data := make([]byte, 0, first)
	for len(data) < smallBytes {
		if len(data) == cap(data) {
			data = append(make([]byte, 0, min(2*cap(data), smallBytes)), data...)
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, err
		}
	}
	return data, nil
}

// unexpected returns the error of a body that has ended before its stated length.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func classify(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrTimeout
	}
	return err
}

// read reads the rest of a body into blocks.
func (s *sender) read(body io.Reader, limit int64) error {
	for {
		block, err := s.pool.take(s)
		if err != nil {
			return err
		}
		s.blocks = append(s.blocks, block)
		for len(block) < cap(block) {
			if err := s.extend(); err != nil {
				return err
			}
			n, err := body.Read(block[len(block):cap(block)])
			block = block[:len(block)+n]
			s.blocks[len(s.blocks)-1] = block
			if s.note(n) > limit {
				return ErrTooLarge
			}
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return s.reason(err)
			}
		}
	}
}

func (s *sender) note(n int) int64 {
	if n > 0 {
		s.progress.Store(time.Now().UnixNano())
	}
	return s.received.Add(int64(n))
}

// extend sets the time within which the next bytes must arrive, unless others need the memory.
func (s *sender) extend() error {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.evicted {
		return ErrNoMemory
	}
	deadline := time.Now().Add(s.pool.stall)
	if s.end.Before(deadline) {
		deadline = s.end
	}
	return errors.Wrap(s.control.SetReadDeadline(deadline), "read deadline")
}

func (s *sender) reason(err error) error {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.evicted {
		return ErrNoMemory
	}
	return classify(err)
}

// join returns the body in one piece. It has the memory of the blocks from then on.
func (s *sender) join(small []byte) *Body {
	s.pool.joins.Lock()
	defer s.pool.joins.Unlock()
	data := make([]byte, 0, s.received.Load())
	data = append(data, small...)
	for _, block := range s.blocks {
		data = append(data, block...)
	}
	return &Body{pool: s.pool, data: data, hold: s.hold}
}
