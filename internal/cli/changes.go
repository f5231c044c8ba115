package cli

import (
	"io"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/idempotency"
	"github.com/vanillaward/vanillaward/internal/wire"
)

type writer = io.Writer

// changePlan is the difference between the declaration files and the configuration in force.
type changePlan struct {
	Version uint64     `json:"version"`
	Edits   []planEdit `json:"edits"`

	wire []*wire.SectionEdit
}

type planEdit struct {
	Section string `json:"section"`
	Action  string `json:"action"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
}

func (t *tool) addChanges(app *kingpin.Application) {
	plan := app.Command("plan", "Show what applying the declarations would change. Changes nothing.")
	t.addReplicaFlags(plan)
	planFiles := plan.Arg("file", "Files of the declarations.").Required().Strings()
	plan.Action(func(*kingpin.ParseContext) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		defer c.close()
		p, err := makePlan(c, *planFiles)
		if err != nil {
			return err
		}
		return t.print(p, p.text)
	})

	apply := app.Command("apply", "Apply the declarations as one change. It is accepted completely or not at all, and only if the version is still the expected one.")
	t.addReplicaFlags(apply)
	expected := apply.Flag("expected-version", "Version that the change is based on, as plan shows it. The current version when absent.").Default("-1").Int64()
	identity := apply.Flag("identity", "Identity of the change, such as a commit. A resend under the same identity gets the first answer. Random when absent.").String()
	note := apply.Flag("note", "Note for the history.").String()
	applyFiles := apply.Arg("file", "Files of the declarations.").Required().Strings()
	apply.Action(func(*kingpin.ParseContext) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		defer c.close()
		return t.apply(c, *applyFiles, *expected, *identity, *note)
	})
}

func makePlan(c *client, files []string) (*changePlan, error) {
	set, err := declaration.Load(files)
	if err != nil {
		return nil, err
	}
	current, err := currentVersion(c)
	if err != nil {
		return nil, err
	}
	from := map[string]string{}
	config.ApplyEdits(from, current.GetSections())
	p := &changePlan{Version: current.GetVersion(), Edits: []planEdit{}, wire: config.DiffSections(from, set.Texts())}
	for _, e := range p.wire {
		edit := planEdit{Section: e.GetId(), Action: "change", From: from[e.GetId()], To: e.GetText()}
		switch {
		case edit.From == "":
			edit.Action = "add"
		case edit.To == "":
			edit.Action = "remove"
		}
		p.Edits = append(p.Edits, edit)
	}
	return p, nil
}

// currentVersion returns the sections of the leader's latest version. It polls
// until a replica that answers has caught up with that version, or until the
// client's timeout.
func currentVersion(c *client) (*wire.WatchResponse, error) {
	status := &wire.StatusResponse{}
	if err := c.callAny("Control.Status", &wire.StatusRequest{Linearizable: true}, status); err != nil {
		return nil, err
	}
	current := &wire.WatchResponse{}
	if status.GetVersion() == 0 {
		return current, nil
	}
	for deadline := time.Now().Add(c.timeout); ; time.Sleep(retryInterval) {
		current.Reset()
		if err := c.callAny("Control.Watch", &wire.WatchRequest{WaitMs: 1}, current); err != nil {
			return nil, err
		}
		if current.GetVersion() >= status.GetVersion() {
			return current, nil
		}
		if time.Now().After(deadline) {
			return nil, &exitError{ExitUnreachable, errors.New("no replica that answers has the latest version")}
		}
	}
}

func (p *changePlan) text(w writer) {
	writeLine(w, "version in force: %d", p.Version)
	if len(p.Edits) == 0 {
		writeLine(w, "no changes")
	}
	for _, e := range p.Edits {
		writeLine(w, "%-6s [%s]", e.Action, e.Section)
		if e.Action == "change" {
			printLineDiff(w, e.From, e.To)
		}
	}
}

// printLineDiff prints the lines that are in only one of two versions of a section.
func printLineDiff(w writer, from, to string) {
	oldLines, newLines := strings.Split(from, "\n"), strings.Split(to, "\n")
	for _, l := range linesNotIn(oldLines, newLines) {
		writeLine(w, "    - %s", l)
	}
	for _, l := range linesNotIn(newLines, oldLines) {
		writeLine(w, "    + %s", l)
	}
}

func linesNotIn(lines, others []string) []string {
	var out []string
	for _, l := range lines {
		if !slices.Contains(others, l) {
			out = append(out, l)
		}
	}
	return out
}

// changeReport is the output of the command apply: the result of a change.
type changeReport struct {
	Identity string   `json:"identity"`
	Status   string   `json:"status"`
	Version  uint64   `json:"version"`
	Winner   string   `json:"winner,omitempty"`
	Operator string   `json:"winner-operator,omitempty"`
	Findings []string `json:"findings,omitempty"`
}

var statusNames = map[wire.ChangeStatus]string{
	wire.ChangeStatus_CHANGE_STATUS_ACCEPTED:        "accepted",
	wire.ChangeStatus_CHANGE_STATUS_CONFLICT:        "conflict",
	wire.ChangeStatus_CHANGE_STATUS_IDENTITY_REUSED: "identity-reused",
	wire.ChangeStatus_CHANGE_STATUS_INVALID:         "invalid",
}

func (t *tool) apply(c *client, files []string, expected int64, identity, note string) error {
	p, err := makePlan(c, files)
	if err != nil {
		return err
	}
	if expected < 0 {
		expected = int64(p.Version)
	}
	if identity == "" {
		identity = idempotency.NewIdentity()
	}
	change := &wire.Change{Identity: identity, ExpectedVersion: uint64(expected), Note: note, Edits: p.wire}
	result := &wire.ChangeResult{}
	if err := c.callAny("Control.Apply", change, result); err != nil {
		return errors.Wrapf(err, "the outcome of change %s is not known; apply it again under the same --identity", identity)
	}
	report := changeReport{
		Identity: identity, Status: statusNames[result.GetStatus()], Version: result.GetVersion(),
		Winner: result.GetWinner(), Operator: result.GetWinnerOperator(), Findings: result.GetFindings(),
	}
	if err := t.print(report, report.text); err != nil {
		return err
	}
	switch result.GetStatus() {
	case wire.ChangeStatus_CHANGE_STATUS_ACCEPTED:
		return nil
	case wire.ChangeStatus_CHANGE_STATUS_CONFLICT:
		return &exitError{ExitConflict, errors.Errorf("change %s of %s won; plan again", report.Winner, report.Operator)}
	}
	return &exitError{ExitFindings, errors.New("the change was not accepted: " + report.Status)}
}

func (r changeReport) text(w writer) {
	writeLine(w, "change %s: %s, version %d", r.Identity, r.Status, r.Version)
	for _, f := range r.Findings {
		writeLine(w, "%s", f)
	}
}
