package balance_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	coldStep    = 5 * time.Millisecond
	coldPlay    = 24 * time.Second
	coldTime    = 12 * time.Second
	coldDomains = 3
	// coldFactor and coldExtra are the bound: in any one second a cold target gets at most coldFactor of what it
	// tolerates in a second, and coldExtra requests more.
	coldFactor = 1.5
	coldExtra  = 5
	// coldNews is how long it takes at most until an instance has a list, and coldExchange the time between two
	// exchanges of uses.
	coldNews     = 2 * time.Second
	coldExchange = 2 * time.Second
	// coldTaken is how long a request takes.
	coldTaken = 300 * time.Millisecond
)

// coldCase is a deployment and what happens to it while targets are cold.
type coldCase struct {
	name      string
	targets   int
	perSecond float64
	// cold returns the targets that appear at coldFrom.
	cold     func(target int) bool
	rate     func(now time.Duration) float64            // of all callers, requests a second
	heard    func(instance int, now time.Duration) bool // whether an instance takes part in the exchange
	joins    func(instance int) time.Duration           // when an instance starts
	unlisted bool                                       // the list does not state that they are cold
	// told is how old what instances know of each other is when they get it.
	told time.Duration
}

var coldSeeds = flag.Uint64("cold.seeds", 1, "number of seeds of each case of TestColdTargetsAreSpared")

// coldFrom is when targets appear.
const coldFrom = 10 * time.Second

// coldModel plays a case with the balancers of all instances.
type coldModel struct {
	coldCase
	random    *rand.Rand
	instances []*coldInstance
	arrivals  map[string][]time.Duration
	refused   int
	told      []toldUses
}

type coldInstance struct {
	balancer *balance.Balancer
	weight   float64
	lists    []time.Duration // when the instance gets the lists from before and after coldFrom
	open     []openRequest
}

type openRequest struct {
	target *balance.Target
	until  time.Duration
}

// toldUses are the uses that instances have told at one time.
type toldUses struct {
	at   time.Duration
	uses [][]*wire.Use // by instance
	from int           // number of instances
}

func (c coldCase) list(now time.Duration) []*wire.Target {
	var out []*wire.Target
	for i := range c.targets {
		if c.cold(i) && now < coldFrom {
			continue
		}
		t := &wire.Target{
			Id: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), FailureDomain: fmt.Sprint("d", i%coldDomains), Slots: 24,
			State: wire.TargetState_TARGET_STATE_READY,
		}
		if c.cold(i) && !c.unlisted {
			t.ColdMs = uint32((coldTime - (now - coldFrom)).Milliseconds())
		}
		out = append(out, t)
	}
	return out
}

func newColdModel(c coldCase, instances int, seed uint64) *coldModel {
	m := &coldModel{coldCase: c, random: rand.New(rand.NewPCG(seed, 7)), arrivals: map[string][]time.Duration{}}
	for i := range instances {
		m.instances = append(m.instances, &coldInstance{
			balancer: balance.New(fmt.Sprint("d", i%coldDomains), rand.New(rand.NewPCG(seed, uint64(100+i)))), weight: 0.5 + m.random.ExpFloat64(),
			lists: []time.Duration{c.joins(i), coldFrom + time.Duration(m.random.Float64()*float64(coldNews))},
		})
	}
	return m
}

// play returns the largest number of requests that a cold target got in one second.
func (m *coldModel) play() int {
	for now := time.Duration(0); now < coldPlay; now += coldStep {
		if now%coldExchange == 0 {
			m.exchange(now)
		}
		total := 0.0
		for i, in := range m.instances {
			if now >= m.joins(i) {
				total += in.weight
			}
		}
		for i, in := range m.instances {
			if now < m.joins(i) {
				continue
			}
			in.learn(m, now)
			in.end(now)
			for due := m.rate(now) * in.weight / total * coldStep.Seconds(); m.random.Float64() < due; due-- {
				in.send(m, now)
			}
		}
	}
	largest := 0
	for _, arrivals := range m.arrivals {
		first := 0
		for last := range arrivals {
			for arrivals[last]-arrivals[first] >= time.Second {
				first++
			}
			largest = max(largest, last-first+1)
		}
	}
	return largest
}

// learn gives an instance the lists that have reached it.
func (in *coldInstance) learn(m *coldModel, now time.Duration) {
	for len(in.lists) > 0 && now >= in.lists[0] {
		if len(in.lists) == 2 {
			in.balancer.SetColdLimits(map[string]balance.ColdLimit{"s": {Time: coldTime, PerSecond: m.perSecond}}, now)
		}
		in.lists = in.lists[1:]
		in.balancer.Update(m.list(now), now)
	}
}

func (in *coldInstance) end(now time.Duration) {
	kept := in.open[:0]
	for _, o := range in.open {
		if now < o.until {
			kept = append(kept, o)
			continue
		}
		in.balancer.End(o.target, 0, balance.Served, now)
	}
	in.open = kept
}

