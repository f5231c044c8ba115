// Package declaration defines what operators declare: services, organisations,
// request classes, targets and failure domains, with defaults and with exceptions
// that each state a reason.
package declaration

import (
	"net/netip"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/settings"
)

// Kinds of sections.
const (
	kindFleet        = "fleet"
	kindDefaults     = "defaults"
	kindDomain       = "failure-domain"
	kindTarget       = "target"
	kindService      = "service"
	kindClass        = "class"
	kindOrganisation = "organisation"
	kindException    = "exception"
)

type fleetSpec struct {
	RecordLifetime     time.Duration `ini:"record-lifetime" default:"10m" min:"1000000000" doc:"How long a non-idempotent request is remembered after it was last active. A resend within it never runs again."`
	RetryBudget        float64       `ini:"retry-budget" default:"0.1" min:"0" doc:"Retries allowed per first attempt, averaged over recent requests."`
	RetryAfter         time.Duration `ini:"retry-after" default:"1s" min:"1000000" doc:"Shortest time that a refused caller is told to wait."`
	LeaveBound         time.Duration `ini:"leave-bound" default:"3s" min:"1000000" doc:"Time after which a leaving target must receive no new work."`
	EjectAfter         int           `ini:"eject-after" default:"3" min:"1" doc:"Failures in a row after which a target is ejected for a while."`
	EjectFor           time.Duration `ini:"eject-for" default:"5s" min:"1000000" doc:"How long a target is first ejected; each further time it is doubled, up to eight times."`
	MaxConcurrentLoads int           `ini:"loads-at-once" default:"1" min:"1" doc:"Model loads that may run at once, so that the weight store keeps its pace."`
}

type domainSpec struct {
	Region          string         `ini:"region" doc:"Region of the failure domain."`
	Keepers         []inifile.Peer `ini:"keepers" required:"true" doc:"Instances that remember the non-idempotent requests of this failure domain."`
	KeeperEpoch     int            `ini:"keeper-epoch" default:"1" min:"1" doc:"Number of the set of keepers. A change of the set raises it by one."`
	PreviousKeepers []inifile.Peer `ini:"previous-keepers" doc:"Keepers of the epoch before. Set with a change of the set; removed once the new keepers vote."`
}

type targetSpec struct {
	Kind          string         `ini:"kind" required:"true" oneof:"engine|plain" doc:"Engine for generations, plain for plain services."`
	FailureDomain string         `ini:"failure-domain" required:"true" doc:"Failure domain that the target runs in."`
	Address       netip.AddrPort `ini:"address" required:"true" doc:"Address of the target's HTTP interface."`
	Model         string         `ini:"model" doc:"Model that an engine is to have loaded."`
	ModelVersion  string         `ini:"model-version" default:"1" doc:"Version of the model."`
	Adapters      []string       `ini:"adapters" doc:"Adapters that an engine is to have loaded."`
	Role          string         `ini:"role" default:"serve" oneof:"serve|standby" doc:"Whether the engine serves requests or stands by."`
	KVTokens      int            `ini:"kv-tokens" default:"65536" min:"0" doc:"Tokens that the engine's key-value cache holds."`
	BatchCap      int            `ini:"batch-cap" default:"32" min:"1" doc:"Largest batch that keeps the time between tokens in bound."`
	Fencing       string         `ini:"fencing" default:"checked" oneof:"checked|ignored" doc:"Whether the target refuses an order with an old fencing number."`
}

type serviceSpec struct {
	Kind                string   `ini:"kind" required:"true" oneof:"generation|plain" doc:"Generation by engines, or a plain service."`
	Model               string   `ini:"model" doc:"Model of a generation service; callers name it in the field model."`
	Targets             []string `ini:"targets" doc:"Targets of a plain service."`
	DefaultClass        string   `ini:"default-class" required:"true" doc:"Class of requests that name none."`
	NotExecutedStatuses []int    `ini:"not-executed-statuses" doc:"HTTP statuses by which the service states that it did not run the request."`
}

type classSpec struct {
	Idempotent    bool          `ini:"idempotent" required:"true" doc:"Whether a request may run more than once."`
	Urgency       int           `ini:"urgency" default:"0" min:"0" doc:"Higher goes first."`
	Worth         float64       `ini:"worth" default:"1" min:"0" doc:"Value of one request answered whole, in reports."`
	Delivery      string        `ini:"delivery" default:"stream" oneof:"whole|stream" doc:"Whole is held until complete; stream is passed on token by token."`
	Deadline      time.Duration `ini:"deadline" default:"10m" min:"1000000" doc:"Time within which the first token of a stream or a whole answer must be possible."`
	StallBound    time.Duration `ini:"stall-bound" default:"3s" min:"1000000" doc:"Silence of a stream after which its link is taken for stalled."`
	LongestTokens int           `ini:"longest-tokens" default:"32768" min:"1" doc:"Longest output that is expected; used only to estimate, never to cut."`
}

