// Package bodyread reads the bodies of requests into memory that all of them share. Memory is taken as bytes
// arrive, not as they are announced, and senders that are slow or have stopped lose it first.
package bodyread

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/membudget"
)

// Errors of Pool.Read besides those of the connection.
var (
	// ErrTooLarge is returned for a body over the limit.
	ErrTooLarge = errors.New("body is over the size limit")
	// ErrNoMemory is returned if the memory is needed for others.
	ErrNoMemory = errors.New("no memory for the body")
	// ErrTimeout is returned if the sender has stopped, or takes too long.
	ErrTimeout = errors.New("body did not arrive in time")
)

const (
	// defaultMemory, defaultStall and defaultRate are those of the settings.
	defaultMemory = 24 << 20
	defaultStall  = 5 * time.Second
	defaultRate   = 64 << 10
	// smallBytes is the size up to which a body takes no shared memory, so that an ordinary request is
	// read while large ones hold all of it.
	smallBytes = 16 << 10
	// blockBytes is the size of the blocks in which larger bodies are read. Blocks are used again and do not
	// wait for the garbage collector.
	blockBytes = 64 << 10
	// keptBlocks bounds the unused blocks that are kept while no large body is being read.
	keptBlocks = 16
	// stoppedAfter is the time without a byte after which a sender may lose its memory to others.
	stoppedAfter = 300 * time.Millisecond
	// roomTimeout bounds how long a sender waits for memory, and roomInterval is how often it looks for one
	// that may lose it.
	roomTimeout  = 2 * time.Second
	roomInterval = 50 * time.Millisecond
)

// Pool is the memory that the bodies of requests share. It is safe for concurrent use.
type Pool struct {
	budget  *membudget.Budget
	limit   int64
	stall   time.Duration
	press   func(pressed bool)
	rate    int64
	joins   sync.Mutex               // held while the blocks of one body are joined, which takes its memory twice; taken before mu
	refused map[string]*atomic.Int64 // by cause; not changed after NewPool

	mu       sync.Mutex // guards the rest and the unexported state of senders; never held while another lock is taken
	senders  map[*sender]struct{}
	pressed  bool // more than half of the memory is held, or was a while ago
	waiting  int
	evicting int
	unused   [][]byte
	freed    chan struct{} // closed when memory is given back
}

// Option configures a pool.
type Option func(*Pool)

// WithMemory sets the bytes that bodies above smallBytes share; 0 stands for the default.
func WithMemory(bytes int64) Option { return func(p *Pool) { p.limit = cmp.Or(bytes, p.limit) } }

// WithStall sets how long a sender may send nothing; 0 stands for the default.
func WithStall(d time.Duration) Option { return func(p *Pool) { p.stall = cmp.Or(d, p.stall) } }

// WithRate sets the bytes a second below which a sender loses its memory first; 0 stands for the default.
func WithRate(bytes int64) Option { return func(p *Pool) { p.rate = cmp.Or(bytes, p.rate) } }

// WithPressure sets a function that is called when more than half of the memory is held, and when that is over. It must
// not use the pool.
func WithPressure(press func(pressed bool)) Option { return func(p *Pool) { p.press = press } }

// NewPool returns a pool that nothing is held of.
func NewPool(options ...Option) *Pool {
	p := &Pool{limit: defaultMemory, stall: defaultStall, rate: defaultRate, press: func(bool) {}, senders: map[*sender]struct{}{}, freed: make(chan struct{})}
	for _, option := range options {
		option(p)
	}
	p.budget = membudget.New(p.limit)
	p.refused = map[string]*atomic.Int64{causeMemory: {}, causeTimeout: {}, causeSize: {}, causeBroken: {}}
	return p
}

// Used returns the bytes that are held.
func (p *Pool) Used() int64 { return p.budget.Used() }

// Causes of bodies that were not read whole.
const (
	causeMemory  = "no-memory"
	causeTimeout = "timeout"
	causeSize    = "too-large"
	causeBroken  = "broken"
)

// Refused returns the numbers of bodies that were not read whole, by cause. They go on counting.
func (p *Pool) Refused() map[string]*atomic.Int64 { return maps.Clone(p.refused) }

func (p *Pool) countRefused(err error) {
	cause := causeBroken
	switch {
	case errors.Is(err, ErrNoMemory):
		cause = causeMemory
	case errors.Is(err, ErrTimeout):
		cause = causeTimeout
	case errors.Is(err, ErrTooLarge):
		cause = causeSize
	}
	p.refused[cause].Add(1)
}

// take takes a block for a sender. It waits while the memory is in use, as long as another sender may lose it.
func (p *Pool) take(s *sender) ([]byte, error) {
	for began := time.Now(); ; {
		block, freed, err := p.tryTake(s, time.Since(began) > roomTimeout)
		if block != nil || err != nil {
			return block, err
		}
		select {
		case <-freed:
		case <-time.After(roomInterval):
		}
	}
}

