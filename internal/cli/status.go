package cli

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/wire"
)

func (t *tool) addStatus(app *kingpin.Application) {
	status := app.Command("status", "Show the replicas, the version accepted and in force, instances that lag, evacuated failure domains, and orders to targets.")
	t.addReplicaFlags(status)
	stale := status.Flag("stale", "Accept the view of any replica, for when there is no leader.").Bool()
	status.Action(func(*kingpin.ParseContext) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		defer c.close()
		answer := &wire.StatusResponse{}
		if err := c.callAny("Control.Status", &wire.StatusRequest{Linearizable: !*stale}, answer); err != nil {
			return err
		}
		rep := newStatusReport(answer)
		return t.print(rep, rep.text)
	})

	history := app.Command("history", "List accepted changes with their operators.")
	t.addReplicaFlags(history)
	from := history.Flag("after", "List changes after this version.").Uint64()
	staleHistory := history.Flag("stale", "Accept the list of any replica, for when there is no leader.").Bool()
	history.Action(func(*kingpin.ParseContext) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		defer c.close()
		answer := &wire.HistoryResponse{}
		if err := c.callAny("Control.History", &wire.HistoryRequest{FromVersion: *from, Linearizable: !*staleHistory}, answer); err != nil {
			return err
		}
		return t.printHistory(answer)
	})

	exceptions := app.Command("exceptions", "List the exceptions of declarations with their reasons.")
	files := exceptions.Arg("file", "Files of the declarations.").Required().Strings()
	exceptions.Action(func(*kingpin.ParseContext) error {
		set, err := declaration.Load(*files)
		if err != nil {
			return err
		}
		type exception struct {
			Section string `json:"section"`
			Key     string `json:"key"`
			Value   string `json:"value"`
			Reason  string `json:"reason"`
		}
		list := []exception{}
		for _, e := range set.Exceptions() {
			list = append(list, exception{e.Section(), e.Key(), e.Value(), e.Reason()})
		}
		return t.print(list, func(w writer) {
			for _, e := range list {
				writeLine(w, "[%s] %s = %s: %s", e.Section, e.Key, e.Value, e.Reason)
			}
		})
	})
}

// statusReport is the output of the command status.
type statusReport struct {
	Leader    string           `json:"leader"`
	Term      uint64           `json:"term"`
	Accepted  uint64           `json:"accepted-version"`
	InForce   uint64           `json:"in-force-version"`
	Current   bool             `json:"current"`
	Replicas  []replicaReport  `json:"replicas"`
	Instances []instanceReport `json:"instances"`
	Orders    []orderReport    `json:"orders"`
	Evacuated []domainReport   `json:"evacuated-domains"`
}

type replicaReport struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Role    string `json:"role"`
	Match   uint64 `json:"match-index"`
}

type instanceReport struct {
	Name    string `json:"name"`
	Domain  string `json:"failure-domain"`
	Version uint64 `json:"version"`
	LagMs   int64  `json:"lag-ms"`
	SeenMs  int64  `json:"seen-ms-ago"`
	Lacks   bool   `json:"lacks-targets"`
}

type orderReport struct {
	Target string `json:"target"`
	Order  string `json:"order"`
	Fence  uint64 `json:"fence"`
	Issuer string `json:"issuer"`
}

func newStatusReport(s *wire.StatusResponse) *statusReport {
	out := &statusReport{
		Leader: s.GetLeader(), Term: s.GetTerm(), Accepted: s.GetVersion(), InForce: s.GetInForce(), Current: s.GetCurrent(),
		Replicas: []replicaReport{}, Instances: []instanceReport{}, Orders: []orderReport{}, Evacuated: evacuatedDomains(s),
	}
	for _, r := range s.GetReplicas() {
		role := "voter"
		switch {
		case r.GetLeader():
			role = "leader"
		case r.GetReplica().GetLearner():
			role = "learner"
		}
		out.Replicas = append(out.Replicas, replicaReport{
			r.GetReplica().GetId(), r.GetReplica().GetName(), r.GetReplica().GetAddress(), role, r.GetMatchIndex(),
		})
	}
	for _, i := range s.GetInstances() {
		out.Instances = append(out.Instances, instanceReport{i.GetName(), i.GetFailureDomain(), i.GetVersion(), i.GetLagMs(), i.GetSeenMsAgo(), i.GetLacksTargets()})
	}
	for _, o := range s.GetOrders() {
		if control.DomainOf(o) != "" {
			continue // a replica of an earlier build lists orders for failure domains too
		}
		out.Orders = append(out.Orders, orderReport{o.GetTarget(), o.GetState(), o.GetFence(), o.GetIssuer()})
	}
	return out
}

func (s *statusReport) text(w writer) {
	writeLine(w, "term %d, version accepted %d, in force everywhere %d, view is current: %v", s.Term, s.Accepted, s.InForce, s.Current)
	for _, r := range s.Replicas {
		writeLine(w, "replica  %-14s %-8s %-21s at record %d  (%s)", r.Name, r.Role, r.Address, r.Match, r.ID)
	}
	for _, i := range s.Instances {
		lag := ""
		if i.LagMs > 0 {
			lag = ", behind for " + (time.Duration(i.LagMs) * time.Millisecond).String()
		}
		lacks := ""
		if i.Lacks {
			lacks = ", lacks targets"
		}
		writeLine(w, "instance %-14s %-14s version %d%s, seen %d ms ago%s", i.Name, i.Domain, i.Version, lag, i.SeenMs, lacks)
	}
	for _, d := range s.Evacuated {
		d.text(w)
	}
	for _, o := range s.Orders {
		writeLine(w, "order    %-14s %s, fence %d, by %s", o.Target, o.Order, o.Fence, o.Issuer)
	}
}

// historyReport is one line of the command history.
type historyReport struct {
	Version  uint64   `json:"version"`
	Identity string   `json:"identity"`
	Operator string   `json:"operator"`
	Note     string   `json:"note,omitempty"`
	Accepted string   `json:"accepted"`
	Sections []string `json:"sections"`
}

func (t *tool) printHistory(h *wire.HistoryResponse) error {
	list := []historyReport{}
	for _, i := range h.GetItems() {
		list = append(list, historyReport{
			i.GetVersion(), i.GetIdentity(), i.GetOperator(), i.GetNote(),
			time.UnixMilli(i.GetAcceptedUnixMs()).UTC().Format(time.RFC3339), i.GetSections(),
		})
	}
	return t.print(list, func(w writer) {
		for _, i := range list {
			writeLine(w, "%6d  %s  %-16s %s  %d sections  %s", i.Version, i.Accepted, i.Operator, i.Identity, len(i.Sections), i.Note)
		}
	})
}
