package control

import (
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// useValid is how long what an instance told of its requests counts.
	useValid = 3 * time.Second
	// useExpiry is how often instances are looked for that have told nothing for so
	// long.
	useExpiry = 500 * time.Millisecond
)

// uses holds what instances have at targets, so that each of them can see the
// others' requests before the targets report them. It keeps the sums of all instances:
// an answer takes as long as there are targets, however many instances ask. It is safe
// for concurrent use.
type uses struct {
	mu         sync.Mutex // guards the rest; never held while another lock is taken
	byInstance map[string]told
	totals     map[string]*total // by target
	expired    time.Duration     // when silent instances were looked for last
}

// told is what one instance has.
type told struct {
	at   time.Duration
	uses []*wire.Use
}

// total is what all instances have at a target.
type total struct {
	instances  int
	requests   uint32
	tokens     uint32
	prefilling uint32
	copyTokens uint32
	suspected  map[string]time.Duration // until when, by instance
}

func newUses() *uses {
	return &uses{byInstance: map[string]told{}, totals: map[string]*total{}}
}

// take replaces what an instance has.
func (u *uses) take(instance string, now []*wire.Use, at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.forget(instance)
	u.byInstance[instance] = told{at: at, uses: now}
	for _, use := range now {
		t := u.totals[use.GetTarget()]
		if t == nil {
			t = &total{suspected: map[string]time.Duration{}}
			u.totals[use.GetTarget()] = t
		}
		t.add(instance, use, at)
	}
}

// forget takes what an instance has out of the sums. It is called with the lock held.
func (u *uses) forget(instance string) {
	for _, use := range u.byInstance[instance].uses {
		t := u.totals[use.GetTarget()]
		t.remove(instance, use)
		if t.instances == 0 {
			delete(u.totals, use.GetTarget())
		}
	}
	delete(u.byInstance, instance)
}

// expire forgets instances that are silent. It is called with the lock held.
func (u *uses) expire(now time.Duration) {
	if now-u.expired < useExpiry {
		return
	}
	u.expired = now
	for instance, t := range u.byInstance {
		if now-t.at > useValid {
			u.forget(instance)
		}
	}
}

// others returns what all instances but one have together.
func (u *uses) others(except string, now time.Duration) []*wire.Use {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	own := map[string]*wire.Use{}
	for _, use := range u.byInstance[except].uses {
		own[use.GetTarget()] = use
	}
	out := make([]*wire.Use, 0, len(u.totals))
	for target, t := range u.totals {
		mine, users := own[target], t.instances
		if mine != nil {
			users--
		}
		if users > 0 {
			out = append(out, t.without(mine, target, except, now))
		}
	}
	return out
}

func (t *total) add(instance string, use *wire.Use, at time.Duration) {
	t.instances++
	t.requests += use.GetRequests()
	t.tokens += use.GetTokens()
	t.prefilling += use.GetPrefilling()
	t.copyTokens += use.GetCopyTokens()
	if use.GetSuspectedMs() > 0 {
		t.suspected[instance] = at + time.Duration(use.GetSuspectedMs())*time.Millisecond
	}
}

func (t *total) remove(instance string, use *wire.Use) {
	t.instances--
	t.requests -= use.GetRequests()
	t.tokens -= use.GetTokens()
	t.prefilling -= use.GetPrefilling()
	t.copyTokens -= use.GetCopyTokens()
	delete(t.suspected, instance)
}

// without returns the sums less what one instance has itself, which may be nothing.
func (t *total) without(mine *wire.Use, target, except string, now time.Duration) *wire.Use {
	out := &wire.Use{
		Target: target, Requests: t.requests - mine.GetRequests(), Tokens: t.tokens - mine.GetTokens(),
		Prefilling: t.prefilling - mine.GetPrefilling(), CopyTokens: t.copyTokens - mine.GetCopyTokens(),
	}
	for instance, until := range t.suspected {
		if instance != except && until > now {
			out.SuspectedMs = max(out.GetSuspectedMs(), uint32((until - now).Milliseconds()))
		}
	}
	return out
}