type organisationSpec struct {
	KeyHashes []string `ini:"key-hashes" required:"true" doc:"SHA-256 hashes of the organisation's keys, in hexadecimal."`
	Weight    float64  `ini:"weight" default:"1" min:"0.001" doc:"Share of the fleet under overload, relative to other organisations."`
	MaxOpen   int      `ini:"max-open" default:"0" min:"0" doc:"Requests that the organisation may have open at one instance; 0 sets no limit."`
}

type exceptionSpec struct {
	Section string `ini:"section" required:"true" doc:"Section that the exception is for, such as 'target runner-3'."`
	Key     string `ini:"key" required:"true" doc:"Key that differs from the default."`
	Value   string `ini:"value" required:"true" doc:"Value of the key."`
	Reason  string `ini:"reason" required:"true" doc:"Why the default does not fit."`
}

// Sections describes the sections of declarations for the settings page.
func Sections() []settings.SectionDoc {
	return []settings.SectionDoc{
		{Name: "fleet", Doc: "Bounds of the whole deployment.", Fields: inifile.Fields(fleetSpec{})},
		{Name: "defaults target | class | organisation", Doc: "Values for every section of a kind. A key that stands here is not set in a section; an exception is needed.", Fields: nil},
		{Name: "failure-domain NAME", Doc: "A failure domain.", Fields: inifile.Fields(domainSpec{})},
		{Name: "target NAME", Doc: "A target.", Fields: inifile.Fields(targetSpec{})},
		{Name: "service NAME", Doc: "A service.", Fields: inifile.Fields(serviceSpec{})},
		{Name: "class NAME", Doc: "A request class.", Fields: inifile.Fields(classSpec{})},
		{Name: "organisation NAME", Doc: "An organisation.", Fields: inifile.Fields(organisationSpec{})},
		{Name: "exception NAME", Doc: "One value that differs from the default.", Fields: inifile.Fields(exceptionSpec{})},
	}
}

// Fleet holds the limits that apply to the whole deployment.
type Fleet struct{ spec fleetSpec }

// RecordLifetime returns how long a non-idempotent request is remembered after it was last
// active.
func (f Fleet) RecordLifetime() time.Duration { return f.spec.RecordLifetime }

// RetryBudget returns the number of retries allowed per first attempt.
func (f Fleet) RetryBudget() float64 { return f.spec.RetryBudget }

// RetryAfter returns the minimum time that the caller of a refused request is asked to
// wait before it retries.
func (f Fleet) RetryAfter() time.Duration { return f.spec.RetryAfter }

// LeaveBound returns the time after which a leaving target must receive no new work.
func (f Fleet) LeaveBound() time.Duration { return f.spec.LeaveBound }

// EjectAfter returns the number of consecutive failures after which a target is ejected.
func (f Fleet) EjectAfter() int { return f.spec.EjectAfter }

// EjectFor returns how long a target is ejected the first time.
func (f Fleet) EjectFor() time.Duration { return f.spec.EjectFor }

// MaxConcurrentLoads returns how many model loads may run at once.
func (f Fleet) MaxConcurrentLoads() int { return f.spec.MaxConcurrentLoads }

// FailureDomain is a group of instances and targets that fail together.
type FailureDomain struct {
	name string
	spec domainSpec
}

// Name returns the failure domain's name.
func (d *FailureDomain) Name() string { return d.name }

// Region returns the region, or the empty string.
func (d *FailureDomain) Region() string { return d.spec.Region }

// Keepers returns the instances that remember non-idempotent requests.
func (d *FailureDomain) Keepers() []inifile.Peer { return d.spec.Keepers }

// KeeperEpoch returns the number of the set of keepers. It rises by one with each change
// of the set.
func (d *FailureDomain) KeeperEpoch() int { return d.spec.KeeperEpoch }

// PreviousKeepers returns the keepers of the previous epoch, for as long as they may
// still grant claims.
func (d *FailureDomain) PreviousKeepers() []inifile.Peer { return d.spec.PreviousKeepers }

