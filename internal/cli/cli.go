// Package cli is the command line of vanillaward.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/pkg/finding"
)

// Exit codes.
const (
	// ExitOK means that the command did what it was asked.
	ExitOK = 0
	// ExitFailed means that it failed for a reason that no other code names.
	ExitFailed = 1
	// ExitFindings means that input has findings; nothing was changed.
	ExitFindings = 2
	// ExitConflict means that another change won.
	ExitConflict = 3
	// ExitUnreachable means that no replica could answer.
	ExitUnreachable = 4
	// ExitBroken means that a trace breaks a promise.
	ExitBroken = 5
)

const exitHelp = `Exit codes: 0 done; 1 failed; 2 input has findings, nothing was changed; 3 another change won; 4 no replica could answer; 5 a trace breaks a promise.`

// exitError is an error with the exit code that it means.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// tool holds what the commands share.
type tool struct {
	out     io.Writer
	output  string
	reached reachFlags
}

// reachFlags tell how to reach the replicas.
type reachFlags struct {
	replicas    string
	credentials string
	timeout     time.Duration
}

// Run executes the command line and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	t := &tool{out: out}
	app := kingpin.New("vanillaward", "Serves text generations of unknown length on engines that are often full.\n\n"+exitHelp)
	app.UsageWriter(errOut).ErrorWriter(errOut)
	code := -1
	app.Terminate(func(c int) { code = c })
	app.Flag("output", "Format of the output: text, or json for programs.").Default("text").EnumVar(&t.output, "text", "json")
	t.addRun(app)
	t.addCheck(app)
	t.addChanges(app)
	t.addStatus(app)
	t.addReplica(app)
	t.addCertificates(app)
	t.addReplay(app)
	t.addExplain(app)
	t.addExperiment(app)
	_, err := app.Parse(args)
	if code >= 0 {
		return code // help was shown
	}
	if err != nil {
		return report(errOut, err)
	}
	return ExitOK
}

func report(w io.Writer, err error) int {
	_, _ = fmt.Fprintln(w, "vanillaward: "+err.Error()) // there is nowhere else to report it
	var coded *exitError
	var found *finding.Error
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &found):
		return ExitFindings
	}
	return ExitFailed
}

// reach adds the flags by which a command finds the replicas.
func (t *tool) reach(c *kingpin.CmdClause) {
	c.Flag("replicas", "Control replicas as name@ip:port, separated by commas.").Envar("VANILLAWARD_REPLICAS").Required().StringVar(&t.reached.replicas)
	c.Flag("credentials", "Folder with the operator's certificate, key and authority.").Envar("VANILLAWARD_CREDENTIALS").Required().StringVar(&t.reached.credentials)
	c.Flag("timeout", "How long to try.").Default("10s").DurationVar(&t.reached.timeout)
}

func (t *tool) client() (*client, error) {
	peers, err := parsePeers(t.reached.replicas)
	if err != nil {
		return nil, err
	}
	creds, err := peer.LoadCredentials(t.reached.credentials)
	if err != nil {
		return nil, err
	}
	return newClient(peers, creds, t.reached.timeout), nil
}

// parsePeers reads "name@ip:port" separated by commas.
func parsePeers(text string) ([]inifile.Peer, error) {
	var holder struct {
		Peers []inifile.Peer `ini:"replicas"`
	}
	section := inifile.NewSection("--replicas", "replicas", "", 0).With("replicas", text, 0)
	found := inifile.Decode(section, &holder)
	return holder.Peers, found.Err()
}

// print writes a value as JSON, or as the given text.
func (t *tool) print(value any, text func(io.Writer)) error {
	if t.output == "json" {
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	var b strings.Builder
	text(&b)
	_, err := io.WriteString(t.out, b.String())
	return err
}

// line writes one line to a text that is being built.
func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...) // a string builder does not fail
}

// signals returns a context that ends at a second signal, and a channel that is
// closed at the first.
func signals() (context.Context, context.CancelFunc, <-chan struct{}) {
	first, stopFirst := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	hard, cancel := context.WithCancel(context.Background())
	go func() {
		<-first.Done()
		stopFirst()
		second, stopSecond := signal.NotifyContext(hard, syscall.SIGTERM, syscall.SIGINT)
		defer stopSecond()
		<-second.Done()
		cancel()
	}()
	return hard, cancel, first.Done()
}
