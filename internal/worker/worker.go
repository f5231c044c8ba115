// Package worker handles the items of a queue in a number of goroutines.
package worker

import (
	"context"
	"sync"
)

// Run starts workers that handle the items of a queue until the context ends. It then sends nil on the
// returned channel.
func Run[T any](ctx context.Context, workers int, queue <-chan T, handle func(context.Context, T)) <-chan error {
	done := make(chan error, 1)
	go func() {
		var running sync.WaitGroup
		for range workers {
			running.Go(func() { handleItems(ctx, queue, handle) })
		}
		running.Wait()
		done <- nil
	}()
	return done
}

func handleItems[T any](ctx context.Context, queue <-chan T, handle func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-queue:
			handle(ctx, item)
		}
	}
}
