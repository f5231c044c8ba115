package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

const (
	streamBuffer = 4 << 10
	// maxEvent bounds one event of a stream in bytes.
	maxEvent = 1 << 20
	// callerWrite bounds how long a caller may leave an event unread.
	callerWrite = 10 * time.Second
)

// errLongEvent ends a stream whose event is over the bound.
var errLongEvent = errors.New("event is over the size bound")

// relay passes on a stream, event by event. An event of which a part is missing is
// not passed on, and a stream without its end does not look complete.
func (x *request) relay(ctx context.Context, t *balance.Target, conn *upstream.Conn, response *http.Response, said vanillaward.TargetAnswer, result *attemptResult) balance.Result {
	x.copyHeader(response.Header)
	x.w.WriteHeader(response.StatusCode)
	x.status = response.StatusCode
	result.outcome = delivered
	x.maybeRun = true
	err := x.passEvents(response.Body)
	if err != nil {
		conn.Close()
		x.cutOff()
		return x.broke(ctx, "stream broke off", t, err)
	}
	x.reason = reasonComplete
	x.release(conn, response, said)
	return balance.Served
}

// passEvents returns nil after the end of a whole stream.
func (x *request) passEvents(body io.Reader) error {
	reader := bufio.NewReaderSize(body, streamBuffer)
	control := http.NewResponseController(x.w)
	if err := control.Flush(); err != nil {
		return err
	}
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // fails only where the connection has ended
	for {
		event, err := readEvent(reader)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(event) > 0 {
			if err := x.passEvent(control, event, reader.Buffered() == 0); err != nil {
				return err
			}
		}
		if err != nil {
			return nil
		}
	}
}

func (x *request) passEvent(control *http.ResponseController, event []byte, flush bool) error {
	if err := control.SetWriteDeadline(time.Now().Add(callerWrite)); err != nil {
		return err
	}
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	x.events++
	if !flush {
		return nil
	}
	return control.Flush()
}

// readEvent reads up to and including the empty line that ends an event. At the
// end of the stream it returns io.EOF with what is left.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return event, err
		case len(event) > maxEvent:
			return nil, errLongEvent
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}
