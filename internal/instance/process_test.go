package instance_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/cli"
	"github.com/vanillaward/vanillaward/internal/standin"
)

// buildBinary builds the program for tests that send signals to processes and
// returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "vanillaward")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/vanillaward").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

func (d *deployment) startProcess(r *testInstance) {
	d.t.Helper()
	file := d.file(r.name + ".ini")
	require.NoError(d.t, os.WriteFile(file, []byte(d.settings(r)), 0o600))
	command := exec.Command(d.binary, "run", "--settings", file) //nolint:gosec // the test's own build
	log, err := os.OpenFile(d.file(r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(d.t, err)
	command.Stderr = log
	require.NoError(d.t, command.Start())
	r.process, r.done = command.Process, make(chan error, 1)
	r.kill = func() { _ = command.Process.Kill() } // the process may have ended
	go func() {
		err := command.Wait()
		var exit *exec.ExitError
		if err != nil && !asExitError(err, &exit) {
			r.done <- err
			return
		}
		_ = log.Close() // the log is only read by people
		r.done <- nil
	}()
}

func asExitError(err error, exit **exec.ExitError) bool {
	e, ok := err.(*exec.ExitError) //nolint:errorlint // Wait returns it unwrapped
	*exit = e
	return ok
}

func (d *deployment) signal(name string, s syscall.Signal) {
	d.t.Helper()
	require.NoError(d.t, d.instances[name].process.Signal(s))
}

// TestProcesses runs every instance as a separate process and sends SIGKILL, SIGSTOP,
// SIGCONT and SIGTERM to these processes.
func TestProcesses(t *testing.T) {
	d := newDeploymentWithBinary(t, map[string]int{"a": 3}, buildBinary(t))

	t.Run("SIGKILL of the leader: another replica leads, no accepted change is lost", func(t *testing.T) {
		d.writeChange(1)
		require.Equal(t, cli.ExitOK, d.apply("before-kill"))
		leader := d.leader()
		d.crash(leader)
		d.writeChange(2)
		d.await("accepted without the old leader", func() bool { return d.apply("after-kill") == cli.ExitOK })
		_, history := d.runOperatorOutput("history")
		require.Contains(t, history, "before-kill")
		require.Contains(t, history, "after-kill")
		d.start(leader)
		d.awaitReady(leader)
	})

	t.Run("a leader stopped for longer than its lease returns without an election", func(t *testing.T) {
		frozen := d.leader()
		d.signal(frozen, syscall.SIGSTOP)
		d.writeChange(3)
		d.await("accepted while it is frozen", func() bool { return d.apply("while-frozen") == cli.ExitOK })
		leader, term := d.leader(), d.term()
		require.NotEqual(t, frozen, leader)
		d.signal(frozen, syscall.SIGCONT)
		d.awaitReady(frozen)
		d.await("it has the changes accepted in the meantime", func() bool {
			return d.metric(frozen, "vanillaward_configuration_version") == fmt.Sprint(d.status().Accepted)
		})
		require.Equal(t, term, d.term(), "no election after its return")
	})

	t.Run("SIGKILL of an instance during a booking: a resend does not run it again", func(t *testing.T) {
		d.delayPlainService(700)
		first := make(chan answer, 1)
		go func() { first <- d.book("a-2", "killed", "key-kill") }()
		d.await("the booking runs", func() bool { return d.host.Plain("plain-1").Arrived("POST /slots killed") == 1 })
		d.crash("a-2")
		require.Error(t, (<-first).err)
		d.delayPlainService(0)
		for _, name := range []string{"a-1", "a-3"} {
			a := d.book(name, "killed", "key-kill")
			require.NoError(t, a.err)
			require.Equal(t, "unknown", a.outcome(), a.body)
		}
		require.Equal(t, 1, d.host.Plain("plain-1").Arrived("POST /slots killed"))
		d.start("a-2")
		d.awaitReady("a-2")
		require.Equal(t, "unknown", d.book("a-2", "killed", "key-kill").outcome())
	})

	t.Run("SIGSTOP of an instance during a booking: no resend runs it again, and its caller gets the complete answer", func(t *testing.T) {
		d.delayPlainService(700)
		first := make(chan answer, 1)
		go func() { first <- d.book("a-2", "frozen", "key-freeze") }()
		d.await("the booking runs", func() bool { return d.host.Plain("plain-1").Arrived("POST /slots frozen") == 1 })
		d.signal("a-2", syscall.SIGSTOP)
		for _, name := range []string{"a-1", "a-3"} {
			require.Equal(t, "unknown", d.book(name, "frozen", "key-freeze").outcome())
		}
		d.signal("a-2", syscall.SIGCONT)
		a := <-first
		require.NoError(t, a.err)
		require.Equal(t, "complete", a.outcome(), a.body)
		d.delayPlainService(0)
		d.await("the answer reaches resends", func() bool { return d.book("a-3", "frozen", "key-freeze").body == a.body })
		require.Equal(t, 1, d.host.Plain("plain-1").Arrived("POST /slots frozen"))
	})

	t.Run("SIGTERM interrupts no stream", func(t *testing.T) {
		got := make(chan answer, 1)
		go func() {
			got <- d.send("a-1", http.MethodPost, "/v1/completions", streamRequest("stop [tokens=400]", 3), nil)
		}()
		d.await("the stream runs", func() bool { return d.host.OpenGenerations() == 1 })
		d.shutdown("a-1")
		a := <-got
		require.NoError(t, a.err)
		require.Equal(t, "complete", a.outcome(), tail(a.body))
		require.Equal(t, expectedText("stop [tokens=400]", 3, 400), streamedText(t, a.body))
	})
}

// term returns the term of the log.
func (d *deployment) term() uint64 {
	return d.status().Term
}

// delayPlainService delays the answers of the plain service by a number of
// milliseconds.
func (d *deployment) delayPlainService(millis int) {
	d.injectFault("plain-1", standin.Faults{LateMillis: millis})
}
