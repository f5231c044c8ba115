package orders_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/engineapi"
	"github.com/vanillaward/vanillaward/internal/orders"
)

const declarations = `[failure-domain d]
keepers = k@127.0.0.1:1
[class c]
idempotent = true
[service s]
kind = generation
model = new
default-class = c
[target t]
kind = engine
failure-domain = d
address = 127.0.0.1:9000
model = new
model-version = 2
`

func target(t *testing.T) *declaration.Target {
	t.Helper()
	sections, findings := declaration.Parse("test", []byte(declarations))
	require.NoError(t, findings.Err())
	set, findings := declaration.Build(1, sections, nil)
	require.NoError(t, findings.Err())
	v, ok := set.Target("t")
	require.True(t, ok)
	return v
}

// TestNext checks each step of a target from its old model to the declared one. Each
// order depends on the target's report alone, so that an issuer can resume at any step.
func TestNext(t *testing.T) {
	old := engineapi.Load{Model: "old", ModelVersion: "1", Role: "serve", Running: 3}
	cases := []struct {
		name    string
		state   engineapi.Load
		mayLoad bool
		want    orders.Kind
		role    string
	}{
		{"serving the old model: set to standby first", old, true, orders.SetRole, "standby"},
		{"requests still running: wait, so that none is interrupted", engineapi.Load{Model: "old", ModelVersion: "1", Role: "standby", Running: 1}, true, orders.Wait, ""},
		{"requests still queued: wait", engineapi.Load{Model: "old", ModelVersion: "1", Role: "standby", Waiting: 1}, true, orders.Wait, ""},
		{"no requests, but another load is running: wait", engineapi.Load{Model: "old", ModelVersion: "1", Role: "standby"}, false, orders.Wait, ""},
		{"no requests: load", engineapi.Load{Model: "old", ModelVersion: "1", Role: "standby"}, true, orders.Load, ""},
		{"loading", engineapi.Load{Role: "standby"}, true, orders.Wait, ""},
		{"loaded: serve", engineapi.Load{Model: "new", ModelVersion: "2", Role: "standby"}, true, orders.SetRole, "serve"},
		{"as declared: no order", engineapi.Load{Model: "new", ModelVersion: "2", Role: "serve", Running: 9}, true, orders.None, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			order := orders.Next(target(t), &c.state, c.mayLoad)
			require.Equal(t, c.want, order.Kind)
			require.Equal(t, c.role, order.Role)
		})
	}
}