// Target is an engine or an instance of a plain service.
type Target struct {
	name string
	spec targetSpec
}

// Name returns the target's name.
func (t *Target) Name() string { return t.name }

// Engine reports whether the target runs generations.
func (t *Target) Engine() bool { return t.spec.Kind == "engine" }

// FailureDomain returns the name of the target's failure domain.
func (t *Target) FailureDomain() string { return t.spec.FailureDomain }

// Address returns the address of the target's HTTP interface.
func (t *Target) Address() netip.AddrPort { return t.spec.Address }

// Model returns the model that an engine is to have loaded.
func (t *Target) Model() string { return t.spec.Model }

// ModelVersion returns the version of the model.
func (t *Target) ModelVersion() string { return t.spec.ModelVersion }

// Adapters returns the adapters that an engine is to have loaded.
func (t *Target) Adapters() []string { return t.spec.Adapters }

// Serves reports whether the target is to serve requests.
func (t *Target) Serves() bool { return t.spec.Role == "serve" }

// Role returns the role that an engine is to have.
func (t *Target) Role() string { return t.spec.Role }

// KVTokens returns the size of the engine's key-value cache in tokens.
func (t *Target) KVTokens() int { return t.spec.KVTokens }

// BatchCap returns the largest batch, in requests, at which the time between tokens stays
// within its bound.
func (t *Target) BatchCap() int { return t.spec.BatchCap }

// ChecksFence reports whether the target refuses orders with an old fencing number.
func (t *Target) ChecksFence() bool { return t.spec.Fencing == "checked" }

// Service is a named service that callers send requests to.
type Service struct {
	name string
	spec serviceSpec
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Generation reports whether the service generates text.
func (s *Service) Generation() bool { return s.spec.Kind == "generation" }

// Model returns the model of a generation service.
func (s *Service) Model() string { return s.spec.Model }

// Targets returns the names of a plain service's targets.
func (s *Service) Targets() []string { return s.spec.Targets }

// DefaultClass returns the name of the class of requests that do not specify one.
func (s *Service) DefaultClass() string { return s.spec.DefaultClass }

// NotExecuted reports whether the service states by this HTTP status that it did
// not run the request.
func (s *Service) NotExecuted(status int) bool {
	return slices.Contains(s.spec.NotExecutedStatuses, status)
}

// Class is a kind of request.
type Class struct {
	name string
	spec classSpec
}

// Name returns the class's name.
func (c *Class) Name() string { return c.name }

// Idempotent reports whether a request may run more than once.
func (c *Class) Idempotent() bool { return c.spec.Idempotent }

// Urgency returns the priority of the class; requests with a higher value go first.
func (c *Class) Urgency() int { return c.spec.Urgency }

// Worth returns the value of a completely answered request, for reports.
func (c *Class) Worth() float64 { return c.spec.Worth }

// Buffered reports whether an answer is held until it is complete.
func (c *Class) Buffered() bool { return c.spec.Delivery == "whole" }

// Deadline returns the time within which the first token of a stream or a complete
// answer must be possible.
func (c *Class) Deadline() time.Duration { return c.spec.Deadline }

// StallBound returns how long a stream may send nothing before its link is considered
// stalled.
func (c *Class) StallBound() time.Duration { return c.spec.StallBound }

// LongestTokens returns the longest expected output in tokens.
func (c *Class) LongestTokens() int { return c.spec.LongestTokens }

// Organisation is a customer with its own keys and share.
type Organisation struct {
	name string
	spec organisationSpec
}

// Name returns the organisation's name.
func (o *Organisation) Name() string { return o.name }

// Weight returns the organisation's share of the fleet under overload, relative to
// other organisations.
func (o *Organisation) Weight() float64 { return o.spec.Weight }

// MaxOpen returns the limit on open requests at one instance, or 0 for no limit.
func (o *Organisation) MaxOpen() int { return o.spec.MaxOpen }

// Exception sets one key of a section to a value that differs from the default.
type Exception struct {
	name string
	spec exceptionSpec
}

// Name returns the exception's name.
func (e *Exception) Name() string { return e.name }

// Section returns the section that the exception is for.
func (e *Exception) Section() string { return e.spec.Section }

// Key returns the key that the exception sets.
func (e *Exception) Key() string { return e.spec.Key }

// Value returns the value of the key.
func (e *Exception) Value() string { return e.spec.Value }

// Reason returns why the default does not fit.
func (e *Exception) Reason() string { return e.spec.Reason }
