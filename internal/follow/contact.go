package follow

import (
	"math/rand/v2"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Bounds of how a replica is contacted that fails or is slow. Many instances lose the same replica at the
// same time, and connections cost it more than answers.
const (
	// firstBackoff is the mean delay after the first failure of a replica in a row. It doubles with each further one up
	// to maxBackoff, and varies by half of it in both directions.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// maxSmallBackoff is the same for a replica that cannot be reached, up to wholeInstances instances: it has stopped
	// and is not kept from work.
	maxSmallBackoff = 200 * time.Millisecond
	// maxPatience bounds how much longer than a poll a connection may be silent before it is given up. It starts at
	// responseMargin, doubles when a poll was given up, and shrinks with each answer to a multiple of the time
	// that the replica took.
	maxPatience    = 4 * time.Second
	patienceFactor = 3
	patienceWeight = 0.2
	// maxSpacing bounds the time between two polls of a replica that does not lead, so that a target that leaves is
	// known in time.
	maxSpacing = time.Second
)

// contact is how a replica is contacted, and what it has told of uses and loads.
type contact struct {
	failures  int           // in a row
	notBefore time.Duration // when it may be contacted again
	patience  time.Duration
	interval  time.Duration // that it states, 0 for none
	// toldEpoch and toldVersion name the last answer with uses and loads.
	toldEpoch   uint64
	toldVersion uint64
}

// contactOf returns the contact with a replica. It is called with the lock held.
func (f *Follower) contactOf(address string) *contact {
	c := f.contacts[address]
	if c == nil {
		c = &contact{patience: responseMargin}
		f.contacts[address] = c
	}
	return c
}

// fail records a failure. Random is from 0 to 1.
func (c *contact) fail(silent bool, random float64, most, now time.Duration) {
	if silent {
		c.patience = min(maxPatience, 2*c.patience)
	}
	delay := min(most, firstBackoff<<min(c.failures, 10))
	c.failures++
	c.notBefore = now + time.Duration((0.5+random)*float64(delay))
}

// succeed records an answer that took a time longer than the replica was to wait.
func (c *contact) succeed(took time.Duration) {
	c.failures, c.notBefore = 0, 0
	wanted := min(maxPatience, max(responseMargin, patienceFactor*took))
	if wanted > c.patience {
		c.patience = wanted
	} else {
		c.patience -= time.Duration(patienceWeight * float64(c.patience-wanted))
	}
}

// extraPatience returns how much longer than otherwise a replica's connection may be silent because the replica is slow.
func (f *Follower) extraPatience(address string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contactOf(address).patience - responseMargin
}

// keepTerms records the interval that a replica states.
func (c *contact) keepTerms(resp *wire.FollowResponse) {
	c.interval = time.Duration(resp.GetIntervalMs()) * time.Millisecond
}

// spacing returns the shortest time between the beginnings of two polls of a replica that does not lead, with
// some variation, so that the polls of different instances do not stay together.
func (c *contact) spacing() time.Duration {
	return time.Duration((0.75 + 0.5*rand.Float64()) * float64(min(maxSpacing, c.interval)))
}

// delayAfter returns the delay before another replica is contacted than the one that was not followed further, or, for
// the empty address, before one is looked for again. While all replicas are behind, an instance goes from one to the
// next, at the interval that they state.
func (f *Follower) delayAfter(address string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == "" {
		return retryDelay
	}
	return max(retryDelay, f.contactOf(address).spacing())
}
