package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// freeTimeout bounds the freeing of a copy that was not needed.
	freeTimeout = time.Second
	// freeQueue bounds the copies that wait to be freed, and freeWorkers is how many are
	// freed concurrently, because an engine that has terminated does not answer.
	freeQueue   = 256
	freeWorkers = 4
)

// unusedCopy is a copy made on demand whose run has ended without it.
type unusedCopy struct {
	request string
	address string // address of the engine at which name identifies the copy
	name    string
}

// free queues a copy to be freed. If the queue is full, the engine drops the copy later by
// itself.
func (g *Server) free(c unusedCopy) {
	select {
	case g.unused <- c:
	default:
		g.base.Log.Info("copy not queued for freeing; its engine drops it later", "request", c.request, "reason", "queue of copies to free is full")
	}
}

// freeCopies frees queued copies until the context ends and then sends nil on the returned
// channel.
func (g *Server) freeCopies(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var workers sync.WaitGroup
		for range freeWorkers {
			workers.Go(func() { g.freeWorker(ctx) })
		}
		workers.Wait()
		done <- nil
	}()
	return done
}

func (g *Server) freeWorker(ctx context.Context) {
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
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	if err := g.engines.Drop(ctx, c.address, c.name); err != nil {
		g.base.Log.V(1).Info("copy not freed; its engine drops it later", "request", c.request, "reason", err.Error())
	}
}
