package trace_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/trace"
)

// TestTraces replays and checks each trace in testdata. Lines "# broken LINE: promise"
// state the expected violations; a trace without violations starts with "# sound".
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	violated := map[trace.Promise]bool{}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			data, err := os.ReadFile(name)
			require.NoError(t, err)
			events, err := trace.Read(strings.NewReader(string(data)))
			require.NoError(t, err)
			var got []string
			for _, v := range append(trace.Replay(events), trace.Check(events)...) {
				got = append(got, strings.SplitN(v.String(), ": ", 3)[0]+": "+string(v.Promise()))
				violated[v.Promise()] = true
			}
			require.ElementsMatch(t, expectedViolations(string(data)), got)
		})
	}
	for _, p := range []trace.Promise{
		trace.OneGeneration, trace.CompleteAnswer, trace.NotRunNeverRuns, trace.AtMostOnce, trace.NoNewWork,
		trace.GracefulStop, trace.NeverReverts, trace.SameDecision,
	} {
		require.True(t, violated[p], "no trace in testdata violates the promise: %s", p)
	}
}

func expectedViolations(data string) []string {
	var out []string
	for _, line := range strings.Split(data, "\n") {
		if violation, ok := strings.CutPrefix(line, "# broken "); ok {
			out = append(out, violation)
		}
	}
	return out
}

// TestReadMalformedLine checks that the error for a malformed line contains its number.
func TestReadMalformedLine(t *testing.T) {
	_, err := trace.Read(strings.NewReader("{\"at-ms\":1,\"event\":\"arrive\"}\n{\"unknown\":1}\n"))
	require.ErrorContains(t, err, "line 2")
}
