package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// clumps is a load of generations that arrive in clumps at many instances before the same engines, each
// of which processes one prompt after another.
type clumps struct {
	random    *rand.Rand
	instances []*balance.Balancer
	list      []*wire.Target
	exchanged []time.Duration // when each instance last exchanged its uses
	told      [][]*wire.Use   // the uses that each instance told last
	running   []prompt
}

// prompt is a prompt that an engine has not finished processing.
type prompt struct {
	instance int
	target   *balance.Target
	until    time.Duration
}

const (
	clumpInstances  = 60
	clumpEngines    = 12
	clumpPrompt     = 3000 // tokens
	clumpPromptTime = 250 * time.Millisecond
	// clumpInterval is the mean time between clumps of up to clumpSize generations.
	clumpInterval = 100 * time.Millisecond
	clumpSize     = 3
	// usesInterval is the time between two exchanges of an instance.
	usesInterval = 200 * time.Millisecond
)

func newClumps() *clumps {
	c := &clumps{random: rand.New(rand.NewPCG(35, 1)), exchanged: make([]time.Duration, clumpInstances), told: make([][]*wire.Use, clumpInstances)}
	var loads []*wire.Load
	for e := range clumpEngines {
		id := fmt.Sprint("e", e)
		c.list = append(c.list, &wire.Target{Id: id, Service: "s", Address: "10.0.0.1:1", FailureDomain: "home", Slots: 24, State: wire.TargetState_TARGET_STATE_READY})
		loads = append(loads, &wire.Load{Target: id, CapacityTokens: 34000, UsedTokens: 10000})
	}
	for i := range clumpInstances {
		b := balance.New("home", rand.New(rand.NewPCG(uint64(i), 35)))
		b.Update(c.list, 0)
		b.UpdateLoads(loads, 0)
		c.instances = append(c.instances, b)
		c.exchanged[i] = -time.Duration(c.random.Int64N(int64(usesInterval)))
	}
	return c
}

// exchange tells the others of an instance's uses, and the instance of theirs as they were told last.
func (c *clumps) exchange(i int, now time.Duration) {
	c.exchanged[i] = now
	c.told[i] = nil
	c.instances[i].UpdatePeerUses(sumUses(c.told), clumpInstances, now)
	c.told[i] = c.instances[i].LocalUses(now)
}

// advance ends the prompts and plays the exchanges at an interval that are due.
func (c *clumps) advance(now time.Duration) {
	kept := c.running[:0]
	for _, p := range c.running {
		if p.until > now {
			kept = append(kept, p)
			continue
		}
		c.instances[p.instance].AddPrefill(p.target, -clumpPrompt)
		c.instances[p.instance].End(p.target, clumpPrompt, balance.Served, now)
	}
	c.running = kept
	for i := range c.instances {
		for c.exchanged[i]+usesInterval <= now {
			c.exchange(i, c.exchanged[i]+usesInterval)
		}
	}
}

// queued plays the load and returns the fraction of generations that were sent to an engine with two
// prompts or more before theirs. Fresh has an instance exchange uses before and after each choice.
func (c *clumps) queued(fresh bool) float64 {
	const generations = 4000
	queued, now := 0, time.Duration(0)
	for n := 0; n < generations; {
		now += time.Duration(c.random.ExpFloat64() * float64(clumpInterval))
		for range 1 + c.random.IntN(clumpSize) {
			c.advance(now)
			if c.place(c.random.IntN(clumpInstances), fresh, now) >= 2 {
				queued++
			}
			n++
			now += time.Millisecond
		}
	}
	return float64(queued) / generations
}

// place sends a generation from an instance to an engine, and returns how many prompts were before it.
func (c *clumps) place(i int, fresh bool, now time.Duration) int {
	if fresh {
		c.exchange(i, now)
	}
	b := c.instances[i]
	target := b.Choose("s", clumpPrompt, nil, now)
	before, until := 0, now
	for _, p := range c.running {
		if p.target.ID() == target.ID() {
			before++
			until = max(until, p.until)
		}
	}
	b.Begin(target, clumpPrompt, now)
	b.AddPrefill(target, clumpPrompt)
	c.running = append(c.running, prompt{instance: i, target: target, until: until + clumpPromptTime})
	if fresh {
		c.exchange(i, now)
	}
	return before
}

// TestClumpsOfPrompts: generations arrive in clumps at sixty instances. An engine that has two prompts
// before another one starts it late: with what the others have begun known as of now, few go
// to such an engine; known as of the last 200 ms, many do.
func TestClumpsOfPrompts(t *testing.T) {
	fresh, stale := newClumps().queued(true), newClumps().queued(false)
	t.Logf("generations behind two prompts or more: %.3f with fresh uses, %.3f with uses at an interval", fresh, stale)
	require.LessOrEqual(t, fresh, 0.02)
	require.GreaterOrEqual(t, stale, 0.05)
}

// TestReclaimedEngineIsCopiedToMany: the instances with runs at an engine that gives notice learn of it at the
// same moment. They copy the runs to many engines, whose links would else carry one copy after another for
// longer than the notice.
func TestReclaimedEngineIsCopiedToMany(t *testing.T) {
	c := newClumps()
	at := map[string]int{}
	for i, b := range c.instances[:24] {
		c.exchange(i, time.Second)
		at[b.ChooseMigrationDestination(b.Target("e0"), clumpPrompt, nil, time.Second).ID()]++
	}
	for id, n := range at {
		require.LessOrEqual(t, n, 6, id)
	}
}
