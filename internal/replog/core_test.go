package replog_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// rapidSeed makes every test run draw the same schedules.
const rapidSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]string{"rapid.seed": rapidSeed, "rapid.checks": "5000"}
	if testing.Short() {
		set["rapid.checks"] = "100"
	}
	for name, value := range set {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid seed:", rapidSeed)
	os.Exit(m.Run())
}

// TestSchedules runs random schedules of faults and checks the invariants after
// each step, that the replicas agree once the faults end, and that the answers
// to changes are linearizable.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "schedule")
		random := rand.New(rand.NewPCG(seed, 3))
		voters := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
		steps := rapid.IntRange(100, 800).Draw(t, "steps")
		c := newCluster(voters, random.IntN, noDefect)
		for range steps {
			if err := c.advance(); err != nil {
				t.Fatalf("step %d: %v", c.step, err)
			}
		}
		if err := c.converge(); err != nil {
			t.Fatal(err)
		}
		if err := c.linearizable(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestSchedulesReach checks the generator: schedules must elect several leaders and
// accept changes, because otherwise the invariant checks cover nothing.
func TestSchedulesReach(t *testing.T) {
	elections, acceptedChanges := 0, 0
	for seed := range uint64(100) {
		c := newCluster(3, rand.New(rand.NewPCG(seed, 3)).IntN, noDefect)
		for range 700 {
			require.NoError(t, c.advance())
		}
		elections += c.elections
		acceptedChanges += c.acceptedChanges
	}
	t.Logf("100 schedules: %d elections, %d accepted changes", elections, acceptedChanges)
	require.Greater(t, elections, 150)
	require.Greater(t, acceptedChanges, 300)
}

// TestDefectsAreFound checks that the invariant checks fail when the code around the core
// breaks its contract.
func TestDefectsAreFound(t *testing.T) {
	defects := []struct {
		name   string
		defect defect
	}{
		{"terms and votes are not stored", dropsVotes},
		{"records are acknowledged before they are stored", dropsEntries},
		{"a restarted replica votes at once", votesOnRestart},
		{"a restarted replica does not restore its state", ignoresSnapshot},
	}
	for _, d := range defects {
		t.Run(d.name, func(t *testing.T) {
			var found error
			seed := uint64(0)
			for ; found == nil && seed < 4000; seed++ {
				found = runDefect(seed, d.defect)
			}
			require.Error(t, found, "no schedule detects the defect")
			t.Logf("seed %d: %v", seed-1, found)
		})
	}
}

func runDefect(seed uint64, d defect) (found error) {
	// A core whose contract was broken may also panic on an index out of range.
	defer func() {
		if r := recover(); r != nil {
			found = fmt.Errorf("panic: %v", r)
		}
	}()
	c := newCluster(3, rand.New(rand.NewPCG(seed, 3)).IntN, d)
	for range 500 {
		if err := c.advance(); err != nil {
			return err
		}
	}
	if err := c.converge(); err != nil {
		return err
	}
	return c.linearizable()
}

func (c *cluster) linearizable() error {
	if porcupine.CheckOperationsTimeout(changeModel(), c.operations(), time.Minute) != porcupine.Ok {
		return fmt.Errorf("the answers to %d changes are not linearizable", len(c.history))
	}
	return nil
}

// changeState is the state of the sequential specification: a version, and the results
// of earlier changes by identity.
type changeState struct {
	version uint64
	known   string // items "identity status version length ", length being the item's bytes
}

type changeInput struct {
	identity string
	expected uint64
}

type changeOutput struct {
	status  wire.ChangeStatus
	version uint64
}

func changeModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return changeState{} },
		Step: func(state, input, output any) (bool, any) {
			s, in, out := state.(changeState), input.(changeInput), output.(changeOutput)
			status, version, next := s.apply(in)
			ok := out.status == status && out.version == version
			return ok, next
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

func (s changeState) apply(in changeInput) (wire.ChangeStatus, uint64, changeState) {
	var status int32
	var version uint64
	for rest := s.known; rest != ""; {
		var identity string
		var n int
		if _, err := fmt.Sscanf(rest, "%s %d %d %d", &identity, &status, &version, &n); err != nil {
			break
		}
		if identity == in.identity {
			return wire.ChangeStatus(status), version, s
		}
		rest = rest[n:]
	}
	answer := wire.ChangeStatus_CHANGE_STATUS_CONFLICT
	if in.expected == s.version {
		s.version++
		answer = wire.ChangeStatus_CHANGE_STATUS_ACCEPTED
	}
	item := fmt.Sprintf("%s %d %d ", in.identity, answer, s.version)
	length := len(item) + 4
	s.known += fmt.Sprintf("%s%3d ", item, length)
	return answer, s.version, s
}

func (c *cluster) operations() []porcupine.Operation {
	var out []porcupine.Operation
	for i, op := range c.history {
		result, end := op.result, op.end
		if op.end == 0 {
			// The client received no answer: the change may have taken effect at any later time,
			// or never.
			effect, ok := c.effects[op.index]
			if !ok || effect.term != op.term {
				continue
			}
			result, end = effect.result, math.MaxInt64
		}
		out = append(out, porcupine.Operation{
			ClientId: i, Input: changeInput{op.identity, op.expected}, Call: op.call,
			Output: changeOutput{status: result.GetStatus(), version: result.GetVersion()}, Return: end,
		})
	}
	return out
}

// TestFrozenLeader freezes a leader for longer than its lease. When it runs again, it
// must not consider the lease valid and must not disturb the new leader.
func TestFrozenLeader(t *testing.T) {
	c := newCluster(3, rand.New(rand.NewPCG(5, 3)).IntN, noDefect)
	require.NoError(t, c.converge())
	var old *member
	for _, m := range c.members {
		if m.core.Role() == replog.Leader {
			old = m
		}
	}
	require.True(t, old.core.LeaseValid(c.clock(old)))
	old.frozen = true
	c.now += 5 * time.Second
	require.False(t, old.core.LeaseValid(c.clock(old)), "the lease must expire while the leader is frozen")
	for range 200 {
		require.NoError(t, c.tick())
		require.NoError(t, c.drain())
	}
	old.frozen = false
	terms := len(c.leaders)
	require.NoError(t, c.tick())
	require.NotEqual(t, replog.Leader, old.core.Role())
	require.NoError(t, c.converge())
	require.Len(t, c.leaders, terms, "the return of the old leader must not cause an election")
}
