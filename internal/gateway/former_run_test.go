package gateway

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/telemetry"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// namingEngines run the request "r", and count the moves.
type namingEngines struct {
	vanillaward.Engines
	asked func() // called with each question
	moves int
}

func (e *namingEngines) Runs(context.Context, string) (vanillaward.EngineRuns, error) {
	e.asked()
	return vanillaward.EngineRuns{Requests: []string{"r"}, Running: 1}, nil
}

func (e *namingEngines) Move(context.Context, vanillaward.Move) (vanillaward.MoveResult, error) {
	e.moves++
	return vanillaward.MoveResult{Handle: "h"}, nil
}

// engineWithID returns an engine; all are at one address.
func engineWithID(t *testing.T, id string) *balance.Target {
	t.Helper()
	b := balance.New("d", rand.New(rand.NewPCG(1, 1)))
	b.Update([]*wire.Target{{
		Id: id, Service: "s", Address: "127.0.0.1:1", FailureDomain: "d", Slots: 8, State: wire.TargetState_TARGET_STATE_READY, Engine: true,
	}}, 0)
	got := b.ByIdentity(id)
	require.NotNil(t, got)
	return got
}

// TestRunThatCameBackIsNotStopped guards against a run that is stopped where it goes on, since it was there
// before: it came back while its engine was asked, or to a new lifetime of it.
func TestRunThatCameBackIsNotStopped(t *testing.T) {
	for name, c := range map[string]struct {
		id     string
		before bool // it is back before the question
	}{
		"while the engine is asked": {id: "a", before: false},
		"to a new lifetime":         {id: "b", before: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := &namingEngines{}
			g := &Server{
				base: base.Base{Timers: timer.New(), Log: logr.Discard(), Metrics: telemetry.NewMetrics()}, engines: e, runs: map[*run]struct{}{},
				former: map[string]*formerEngine{}, formerDue: make(chan *formerEngine, maxFormerRuns), unused: make(chan unusedCopy, freeQueue),
			}
			comeBack := func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.runs[&run{request: "r", engine: engineWithID(t, c.id)}] = struct{}{}
			}
			e.asked = func() {}
			if c.before {
				comeBack()
			} else {
				e.asked = comeBack
			}
			f := formerRun{request: "r", destination: "127.0.0.1:2", since: g.base.Timers.Now(), deadline: time.Hour}
			require.True(t, g.addFormer(engineWithID(t, "a"), f))
			g.askFormer(t.Context(), <-g.formerDue)
			require.Zero(t, e.moves)
		})
	}
}
