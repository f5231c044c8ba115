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

// choosesLoads reports whether a follower gets the loads of its subsets, or none.
func choosesLoads(r *wire.FollowRequest) bool {
	return r.GetWithoutLoads() || r.GetSubsetInstances() > 0
}

// next returns the report after r; a zero r stands for none.
func (r loadReport) next(l *wire.Load, at time.Duration, version uint64) loadReport {
	out := loadReport{load: l, at: at, told: r.told, toldAt: r.toldAt, version: r.version}
	if r.told == nil || at-r.toldAt >= toldAgain || differs(r.told, l) {
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

// loadsOf returns the loads of the members of a follower's subset that changed after a version, and the
// version that the follower then has. Members nil stands for all targets.
func (p *Publisher) loadsOf(members []member, since uint64, now time.Duration) ([]*wire.Load, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if members == nil {
		if since == p.loadsVersion {
			return nil, since
		}
		return p.currentLoads(now), p.loadsVersion
	}
	var out []*wire.Load
	for _, m := range members {
		r, ok := p.loads[m.id]
		if !ok || r.version <= since && m.loadsSince <= since {
			continue
		}
		out = append(out, r.withAge(now))
		p.loads[m.id] = r
	}
	return out, p.loadsVersion
}

// nextLoadsVersion returns a version that is newer than those of all loads.
func (p *Publisher) nextLoadsVersion() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loadsVersion++
	return p.loadsVersion
}

// listVersion returns the list of targets and its version.
func (p *Publisher) listVersion() ([]*wire.Target, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targets, p.version
}

// addUsesAndLoads adds the other instances' uses, and the loads if the follower gets those of its subset.
func (s *Service) addUsesAndLoads(r *wire.FollowRequest, answer *wire.FollowResponse) {
	now, epoch := s.timers.Now(), s.publisher.epoch
	list, version := s.publisher.listVersion()
	next := func() (uint64, uint64) { return s.uses.nextVersion(), s.publisher.nextLoadsVersion() }
	members := s.subsets.of(r, list, version, next, now)
	if members == nil {
		answer.Others = s.uses.sumsExcluding(r.GetInstance(), now)
	} else if answer.GetLeader() {
		since := r.GetUsesVersion()
		if r.GetUsesEpoch() != epoch {
			since = 0
		}
		answer.UsesEpoch = epoch
		answer.Others, answer.UsesVersion, answer.UsesChanges = s.uses.changesFor(r.GetInstance(), members, since, now)
	}
	if r.GetSubsetInstances() > 0 && !r.GetWithoutLoads() {
		since := r.GetLoadsVersion()
		if r.GetListEpoch() != epoch {
			since = 0
		}
		answer.Loads, answer.LoadsVersion = s.publisher.loadsOf(members, since, now)
	}
}
