package gateway_test

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readOddAnswers reads the answers that are none.
func readOddAnswers(t *testing.T) map[string]string {
	t.Helper()
	file, err := os.Open(filepath.Join("..", "upstream", "testdata", "odd-answers.txt"))
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	out := map[string]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		name, quoted, found := strings.Cut(lines.Text(), ": ")
		require.True(t, found, lines.Text())
		out[name], err = strconv.Unquote(quoted)
		require.NoError(t, err, lines.Text())
	}
	require.NotEmpty(t, out)
	return out
}

// TestOddAnswerIsNotPassedOn guards against answers that are none, with an invalid status or an invalid field name, which
// the caller gets as answers of the target.
func TestOddAnswerIsNotPassedOn(t *testing.T) {
	for name, answer := range readOddAnswers(t) {
		for kind, number := range kinds {
			t.Run(name+", "+kind, func(t *testing.T) {
				odd := newRawStandin(t, "odd", func(conn net.Conn, r *http.Request) {
					_, _ = conn.Write([]byte(strings.ReplaceAll(answer, "ID", testID+": "+r.Header.Get(testID))))
				})
				r := newRig(t, configuration(1, number, 1, 20*time.Second), odd)
				got := r.send(t, http.MethodPost, "/r/x", "", nil)
				if got.err == nil {
					require.Equal(t, http.StatusBadGateway, got.status, got.body)
					require.NotContains(t, got.body, "whole")
				}
			})
		}
	}
}
