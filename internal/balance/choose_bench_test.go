package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// BenchmarkChoose measures a choice among engines with reports.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{9, 45} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			balancer := balance.New("home", rand.New(rand.NewPCG(1, 1)))
			var list []*wire.Target
			var loads []*wire.Load
			for i := range engines {
				id := fmt.Sprint("e", i)
				list = append(list, &wire.Target{Id: id, Service: "s", Address: "10.0.0.1:1", FailureDomain: "home", Slots: 24, State: wire.TargetState_TARGET_STATE_READY})
				loads = append(loads, &wire.Load{Target: id, CapacityTokens: 30000, UsedTokens: uint32(i * 100)})
			}
			balancer.Update(list, 0)
			balancer.UpdateLoads(loads, time.Second)
			b.ReportAllocs()
			for b.Loop() {
				balancer.Choose("s", 3000, nil, time.Second)
			}
		})
	}
}
