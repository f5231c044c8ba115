package settings_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/timer"
)

const seededSettings = `[instance]
name = one
failure-domain = z
roles = gateway
[listen]
callers = 10.0.0.1:1
readiness = 10.0.0.1:2
peers = 10.0.0.1:3
health = 10.0.0.1:4
[control]
seeds = 10.0.0.7:99, 10.0.0.8:99
`

// TestSeeded checks that a gateway derives the addresses of its replicas from the seeds
// and its own port for peers, and that a missing setting is reported with its line and key.
func TestSeeded(t *testing.T) {
	s, found := settings.Parse("one.ini", []byte(seededSettings))
	require.NoError(t, found.Err())
	require.Equal(t, []string{"10.0.0.7:3", "10.0.0.8:3"}, s.SeedPeers())
	for removed, want := range map[string]string{
		"readiness = 10.0.0.1:2\n":           "one.ini:6: callers: the role gateway needs addresses for callers and readiness",
		"seeds = 10.0.0.7:99, 10.0.0.8:99\n": "one.ini:10: seeds: the role gateway needs seeds",
		"roles = gateway\n":                  "one.ini:1: roles: required key is missing from section [instance]",
	} {
		_, found := settings.Parse("one.ini", []byte(strings.Replace(seededSettings, removed, "", 1)))
		require.ErrorContains(t, found.Err(), want)
	}
}

// TestSeedsChange checks that changed seeds in the file are applied, and that a file that
// cannot be used changes nothing.
func TestSeedsChange(t *testing.T) {
	file := filepath.Join(t.TempDir(), "one.ini")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(seededSettings)
	s, err := settings.Load(file)
	require.NoError(t, err)
	seeds := settings.NewSeeds(logr.Discard(), timer.New(), file, s)
	ctx, cancel := context.WithCancel(context.Background())
	reload := make(chan os.Signal, 1)
	done := seeds.Run(ctx, reload)
	write(strings.Replace(seededSettings, "10.0.0.7:99, 10.0.0.8:99", "10.0.0.9:99", 1))
	require.Eventually(t, func() bool { return len(seeds.Peers()) == 1 }, 20*time.Second, 10*time.Millisecond, "seeds change without a signal")
	write("[nonsense")
	reload <- os.Interrupt
	write(strings.Replace(seededSettings, "10.0.0.7:99, 10.0.0.8:99", "10.0.0.5:99, 10.0.0.6:99, 10.0.0.4:99", 1))
	reload <- os.Interrupt
	require.Eventually(t, func() bool { return len(seeds.Peers()) == 3 }, 20*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}
