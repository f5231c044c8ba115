package control

import (
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// useValid is how long what an instance told of its requests counts.
const useValid = 3 * time.Second

// uses holds what instances have at targets, so that each of them can see the
// others' requests before the targets report them. It is safe for concurrent use.
type uses struct {
	mu   sync.Mutex // guards the rest; never held while another lock is taken
	byID map[string]told
}

// told is what one instance has.
type told struct {
	at   time.Duration
	uses []*wire.Use
}

func newUses() *uses { return &uses{byID: map[string]told{}} }

// take replaces what an instance has.
func (u *uses) take(instance string, now []*wire.Use, at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.byID[instance] = told{at: at, uses: now}
}

// others returns what all instances but one have together.
func (u *uses) others(except string, now time.Duration) []*wire.Use {
	u.mu.Lock()
	defer u.mu.Unlock()
	sums := map[string]*wire.Use{}
	var out []*wire.Use
	for id, t := range u.byID {
		if now-t.at > useValid {
			delete(u.byID, id)
			continue
		}
		if id == except {
			continue
		}
		for _, use := range t.uses {
			sum := sums[use.GetTarget()]
			if sum == nil {
				sum = &wire.Use{Target: use.GetTarget()}
				sums[use.GetTarget()] = sum
				out = append(out, sum)
			}
			add(sum, use, now-t.at)
		}
	}
	return out
}

// add adds what an instance told some time ago to a sum.
func add(sum, use *wire.Use, age time.Duration) {
	sum.Requests += use.GetRequests()
	sum.Tokens += use.GetTokens()
	sum.Prefilling += use.GetPrefilling()
	sum.CopyTokens += use.GetCopyTokens()
	left := max(0, time.Duration(use.GetSuspectedMs())*time.Millisecond-age)
	sum.SuspectedMs = max(sum.GetSuspectedMs(), uint32(left.Milliseconds()))
}
