package control

import (
	"context"
	"hash/fnv"
	"sync"
	"time"
)

// statusValid is how old the state of the log may be that is told to followers: many ask at once, and each
// question would wait for the goroutine that also keeps the log.
const statusValid = 25 * time.Millisecond

// statusCache holds the last state of the log. It is safe for concurrent use.
type statusCache struct {
	mu   sync.Mutex // guards the rest; held while the node is asked, so that only one call asks
	last LogStatus
	hash uint64 // of the addresses
	at   time.Duration
	held bool
	// failure is the error of the last question and failedAt its time, so that calls which waited for it do
	// not each wait for another one.
	failure  error
	failedAt time.Duration
}

// failureValid is how long a failure is told to others.
const failureValid = 200 * time.Millisecond

// recentStatus returns the state of the log as of shortly before, and a hash of the replicas' addresses.
func (s *Service) recentStatus(ctx context.Context) (LogStatus, uint64, error) {
	c := &s.statusCache
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := s.timers.Now(); c.held && now-c.at < statusValid {
		return c.last, c.hash, nil
	}
	if c.failure != nil && s.timers.Now()-c.failedAt < failureValid {
		return LogStatus{}, 0, c.failure
	}
	status, err := s.node.LogStatus(ctx)
	c.failure, c.failedAt = err, s.timers.Now()
	if err != nil {
		c.held = false
		return LogStatus{}, 0, err
	}
	c.last, c.hash, c.at, c.held = status, hashOf(status.Addresses()), s.timers.Now(), true
	return status, c.hash, nil
}

// hashOf returns a hash of addresses in their order, other than 0.
func hashOf(addresses []string) uint64 {
	h := fnv.New64a()
	for _, a := range addresses {
		_, _ = h.Write([]byte(a + "\n")) // never fails
	}
	return max(1, h.Sum64())
}
