package control

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/pkg/errors"
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
	late bool // there was no answer in time
}

const (
	// statusTimeout bounds the wait for the state of the log.
	statusTimeout = 300 * time.Millisecond
	// lateValid is how long it is told that there was no answer in time: the calls that waited for it do not each
	// wait for another one.
	lateValid = 200 * time.Millisecond
)

// recentStatus returns the state of the log as of shortly before, and a hash of the replicas' addresses. Of a
// replica that is behind or whose disk hangs, nothing is known of a leader, so that followers take it for one that
// is behind; they still get its list.
func (s *Service) recentStatus(ctx context.Context) (LogStatus, uint64, error) {
	c := &s.statusCache
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := s.timers.Now(); c.held && now-c.at < statusValid {
		return c.last, c.hash, nil
	}
	if c.held && c.late && s.timers.Now()-c.at < lateValid {
		return c.last, c.hash, nil
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := s.node.LogStatus(ctx)
	c.late = errors.Is(err, context.DeadlineExceeded)
	if err != nil && !c.late {
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
