package keeper_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillaward/vanillaward/internal/keeper"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const rapidSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": "10000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid seed:", rapidSeed)
	os.Exit(m.Run())
}

// defect is a rule of the package that the simulation breaks on purpose.
type defect int

const (
	noDefect             defect = iota
	votesWithoutRecall          // a restarted keeper votes without recalling records
	recallsWithoutWait          // a restarted keeper does not wait for earlier claims
	oneGrantSuffices            // one grant is counted as a majority
	reusesIncarnation           // a restarted keeper reuses its old incarnation
	skipsPreviousKeepers        // new keepers do not recall from those of the previous epoch
)

const lifetime = 10 * time.Minute

// group simulates a failure domain's keepers and the instances that send claims to
// them, in virtual time and over a network that loses and delays messages.
type group struct {
	draw         func(int) int
	defect       defect
	now          time.Duration
	cores        map[string]*keeper.Core
	starts       map[string]int
	down         map[string]bool
	epoch        keeper.Epoch
	firstKeepers []string // incarnations that the replicated log permits to vote first
	knownEpochs  map[string]keeper.Epoch
	claims       []*claim
	lastRun      map[string]string // last attempt that ran, by key
	ranAt        map[string]time.Duration
	attempts     int
	grants       int
}

// claim is an attempt whose intents are in flight.
type claim struct {
	key     string
	attempt string
	epoch   keeper.Epoch
	tally   *keeper.Claim
	pending []string
	done    bool
	started time.Duration
}

func newGroup(draw func(int) int, d defect) *group {
	g := &group{
		draw: draw, defect: d, cores: map[string]*keeper.Core{}, starts: map[string]int{}, down: map[string]bool{},
		knownEpochs: map[string]keeper.Epoch{}, lastRun: map[string]string{}, ranAt: map[string]time.Duration{},
		epoch: keeper.Epoch{Number: 1, Members: []string{"a", "b", "c"}, Lifetime: lifetime},
	}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		g.restart(name)
	}
	return g
}

func (g *group) restart(name string) {
	g.starts[name]++
	incarnation := name + strconv.Itoa(g.starts[name])
	if g.defect == reusesIncarnation {
		incarnation = name
	}
	since := g.now
	if g.defect == recallsWithoutWait {
		since -= keeper.ClaimBound
	}
	g.cores[name] = keeper.New(name, incarnation, 1000, since)
	g.down[name] = false
	g.configure(name)
}

func (g *group) configure(name string) {
	epoch := g.epoch
	if g.defect == skipsPreviousKeepers {
		epoch.Previous = nil
	}
	g.knownEpochs[name] = epoch
	now := g.now
	if g.defect == recallsWithoutWait {
		now -= keeper.ClaimBound
	}
	g.cores[name].Configure(now, epoch)
	if g.defect == votesWithoutRecall && slices.Contains(epoch.Members, name) {
		g.cores[name].PermitFirstKeepers([]string{g.cores[name].Incarnation()})
	}
}

// advance makes one random step.
func (g *group) advance() error {
	g.now += time.Duration(g.draw(40)) * time.Millisecond
	switch choice := g.draw(200); {
	case choice < 40:
		g.startClaim()
	case choice < 135:
		return g.deliverIntent()
	case choice < 185:
		g.recall()
	case choice < 188:
		g.restart(g.randomKeeper())
	case choice < 189:
		g.down[g.randomKeeper()] = true
	case choice < 191:
		g.changeKeepers()
	case choice < 196:
		g.configure(g.randomKeeper())
	default:
		g.now += time.Duration(g.draw(90)) * time.Second
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			g.cores[name].Tick(g.now)
		}
	}
	return nil
}

func (g *group) randomKeeper() string { return string("abcde"[g.draw(5)]) }

// startClaim starts an attempt for one of a few keys, at an instance whose
// configuration may be outdated.
func (g *group) startClaim() {
	epoch := g.knownEpochs[g.randomKeeper()]
	g.attempts++
	c := &claim{key: strconv.Itoa(g.draw(6)), attempt: strconv.Itoa(g.attempts), epoch: epoch, pending: slices.Clone(epoch.Members), started: g.now}
	if g.defect == oneGrantSuffices {
		epoch.Members = epoch.Members[:1]
	}
	c.tally = keeper.NewClaim(epoch, c.attempt, []byte("same"))
	g.claims = append(g.claims, c)
}

