package engineapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadLoadCut guards against a report that was cut being used: at no byte does it give a
// load, but at the last.
func TestReadLoadCut(t *testing.T) {
	const whole = `{"model":"m","running":11,"used-tokens":3}`
	var answer string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Transfer-Encoding", "identity") // makes net/http send neither a length nor chunks
		_, _ = w.Write([]byte(answer))
	}))
	defer server.Close()
	for end := range len(whole) + 1 {
		answer = whole[:end]
		load, err := ReadLoad(context.Background(), http.DefaultClient, server.Listener.Addr().String())
		require.Equal(t, end == len(whole), err == nil, "%q: %v", answer, err)
		require.Equal(t, err == nil, load != nil, "%q: a load together with an error", answer)
	}
}
