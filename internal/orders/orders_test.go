package orders_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/engineapi"
	"github.com/vanillaward/vanillaward/internal/orders"
)

const declared = `[failure-domain d]
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
	sections, found := declaration.Parse("test", []byte(declared))
	require.NoError(t, found.Err())
	set, found := declaration.Build(1, sections, nil)
	require.NoError(t, found.Err())
	v, ok := set.Target("t")
	require.True(t, ok)
	return v
}

// TestNext follows a target from its old model to the declared one. Each order
// depends on the target's report alone, so an issuer that starts at any step goes
// on from there.
func TestNext(t *testing.T) {
	old := engineapi.Load{Model: "old", ModelVersion: "1", Role: "serve", Running: 3}
	cases := []struct {
		name  string
		state engineapi.Load
		load  bool
		want  orders.Kind
		role  string
	}{
		{"serving the old model: takes no new requests first", old, true, orders.SetRole, "standby"},
		{"requests still run: nothing is cut", engineapi.Load{Model: "old", ModelVersion: "1", Role: "standby", Running: 1}, true, orders.Wait, ""},
		{"requests still wait in it", engineapi.Load{Model: "old", ModelVersion: "1", Role: "standby", Waiting: 1}, true, orders.Wait, ""},
		{"empty, but another load runs", engineapi.Load{Model: "old", ModelVersion: "1", Role: "standby"}, false, orders.Wait, ""},
		{"empty: loads", engineapi.Load{Model: "old", ModelVersion: "1", Role: "standby"}, true, orders.Load, ""},
		{"loading", engineapi.Load{Role: "standby"}, true, orders.Wait, ""},
		{"loaded: serves again", engineapi.Load{Model: "new", ModelVersion: "2", Role: "standby"}, true, orders.SetRole, "serve"},
		{"as declared", engineapi.Load{Model: "new", ModelVersion: "2", Role: "serve", Running: 9}, true, orders.None, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			order := orders.Next(target(t), &c.state, c.load)
			require.Equal(t, c.want, order.Kind)
			require.Equal(t, c.role, order.Role)
		})
	}
}
