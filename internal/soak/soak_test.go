// Package soak_test runs the programs of a whole deployment as separate processes on
// loopback, disturbs them and their links from outside at random, and checks what callers,
// targets and the operator see. docs/dev/SOAK.md tells how to run many seeds.
package soak_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seedCount = flag.Int("soak.seeds", 2, "number of seeds to run beside the kept ones")
	firstSeed = flag.Uint64("soak.first", 1, "first of them")
	length    = flag.Duration("soak.length", 8*time.Second, "time with faults, for each seed")
	keepLogs  = flag.String("soak.logs", "", "folder for the logs of the processes; empty keeps none")
)

const (
	// startTime bounds the start of a deployment and recoverTime its recovery after the
	// last fault. Only a deployment that never works exceeds them.
	startTime   = time.Minute
	recoverTime = time.Minute
	recoverPoll = 100 * time.Millisecond
	// Networks of a run: 127.firstNetwork and above, so that no other test's numbers are
	// used.
	firstNetwork, networks = 211, 40
)

// keptSeeds reads the seeds that failed once; each line tells why behind the seed.
func keptSeeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", "seeds.txt"))
	require.NoError(t, err)
	defer func() { _ = file.Close() }() // it was only read
	var out []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), " ")
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		out = append(out, seed)
	}
	return out
}

// TestSoak runs the kept seeds and some more.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "vanillaward")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/vanillaward").CombinedOutput()
	require.NoError(t, err, string(out))
	seeds := keptSeeds(t)
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for i, seed := range seeds {
		prefix := fmt.Sprintf("127.%d.%d.", firstNetwork+os.Getpid()%networks, 1+i%250)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, binary, prefix, seed)
		})
	}
}

func soak(t *testing.T, binary, prefix string, seed uint64) {
	t.Helper()
	disks := t.TempDir()
	logs := disks
	if *keepLogs != "" {
		logs = filepath.Join(*keepLogs, fmt.Sprint("seed-", seed))
		require.NoError(t, os.RemoveAll(logs))
		require.NoError(t, os.MkdirAll(logs, 0o750))
	}
	c, err := newCluster(disks, logs, binary, prefix)
	require.NoError(t, err)
	t.Cleanup(c.close) // also after a start that failed
	require.NoError(t, c.open())
	l := newLoad(c)
	random := rand.New(rand.NewPCG(seed, 1<<34))
	l.start(t)
	steps := makePlan(seed, *length)
	disturb(c, l, seed, steps)
	require.NoError(t, c.startAll(false))
	last := settle(func() string { return l.recovered(random) }, recoverTime)
	if last != "" {
		c.found("not recovered after %s: %s", recoverTime, last)
	}
	c.close()
	findings := slices.Concat(c.findings, l.findings())
	t.Logf("seed %d: %d steps, %d reads, version %d, requests by status %v", seed, len(steps), l.reads, l.acked(), l.counts())
	if len(findings) > 0 {
		for _, s := range steps {
			t.Log(s)
		}
	}
	require.Empty(t, findings, "seed %d", seed)
}

// start waits until the first configuration is in force.
func (l *load) start(t *testing.T) {
	t.Helper()
	version, body := l.next()
	failed := settle(func() string {
		if !l.put(0, version, body) {
			return "the first configuration is not acknowledged"
		}
		return l.recovered(rand.New(rand.NewPCG(version, 1<<35)))
	}, startTime)
	require.Empty(t, failed)
}

// settle asks until there is no reason left why not, or for so long. It returns the last
// reason.
func settle(why func() string, atMost time.Duration) string {
	for end := time.Now().Add(atMost); ; time.Sleep(recoverPoll) {
		last := why()
		if last == "" || time.Now().After(end) {
			return last
		}
	}
}

// disturb carries out the steps at their times while there is load.
func disturb(c *cluster, l *load, seed uint64, steps []step) {
	ctx, cancel := context.WithCancel(context.Background())
	var loading, disturbing sync.WaitGroup
	loading.Go(func() { l.run(ctx, seed) })
	start := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(start.Add(s.at)))
		disturbing.Go(func() { c.do(s) })
	}
	disturbing.Wait()
	c.net.heal()
	cancel()
	loading.Wait()
}
