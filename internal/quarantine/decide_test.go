package quarantine_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/quarantine"
)

// TestDecide plays the scripts in testdata. They guard against requests that go on to engines
// which crash on a part of their prompts, and against holding back sound parts.
func TestDecide(t *testing.T) { playScripts(t, "decide.txt") }

// playScripts plays the scripts of a file.
func playScripts(t *testing.T, name string) {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name))
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	var ledger *quarantine.Ledger
	script := ""
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if next, ok := strings.CutPrefix(line, "script: "); ok {
			script, ledger = next, quarantine.New("i")
			continue
		}
		if line != "" && !strings.HasPrefix(line, "#") {
			playLine(t, ledger, fmt.Sprintf("%s, line %d: %s", script, number, line), strings.Fields(line))
		}
	}
	require.NoError(t, lines.Err())
}

func playLine(t *testing.T, ledger *quarantine.Ledger, place string, words []string) {
	t.Helper()
	seconds, err := strconv.ParseFloat(words[0], 64)
	require.NoError(t, err, place)
	now := time.Duration(seconds * float64(time.Second))
	switch parts := words[2:]; words[1] {
	case "crash":
		ledger.Crashed(place, parts[0], parts[1:], 0, now)
	case "beside": // a request that the engine had been answering for longer
		ledger.Crashed(place, parts[0], parts[1:], quarantine.JustBegun/2, now)
	case "perhaps": // a request whose answer had not begun
		ledger.MayHaveCrashed(place, parts[0], parts[1:], now-time.Second, now, now)
	case "whole":
		ledger.Answered(parts, now)
	case "sent":
		require.Nil(t, ledger.Check(parts, now), place)
	case "held":
		held := ledger.Check(parts, now)
		require.NotNil(t, held, place)
		require.Positive(t, held.Wait, place)
	default:
		t.Fatal(place)
	}
}
