package route

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/vanillaward/vanillaward/pkg/finding"
)

// Table is one version of the routing table. It does not change.
type Table struct {
	number        uint64
	hosts         map[string][]*Route // longest prefix first
	services      map[string]*Service
	organisations map[string]*Organisation // by key
	limits        Limits
}

// Route is one route of a table.
type Route struct {
	spec  Spec
	total float64 // of the weights
}

// Service is one service of a table.
type Service struct {
	spec ServiceSpec
}

// Organisation is the owner of keys.
type Organisation struct {
	name string
	rank int
}

// Build checks a configuration and returns its table, or everything that is
// wrong with it.
func Build(s *Configuration) (*Table, finding.List) {
	if found := s.check(); !found.Empty() {
		return nil, found
	}
	t := &Table{
		number: s.Number, hosts: map[string][]*Route{}, services: map[string]*Service{},
		organisations: map[string]*Organisation{}, limits: s.Limits,
	}
	for _, v := range s.Services {
		t.services[v.Name] = &Service{spec: v}
	}
	for _, r := range s.Routes {
		route := &Route{spec: r}
		for _, share := range r.Shares {
			route.total += share.Weight
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.spec.Prefix) - len(a.spec.Prefix) })
	}
	for _, o := range s.Organisations {
		organisation := &Organisation{name: o.Name, rank: o.Rank}
		for _, key := range o.Keys {
			t.organisations[key] = organisation
		}
	}
	return t, finding.List{}
}

// Number returns the configuration's number.
func (t *Table) Number() uint64 { return t.number }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.limits }

// Keyed reports whether requests need a key at all.
func (t *Table) Keyed() bool { return len(t.organisations) > 0 }

// Organisation returns the owner of a key.
func (t *Table) Organisation(key string) (*Organisation, bool) {
	o, ok := t.organisations[key]
	return o, ok
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route with the longest prefix for a host and a path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.spec.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Kind returns what may be repeated.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the longest time that a caller is kept waiting.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the time to the answer that callers expect.
func (r *Route) Objective() time.Duration { return r.spec.Objective }

// Rank orders routes; 0 goes first.
func (r *Route) Rank() int { return r.spec.Rank }

// Attempts returns the number of targets that one request may be sent to.
func (r *Route) Attempts() int { return max(1, r.spec.Attempts) }

// Public reports whether the route needs no key.
func (r *Route) Public() bool { return r.spec.Public }

// Generation reports whether an engine runs the route's requests.
func (r *Route) Generation() bool { return r.spec.Generation }

// Pick returns the service for a request. Random is uniform in [0, 1).
func (r *Route) Pick(random float64) string {
	left := random * r.total
	picked := ""
	for _, share := range r.spec.Shares {
		if share.Weight <= 0 {
			continue
		}
		picked = share.Service // the last one also takes what rounding leaves
		if left -= share.Weight; left < 0 {
			break
		}
	}
	return picked
}

// Name returns the organisation's name.
func (o *Organisation) Name() string { return o.name }

// Rank orders organisations; 0 goes first.
func (o *Organisation) Rank() int { return o.rank }

// Slots returns the number of generations that an engine of the service runs at
// once; 0 for plain services.
func (s *Service) Slots() int { return s.spec.Slots }

// Backups reports whether the service's engines copy the memory of a run to
// another one while it grows.
func (s *Service) Backups() bool { return s != nil && s.spec.Backups }

// Moves reports whether the service's engines copy the memory of a run when asked
// to.
func (s *Service) Moves() bool { return s != nil && s.spec.Moves }

// KeepCopy returns how long an engine keeps such a copy.
func (s *Service) KeepCopy() time.Duration { return s.spec.KeepCopy }
