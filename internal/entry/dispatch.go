package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/admission"
	"github.com/vanillaward/vanillaward/internal/declaration"
)

// Prefixes of pool names, and the capacity of plain targets.
const (
	modelPoolPrefix   = "model:"
	servicePoolPrefix = "service:"
	// plainCapacity is the capacity of a plain service's target, whose memory is
	// not limited by the admission core.
	plainCapacity = 1 << 30
)

// dispatcher shares the admission core between requests. It is safe for
// concurrent use.
type dispatcher struct {
	timers vanillaward.Timers

	mu      sync.Mutex // guards the fields below; never held while another lock is taken
	core    *admission.Core
	waiting map[uint64]chan admission.Decision
	lastID  uint64
}

func newDispatcher(timers vanillaward.Timers, maxQueue int, seed uint64) *dispatcher {
	settings := admission.DefaultSettings()
	settings.MaxQueue = maxQueue
	random := rand.New(rand.NewPCG(seed, seed))
	return &dispatcher{
		timers: timers, core: admission.New(settings, admission.DefaultPolicy(), random),
		waiting: map[uint64]chan admission.Decision{},
	}
}

// configure applies the targets and limits of a configuration version.
func (d *dispatcher) configure(set *declaration.Set, maxQueue int) {
	var specs []admission.TargetSpec
	for _, model := range set.Models() {
		for _, t := range set.Engines(model) {
			specs = append(specs, admission.TargetSpec{
				Name: t.Name(), Pool: modelPoolPrefix + model, Capacity: t.KVTokens(), BatchCap: t.BatchCap(), Reports: true,
			})
		}
	}
	for _, s := range set.Services() {
		for _, name := range s.Targets() {
			if t, ok := set.Target(name); ok {
				specs = append(specs, admission.TargetSpec{
					Name: plainTargetName(s.Name(), name), Pool: servicePoolPrefix + s.Name(), Capacity: plainCapacity, BatchCap: t.BatchCap(),
				})
			}
		}
	}
	fleet := set.Fleet()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetSettings(admission.Settings{
		MaxQueue: maxQueue, RetryAfter: fleet.RetryAfter(), RetryBudget: fleet.RetryBudget(),
		EjectAfter: fleet.EjectAfter(), EjectFor: fleet.EjectFor(),
	})
	d.deliver(d.core.SetTargets(d.timers.Now(), specs))
}

// plainTargetName names a target within the pool of a service, since several
// services may share a target.
func plainTargetName(service, target string) string { return service + "/" + target }

// targetName returns the target's own name without the prefix of plainTargetName.
func targetName(name string) string {
	if _, target, ok := strings.Cut(name, "/"); ok {
		return target
	}
	return name
}

// acquire waits for the admission decision on a request. If the decision names a
// target, the caller must pass the returned ID to release. If the context ends
// first, acquire returns the context's error, and the request needs no release.
func (d *dispatcher) acquire(ctx context.Context, r admission.Request) (uint64, admission.Decision, error) {
	decided := make(chan admission.Decision, 1)
	d.mu.Lock()
	d.lastID++
	r.ID = d.lastID
	d.waiting[r.ID] = decided
	d.deliver(d.core.Arrive(d.timers.Now(), r))
	d.mu.Unlock()
	select {
	case decision := <-decided:
		return r.ID, decision, nil
	case <-ctx.Done():
		d.release(r.ID, 0, admission.Cancelled)
		return r.ID, admission.Decision{}, ctx.Err()
	}
}

func (d *dispatcher) release(id uint64, written int, result admission.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, id)
	d.deliver(d.core.Done(d.timers.Now(), id, written, result))
}

func (d *dispatcher) progress(id uint64, written int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Progress(d.timers.Now(), id, written)
}

func (d *dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.TakeRetry()
}

func (d *dispatcher) report(name string, load admission.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.core.Report(d.timers.Now(), name, load))
}

func (d *dispatcher) setLeaving(name string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.core.SetLeaving(d.timers.Now(), name, leaving))
}

func (d *dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.core.Tick(d.timers.Now()))
}

func (d *dispatcher) queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Queued()
}

// deliver passes decisions to the waiting requests. It must be called with the lock
// held.
func (d *dispatcher) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if c := d.waiting[decision.ID]; c != nil {
			c <- decision
			delete(d.waiting, decision.ID)
		}
	}
}
