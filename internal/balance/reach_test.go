package balance_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// reachStep is an event of TestReach: connections to targets fail or succeed, or time passes.
type reachStep struct {
	fail, connect []string
	pass          time.Duration
}

// TestReach guards against instances that do not notice that they have lost their targets, and against
// the loss of some being taken for the loss of all.
func TestReach(t *testing.T) {
	engines := []string{"engine-a1", "engine-a2", "engine-a3", "engine-b1", "engine-b2", "engine-b3"}
	for _, c := range []struct {
		name  string
		steps []reachStep
		lost  []string // services
	}{
		{"nothing happened", nil, nil},
		{"every target of a small service", []reachStep{{fail: []string{"plain-a", "plain-b"}}}, []string{"plain"}},
		{"half of a small service", []reachStep{{fail: []string{"plain-a"}}}, nil},
		{"one target again and again", []reachStep{{fail: []string{"plain-a", "plain-a", "plain-a", "plain-a"}}}, nil},
		{"enough of a large service, in both domains", []reachStep{{fail: []string{"engine-a1", "engine-b1", "engine-b2", "engine-a2"}}}, []string{"engine"}},
		{"one domain of a large service", []reachStep{{fail: []string{"engine-a1", "engine-a2", "engine-a3"}}}, nil},
		{"a few of each service", []reachStep{{fail: []string{"engine-a1", "engine-a2", "engine-b1", "plain-b"}}}, []string{"engine", "plain"}},
		{"all of one service only", []reachStep{{fail: engines}}, []string{"engine"}},
		{"one connection in between", []reachStep{{fail: []string{"engine-a1", "engine-b1"}, connect: []string{"engine-b2"}}, {fail: []string{"engine-a2", "engine-b3"}}}, nil},
		{"failures of long ago", []reachStep{{fail: []string{"plain-a"}, pass: 4 * time.Second}, {fail: []string{"plain-b"}}}, nil},
		{"it stays so without news", []reachStep{{fail: []string{"plain-a", "plain-b"}, pass: time.Hour}}, []string{"plain"}},
		{"until a connection succeeds", []reachStep{{fail: []string{"plain-a", "plain-b"}, connect: []string{"plain-b"}}}, nil},
		{"another service's connection does not help", []reachStep{{fail: []string{"plain-a", "plain-b"}, connect: []string{"engine-a1"}}}, []string{"plain"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := balance.New("a", rand.New(rand.NewPCG(1, 1)))
			var list []*wire.Target
			for _, id := range append([]string{"plain-a", "plain-b"}, engines...) {
				service, place := id[:len(id)-2], id[len(id)-1:]
				if place[0] < 'a' {
					service, place = "engine", id[len(id)-2:len(id)-1]
				}
				list = append(list, &wire.Target{Id: id, Service: service, Address: id + ":1", FailureDomain: place, State: wire.TargetState_TARGET_STATE_READY})
			}
			now := time.Second
			b.Update(list, now)
			for _, step := range c.steps {
				for _, id := range step.fail {
					b.Begin(b.Target(id), 0, now)
					b.End(b.Target(id), 0, balance.Unreachable, now)
				}
				for _, id := range step.connect {
					b.Connected(b.Target(id))
				}
				now += step.pass
			}
			for _, service := range []string{"engine", "plain"} {
				require.Equal(t, slices.Contains(c.lost, service), b.OutOfReach(service), service)
			}
			require.Len(t, b.ServicesOutOfReach(), len(c.lost))
		})
	}
}