// deliverIntent delivers one intent of one attempt.
func (g *group) deliverIntent() error {
	if len(g.claims) == 0 {
		return nil
	}
	recent := g.claims[max(0, len(g.claims)-4):]
	c := recent[g.draw(len(recent))]
	if len(c.pending) == 0 {
		return nil
	}
	i := g.draw(len(c.pending))
	name := c.pending[i]
	c.pending = slices.Delete(c.pending, i, i+1)
	var answer *wire.IntentResponse
	if g.now > c.started+keeper.ClaimBound {
		c.done = true // timed out; its remaining intents may still arrive
	}
	if !g.down[name] && g.draw(10) != 0 {
		answer = g.cores[name].Intent(g.now, &wire.IntentRequest{
			Epoch: c.epoch.Number, Key: c.key, Attempt: c.attempt, Digest: []byte("same"),
		})
		if g.draw(15) == 0 {
			answer = nil // granted, but the response is lost
		}
	}
	if c.done || c.tally.Answer(answer) != keeper.Granted {
		return nil
	}
	c.done = true
	if before, ok := g.lastRun[c.key]; ok && g.now-g.ranAt[c.key] < lifetime {
		return fmt.Errorf("key %s: attempt %s runs after attempt %s", c.key, c.attempt, before)
	}
	g.grants++
	g.lastRun[c.key], g.ranAt[c.key] = c.attempt, g.now
	return nil
}

// recall makes a recovering keeper recall from another one, and ask the replicated
// log for the permission of the first keepers if it may.
func (g *group) recall() {
	name := g.randomKeeper()
	core := g.cores[name]
	peers := core.RecallPeers()
	if g.down[name] || len(peers) == 0 {
		return
	}
	from := peers[g.draw(len(peers))]
	if !g.down[from] {
		epoch := core.Epoch().Number
		core.Recalled(g.now, g.now, from, epoch, g.cores[from].Recall(g.now, &wire.RecallRequest{Epoch: epoch}))
	}
	if first := core.FirstKeepers(); len(first) > 0 {
		if g.firstKeepers == nil {
			g.firstKeepers = first
		}
		core.PermitFirstKeepers(g.firstKeepers)
	}
}

// changeKeepers declares another set of keepers if a majority of the current one
// votes.
func (g *group) changeKeepers() {
	voting := 0
	for _, name := range g.epoch.Members {
		if g.cores[name].Voting() && g.cores[name].Epoch().Number == g.epoch.Number {
			voting++
		}
	}
	if voting < g.epoch.Quorum() {
		return
	}
	members := []string{"a", "b", "c", "d", "e"}
	for len(members) > 3 {
		i := g.draw(len(members))
		members = slices.Delete(members, i, i+1)
	}
	if !slices.Equal(members, g.epoch.Members) {
		g.epoch = keeper.Epoch{Number: g.epoch.Number + 1, Members: members, Previous: g.epoch.Members, Lifetime: lifetime}
	}
}

func runSchedule(seed uint64, d defect, steps int) (*group, error) {
	g := newGroup(rand.New(rand.NewPCG(seed, 5)).IntN, d)
	for i := range steps {
		if err := g.advance(); err != nil {
			return g, fmt.Errorf("step %d: %w", i, err)
		}
	}
	return g, nil
}

// TestAtMostOnce runs random schedules of restarts, lost messages, outdated
// configurations and changes of the set of keepers. Within a record's lifetime, no
// key may be granted to two attempts.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "schedule")
		steps := rapid.IntRange(50, 800).Draw(t, "steps")
		if _, err := runSchedule(seed, noDefect, steps); err != nil {
			t.Fatal(err)
		}
	})
}

// TestSchedulesCoverage checks that the random schedules grant keys and change the
// set of keepers often enough to be meaningful.
func TestSchedulesCoverage(t *testing.T) {
	granted, epochs := 0, uint64(0)
	for seed := range uint64(200) {
		g, err := runSchedule(seed, noDefect, 800)
		require.NoError(t, err)
		granted += g.grants
		epochs += g.epoch.Number - 1
	}
	t.Logf("200 schedules: %d keys granted, %d changes of the keepers", granted, epochs)
	require.Greater(t, granted, 200)
	require.Greater(t, epochs, uint64(50))
}

