package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// coldTestTime and coldTestLimit are the limit of the service of these tests.
const (
	coldTestTime  = 10 * time.Second
	coldTestLimit = 4
)

func newColdBalancer(perSecond float64) *Balancer {
	b := New("home", rand.New(rand.NewPCG(1, 1)))
	b.SetColdLimits(map[string]ColdLimit{"s": {Time: coldTestTime, PerSecond: perSecond}}, 0)
	return b
}

func coldEntry(id string, coldMs uint32, state wire.TargetState) *wire.Target {
	return &wire.Target{Id: id, Service: "s", Address: "10.0.0.1:1", State: state, ColdMs: coldMs}
}

// coldAt returns the times, in whole seconds, at which the target "a" is cold, when lists and reports come by events.
func coldAt(b *Balancer, events map[int]func(now time.Duration)) []int {
	var out []int
	for second := range 40 {
		now := time.Duration(second) * time.Second
		if event := events[second]; event != nil {
			event(now)
		}
		if t := b.Target("a"); t != nil && b.isColdLimited(t, now) {
			out = append(out, second)
		}
	}
	return out
}

func seconds(from, to int) []int {
	var out []int
	for s := from; s < to; s++ {
		out = append(out, s)
	}
	return out
}

// TestWhenTargetsAreCold guards against a target that has started, or has come back, and gets as many requests as a
// warm one because the list does not say that it is cold.
func TestWhenTargetsAreCold(t *testing.T) {
	const ready, leaving = wire.TargetState_TARGET_STATE_READY, wire.TargetState_TARGET_STATE_LEAVING
	for name, c := range map[string]struct {
		events func(b *Balancer) map[int]func(time.Duration)
		want   []int
	}{
		"on the first list": {func(b *Balancer) map[int]func(time.Duration) {
			return map[int]func(time.Duration){0: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 0, ready)}, now) }}
		}, nil},
		"on the first list, which says so": {func(b *Balancer) map[int]func(time.Duration) {
			return map[int]func(time.Duration){0: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 3000, ready)}, now) }}
		}, seconds(0, 3)},
		"on a later list": {func(b *Balancer) map[int]func(time.Duration) {
			return map[int]func(time.Duration){
				0: func(now time.Duration) { b.Update(nil, now) },
				5: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 0, ready)}, now) },
				7: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 0, ready)}, now) },
			}
		}, seconds(5, 15)},
		"on a later list, which says how long": {func(b *Balancer) map[int]func(time.Duration) {
			return map[int]func(time.Duration){
				0: func(now time.Duration) { b.Update(nil, now) },
				5: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 2000, ready)}, now) },
			}
		}, seconds(5, 7)},
		"missing for a moment": {func(b *Balancer) map[int]func(time.Duration) {
			return map[int]func(time.Duration){
				0: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 0, ready)}, now) },
				3: func(now time.Duration) { b.Update(nil, now) },
				5: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 0, ready)}, now) },
			}
		}, seconds(5, 15)},
		"ready again after it was leaving": {func(b *Balancer) map[int]func(time.Duration) {
			return map[int]func(time.Duration){
				0: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 0, ready)}, now) },
				3: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 0, leaving)}, now) },
				5: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 0, ready)}, now) },
			}
		}, seconds(5, 15)},
		"a later start by its report": {func(b *Balancer) map[int]func(time.Duration) {
			return map[int]func(time.Duration){
				0: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 0, ready)}, now) },
				2: func(now time.Duration) { b.UpdateLoads([]*wire.Load{{Target: "a", StartedMs: 100}}, now) },
				4: func(now time.Duration) { b.UpdateLoads([]*wire.Load{{Target: "a", StartedMs: 100}}, now) },
				6: func(now time.Duration) { b.UpdateLoads([]*wire.Load{{Target: "a", StartedMs: 200}}, now) },
				8: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 0, ready)}, now) },
			}
		}, seconds(6, 16)},
		"the configuration comes later": {func(b *Balancer) map[int]func(time.Duration) {
			return map[int]func(time.Duration){
				0: func(now time.Duration) { b.SetColdLimits(nil, now); b.Update(nil, now) },
				5: func(now time.Duration) { b.Update([]*wire.Target{coldEntry("a", 0, ready)}, now) },
				8: func(now time.Duration) {
					b.SetColdLimits(map[string]ColdLimit{"s": {Time: coldTestTime, PerSecond: coldTestLimit}}, now)
				},
			}
		}, seconds(8, 15)},
	} {
		t.Run(name, func(t *testing.T) {
			b := newColdBalancer(coldTestLimit)
			require.Equal(t, c.want, coldAt(b, c.events(b)))
		})
	}
}

// appearing returns a balancer of the only instance, with a target that has just appeared.
func appearing(perSecond float64) *Balancer {
	b := newColdBalancer(perSecond)
	b.Update(nil, 0)
	b.UpdatePeerUses(nil, 1, 0)
	b.Update([]*wire.Target{coldEntry("a", 0, wire.TargetState_TARGET_STATE_READY)}, 0)
	return b
}

// TestNoColdLimit guards against targets that are spared though their service has no limit for cold ones.
func TestNoColdLimit(t *testing.T) {
	b := appearing(0)
	for range 100 {
		b.Begin(b.Choose("s", 0, nil, time.Second), 0, time.Second)
	}
	require.Zero(t, b.ColdTargets(time.Second))
	require.Zero(t, b.EarliestReturn("s", time.Second))
	require.Empty(t, b.demand)
}

// TestMisdirectedRequestIsNotCounted guards against a limit that is used up by requests that another target, at the
// address of the cold one, has turned away.
func TestMisdirectedRequestIsNotCounted(t *testing.T) {
	for result, again := range map[Result]bool{Served: false, Misdirected: true} {
		b := appearing(coldTestLimit)
		now := time.Second // a token is there
		a := b.Choose("s", 0, nil, now)
		require.NotNil(t, a)
		b.Begin(a, 0, now)
		require.Nil(t, b.Choose("s", 0, nil, now))
		wait := b.EarliestReturn("s", now)
		require.Positive(t, wait)
		require.LessOrEqual(t, wait, maxColdWait)
		b.End(a, 0, result, now)
		require.Equal(t, again, b.Choose("s", 0, nil, now) != nil, "%v", result)
	}
}

// TestResumptionsKeepToColdLimit guards against runs that are resumed at a cold engine beyond what it tolerates, and
// against copies that are sent to one while a warm one has room.
func TestResumptionsKeepToColdLimit(t *testing.T) {
	b := newColdBalancer(coldTestLimit)
	list := []*wire.Target{coldEntry("source", 0, wire.TargetState_TARGET_STATE_READY), coldEntry("warm", 0, wire.TargetState_TARGET_STATE_READY)}
	b.Update(list, 0)
	b.UpdatePeerUses(nil, 1, 0)
	b.Update(append(list, coldEntry("a", 0, wire.TargetState_TARGET_STATE_READY)), 0)
	now := time.Second
	for range 20 {
		require.Equal(t, "warm", b.ChooseCopyHolder(b.Target("source"), 100, 0, nil, now).ID())
	}
	require.True(t, b.Resumable(b.Target("a"), now))
	b.Begin(b.Target("a"), 100, now)
	require.False(t, b.Resumable(b.Target("a"), now))
	require.True(t, b.Resumable(b.Target("a"), coldTestTime))
}
