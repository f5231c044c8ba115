package trace_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/trace"
)

// TestScripts replays and checks each trace of testdata. Its first line states
// the expected violations: "# sound", or "# broken LINE: promise" for each.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	broken := map[trace.Promise]bool{}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			data, err := os.ReadFile(name)
			require.NoError(t, err)
			events, err := trace.Read(strings.NewReader(string(data)))
			require.NoError(t, err)
			var got []string
			for _, v := range append(trace.Replay(events), trace.Check(events)...) {
				got = append(got, strings.SplitN(v.String(), ": ", 3)[0]+": "+string(v.Promise()))
				broken[v.Promise()] = true
			}
			require.ElementsMatch(t, statedViolations(string(data)), got)
		})
	}
	for _, p := range []trace.Promise{
		trace.OneGeneration, trace.WholeAnswer, trace.NotRunIsTrue, trace.AtMostOnce, trace.NoNewWork,
		trace.GracefulStop, trace.NeverReverts, trace.SameDecision,
	} {
		require.True(t, broken[p], "no script breaks the promise: %s", p)
	}
}

func statedViolations(data string) []string {
	var out []string
	for _, line := range strings.Split(data, "\n") {
		if stated, ok := strings.CutPrefix(line, "# broken "); ok {
			out = append(out, stated)
		}
	}
	return out
}

// TestReadFindings reports a malformed line with its number.
func TestReadFindings(t *testing.T) {
	_, err := trace.Read(strings.NewReader("{\"at-ms\":1,\"event\":\"arrive\"}\n{\"unknown\":1}\n"))
	require.ErrorContains(t, err, "line 2")
}
