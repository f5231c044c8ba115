package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/timer"
)

// deadlineRecorder is a recorder that takes write deadlines, as the writers of net/http do.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// TestEventRestartsLimit guards against a long stream that is taken from a sound engine because it lasts longer than
// the time limit of an attempt.
func TestEventRestartsLimit(t *testing.T) {
	w := deadlineRecorder{httptest.NewRecorder()}
	req := &request{server: &Server{base: base.Base{Timers: timer.New()}}, w: w, deadline: time.Hour}
	req.stream.limit = req.limitAttempt(func() {})
	require.True(t, req.stream.limit.timer.Stop())
	require.NoError(t, req.passEvent(http.NewResponseController(w), []byte("id: 1\ndata: a\n\n"), true))
	require.True(t, req.stream.limit.timer.Stop(), "the limit runs again")
}
