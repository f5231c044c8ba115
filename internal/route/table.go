package route

import (
	"iter"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/vanillaward/vanillaward/pkg/finding"
)

// Table is one version of the routing table. It is immutable.
type Table struct {
	number        uint64
	hosts         map[string][]*Route // longest prefix first
	services      map[string]*Service
	requiresKeys  bool
	organisations map[string]*Organisation // by key
	limits        Limits
	ranks         map[string]rankRange // of the generations of each service
}

// Route is one route of a table.
type Route struct {
	spec        Spec
	totalWeight float64 // sum of the weights of its shares
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

// Build validates a configuration and returns its table, or nil and all faults found in the
// configuration.
func Build(c *Configuration) (*Table, finding.List) {
	if found := c.check(); !found.Empty() {
		return nil, found
	}
	t := &Table{
		number: c.Number, hosts: map[string][]*Route{}, services: map[string]*Service{},
		requiresKeys: c.RequiresKeys, organisations: map[string]*Organisation{}, limits: c.Limits,
	}
	for _, v := range c.Services {
		t.services[v.Name] = &Service{spec: v}
	}
	for _, r := range c.Routes {
		route := &Route{spec: r}
		for _, share := range r.Shares {
			route.totalWeight += share.Weight
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.spec.Prefix) - len(a.spec.Prefix) })
	}
	t.ranks = generationRanks(c.Routes)
	for _, o := range c.Organisations {
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

// RequiresKeys reports whether callers need a key, but for public routes. Once the last key is taken
// away, no caller has one.
func (t *Table) RequiresKeys() bool { return t.requiresKeys }

// Organisation returns the owner of a key. It reports false if the key is unknown or empty: a caller
// without a key owns none.
func (t *Table) Organisation(key string) (*Organisation, bool) {
	o, ok := t.organisations[key]
	return o, ok && key != ""
}

// OrganisationByName returns an organisation by name. It reports false if none that has a key has this name.
func (t *Table) OrganisationByName(name string) (*Organisation, bool) {
	for _, o := range t.organisations {
		if o.name == name {
			return o, true
		}
	}
	return nil, false
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns the services by name, in no particular order.
func (t *Table) Services() iter.Seq2[string, *Service] { return maps.All(t.services) }

// Match returns the route of a host with the longest prefix of a path. It reports false if
// there is none.
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

// Kind returns the kind of the route's requests.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the longest time that a caller waits for an answer.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the time to the answer, or to a stream's first event, that callers
// expect.
func (r *Route) Objective() time.Duration { return r.spec.Objective }

// Rank returns the route's position in the order of routes; 0 goes first.
func (r *Route) Rank() int { return r.spec.Rank }

// Attempts returns the number of targets that one request may be sent to.
func (r *Route) Attempts() int { return max(1, r.spec.Attempts) }

// Public reports whether the route needs no key.
func (r *Route) Public() bool { return r.spec.Public }

// Generation reports whether an engine runs the route's requests.
func (r *Route) Generation() bool { return r.spec.Generation }

// Resumable reports whether another engine can continue the route's streams after a given event.
func (r *Route) Resumable() bool { return r.spec.Kind == Stream && r.spec.Resumable }

// Repeatable reports whether the route's requests may run more than once.
func (r *Route) Repeatable() bool { return r.spec.Kind == Idempotent || r.Resumable() }

// LongestPause returns the longest time between two events for which a stream is still in time, 0 if the
// route does not say.
func (r *Route) LongestPause() time.Duration { return r.spec.LongestPause }

// Shares returns the services of the route's requests with their weights.
func (r *Route) Shares() []Share { return slices.Clone(r.spec.Shares) }

// Pick returns the service for a request. Random is uniform in [0, 1).
func (r *Route) Pick(random float64) string {
	remaining := random * r.totalWeight
	picked := ""
	for _, share := range r.spec.Shares {
		if share.Weight <= 0 {
			continue
		}
		picked = share.Service // the last share also gets the requests that a rounding error leaves over
		if remaining -= share.Weight; remaining < 0 {
			break
		}
	}
	return picked
}

// Name returns the organisation's name.
func (o *Organisation) Name() string { return o.name }

// Rank returns the organisation's position in the order of organisations; 0 goes first.
func (o *Organisation) Rank() int { return o.rank }

// Slots returns the number of generations that an engine of the service runs at
// once; 0 for plain services.
func (s *Service) Slots() int { return s.spec.Slots }

// ContinuousCopies reports whether the service's engines continuously copy the KV
// cache of a run to another engine.
func (s *Service) ContinuousCopies() bool { return s != nil && s.spec.ContinuousCopies }

// Moves reports whether the service's engines copy the KV cache of a run on demand.
func (s *Service) Moves() bool { return s != nil && s.spec.Moves }

// CopyTokensPerSecond returns how many tokens of KV cache an engine copies in a second to an engine
// of its failure domain, or 0 if that is unknown.
func (s *Service) CopyTokensPerSecond() float64 { return s.spec.CopyTokensPerSecond }

// CopyLifetime returns how long an engine keeps a copy made on demand.
func (s *Service) CopyLifetime() time.Duration { return s.spec.CopyLifetime }

// ColdTime returns how long a target of the service is cold after it has started.
func (s *Service) ColdTime() time.Duration { return s.spec.ColdTime }

// ColdPerSecond returns how many requests a second from all instances a cold target tolerates, 0 for any
// number.
func (s *Service) ColdPerSecond() float64 { return s.spec.ColdPerSecond }
