// Package telemetry provides logs and metrics.
package telemetry

import (
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// Levels of logs.
const (
	LevelError = "error"
	LevelInfo  = "info"
	LevelDebug = "debug"
)

// NewLog returns a logger that writes the lines of a level and of more severe levels as
// JSON.
func NewLog(w io.Writer, level string) logr.Logger {
	var mu sync.Mutex
	verbosity := 0
	if level == LevelDebug {
		verbosity = 1
	}
	log := funcr.NewJSON(func(line string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(w, line+"\n") // the error cannot be reported anywhere
	}, funcr.Options{
		LogTimestamp:    true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		Verbosity:       verbosity,
		RenderBuiltinsHook: func(kv []any) []any {
			// The first pair is the logger's name, which is not used.
			return kv[2:]
		},
	})
	if level == LevelError {
		return log.V(1) // Info lines are dropped, errors are not
	}
	return log
}
