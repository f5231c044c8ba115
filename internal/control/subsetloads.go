package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// toldAgain is the age from which a load is told again although it has not changed much. It is shorter
	// than the time for which instances use a report.
	toldAgain = 1500 * time.Millisecond
	// usedTolerance is the divisor of an engine's memory that gives by how much the used memory may differ
	// from what was told.
	usedTolerance = 64
	// copyValid is how old the age of a load may be that is told to several followers.
	copyValid = 20 * time.Millisecond
)

// choosesLoads reports whether a follower may get the loads of its subsets only, or none.
func choosesLoads(r *wire.FollowRequest) bool { return r.GetPaced() }

// next returns the report after r; nil stands for none.
func (r *loadReport) next(l *wire.Load, at time.Duration, version uint64) *loadReport {
	if r == nil {
		return &loadReport{load: l, at: at, told: l, toldAt: at, version: version}
	}
	out := &loadReport{load: l, at: at, told: r.told, toldAt: r.toldAt, version: r.version}
	if at-r.toldAt >= toldAgain || differs(r.told, l) {
		out.told, out.toldAt, out.version = l, at, version
	}
	return out
}

// differs reports whether a load differs from another one by more than used memory that makes little difference.
func differs(before, after *wire.Load) bool {
	used := int64(after.GetUsedTokens()) - int64(before.GetUsedTokens())
	tolerance := int64(after.GetCapacityTokens()) / usedTolerance
	return used > tolerance || used < -tolerance || before.GetRunning() != after.GetRunning() || before.GetWaiting() != after.GetWaiting() ||
		before.GetLeaving() != after.GetLeaving() || before.GetStartedMs() != after.GetStartedMs() || before.GetCapacityTokens() != after.GetCapacityTokens()
}

// withAge returns the load with its present age.
func (r *loadReport) withAge(now time.Duration) *wire.Load {
	if r.copied == nil || now-r.copiedAt > copyValid {
		r.copied, r.copiedAt = proto.CloneOf(r.load), now
		r.copied.AgeMs = uint32(max(0, now-r.at).Milliseconds())
	}
	return r.copied
}

// untold returns the load of a member of a follower's subset, if it changed since the follower was told of it, or nil. It
// is called with the lock held.
func (p *Publisher) untold(t *member, now time.Duration) *wire.Load {
	r := p.loads[t.id]
	if r == nil || r.version == t.load {
		return nil
	}
	t.load = r.version
	return r.withAge(now)
}

// newLoads returns the loads of all targets with their version, or none if a follower has that version.
func (p *Publisher) newLoads(since uint64, now time.Duration) ([]*wire.Load, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if since == p.loadsVersion {
		return nil, since
	}
	return p.currentLoads(now), p.loadsVersion
}

// listVersion returns the list of targets and its version.
func (p *Publisher) listVersion() ([]*wire.Target, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targets, p.version
}