// TestDefectsInMinimalSchedules checks two rules whose violation random schedules
// rarely reveal. Each case is a shortest schedule that needs the rule: with the rule
// one attempt runs, without the rule two do.
func TestDefectsInMinimalSchedules(t *testing.T) {
	cases := []struct {
		name   string
		defect defect
		steps  func(g *group)
	}{
		{"a keeper restarts between two grants of a claim", recallsWithoutWait, func(g *group) {
			first, second := g.intentSender("1"), g.intentSender("2")
			first("a")
			g.restart("a")
			g.recallFrom("a", "b")
			g.recallFrom("a", "c")
			second("a")
			second("b")
			first("c")
		}},
		{"partitioned keepers of the previous epoch still grant", skipsPreviousKeepers, func(g *group) {
			first := g.intentSender("1")
			g.epoch = keeper.Epoch{Number: 2, Members: []string{"c", "d", "e"}, Previous: g.epoch.Members, Lifetime: lifetime}
			for _, name := range g.epoch.Members {
				g.configure(name)
			}
			g.now += lifetime + time.Second
			first("a") // a and b are partitioned from the others and have the old configuration
			first("b")
			for _, name := range g.epoch.Members {
				g.cores[name].Tick(g.now)
			}
			second := g.intentSender("2")
			second("c")
			second("d")
			second("e")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, d := range []defect{noDefect, c.defect} {
				g := newGroup(rand.New(rand.NewPCG(1, 5)).IntN, d)
				for _, name := range g.epoch.Members {
					g.cores[name].PermitFirstKeepers([]string{"a1", "b1", "c1"})
				}
				c.steps(g)
				want := 1
				if d != noDefect {
					want = 2
				}
				require.Equal(t, want, g.grants, "number of attempts that run with defect %d", d)
			}
		})
	}
}

// TestFirstKeeperAfterEpochChange checks that the permission of the first keepers is
// valid for their epoch only. A first keeper that learns of it after the set of
// keepers changed has to recall like any other.
func TestFirstKeeperAfterEpochChange(t *testing.T) {
	g := newGroup(rand.New(rand.NewPCG(1, 5)).IntN, noDefect)
	granted := []string{"a1", "b1", "c1"}
	g.cores["a"].PermitFirstKeepers(granted)
	g.cores["b"].PermitFirstKeepers(granted)
	first := g.intentSender("1")
	first("a")
	first("b")
	g.epoch = keeper.Epoch{Number: 2, Members: []string{"c", "d", "e"}, Previous: g.epoch.Members, Lifetime: lifetime}
	for _, name := range g.epoch.Members {
		g.configure(name)
	}
	g.recallFrom("c", "a")
	require.False(t, g.cores["c"].Voting(), "one of three previous keepers is not a majority")
	g.recallFrom("c", "b")
	require.True(t, g.cores["c"].Voting())
	require.NotNil(t, g.cores["c"].Lookup(g.now, "k"))
}

// intentSender starts an attempt for one key and returns a function that sends its
// intent to the named keeper.
func (g *group) intentSender(attempt string) func(name string) {
	tally := keeper.NewClaim(g.epoch, attempt, []byte("same"))
	epoch, granted := g.epoch.Number, false
	return func(name string) {
		answer := g.cores[name].Intent(g.now, &wire.IntentRequest{Epoch: epoch, Key: "k", Attempt: attempt, Digest: []byte("same")})
		if tally.Answer(answer) == keeper.Granted && !granted {
			granted = true
			g.grants++
		}
	}
}

func (g *group) recallFrom(name, from string) {
	epoch := g.cores[name].Epoch().Number
	g.cores[name].Recalled(g.now, g.now, from, epoch, g.cores[from].Recall(g.now, &wire.RecallRequest{Epoch: epoch}))
}

// TestDefectsAreDetected checks that random schedules detect each of these broken
// rules.
func TestDefectsAreDetected(t *testing.T) {
	for name, d := range map[string]defect{
		"a restarted keeper votes without a recall": votesWithoutRecall,
		"one grant is counted as a majority":        oneGrantSuffices,
		"a restarted keeper reuses its incarnation": reusesIncarnation,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20000) {
				if _, err := runSchedule(seed, d, 800); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no schedule detects the defect")
		})
	}
}
