package control

import (
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// useTTL is how long the uses that an instance last reported remain valid.
	useTTL = 3 * time.Second
	// expiryInterval is the minimum time between removals of instances that have not
	// reported within useTTL.
	expiryInterval = 500 * time.Millisecond
)

// uses holds the requests that each instance has open at targets, so that an instance
// learns of other instances' requests before the targets report them. It maintains the
// sums over all instances, so that the cost of a response depends on the number of targets
// and not on the number of instances. It is safe for concurrent use.
type uses struct {
	mu         sync.Mutex // guards the rest; never held while another lock is taken
	byInstance map[string]instanceUses
	totals     map[string]*total // by target
	lastExpiry time.Duration     // when expired instances were last removed
}

// instanceUses is the last report of an instance.
type instanceUses struct {
	at   time.Duration
	uses []*wire.Use
}

// total is the sum of all instances' uses of a target.
type total struct {
	instances  int
	requests   uint32
	tokens     uint32
	prefilling uint32
	copyTokens uint32
	uncopied   uint32
	demand     uint32
	suspected  map[string]time.Duration // until when each instance suspects the target
}

func newUses() *uses {
	return &uses{byInstance: map[string]instanceUses{}, totals: map[string]*total{}}
}

// update replaces the uses of an instance.
func (u *uses) update(instance string, reported []*wire.Use, at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.subtract(instance)
	u.byInstance[instance] = instanceUses{at: at, uses: reported}
	for _, use := range reported {
		t := u.totals[use.GetTarget()]
		if t == nil {
			t = &total{suspected: map[string]time.Duration{}}
			u.totals[use.GetTarget()] = t
		}
		t.add(instance, use, at)
	}
}

// subtract removes an instance and its uses from the sums. It is called with the lock
// held.
func (u *uses) subtract(instance string) {
	for _, use := range u.byInstance[instance].uses {
		t := u.totals[use.GetTarget()]
		t.remove(instance, use)
		if t.instances == 0 {
			delete(u.totals, use.GetTarget())
		}
	}
	delete(u.byInstance, instance)
}

// expire removes instances that have not reported within useTTL. It is called with the
// lock held.
func (u *uses) expire(now time.Duration) {
	if now-u.lastExpiry < expiryInterval {
		return
	}
	u.lastExpiry = now
	for instance, report := range u.byInstance {
		if now-report.at > useTTL {
			u.subtract(instance)
		}
	}
}

// sumsExcluding returns, by target, the summed uses of all instances except one.
func (u *uses) sumsExcluding(except string, now time.Duration) []*wire.Use {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	own := map[string]*wire.Use{}
	for _, use := range u.byInstance[except].uses {
		own[use.GetTarget()] = use
	}
	out := make([]*wire.Use, 0, len(u.totals))
	for target, t := range u.totals {
		ownUse, users := own[target], t.instances
		if ownUse != nil {
			users--
		}
		if users > 0 {
			out = append(out, t.without(ownUse, target, except, now))
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
	t.uncopied += use.GetUncopiedTokens()
	t.demand += use.GetLimitedDemand()
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
	t.uncopied -= use.GetUncopiedTokens()
	t.demand -= use.GetLimitedDemand()
	delete(t.suspected, instance)
}

// without returns the sums for a target minus the use of the instance except. ownUse is
// that use, or nil if the instance does not use the target.
func (t *total) without(ownUse *wire.Use, target, except string, now time.Duration) *wire.Use {
	out := &wire.Use{
		Target: target, Requests: t.requests - ownUse.GetRequests(), Tokens: t.tokens - ownUse.GetTokens(),
		Prefilling: t.prefilling - ownUse.GetPrefilling(), CopyTokens: t.copyTokens - ownUse.GetCopyTokens(),
		LimitedDemand: t.demand - ownUse.GetLimitedDemand(), UncopiedTokens: t.uncopied - ownUse.GetUncopiedTokens(),
	}
	for instance, until := range t.suspected {
		if instance != except && until > now {
			out.SuspectedMs = max(out.GetSuspectedMs(), uint32((until - now).Milliseconds()))
		}
	}
	return out
}
