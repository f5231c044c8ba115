package control

import (
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/subset"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// subsetInterval is the shortest time between two choices of a follower's subsets: a new target that
	// is in one may remain without loads and uses for that long.
	subsetInterval = 2 * time.Second
	// subsetTTL is how long the subsets of a follower are kept after its last request.
	subsetTTL = 30 * time.Second
)

// member is a target in the subset of a follower, with the versions of the uses and the load that the follower was
// told of last; 0 for none.
type member struct {
	id   string
	uses uint64
	load uint64
}

// subsets holds the targets of which each follower gets uses and loads. It is safe for concurrent use.
type subsets struct {
	mu         sync.Mutex // guards the rest; held while the locks of uses and publisher are taken
	list       listIndex
	byInstance map[string]*members
	lastPrune  time.Duration
}

// members is the subset of a follower, over all services, and what the follower has been told.
type members struct {
	domain    string
	instances int
	version   uint64 // of the list
	chosenAt  time.Duration
	usedAt    time.Duration
	targets   []member
	answers   uint64 // number of the last answer
	toldAt    time.Duration
	next      int // index of the target of which the follower is told next
	allowance allowance
}

// forgetTold has all of the follower's subset told again: it has not received the last answer, or has nothing yet.
func (m *members) forgetTold(hasNothing bool) {
	uses := uint64(0)
	if hasNothing {
		uses = unusedVersion
	}
	for i := range m.targets {
		m.targets[i].uses, m.targets[i].load = uses, 0
	}
}

// listIndex is a version of the list, by service.
type listIndex struct {
	version  uint64
	services map[string][]subset.Target
	largest  int // number of targets of the largest service
}

func newSubsets() *subsets { return &subsets{byInstance: map[string]*members{}} }

// of returns the targets of which a follower gets uses and loads, or nil for all: it is of an earlier build, or no
// service is large. It is called with the lock held.
func (s *subsets) of(r *wire.FollowRequest, list []*wire.Target, version uint64, now time.Duration) *members {
	s.list.update(list, version)
	if !r.GetPaced() || subset.Whole(s.list.largest) {
		return nil
	}
	s.prune(now)
	m := s.byInstance[r.GetInstance()]
	same := m != nil && m.domain == r.GetFailureDomain() && m.instances == int(r.GetSubsetInstances())
	if !same || m.version != s.list.version && now-m.chosenAt >= subsetInterval {
		m = s.choose(r, m, now)
		s.byInstance[r.GetInstance()] = m
	}
	m.usedAt = now
	return m
}

// hasLarge reports whether a version of the list has a service of which followers keep subsets.
func (s *subsets) hasLarge(list []*wire.Target, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.update(list, version)
	return !subset.Whole(s.list.largest)
}

// due reports whether a follower has not been told of uses and loads for shedInterval.
func (s *subsets) due(instance string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byInstance[instance]
	return m == nil || now-m.toldAt >= shedInterval
}

// update indexes a version of the list, unless it has it.
func (l *listIndex) update(list []*wire.Target, version uint64) {
	if l.version >= version {
		return
	}
	l.version, l.services, l.largest = version, map[string][]subset.Target{}, 0
	for _, t := range list {
		l.services[t.GetService()] = append(l.services[t.GetService()], subset.NewTarget(t.GetId(), t.GetFailureDomain()))
	}
	for _, targets := range l.services {
		l.largest = max(l.largest, len(targets))
	}
}

// choose chooses a follower's subsets, of which it had others before; nil for none. It is called with the lock
// held.
func (s *subsets) choose(r *wire.FollowRequest, before *members, now time.Duration) *members {
	instances := int(r.GetSubsetInstances())
	m := &members{domain: r.GetFailureDomain(), instances: instances, version: s.list.version, chosenAt: now}
	known := map[string]member{}
	if before != nil {
		m.answers, m.allowance, m.toldAt = before.answers, before.allowance, before.toldAt
		for _, t := range before.targets {
			known[t.id] = t
		}
	}
	for _, targets := range s.list.services { // in any order: each is told of in turn
		for _, i := range subset.Choose(r.GetInstance(), r.GetFailureDomain(), subset.Size(len(targets), instances), targets) {
			id := targets[i].ID()
			t := known[id]
			t.id = id
			m.targets = append(m.targets, t)
		}
	}
	return m
}

// prune removes the subsets of followers that have not asked for long. It is called with the lock held.
func (s *subsets) prune(now time.Duration) {
	if now-s.lastPrune < pruneInterval {
		return
	}
	s.lastPrune = now
	for instance, m := range s.byInstance {
		if now-m.usedAt > subsetTTL {
			delete(s.byInstance, instance)
		}
	}
}
