package replog_test

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// More schedules are played by hand.
var (
	lossSchedules = flag.Uint64("losses.schedules", 150, "number of schedules of TestLossesInAnyOrder")
	firstLoss     = flag.Uint64("losses.first", 0, "seed of the first one")
)

const (
	lossRounds = 4
	// settleTime is how long after a round nothing is lost: the replicas count again.
	settleTime = 20 * time.Second
	// lossRunTime is how long the replicas run before the first loss.
	lossRunTime = 14 * time.Second
)

// lossFleet is a number of replicas by failure domain, and how many disks may be lost at once.
type lossFleet struct {
	domains   []string
	tolerated int
}

var lossFleets = []lossFleet{
	{[]string{"z1", "z2", "z3"}, 1},
	{[]string{"z1", "z2", "z3", "z4", "z5"}, 2},
	{[]string{"z1", "z1", "z2", "z2", "z3", "z3"}, 2},
}

// lossSchedule plays rounds of losses on a fleet. In each, as many disks are lost as are tolerated, beside a split, replicas
// that are down or a replica that is replaced.
type lossSchedule struct {
	*lossRun
	fleet  lossFleet
	random *rand.Rand
}

// TestLossesInAnyOrder guards against losses of tolerated disks beside splits, ends and replacements after which the log
// has no leader any more.
func TestLossesInAnyOrder(t *testing.T) {
	for seed := *firstLoss; seed < *firstLoss+*lossSchedules; seed++ {
		s := &lossSchedule{
			lossRun: &lossRun{t: t, names: map[string]*member{}},
			fleet:   lossFleets[seed%uint64(len(lossFleets))], random: rand.New(rand.NewPCG(seed, 7)),
		}
		s.found(s.fleet.domains, seed)
		s.c.runFor(t, lossRunTime)
		for range lossRounds {
			s.propose()
			s.round()
			s.requireServing(strconv.Itoa(len(s.fleet.domains))+" replicas", seed)
			s.c.runFor(t, settleTime)
			require.True(t, s.c.fullyReplicated(), "seed %d: not whole again:\n%s", seed, s.c.describe())
		}
		require.NoError(t, s.c.linearizable(), "seed %d", seed)
	}
}

func (s *lossSchedule) round() {
	switch s.random.IntN(3) {
	case 0:
		s.splitAndLose()
	case 1:
		s.killAndLose()
	case 2:
		s.replaceAndLose()
	}
}

// pause lets up to a time pass, with a change now and then.
func (s *lossSchedule) pause(most time.Duration) {
	s.c.runFor(s.t, time.Duration(s.random.Int64N(int64(most)+1)))
	require.NoError(s.t, s.c.propose())
}

// some returns a number of active replicas, at random.
func (s *lossSchedule) some(n int) []*member {
	active := s.c.activeMembers()
	s.random.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
	return active[:n]
}

// loseSome makes as many replicas as are tolerated lose their disks, one after the other, and starts them again.
func (s *lossSchedule) loseSome() {
	var lost []*member
	for _, m := range s.some(s.fleet.tolerated) {
		lost = append(lost, s.c.emptyDisk(m))
		s.pause(time.Second)
	}
	s.pause(3 * time.Second)
	for _, m := range lost {
		s.c.start(m)
	}
}

func (s *lossSchedule) splitAndLose() {
	for _, m := range s.some(1 + s.random.IntN(len(s.fleet.domains)/2)) {
		m.side = 1
	}
	s.pause(9 * time.Second)
	s.loseSome()
	s.pause(3 * time.Second)
	s.split(nil)
}

func (s *lossSchedule) killAndLose() {
	down := s.some(1 + s.random.IntN(s.fleet.tolerated))
	for _, m := range down {
		m.up = false
	}
	s.pause(7 * time.Second)
	s.loseSome()
	for _, m := range down {
		if !m.retired {
			s.c.start(m)
		}
	}
}

// replaceAndLose replaces a replica. Its successor runs until the old one does not count any more, and this one then ends
// without a word.
func (s *lossSchedule) replaceAndLose() {
	old := s.some(1)[0]
	successor := s.c.addMember()
	successor.domain = old.domain
	s.c.runFor(s.t, catchUpTime)
	old.endForGood()
	s.pause(3 * time.Second)
	s.loseSome()
}
