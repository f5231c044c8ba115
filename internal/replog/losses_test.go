package replog_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	lossSeeds = 20
	// repairTime is how long after the last loss the log must be able to commit again.
	repairTime = 12 * time.Second
	// proposeTime is how long a change is proposed again and again.
	proposeTime = 6 * time.Second
)

// lossScript is a scripted test of losses: the name of the guarded failure and the steps.
type lossScript struct {
	name  string
	steps []string
}

// readLossScripts reads the scripts of a data file. A script begins with a line "script NAME"; each other
// line is a step. Lines that begin with "#" are comments.
func readLossScripts(t *testing.T, path string) []lossScript {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	var scripts []lossScript
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		name, begins := strings.CutPrefix(line, "script ")
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case begins:
			scripts = append(scripts, lossScript{name: name})
		default:
			last := &scripts[len(scripts)-1]
			last.steps = append(last.steps, line)
		}
	}
	return scripts
}

// lossRun plays a script on a cluster. Names stand for replicas; a replica that lost its disk keeps its name.
type lossRun struct {
	t     *testing.T
	c     *cluster
	names map[string]*member
}

// TestLosses guards against losses within what is tolerated, named by each script, after which the log has
// no leader any more.
func TestLosses(t *testing.T) {
	for _, script := range readLossScripts(t, "testdata/losses.txt") {
		t.Run(script.name, func(t *testing.T) {
			for seed := range uint64(lossSeeds) {
				run := &lossRun{t: t, names: map[string]*member{}}
				run.play(script, seed)
				require.NoError(t, run.c.linearizable(), "seed %d", seed)
			}
		})
	}
}

func (r *lossRun) play(script lossScript, seed uint64) {
	for _, step := range script.steps {
		words := strings.Fields(step)
		if words[0] == "replicas" {
			r.found(words[1:], seed)
			continue
		}
		r.step(words[0], words[1:])
	}
	r.requireServing(script.name, seed)
}

// found starts a cluster of replicas, each in the failure domain named. Only the first three vote at first, and the
// others join, as in a deployment that is founded by its seeds.
func (r *lossRun) found(domains []string, seed uint64) {
	r.c = newCluster(min(3, len(domains)), rand.New(rand.NewPCG(seed, 6)).IntN, noDefect)
	for i, m := range r.c.members {
		m.domain = domains[i]
	}
	r.c.describeMembers()
	r.c.reconcileAutomatically()
	require.NoError(r.t, r.c.converge())
	for _, domain := range domains[len(r.c.members):] {
		r.c.addMember().domain = domain
	}
	for i, m := range r.c.members {
		r.names["r"+strconv.Itoa(i)] = m
	}
	r.c.runFor(r.t, catchUpTime)
}

func (r *lossRun) step(verb string, arguments []string) {
	switch verb {
	case "wait":
		d, err := time.ParseDuration(arguments[0])
		require.NoError(r.t, err)
		r.c.runFor(r.t, d)
	case "name": // name NAME REPLICA
		r.names[arguments[0]] = r.replica(arguments[1])
	case "add": // add NAME REPLICA|FAILURE-DOMAIN
		domain := arguments[1]
		if of, ok := r.names[domain]; ok {
			domain = of.domain
		}
		r.names[arguments[0]] = r.c.addMember()
		r.names[arguments[0]].domain = domain
	case "split":
		r.split(arguments)
	case "heal":
		r.split(nil)
	case "propose":
		r.propose()
	default:
		for _, name := range arguments {
			r.stepOf(verb, name)
		}
	}
}

// stepOf plays a step that concerns each of its replicas alike.
func (r *lossRun) stepOf(verb, name string) {
	switch verb {
	case "end":
		r.replica(name).endForGood()
	case "kill":
		r.replica(name).up = false
	case "start":
		r.c.start(r.names[name])
	case "lose-disk":
		r.loseDisk(name)
	default:
		require.Fail(r.t, "unknown step", verb)
	}
}

// replica returns the replica with a name, or the leader, or one of the followers, counted from 1.
func (r *lossRun) replica(name string) *member {
	if m, ok := r.names[name]; ok {
		return m
	}
	leader := r.c.runUntilLed(r.t, ledWithin)
	if name == "leader" {
		return leader
	}
	n, err := strconv.Atoi(strings.TrimPrefix(name, "follower-"))
	require.NoError(r.t, err)
	for _, m := range r.c.activeMembers() {
		if m != leader {
			if n--; n == 0 {
				return m
			}
		}
	}
	require.Fail(r.t, "no such replica", name)
	return nil
}

func (r *lossRun) split(names []string) {
	for _, m := range r.c.members {
		m.side = 0
	}
	for _, name := range names {
		r.replica(name).side = 1
	}
}

// loseDisk makes a replica lose its disk. "start" starts it empty.
func (r *lossRun) loseDisk(name string) { r.names[name] = r.c.emptyDisk(r.replica(name)) }

// emptyDisk ends a replica, which loses its disk, and returns the replica that is to start at its address.
func (c *cluster) emptyDisk(m *member) *member {
	m.endForGood()
	fresh := c.addMember()
	fresh.address, fresh.domain, fresh.side, fresh.up = m.address, m.domain, m.side, false
	return fresh
}

// propose proposes changes until one is committed.
func (r *lossRun) propose() {
	accepted := r.c.acceptedChanges
	for end := r.c.now + proposeTime; r.c.now < end && r.c.acceptedChanges == accepted; {
		require.NoError(r.t, r.c.propose())
		require.NoError(r.t, r.c.tick())
		require.NoError(r.t, r.c.drain())
	}
	require.Greater(r.t, r.c.acceptedChanges, accepted, "a change was not committed:\n%s", r.c.describe())
}

// requireServing requires that within repairTime there is a leader that has all that was acknowledged and
// commits another change.
func (r *lossRun) requireServing(name string, seed uint64) {
	r.c.runFor(r.t, repairTime)
	require.NotNil(r.t, r.c.currentLeader(), "%s, seed %d: no leader any more:\n%s", name, seed, r.c.describe())
	r.propose()
}

// describeMembers states the failure domains of the replicas in the first membership.
func (c *cluster) describeMembers() {
	for _, m := range c.members {
		for _, r := range m.disk.snapshot.GetMembership().GetReplicas() {
			r.FailureDomain = c.member(r.GetId()).domain
		}
		c.start(m)
	}
}
