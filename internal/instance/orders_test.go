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

// TestRollout changes the version of a model while streams run: the targets are
// emptied one after the other, and no request is cut. The leader dies on the way.
func TestRollout(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 3})
	answers := make(chan answer, 6)
	d.faultAll(standin.Faults{Frozen: true}) // none ends before all have begun
	for i := range cap(answers) {
		go func() {
			answers <- d.send("a-1", http.MethodPost, "/v1/completions", streamRequest(fmt.Sprintf("%d [tokens=400]", i), 1), nil)
		}()
	}
	d.await("streams run", func() bool { return d.host.Running() == cap(answers) })
	d.faultAll(standin.Faults{})
	rolled := strings.ReplaceAll(d.declarations(""), "model = m\n[", "model = m\nmodel-version = 2\n[")
	require.NoError(t, os.WriteFile(d.file("declarations.ini"), []byte(rolled), 0o600))
	require.Equal(t, cli.ExitOK, d.apply("roll"))
	d.await("the first order is given", func() bool { return strings.Contains(d.statusText(), "order ") })
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
			if v := d.host.Engine(fmt.Sprintf("engine-%d", i+1)).Version(); v != "2" {
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
	_, out := d.output("status")
	return out
}

// leader returns the name of the leading replica.
func (d *deployment) leader() string {
	_, out := d.output("--output", "json", "status")
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

// TestOldFence: a target that checks fencing numbers refuses an order of an
// earlier issuer.
func TestOldFence(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 1})
	order := func(fence int) int {
		r, err := http.Post("http://"+d.network+".100:9000/orders", "application/json", //nolint:noctx // a stand-in
			strings.NewReader(fmt.Sprintf(`{"fence":%d,"kind":"role","role":"serve"}`, fence)))
		require.NoError(t, err)
		defer func() { _ = r.Body.Close() }()
		return r.StatusCode
	}
	require.Equal(t, http.StatusAccepted, order(50))
	require.Equal(t, http.StatusConflict, order(50))
	require.Equal(t, http.StatusConflict, order(49))
	require.Equal(t, http.StatusAccepted, order(51))
}
