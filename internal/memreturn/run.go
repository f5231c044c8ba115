// Package memreturn returns memory to the operating system after a load that took much of it. The runtime by itself
// returns the memory of dead objects only after the next collection, up to two minutes later, and then slowly.
package memreturn

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/vanillaward/vanillaward"
)

const (
	checkInterval = 10 * time.Second
	// smallBytes is the memory of an idle process, about which nothing is done.
	smallBytes = 24 << 20
	// growth is how much the memory grows before it is returned again, unless repeatInterval has passed.
	growth         = 8 << 20
	repeatInterval = 30 * time.Second
)

// state decides when memory is returned.
type state struct {
	settled int64 // bytes after memory was returned last
	at      time.Duration
}

// due reports whether memory is to be returned that takes some bytes now.
func (s *state) due(bytes int64, now time.Duration) bool {
	return bytes >= smallBytes && (bytes >= s.settled+growth || now >= s.at+repeatInterval)
}

// Run returns memory to the operating system until the context ends, and then sends nil on the returned channel.
func Run(ctx context.Context, timers vanillaward.Timers) <-chan error {
	done := make(chan error, 1)
	go func() {
		var s state
		for range timers.Subscribe(ctx, checkInterval) {
			if now := timers.Now(); s.due(taken(), now) {
				debug.FreeOSMemory()
				s = state{settled: taken(), at: now}
			}
		}
		done <- nil
	}()
	return done
}

// taken returns the bytes that the runtime has from the operating system.
func taken() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
}
