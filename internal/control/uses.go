package control

import (
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// useValid is how long what an instance told of its requests counts.
const useValid = 3 * time.Second

// uses sums what instances have at targets, so that each of them can see the
// others' requests before the targets report them. It is safe for concurrent use.
type uses struct {
	mu   sync.Mutex // guards the rest; never held while another lock is taken
	byID map[string]told
	sum  map[string]*wire.Use
}

// told is what one instance has.
type told struct {
	at   time.Duration
	uses []*wire.Use
}

func newUses() *uses {
	return &uses{byID: map[string]told{}, sum: map[string]*wire.Use{}}
}

// take replaces what an instance has.
func (u *uses) take(instance string, now []*wire.Use, at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop(instance)
	u.byID[instance] = told{at: at, uses: now}
	for _, use := range now {
		s := u.sum[use.GetTarget()]
		if s == nil {
			s = &wire.Use{Target: use.GetTarget()}
			u.sum[use.GetTarget()] = s
		}
		s.Requests += use.GetRequests()
		s.Tokens += use.GetTokens()
		s.Prefilling += use.GetPrefilling()
	}
}

// drop is called with the lock held.
func (u *uses) drop(instance string) {
	for _, use := range u.byID[instance].uses {
		s := u.sum[use.GetTarget()]
		s.Requests -= use.GetRequests()
		s.Tokens -= use.GetTokens()
		s.Prefilling -= use.GetPrefilling()
		if s.GetRequests() == 0 && s.GetTokens() == 0 && s.GetPrefilling() == 0 {
			delete(u.sum, use.GetTarget())
		}
	}
	delete(u.byID, instance)
}

// others returns the sums without an instance's own part.
func (u *uses) others(instance string, now time.Duration) []*wire.Use {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, t := range u.byID {
		if now-t.at > useValid {
			u.drop(id)
		}
	}
	own := map[string]*wire.Use{}
	for _, use := range u.byID[instance].uses {
		own[use.GetTarget()] = use
	}
	out := make([]*wire.Use, 0, len(u.sum))
	for target, s := range u.sum {
		mine := own[target]
		out = append(out, &wire.Use{
			Target: target, Requests: s.GetRequests() - mine.GetRequests(),
			Tokens: s.GetTokens() - mine.GetTokens(), Prefilling: s.GetPrefilling() - mine.GetPrefilling(),
			SuspectedMs: u.suspected(target, instance, now),
		})
	}
	return out
}

// suspected returns for how long other instances take a target for leaving. It is
// called with the lock held.
func (u *uses) suspected(target, except string, now time.Duration) uint32 {
	longest := int64(0)
	for id, t := range u.byID {
		if id == except {
			continue
		}
		for _, use := range t.uses {
			if use.GetTarget() == target && use.GetSuspectedMs() > 0 {
				longest = max(longest, int64(use.GetSuspectedMs())-(now-t.at).Milliseconds())
			}
		}
	}
	return uint32(longest)
}
