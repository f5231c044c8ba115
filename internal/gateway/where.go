package gateway

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/route"
)

// PathWhere is the path at the health address at which ServeWhere answers.
const PathWhere = "/where"

const (
	// maxWhereTargets bounds the targets in an answer; those that would be chosen first come first.
	maxWhereTargets = 200
	// maxWhereValue bounds the length of a value of the question.
	maxWhereValue = 2048
	// maxWhereTokens bounds a number of tokens in the question.
	maxWhereTokens = 100_000_000
)

// WhereQuestion describes a request of which it is asked where it would be sent.
type WhereQuestion struct {
	Host         string
	Path         string
	Organisation string
	PromptTokens int
	OutputTokens int
}

// Where says where a request would be sent now, and why.
type Where struct {
	Instance string `json:"instance"`
	// Outcome is sent, handed-over or refused.
	Outcome string `json:"outcome"`
	// Reason is why the request would be refused or handed over.
	Reason       string `json:"reason,omitempty"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
	Route        string `json:"route,omitempty"`
	// Service is the one that gets most of the route's requests.
	Service  string         `json:"service,omitempty"`
	Services []WhereService `json:"services,omitempty"`
	// Tokens is the memory that the request is taken to need.
	Tokens int `json:"tokens"`
	// Instances is the number of instances that choose among the targets, InformationAgeMs the age of what is known of
	// what they have sent, and Unseen the number of requests that the choice provides for because of it.
	Instances        int           `json:"instances"`
	InformationAgeMs int64         `json:"information-age-ms"`
	Unseen           float64       `json:"unseen"`
	Targets          []WhereTarget `json:"targets"`
	// Omitted is the number of further targets.
	Omitted int `json:"omitted"`
}

// WhereService is a service of a route.
type WhereService struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// WhereTarget is what is known of a target.
type WhereTarget struct {
	Target        string             `json:"target"`
	Domain        string             `json:"failure-domain"`
	Excluded      string             `json:"excluded,omitempty"`
	Probability   float64            `json:"probability"`
	Score         float64            `json:"score"`
	Parts         balance.ScoreParts `json:"parts"`
	Open          int                `json:"open"`
	Others        int                `json:"others"`
	UsesAgeMs     int64              `json:"uses-age-ms"`
	Report        bool               `json:"report"`
	ReportAgeMs   int64              `json:"report-age-ms,omitempty"`
	Running       int                `json:"running"`
	Waiting       int                `json:"waiting"`
	MemoryPercent int                `json:"memory-percent"`
	Prefilling    int                `json:"prefilling"`
	SpeedPercent  int                `json:"speed-percent"`
	ColdMs        int64              `json:"cold-ms,omitempty"`
}

// Outcomes of a request in Where.
const (
	whereSent       = "sent"
	whereHandedOver = "handed-over"
	whereRefused    = "refused"
)

// Where returns where a request would be sent now. It sends nothing and changes no state.
func (g *Server) Where(q WhereQuestion) Where {
	out := Where{Instance: g.base.Settings.Instance.Name, Outcome: whereSent, Targets: []WhereTarget{}}
	table := g.table.Load()
	found, why := g.whereRoute(table, q)
	if found != nil {
		out.Route = found.Name()
		g.assess(&out, found, q)
		if why == "" {
			why = g.whereRefused(&out, found)
		}
	}
	if why != "" {
		out.Outcome, out.Reason, out.RetryAfterMs = whereRefused, string(why), refusals[why].retryAfter.Milliseconds()
	}
	return out
}

// whereRoute returns the route of a request, if there is one, and why the request would be refused before its
// service is looked at.
func (g *Server) whereRoute(table *route.Table, q WhereQuestion) (*route.Route, reason) {
	if table == nil {
		return nil, reasonNoConfig
	}
	found, ok := table.Match(q.Host, q.Path)
	_, known := table.OrganisationByName(q.Organisation)
	switch {
	case !ok:
		return nil, reasonNoRoute
	case table.RequiresKeys() && !found.Public() && !known:
		return found, reasonNoKey
	case int(g.open.Load()) >= g.settings.MaxOpen:
		return found, reasonBusy
	case g.closing.Load():
		return found, reasonStopping
	}
	return found, ""
}

// assess fills in the service and its targets.
func (g *Server) assess(out *Where, found *route.Route, q WhereQuestion) {
	for _, s := range found.Shares() {
		out.Services = append(out.Services, WhereService{s.Service, s.Weight})
	}
	if len(out.Services) > 0 {
		out.Service = slices.MaxFunc(out.Services, func(a, b WhereService) int { return cmp.Compare(a.Weight, b.Weight) }).Name
	}
	if found.Generation() {
		out.Tokens = max(1, q.PromptTokens+q.OutputTokens/2)
	}
	g.mu.Lock()
	targets, others := g.balancer.Assess(out.Service, out.Tokens, g.base.Timers.Now())
	g.mu.Unlock()
	out.Instances, out.InformationAgeMs, out.Unseen = others.Instances, others.Age.Milliseconds(), others.Unseen
	out.Omitted = max(0, len(targets)-maxWhereTargets)
	for _, a := range targets[:len(targets)-out.Omitted] {
		out.Targets = append(out.Targets, whereTarget(a))
	}
}

func whereTarget(a balance.Assessment) WhereTarget {
	t := WhereTarget{
		Target: a.Target, Domain: a.Domain, Excluded: string(a.Excluded), Probability: a.Probability, Score: a.Parts.Total(), Parts: a.Parts,
		Open: a.Open, Others: a.Others, UsesAgeMs: a.State.UsesAge.Milliseconds(), Report: a.State.Known, Running: a.Running, Waiting: a.State.Waiting,
		MemoryPercent: int(100 * a.State.Memory), Prefilling: a.State.Prefilling, SpeedPercent: int(100 * a.State.Speed), ColdMs: a.Cold.Milliseconds(),
	}
	if a.State.Known {
		t.ReportAgeMs = a.State.ReportAge.Milliseconds()
	}
	return t
}

// whereRefused returns why the request would be refused, given the targets of its service.
func (g *Server) whereRefused(out *Where, found *route.Route) reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.balancer.OutOfReach(out.Service) {
		out.Outcome, out.Reason = whereHandedOver, string(reasonUnreachable)
		return ""
	}
	if found.Generation() && g.balancer.AtCapacity(out.Service, out.Tokens, g.base.Timers.Now()) {
		return reasonCrowded
	}
	usable := slices.ContainsFunc(out.Targets, func(t WhereTarget) bool { return t.Excluded == "" })
	// A target that asked to wait is tried nevertheless if there is no other.
	waiting := slices.ContainsFunc(out.Targets, func(t WhereTarget) bool { return t.Excluded == string(balance.ExcludedWait) })
	if !usable && !waiting {
		return reasonNoTarget
	}
	return ""
}

// ServeWhere answers the question in the parameters host, path, organisation, prompt-tokens and output-tokens with a
// Where in JSON.
func (g *Server) ServeWhere(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	q := WhereQuestion{Host: values.Get("host"), Path: cmp.Or(values.Get("path"), "/"), Organisation: values.Get("organisation")}
	var ok, numbers bool
	q.PromptTokens, ok = whereNumber(values.Get("prompt-tokens"))
	q.OutputTokens, numbers = whereNumber(values.Get("output-tokens"))
	if !ok || !numbers || max(len(q.Host), len(q.Path), len(q.Organisation)) > maxWhereValue {
		http.Error(w, "a value of the question is too long, or not a number", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(whereTimeout)) // without one, the connection's end bounds it
	_ = json.NewEncoder(w).Encode(g.Where(q))                                        // the caller may have disconnected
}

// whereTimeout bounds how long an answer may take to be read.
const whereTimeout = 5 * time.Second

func whereNumber(s string) (int, bool) {
	n, err := strconv.Atoi(cmp.Or(s, "0"))
	return n, err == nil && n >= 0 && n <= maxWhereTokens
}
