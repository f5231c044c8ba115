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
	// lateAt is when there was last no answer in time, 0 if there was one since.
	lateAt time.Duration
}

const (
	// statusTimeout bounds the wait for the state of the log.
	statusTimeout = 300 * time.Millisecond
	// lateValid is how long it is told that there was no answer in time: the calls that waited for it do not each
	// wait for another one.
	lateValid = 200 * time.Millisecond
	// lateStatusValid is how old the state may be that is told when there was no answer in time: the sync of a slow disk is
	// no reason for all followers to leave their leader.
	lateStatusValid = 900 * time.Millisecond
)

// recentStatus returns the state of the log as of shortly before, and a hash of the replicas' addresses. If the log
// does not answer in time, because the replica or its disk is slow, that is the last state for a while, and then one
// without a leader: followers take the replica for one that is behind, and still get its list.
func (s *Service) recentStatus(ctx context.Context) (LogStatus, uint64, error) {
	c := &s.statusCache
	c.mu.Lock()
	defer c.mu.Unlock()
	now := s.timers.Now()
	// A follower whose poll an order for a failure domain has ended must be told of it: it would poll again at once.
	if c.held && now-c.at < statusValid && c.last.evacuation.Index() >= s.publisher.evacuationIndex() {
		return c.last, c.hash, nil
	}
	if c.lateAt > 0 && now-c.lateAt < lateValid {
		status, hash := c.whileLate(now)
		return status, hash, nil
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := s.node.LogStatus(ctx)
	switch {
	case err == nil:
		c.last, c.hash, c.at, c.held, c.lateAt = status, hashOf(status.Addresses()), s.timers.Now(), true, 0
		return status, c.hash, nil
	case !errors.Is(err, context.DeadlineExceeded):
		c.held = false
		return LogStatus{}, 0, err
	}
	c.lateAt = s.timers.Now()
	status, hash := c.whileLate(c.lateAt)
	return status, hash, nil
}

// whileLate returns the state to tell while the log does not answer in time. It is called with the lock held.
func (c *statusCache) whileLate(now time.Duration) (LogStatus, uint64) {
	if c.held && now-c.at < lateStatusValid {
		return c.last, c.hash
	}
	return LogStatus{}, 0
}

// hashOf returns a hash of addresses in their order, other than 0.
func hashOf(addresses []string) uint64 {
	h := fnv.New64a()
	for _, a := range addresses {
		_, _ = h.Write([]byte(a + "\n")) // never fails
	}
	return max(1, h.Sum64())
}