// tryTake takes a block for a sender, or returns a channel that is closed when memory is given back. At last
// the sender gives up.
func (p *Pool) tryTake(s *sender, last bool) (block []byte, freed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.evicted && s.hold.Grow(blockBytes) {
		p.setWaiting(s, false)
		p.notePressure()
		s.progress.Store(time.Now().UnixNano())
		return p.block(), nil, nil
	}
	p.setWaiting(s, true)
	p.evict(time.Now())
	if last {
		p.evicted(s)
	}
	if s.evicted {
		return nil, nil, ErrNoMemory
	}
	return nil, p.freed, nil
}

// setWaiting notes whether a sender waits for memory. It is called with the lock held.
func (p *Pool) setWaiting(s *sender, waiting bool) {
	if s.waiting == waiting {
		return
	}
	s.waiting = waiting
	if waiting {
		p.waiting++
	} else {
		p.waiting--
	}
}

// block returns an unused block. It is called with the lock held.
func (p *Pool) block() []byte {
	last := len(p.unused) - 1
	if last < 0 {
		return make([]byte, 0, blockBytes)
	}
	block := p.unused[last]
	p.unused = p.unused[:last]
	return block[:0]
}

// evict makes one sender lose its memory: the one that has sent nothing for the longest time, or else the
// slowest, or else, if all of them wait for memory, the last one that has begun. It is called with the lock
// held, and does nothing while a sender is still about to give its memory back.
func (p *Pool) evict(now time.Time) {
	if p.evicting > 0 {
		return
	}
	var victim *sender
	var worst int64
	for s := range p.senders {
		if badness := s.badness(now, p.rate, p.waiting > 1 && p.waiting == len(p.senders)); badness > worst {
			victim, worst = s, badness
		}
	}
	if victim == nil {
		return
	}
	p.evicted(victim)
	_ = victim.control.SetReadDeadline(now) // a connection that has failed gives its memory back as well
}

func (p *Pool) evicted(s *sender) {
	if !s.evicted {
		s.evicted = true
		p.evicting++
	}
}

func (p *Pool) add(s *sender) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.senders[s] = struct{}{}
}

// remove takes a sender's blocks back. Their bytes are free again unless the body was read, which then holds them.
func (p *Pool) remove(s *sender, read bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !read {
		s.hold.Release() // with the lock held, so that its blocks are there for who takes the bytes
	}
	p.setWaiting(s, false)
	if s.evicted {
		p.evicting--
	}
	delete(p.senders, s)
	kept := max(0, int((p.limit-p.budget.Used())/blockBytes)-len(p.unused))
	p.unused = append(p.unused, s.blocks[:min(kept, len(s.blocks))]...)
	if len(p.senders) == 0 && len(p.unused) > keptBlocks {
		p.unused = slices.Clone(p.unused[:keptBlocks])
	}
	s.blocks = nil
	p.notePressure()
	p.signal()
}

// notePressure tells whether much of the memory is held. It is called with the lock held.
func (p *Pool) notePressure() {
	used := p.budget.Used()
	if pressed := used > p.limit/2 || p.pressed && used > p.limit/8; pressed != p.pressed {
		p.pressed = pressed
		p.press(pressed)
	}
}

// signal wakes those who wait for memory. It is called with the lock held.
func (p *Pool) signal() {
	close(p.freed)
	p.freed = make(chan struct{})
}

func (p *Pool) release(hold *membudget.Hold) {
	hold.Release()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notePressure()
	if len(p.senders) > 0 {
		p.signal()
	}
}

// sender is a large body that is being read.
type sender struct {
	pool     *Pool
	control  *http.ResponseController
	hold     *membudget.Hold
	blocks   [][]byte
	began    time.Time
	end      time.Time
	received atomic.Int64
	progress atomic.Int64 // when bytes arrived last, in ns

	evicted bool
	waiting bool // for memory
}

// badness orders the senders that may lose their memory; 0 is for those that may not. It is called with the
// pool's lock held.
func (s *sender) badness(now time.Time, rate int64, allWait bool) int64 {
	const stopped, slow = 1 << 62, 1 << 61
	if s.evicted {
		return 0
	}
	if s.waiting {
		if allWait {
			return s.began.UnixNano() >> 4 // below the others
		}
		return 0
	}
	if idle := now.UnixNano() - s.progress.Load(); idle > int64(stoppedAfter) {
		return stopped + idle
	}
	if took := now.Sub(s.began); took > time.Second {
		if got := int64(float64(s.received.Load()) / took.Seconds()); got < rate {
			return slow + rate - got
		}
	}
	return 0
}
