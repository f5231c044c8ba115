package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAnswerThatEndsWithItsConnection guards against a sound part that is held back for ever because all answers end
// with their connections, as those of crashed targets can: the target that lives on shows that an answer was whole.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	const crashesThatHold = 5 // of a part that was answered whole before
	for _, c := range []struct {
		behaviour string
		status    int // of the request after one crash fewer than hold the part back, the answer, and one more crash
	}{
		{"stream:unframed", http.StatusOK},
		{"stream:unframed-crash", http.StatusServiceUnavailable},
	} {
		t.Run(c.behaviour, func(t *testing.T) {
			r, targets := newCrashRig(t, crashesThatHold+1, 0, false)
			crash := func(n int) {
				r.updateTargets(targets[n])
				got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testID: fmt.Sprint("crash-", n), testParts: "system"})
				require.Error(t, got.err, "cut off")
			}
			for n := range crashesThatHold - 1 {
				crash(n)
			}
			unframed := newStandin(t, "unframed", c.behaviour)
			r.updateTargets(unframed)
			r.send(t, http.MethodPost, "/r/x", "", map[string]string{testID: "unframed", testParts: "system"})
			r.awaitMetric(t, "vanillaward_target_survival_total")
			crash(crashesThatHold - 1)
			sound := newStandin(t, "sound-again", "stream:")
			r.updateTargets(sound)
			got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testID: "after", testParts: "system"})
			require.Equal(t, c.status, got.status)
		})
	}
}
