package cli

import (
	"os/user"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/wire"
)

func (t *tool) addDomain(app *kingpin.Application) {
	group := app.Command("domain", "Show and change which failure domains are evacuated.")

	out := group.Command("out", "Evacuate a failure domain: its targets get no requests and no copies. Requests in progress there end by themselves.")
	t.addReplicaFlags(out)
	outName := out.Arg("name", "Name of the failure domain.").Required().String()
	note := out.Flag("note", "Why the failure domain is evacuated.").Required().String()
	out.Action(func(*kingpin.ParseContext) error {
		return t.withClient(func(c *client) error { return t.orderDomain(c, *outName, true, *note) })
	})

	in := group.Command("in", "Restore an evacuated failure domain.")
	t.addReplicaFlags(in)
	inName := in.Arg("name", "Name of the failure domain.").Required().String()
	in.Action(func(*kingpin.ParseContext) error {
		return t.withClient(func(c *client) error { return t.orderDomain(c, *inName, false, "") })
	})

	list := group.Command("list", "List the evacuated failure domains: who evacuated them, when and why.")
	t.addReplicaFlags(list)
	stale := list.Flag("stale", "Accept the view of any replica, for when there is no leader.").Bool()
	list.Action(func(*kingpin.ParseContext) error {
		return t.withClient(func(c *client) error { return t.listDomains(c, *stale) })
	})
}

// orderDomain has an order for a failure domain committed. The replicas replace the issuer by the name in the
// operator's certificate, if there is one.
func (t *tool) orderDomain(c *client, name string, evacuate bool, note string) error {
	if err := control.CheckDomain(name); err != nil {
		return &exitError{ExitFindings, err}
	}
	result := &wire.DomainOrderResult{}
	if err := c.callAny("Control.OrderDomain", control.NewDomainOrder(name, evacuate, userName(), note), result); err != nil {
		return errors.Wrap(err, "the order may or may not be in force; give it again")
	}
	if result.GetTooMany() {
		return &exitError{ExitFindings, errors.New("too many failure domains are evacuated; nothing was changed")}
	}
	report := struct {
		Domain    string `json:"failure-domain"`
		Evacuated bool   `json:"evacuated"`
		Index     uint64 `json:"index"`
	}{name, evacuate, result.GetIndex()}
	state := "in use"
	if evacuate {
		state = "evacuated"
	}
	return t.print(report, func(w writer) { writeLine(w, "failure domain %s is %s, as of record %d", name, state, report.Index) })
}

// userName returns the name of the user who runs the command.
func userName() string {
	current, err := user.Current()
	if err != nil {
		return "operator"
	}
	return current.Username
}

func (t *tool) listDomains(c *client, stale bool) error {
	answer := &wire.StatusResponse{}
	if err := c.callAny("Control.Status", &wire.StatusRequest{Linearizable: !stale}, answer); err != nil {
		return err
	}
	list := evacuatedDomains(answer)
	return t.print(list, func(w writer) {
		for _, d := range list {
			d.text(w)
		}
	})
}

// domainReport is an evacuated failure domain in the output of commands.
type domainReport struct {
	Domain string `json:"failure-domain"`
	Issuer string `json:"issuer"`
	Since  string `json:"since,omitempty"`
	Note   string `json:"note,omitempty"`
	Index  uint64 `json:"index"`
}

// evacuatedDomains returns the evacuated failure domains of an answer, sorted by name.
func evacuatedDomains(s *wire.StatusResponse) []domainReport {
	out := []domainReport{}
	for _, o := range slices.Concat(s.GetEvacuated(), s.GetOrders()) { // a replica of an earlier build has them among the orders
		domain := control.DomainOf(o)
		if domain == "" || !control.Evacuates(o) {
			continue
		}
		d := domainReport{Domain: domain, Issuer: o.GetIssuer(), Note: o.GetNote(), Index: o.GetFence()}
		if at := o.GetIssuedUnixMs(); at != 0 {
			d.Since = time.UnixMilli(at).UTC().Format(time.RFC3339)
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b domainReport) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}

func (d domainReport) text(w writer) {
	since := d.Since
	if since == "" {
		since = "unknown"
	}
	writeLine(w, "domain   %-14s evacuated since %s, by %s, as of record %d  %s", d.Domain, since, d.Issuer, d.Index, d.Note)
}
