package instance_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/cli"
)

type statusOutput struct {
	Term      uint64 `json:"term"`
	Accepted  uint64 `json:"accepted-version"`
	InForce   uint64 `json:"in-force-version"`
	Instances []struct {
		Name    string `json:"name"`
		Version uint64 `json:"version"`
	} `json:"instances"`
}

func (d *deployment) status() statusOutput {
	code, out := d.runOperatorOutput("--output", "json", "status")
	var s statusOutput
	if code == cli.ExitOK {
		require.NoError(d.t, json.Unmarshal([]byte(out), &s), out)
	}
	return s
}

func (d *deployment) writeChange(n int) {
	exceptionSection := fmt.Sprintf("[exception e%d]\nsection = target engine-1\nkey = batch-cap\nvalue = %d\nreason = test\n", n%3, 10+n)
	require.NoError(d.t, os.WriteFile(d.file("declarations.ini"), []byte(d.declarations(exceptionSection)), 0o600))
}

// TestConfiguration checks that changes reach every instance, that they survive
// restarts of all replicas, that one of several concurrent changes is accepted, and
// that the instances of a failure domain without contact to the replicas pass the
// configuration on to each other.
func TestConfiguration(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 3, "b": 2})
	const changes = 5
	for n := range changes {
		d.writeChange(n)
		require.Equal(t, cli.ExitOK, d.apply(fmt.Sprint("change-", n)))
	}
	d.await("the changes are in force at every instance", func() bool {
		s := d.status()
		return s.InForce == changes+1 && len(s.Instances) == len(d.names)
	})

	t.Run("a resend gets the first answer after all replicas restarted", func(t *testing.T) {
		for _, name := range []string{"a-1", "a-2", "a-3"} {
			d.crash(name)
			d.start(name)
		}
		for _, name := range []string{"a-1", "a-2", "a-3"} {
			d.awaitServing(name)
		}
		// The plan is empty now, so its content differs from that of change-4. The
		// command reports an error and makes no new change.
		require.Equal(t, cli.ExitFindings, d.runOperator("apply", "--identity", "change-4", d.file("declarations.ini")))
		require.EqualValues(t, changes+1, d.status().Accepted)
	})

	t.Run("one of several concurrent changes is accepted", func(t *testing.T) {
		d.writeChange(90)
		codes := make([]int, 4)
		var wg sync.WaitGroup
		for i := range codes {
			wg.Go(func() {
				codes[i] = d.runOperator("apply", "--expected-version", fmt.Sprint(changes+1), "--identity", fmt.Sprint("race-", i), d.file("declarations.ini"))
			})
		}
		wg.Wait()
		accepted := 0
		for _, code := range codes {
			if code == cli.ExitOK {
				accepted++
				continue
			}
			require.Equal(t, cli.ExitConflict, code)
		}
		require.Equal(t, 1, accepted)
	})

	t.Run("an isolated failure domain passes its version on", func(t *testing.T) {
		d.await("the accepted change is in force", func() bool { return d.status().InForce == changes+2 })
		for _, name := range []string{"a-1", "a-2", "a-3"} {
			d.crash(name)
		}
		d.crash("b-1")
		d.start("b-1")
		d.awaitServing("b-1")
		require.Equal(t, fmt.Sprint(changes+2), d.metric("b-1", "vanillaward_configuration_version"))
	})
}

// TestChangeWithFindingsRejected checks that a change with findings is rejected
// and that no part of it is applied.
func TestChangeWithFindingsRejected(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 1})
	broken := strings.Replace(d.declarations(""), "default-class = live", "default-class = none", 1)
	require.NoError(t, os.WriteFile(d.file("declarations.ini"), []byte(broken), 0o600))
	require.Equal(t, cli.ExitFindings, d.apply("broken"))
	keepers := strings.Replace(d.declarations(""), "keepers = a-1@", "keepers = a-9@", 1)
	require.NoError(t, os.WriteFile(d.file("declarations.ini"), []byte(keepers), 0o600))
	require.Equal(t, cli.ExitFindings, d.apply("keepers"), "a different set of keepers needs a new epoch")
	require.EqualValues(t, 1, d.status().Accepted)
}

// TestReplaceReplica deletes the data of one replica, replaces the replica, and
// crashes another one as soon as the new replica votes. No accepted change may be
// lost.
func TestReplaceReplica(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 3})
	d.writeChange(1)
	require.Equal(t, cli.ExitOK, d.apply("before"))
	d.crash("a-3")
	require.NoError(t, os.RemoveAll(d.file("data-a-3")))
	d.start("a-3")
	d.awaitServing("a-3")
	d.await("replaced", func() bool { return d.runOperator("replica", "replace", "a-3") == cli.ExitOK })
	d.await("the new replica votes", func() bool {
		_, out := d.runOperatorOutput("status")
		return !strings.Contains(out, "learner") && strings.Count(out, "replica ") == 3
	})
	d.crash("a-1")
	d.writeChange(2)
	d.await("accepted by the remaining two", func() bool { return d.apply("after") == cli.ExitOK })
	_, history := d.runOperatorOutput("history")
	for _, identity := range []string{"first", "before", "after"} {
		require.Contains(t, history, identity)
	}
}
