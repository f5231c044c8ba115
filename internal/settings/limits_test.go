package settings_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/settings"
)

// TestLimitsLeaveRoom guards against limits that refuse what is legal.
func TestLimitsLeaveRoom(t *testing.T) {
	for text, want := range map[string]string{
		"[limits]\nmax-connections = 100\nmax-unread-heads = 101\n": "max-unread-heads: above max-connections, 100",
		"[limits]\nmax-connections = 0\n":                           "max-connections",
		"[limits]\nbody-memory = 1KiB\n":                            "body-memory",
		"[limits]\npeer-memory = 15MiB\n":                           "peer-memory",
	} {
		_, found := settings.Parse("one.ini", []byte(seededSettings+text))
		require.ErrorContains(t, found.Err(), want)
	}
	control := strings.Replace(seededSettings, "[listen]\n", "data-folder = d\n[listen]\noperators = 10.0.0.1:9\n", 1)
	control = strings.Replace(control, "roles = gateway", "roles = control", 1)
	_, found := settings.Parse("one.ini", []byte(control+"[limits]\nbody-memory = 15MiB\n"))
	require.ErrorContains(t, found.Err(), "below 16777216 bytes, the largest configuration")
}
