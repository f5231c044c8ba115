package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// BenchmarkUpdate measures a list of targets that is applied, of which the instance keeps a subset.
func BenchmarkUpdate(b *testing.B) {
	for _, c := range []struct{ targets, instances int }{{300, 0}, {3000, 0}, {3000, 288}, {7400, 1024}} {
		b.Run(fmt.Sprintf("%d/%d", c.targets, c.instances), func(b *testing.B) {
			balancer := balance.New("home", rand.New(rand.NewPCG(1, 1)))
			var list []*wire.Target
			for i := range c.targets {
				list = append(list, &wire.Target{Id: fmt.Sprint("engine-", i), Service: "s", Address: "10.0.0.1:1", FailureDomain: []string{"home", "a", "b"}[i%3], Slots: 24, State: wire.TargetState_TARGET_STATE_READY})
			}
			balancer.KeepSubsets("gateway", c.instances)
			now := time.Duration(0)
			for b.Loop() {
				now += time.Second
				balancer.Update(list, now)
			}
		})
	}
}
