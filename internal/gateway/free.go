package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// freeTime bounds the freeing of a copy that was not needed.
	freeTime = time.Second
	// freeQueue bounds the copies that wait to be freed, and freeAtOnce is how many are
	// freed at a time: an engine that is gone does not answer.
	freeQueue  = 256
	freeAtOnce = 4
)

// unusedCopy is a copy made on demand whose run has ended without it.
type unusedCopy struct {
	request string
	at      string // address of the engine that names the copy
	name    string
}

// free has a copy freed soon. One that finds no place in the queue is dropped by its
// engine in time.
func (g *Server) free(c unusedCopy) {
	select {
	case g.unused <- c:
	default:
		g.base.Log.Info("copy left to its engine", "request", c.request, "reason", "too many wait to be freed")
	}
}

// freeCopies frees copies until the context ends and reports its end on the returned
// channel.
func (g *Server) freeCopies(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var working sync.WaitGroup
		for range freeAtOnce {
			working.Go(func() { g.freeSome(ctx) })
		}
		working.Wait()
		done <- nil
	}()
	return done
}

func (g *Server) freeSome(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-g.unused:
			g.freeOne(ctx, c)
		}
	}
}

func (g *Server) freeOne(ctx context.Context, c unusedCopy) {
	ctx, cancel := context.WithTimeout(ctx, freeTime)
	defer cancel()
	if err := g.engines.Drop(ctx, c.at, c.name); err != nil {
		g.base.Log.V(1).Info("copy not freed; its engine drops it in time", "request", c.request, "reason", err.Error())
	}
}
