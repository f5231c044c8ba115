package gateway

import (
	"context"
	"time"

	"github.com/vanillaward/vanillaward/internal/worker"
)

const (
	// freeTimeout bounds the call that frees an unused copy.
	freeTimeout = time.Second
	// freeQueue bounds the number of copies that wait to be freed. freeWorkers is how many
	// are freed concurrently: an engine that has terminated does not answer, which occupies
	// a worker until freeTimeout.
	freeQueue   = 256
	freeWorkers = 4
)

// unusedCopy is a copy made on demand that its run did not need before it ended.
type unusedCopy struct {
	request string
	address string // address of the engine at which handle identifies the copy
	handle  string
}

// free queues a copy to be freed. If the queue is full, the copy stays until its engine
// drops it at its expiry.
func (g *Server) free(c unusedCopy) {
	select {
	case g.unused <- c:
	default:
		g.base.Log.Info("copy not queued for freeing; its engine drops it later", "request", c.request, "reason", "queue of copies to free is full")
	}
}

// freeUnused queues a copy, if there is one, that was made on demand, or kept, and that its run does not go on from.
// Engines drop continuously updated copies themselves.
func (g *Server) freeUnused(request string, held *heldCopy) {
	if held != nil && !held.growing() {
		g.free(unusedCopy{request: request, address: held.address, handle: held.handle})
	}
}

// freeCopies frees queued copies until the context ends and then sends nil on the returned
// channel.
func (g *Server) freeCopies(ctx context.Context) <-chan error {
	return worker.Run(ctx, freeWorkers, g.unused, g.freeOne)
}

func (g *Server) freeOne(ctx context.Context, c unusedCopy) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	if err := g.engines.Drop(ctx, c.address, c.handle); err != nil {
		g.base.Log.V(1).Info("copy not freed; its engine drops it later", "request", c.request, "reason", err.Error())
	}
}
