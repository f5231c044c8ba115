// Package route holds the routing table of a gateway: which requests go to which
// service, whose keys are valid, and what bounds apply.
package route

import (
	"time"

	"github.com/vanillaward/vanillaward/pkg/finding"
)

// Kind determines whether a request may be repeated.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once requests run at most once for each attempt of a caller.
	Once
	// Stream requests run at most once and are answered as a series of events.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string { return [...]string{"idempotent", "once", "stream"}[k] }

// Configuration is a complete configuration as decoded. Its fields are exported because
// decoders set them; Build validates them and returns a Table.
type Configuration struct {
	Number        uint64
	Routes        []Spec
	Services      []ServiceSpec
	Organisations []OrganisationSpec
	// RequiresKeys is true if callers need the key of an organisation, though none may have one.
	RequiresKeys bool
	Limits       Limits
}

// Spec is one route.
type Spec struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// KindValid is false if the decoder did not recognise the kind.
	KindValid bool
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Objective is the latency that callers expect: the time to the answer, or to a
	// stream's first event.
	Objective time.Duration
	// Rank orders routes; 0 goes first.
	Rank int
	// Attempts is the number of targets that one request may be sent to.
	Attempts int
	// Public is true for routes whose callers need no key.
	Public bool
	// Generation is true for routes whose requests are run by engines.
	Generation bool
	// Resumable is true for streams that another engine can continue after a given event.
	Resumable bool
	// LongestPause is the longest time between two events for which a stream is still in time; 0 if the
	// route does not say.
	LongestPause time.Duration
	Shares       []Share
}

// Share is the part of a route's requests that a service gets, relative to the
// other shares.
type Share struct {
	Service string
	Weight  float64
}

// ServiceSpec is one service.
type ServiceSpec struct {
	Name string
	// Slots is the number of generations that an engine runs at once; 0 for
	// plain services.
	Slots int
	// MemoryTokens is the size of an engine's key-value cache in tokens.
	MemoryTokens int
	// ContinuousCopies is true for engines that continuously copy the KV cache of a run to
	// another engine.
	ContinuousCopies bool
	// Moves is true for engines that copy the KV cache of a run on demand, and
	// CopyLifetime is how long they keep such a copy.
	Moves        bool
	CopyLifetime time.Duration
	// ColdTime is how long a target is cold after it has started, and ColdPerSecond the number of requests
	// a second from all instances that a cold target tolerates; 0 for any number.
	ColdTime      time.Duration
	ColdPerSecond float64
	// CopyTokensPerSecond is how many tokens of KV cache an engine copies in a second to an engine of
	// its failure domain; 0 if unknown.
	CopyTokensPerSecond float64
}

// OrganisationSpec is one organisation with its keys.
type OrganisationSpec struct {
	Name string
	Keys []string
	// Rank orders organisations; 0 goes first.
	Rank int
}

// Limits bound what callers may send. For a bound of 0 the gateway's default applies.
type Limits struct {
	// HeaderBytes bounds the size of a request's head in bytes.
	HeaderBytes int
	// BodyBytes bounds the size of a request's body in bytes.
	BodyBytes int64
	// HeaderTimeout bounds how long reading a request's head may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout time.Duration
}

// source replaces the file name in the findings of a configuration, which have no line.
const source = "configuration"

// check returns all faults that make a configuration invalid.
func (c *Configuration) check() finding.List {
	var found finding.List
	if c.Number == 0 {
		found.Add(source, 0, "number", "missing or 0")
	}
	services := map[string]bool{}
	for _, v := range c.Services {
		if v.Name == "" || services[v.Name] {
			found.Add(source, 0, "services", "%q stands twice or has no name", v.Name)
		}
		services[v.Name] = true
	}
	c.checkRoutes(services, &found)
	c.checkKeys(&found)
	return found
}

func (c *Configuration) checkRoutes(services map[string]bool, found *finding.List) {
	routesByPrefix := map[[2]string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		hostPrefix := [2]string{r.Host, r.Prefix}
		if other, taken := routesByPrefix[hostPrefix]; taken {
			found.Add(source, 0, r.Name, "same host and prefix as %s", other)
		}
		routesByPrefix[hostPrefix] = r.Name
		if r.Timeout <= 0 {
			found.Add(source, 0, r.Name, "no timeout")
		}
		if !r.KindValid {
			found.Add(source, 0, r.Name, "unknown kind")
		}
		if len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
			found.Add(source, 0, r.Name, "prefix %q does not begin and end with a slash", r.Prefix)
		}
		checkShares(r, services, found)
	}
}

func checkShares(r *Spec, services map[string]bool, found *finding.List) {
	sum := 0.0
	for _, share := range r.Shares {
		if !services[share.Service] {
			found.Add(source, 0, r.Name, "unknown service %q", share.Service)
		}
		if share.Weight < 0 {
			found.Add(source, 0, r.Name, "negative weight")
		}
		sum += share.Weight
	}
	if sum <= 0 {
		found.Add(source, 0, r.Name, "the weights of its services add up to 0")
	}
}

func (c *Configuration) checkKeys(found *finding.List) {
	owners := map[string]string{}
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			if other, taken := owners[key]; taken && other != o.Name {
				found.Add(source, 0, o.Name, "has a key of %s", other)
			}
			owners[key] = o.Name
		}
	}
}
