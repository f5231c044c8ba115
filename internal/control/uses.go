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
	// unusedTTL is how long the total of a target that is not used any more is kept. It is longer than
	// the time between two exchanges of an instance.
	unusedTTL = 10 * time.Second
)

// uses holds the requests that each instance has open at targets, so that an instance
// learns of other instances' requests before the targets report them. It maintains the
// sums over all instances, so that the cost of a response depends on the number of targets
// and not on the number of instances. It is safe for concurrent use.
type uses struct {
	mu         sync.Mutex // guards the rest; never held while another lock is taken
	byInstance map[string]instanceUses
	totals     map[string]*total // by target
	version    uint64            // incremented when a total changes
	lastExpiry time.Duration     // when expired instances were last removed
}

// instanceUses is the last report of an instance.
type instanceUses struct {
	at   time.Duration
	uses []*wire.Use
}

// total is the sum of all instances' uses of a target.
type total struct {
	version    uint64        // when it changed last
	changedAt  time.Duration // when it changed last
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
	before := u.byInstance[instance]
	old := make(map[string]*wire.Use, len(before.uses))
	for _, use := range before.uses {
		old[use.GetTarget()] = use
	}
	u.remove(instance)
	u.byInstance[instance] = instanceUses{at: at, uses: reported}
	for _, use := range reported {
		t := u.totals[use.GetTarget()]
		if t == nil {
			t = &total{suspected: map[string]time.Duration{}}
			u.totals[use.GetTarget()] = t
		}
		t.add(instance, use, at)
		if !sameUse(old[use.GetTarget()], use) {
			u.changed(t, at)
		}
		delete(old, use.GetTarget())
	}
	for target := range old {
		u.changed(u.totals[target], at)
	}
}

// sameUse reports whether an instance's use of a target makes the same difference as its use before. A
// suspicion that gets older by itself does not change it.
func sameUse(before, after *wire.Use) bool {
	return before.GetRequests() == after.GetRequests() && before.GetTokens() == after.GetTokens() && before.GetPrefilling() == after.GetPrefilling() &&
		before.GetCopyTokens() == after.GetCopyTokens() && before.GetUncopiedTokens() == after.GetUncopiedTokens() &&
		before.GetLimitedDemand() == after.GetLimitedDemand() && after.GetSuspectedMs() <= before.GetSuspectedMs() &&
		(after.GetSuspectedMs() > 0) == (before.GetSuspectedMs() > 0)
}

// changed gives a total a new version. It is called with the lock held.
func (u *uses) changed(t *total, at time.Duration) {
	u.version++
	t.version, t.changedAt = u.version, at
}

// remove removes an instance and its uses from the sums. Totals without uses are kept for a while, for
// those who have not heard that they are. It is called with the lock held.
func (u *uses) remove(instance string) {
	for _, use := range u.byInstance[instance].uses {
		u.totals[use.GetTarget()].remove(instance, use)
	}
	delete(u.byInstance, instance)
}

// expire removes instances that have not reported within useTTL, and totals that have been without uses for
// unusedTTL. It is called with the lock held.
func (u *uses) expire(now time.Duration) {
	if now-u.lastExpiry < expiryInterval {
		return
	}
	u.lastExpiry = now
	for instance, report := range u.byInstance {
		if now-report.at > useTTL {
			u.remove(instance)
			for _, use := range report.uses {
				u.changed(u.totals[use.GetTarget()], now)
			}
		}
	}
	for target, t := range u.totals {
		if t.instances == 0 && now-t.changedAt > unusedTTL {
			delete(u.totals, target)
		}
	}
}

// untold returns the sum of the uses of a member of an instance's subset over all other instances, if it changed since
// the instance was told of it, or nil. It is called with the lock held.
func (u *uses) untold(t *member, own *wire.Use, instance string, now time.Duration) *wire.Use {
	sum := u.totals[t.id]
	if sum == nil {
		if t.uses == unusedVersion {
			return nil
		}
		t.uses = unusedVersion
		return &wire.Use{Target: t.id}
	}
	if t.uses == sum.version {
		return nil
	}
	t.uses = sum.version
	return sum.without(own, t.id, instance, now)
}

// unusedVersion stands for the version of the total of a target that no instance uses.
const unusedVersion = ^uint64(0)

// ownUses returns an instance's uses by target. It is called with the lock held.
func (u *uses) ownUses(instance string) map[string]*wire.Use {
	reported := u.byInstance[instance].uses
	own := make(map[string]*wire.Use, len(reported))
	for _, use := range reported {
		own[use.GetTarget()] = use
	}
	return own
}

// usedByOthers reports whether instances other than the one with the given use, nil for none, use the target.
func (t *total) usedByOthers(own *wire.Use) bool {
	return t.instances > 1 || t.instances == 1 && own == nil
}

// sumsExcluding returns, by target, the summed uses of all instances except one.
func (u *uses) sumsExcluding(except string, now time.Duration) []*wire.Use {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	own := u.ownUses(except)
	out := make([]*wire.Use, 0, len(u.totals))
	for target, t := range u.totals {
		if t.usedByOthers(own[target]) {
			out = append(out, t.without(own[target], target, except, now))
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
