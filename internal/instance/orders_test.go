package instance_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/cli"
	"github.com/vanillaward/vanillaward/internal/standin"
)

// TestRollout changes the version of a model while streams run. The targets are
// drained one after the other, and no request may be interrupted, although the
// leader crashes during the rollout.
func TestRollout(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 3})
	answers := make(chan answer, 6)
	d.injectEngineFaults(standin.Faults{Frozen: true}) // no stream ends before all have begun
	for i := range cap(answers) {
		go func() {
			answers <- d.send("a-1", http.MethodPost, "/v1/completions", streamRequest(fmt.Sprintf("%d [tokens=400]", i), 1), nil)
		}()
	}
	d.await("streams run", func() bool { return d.host.OpenGenerations() == cap(answers) })
	d.injectEngineFaults(standin.Faults{})
	updated := strings.ReplaceAll(d.declarations(""), "model = m\n[", "model = m\nmodel-version = 2\n[")
	require.NoError(t, os.WriteFile(d.file("declarations.ini"), []byte(updated), 0o600))
	require.Equal(t, cli.ExitOK, d.apply("roll"))
	d.await("the first order is issued", func() bool { return strings.Contains(d.statusText(), "order ") })
	for _, name := range []string{"a-2", "a-3"} { // a-1 carries the streams
		if d.leader() == name {
			d.crash(name)
			d.start(name)
		}
	}
	for range cap(answers) {
		a := <-answers
		require.NoError(t, a.err)
		require.Equal(t, "complete", a.outcome(), tail(a.body))
	}
	d.await("all targets have the new version", func() bool {
		for i := range 3 {
			if v := d.host.Engine(fmt.Sprintf("engine-%d", i+1)).ModelVersion(); v != "2" {
				return false
			}
		}
		return true
	})
	d.await("the new version serves", func() bool {
		return d.send("a-1", http.MethodPost, "/v1/completions", streamRequest("after [tokens=3]", 1), nil).outcome() == "complete"
	})
	d.checkTraces()
}

func (d *deployment) statusText() string {
	_, out := d.runOperatorOutput("status")
	return out
}

// leader returns the name of the leading replica.
func (d *deployment) leader() string {
	_, out := d.runOperatorOutput("--output", "json", "status")
	var s struct {
		Replicas []struct {
			Name string `json:"name"`
			Role string `json:"role"`
		} `json:"replicas"`
	}
	if json.Unmarshal([]byte(out), &s) != nil {
		return ""
	}
	for _, r := range s.Replicas {
		if r.Role == "leader" {
			return r.Name
		}
	}
	return ""
}

// TestStaleFencingNumber checks that a target with fencing refuses an order whose
// number is not above the last one, such as an order of a previous issuer.
func TestStaleFencingNumber(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 1})
	postOrder := func(fence int) int {
		r, err := http.Post("http://"+d.network+"100:9000/orders", "application/json", //nolint:noctx // a stand-in
			strings.NewReader(fmt.Sprintf(`{"fence":%d,"kind":"role","role":"serve"}`, fence)))
		require.NoError(t, err)
		defer func() { _ = r.Body.Close() }()
		return r.StatusCode
	}
	require.Equal(t, http.StatusAccepted, postOrder(50))
	require.Equal(t, http.StatusConflict, postOrder(50))
	require.Equal(t, http.StatusConflict, postOrder(49))
	require.Equal(t, http.StatusAccepted, postOrder(51))
}