func (in *coldInstance) send(m *coldModel, now time.Duration) {
	t := in.balancer.Choose("s", 0, nil, now)
	if t == nil {
		m.refused++
		return
	}
	in.balancer.Begin(t, 0, now)
	in.open = append(in.open, openRequest{t, now + coldTaken})
	var i int
	if _, err := fmt.Sscanf(t.ID(), "t%d", &i); err == nil && m.cold(i) && now < coldFrom+coldTime {
		m.arrivals[t.ID()] = append(m.arrivals[t.ID()], now)
	}
}

// exchange gives each instance the sums of what the others told at the last exchange but one, or at the last.
func (m *coldModel) exchange(now time.Duration) {
	latest := toldUses{at: now, uses: make([][]*wire.Use, len(m.instances))}
	for i, in := range m.instances {
		if now >= m.joins(i) && m.heard(i, now) {
			latest.uses[i] = in.balancer.LocalUses(now)
			latest.from++
		}
	}
	m.told = append(m.told, latest)
	told := m.told[max(0, len(m.told)-1-int(m.coldCase.told/coldExchange))]
	sums := map[string]uint32{}
	for _, uses := range told.uses {
		for _, u := range uses {
			sums[u.GetTarget()] += u.GetLimitedDemand()
		}
	}
	for i, in := range m.instances {
		if now < m.joins(i) || !m.heard(i, now) {
			continue
		}
		own := map[string]uint32{}
		for _, u := range told.uses[i] {
			own[u.GetTarget()] = u.GetLimitedDemand()
		}
		var others []*wire.Use
		for id, sum := range sums {
			others = append(others, &wire.Use{Target: id, LimitedDemand: sum - own[id]})
		}
		in.balancer.UpdatePeerUses(others, told.from, now)
	}
}

func coldCases(instances int) []coldCase {
	all := func(int) bool { return true } // no warm one takes what is beyond the limit
	always := func(int, time.Duration) bool { return true }
	atOnce := func(int) time.Duration { return 0 }
	burst := func(now time.Duration) float64 {
		if now%(6*time.Second) < 3*time.Second {
			return 30
		}
		return 900
	}
	base := coldCase{targets: 60, perSecond: 4, cold: all, rate: func(time.Duration) float64 { return 300 }, heard: always, joins: atOnce}
	with := func(name string, change func(*coldCase)) coldCase {
		c := base
		c.name = name
		change(&c)
		return c
	}
	return []coldCase{
		with("all targets", func(*coldCase) {}),
		with("a domain", func(c *coldCase) { c.cold = func(i int) bool { return i%coldDomains == 0 } }),
		with("the list does not say so", func(c *coldCase) { c.unlisted = true }),
		with("higher limit", func(c *coldCase) { c.perSecond, c.rate = 20, func(time.Duration) float64 { return 1500 } }),
		with("low limit", func(c *coldCase) { c.perSecond = 0.5 }),
		with("burst", func(c *coldCase) { c.rate = burst }),
		with("burst, with old news", func(c *coldCase) { c.rate, c.told = burst, coldExchange }),
		with("burst, higher limit", func(c *coldCase) {
			c.perSecond, c.rate, c.told = 20, func(now time.Duration) float64 { return 5 * burst(now) }, coldExchange
		}),
		with("no leader", func(c *coldCase) { c.heard = func(_ int, now time.Duration) bool { return now < 9*time.Second } }),
		with("no leader from the start", func(c *coldCase) { c.heard = func(int, time.Duration) bool { return false } }),
		with("half partitioned off", func(c *coldCase) {
			c.heard = func(i int, now time.Duration) bool { return i%2 == 0 || now < 9*time.Second || now > 16*time.Second }
		}),
		with("half of the instances join", func(c *coldCase) {
			c.joins = func(i int) time.Duration {
				if i%2 == 1 && instances > 1 {
					return 12 * time.Second
				}
				return 0
			}
		}),
		with("old news", func(c *coldCase) { c.told = coldExchange }),
		with("a warm and a cold one", func(c *coldCase) { c.targets, c.cold = 2, func(i int) bool { return i == 1 } }),
	}
}

// TestColdTargetsAreSpared guards against targets that crash because all instances together send them more than they
// tolerate while they are cold: in any one second, in whichever way instances know of each other.
func TestColdTargetsAreSpared(t *testing.T) {
	for _, instances := range []int{3, 100, 300} {
		for _, c := range coldCases(instances) {
			t.Run(fmt.Sprintf("%d instances, %s", instances, c.name), func(t *testing.T) {
				for seed := range *coldSeeds {
					m := newColdModel(c, instances, seed)
					largest := m.play()
					sent := 0
					for _, a := range m.arrivals {
						sent += len(a)
					}
					coldCount := 0
					for i := range c.targets {
						if c.cold(i) {
							coldCount++
						}
					}
					t.Logf("seed %d: %d in a second, use %.2f, refused %d", seed, largest, float64(sent)/float64(coldCount)/coldTime.Seconds()/c.perSecond, m.refused)
					require.LessOrEqual(t, largest, int(coldFactor*c.perSecond)+coldExtra, "seed %d", seed)
				}
			})
		}
	}
}
