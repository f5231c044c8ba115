package balance

import (
	"maps"
	"time"

	"github.com/vanillaward/vanillaward/internal/target"
)

const (
	// lossEvidence is the number of targets to which connections must have failed, with none that
	// succeeded in between, before all are considered out of reach; fewer if fewer are listed.
	lossEvidence = 4
	// lossEvidenceAge bounds how old these failures may be.
	lossEvidenceAge = 3 * time.Second
)

// reach is whether this instance can open connections to a group of targets. Answers on connections
// that are open already show nothing about that: they can outlive the path to their targets.
type reach struct {
	failed map[target.Key]failedConnection // since the last connection that succeeded
	lost   bool
	probes int // since the loss
}

// failedConnection is the last connection to a target, which failed.
type failedConnection struct {
	service string
	domain  string
	at      time.Duration
}

// group is the extent of a group of targets.
type group struct{ targets, domains, services int }

// fail records that no connection to a target could be made.
func (r *reach) fail(t *Target, of group, now time.Duration) {
	if r.failed == nil {
		r.failed = map[target.Key]failedConnection{}
	}
	r.failed[t.key()] = failedConnection{service: t.service, domain: t.domain, at: now}
	maps.DeleteFunc(r.failed, func(_ target.Key, f failedConnection) bool { return now-f.at > lossEvidenceAge })
	if r.lost {
		return
	}
	domains, services := map[string]bool{}, map[string]bool{}
	for _, f := range r.failed {
		domains[f.domain], services[f.service] = true, true
	}
	// The loss of one failure domain, or of one service, is not the loss of all.
	r.lost = len(r.failed) >= min(of.targets, lossEvidence) && len(domains) >= min(of.domains, 2) && len(services) >= min(of.services, 2)
}

func (r *reach) succeed() {
	clear(r.failed)
	r.lost, r.probes = false, 0
}

// Connected records that a connection to a target was opened.
func (b *Balancer) Connected(t *Target) {
	b.reachOf(t.service).succeed()
	b.reachAll.succeed()
}

// NoteUnreachable records that no connection to a target could be made. End does so itself.
func (b *Balancer) NoteUnreachable(t *Target, now time.Duration) {
	if b.Evacuated(t) { // it is not among those counted
		return
	}
	b.reachOf(t.service).fail(t, b.groups[t.service], now)
	b.reachAll.fail(t, b.groupAll, now)
}

// countGroups counts the targets of each service, and of all, without evacuated ones: no connection shows
// anything of these.
func (b *Balancer) countGroups() {
	b.groups, b.groupAll = make(map[string]group, len(b.byService)), group{services: len(b.byService)}
	allDomains := map[string]bool{}
	for service, listed := range b.byService {
		domains, targets := map[string]bool{}, 0
		for _, t := range listed {
			if !b.Evacuated(t) {
				domains[t.domain], allDomains[t.domain] = true, true
				targets++
			}
		}
		b.groups[service] = group{targets: targets, domains: len(domains), services: 1}
		b.groupAll.targets += targets
	}
	b.groupAll.domains = len(allDomains)
}

func (b *Balancer) reachOf(service string) *reach {
	r := b.reach[service]
	if r == nil {
		r = &reach{}
		b.reach[service] = r
	}
	return r
}

// OutOfReach reports whether connections to all targets of a service seem to fail. It stays so until
// one succeeds.
func (b *Balancer) OutOfReach(service string) bool {
	if len(b.byService[service]) == 0 {
		return false
	}
	r := b.reach[service]
	return b.reachAll.lost || r != nil && r.lost
}

// NextProbe returns the target of a service that is out of reach to which a connection should be tried
// next: one after another, without those that are leaving. It is nil if there is none.
func (b *Balancer) NextProbe(service string, now time.Duration) *Target {
	if !b.OutOfReach(service) {
		return nil
	}
	r := b.reachOf(service)
	listed := b.byService[service]
	for range listed {
		t := listed[r.probes%len(listed)]
		r.probes++
		if b.usable(t, now) {
			return t
		}
	}
	return nil
}

// ServicesOutOfReach returns the services that are out of reach.
func (b *Balancer) ServicesOutOfReach() []string {
	var out []string
	for service := range b.byService {
		if b.OutOfReach(service) {
			out = append(out, service)
		}
	}
	return out
}
