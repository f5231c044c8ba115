// Package cli implements the command line of vanillaward.
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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed for a reason without a code of its own.
	ExitFailed = 1
	// ExitFindings means that the input is invalid; nothing was changed.
	ExitFindings = 2
	// ExitConflict means that another change was accepted first.
	ExitConflict = 3
	// ExitUnreachable means that no replica could answer.
	ExitUnreachable = 4
	// ExitBroken means that a trace violates a guarantee of the system.
	ExitBroken = 5
)

const exitHelp = `Exit codes: 0 done; 1 failed; 2 input has findings, nothing was changed; 3 another change won; 4 no replica could answer; 5 a trace breaks a promise.`

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// tool holds the output and the options that the commands share.
type tool struct {
	out    io.Writer
	output string
	flags  replicaFlags
}

// replicaFlags are the options for connections to the replicas.
type replicaFlags struct {
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
	t.addDomain(app)
	t.addCertificates(app)
	t.addReplay(app)
	t.addExplain(app)
	t.addWhere(app)
	t.addExperiment(app)
	t.addExperimentStale(app)
	_, err := app.Parse(args)
	if code >= 0 {
		return code // help was shown
	}
	if err != nil {
		return reportError(errOut, err)
	}
	return ExitOK
}

func reportError(w io.Writer, err error) int {
	_, _ = fmt.Fprintln(w, "vanillaward: "+err.Error()) // a failed write to the error output cannot be reported
	var exitErr *exitError
	var findingErr *finding.Error
	switch {
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &findingErr):
		return ExitFindings
	}
	return ExitFailed
}

// addReplicaFlags adds the flags for connections to the replicas to a command.
func (t *tool) addReplicaFlags(c *kingpin.CmdClause) {
	c.Flag("replicas", "Control replicas as name@ip:port, separated by commas.").Envar("VANILLAWARD_REPLICAS").Required().StringVar(&t.flags.replicas)
	c.Flag("credentials", "Folder with the operator's certificate, key and authority. Empty: the deployment has no credentials.").Envar("VANILLAWARD_CREDENTIALS").StringVar(&t.flags.credentials)
	c.Flag("timeout", "How long to try until a replica answers.").Default("10s").DurationVar(&t.flags.timeout)
}

func (t *tool) client() (*client, error) {
	peers, err := parsePeers(t.flags.replicas)
	if err != nil {
		return nil, err
	}
	creds := peer.PlainCredentials()
	if t.flags.credentials != "" {
		if creds, err = peer.LoadCredentials(t.flags.credentials); err != nil {
			return nil, err
		}
	}
	return newClient(peers, creds, t.flags.timeout), nil
}

// parsePeers parses a list of "name@ip:port" separated by commas.
func parsePeers(text string) ([]inifile.Peer, error) {
	var decoded struct {
		Peers []inifile.Peer `ini:"replicas"`
	}
	section := inifile.NewSection("--replicas", "replicas", "", 0).With("replicas", text, 0)
	findings := inifile.Decode(section, &decoded)
	return decoded.Peers, findings.Err()
}

// print writes a value as JSON, or the output of text, depending on --output.
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

// writeLine writes a formatted line to a string builder.
func writeLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...) // writes to a string builder do not fail
}

// shutdownSignals returns a context that is cancelled at the second SIGTERM or SIGINT, and a
// channel that is closed at the first.
func shutdownSignals() (context.Context, context.CancelFunc, <-chan struct{}) {
	first, stopFirst := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-first.Done()
		stopFirst()
		second, stopSecond := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stopSecond()
		<-second.Done()
		cancel()
	}()
	return ctx, cancel, first.Done()
}
