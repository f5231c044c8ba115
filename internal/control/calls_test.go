package control_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestCancelledCall guards against a call to a replica that runs after its caller has left, and
// then writes variables that the caller uses.
func TestCancelledCall(t *testing.T) {
	dir, err := storage.NewDir(t.TempDir())
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		node, end := startNode(ctx, dir)
		release, blocked := make(chan struct{}), make(chan error, 1)
		go func() { blocked <- node.Read(ctx, false, func(*replog.Core, *control.State) { <-release }) }()
		synctest.Wait() // the replica is busy
		called, cancel := context.WithCancel(ctx)
		ran := false
		read, identified := make(chan error, 1), make(chan *wire.ReplicaIdentity, 1)
		go func() { read <- node.Read(called, false, func(*replog.Core, *control.State) { ran = true }) }()
		go func() {
			out, _ := node.Identity(called) // its error is that of Read
			identified <- out
		}()
		synctest.Wait() // both calls are queued
		cancel()
		require.ErrorIs(t, <-read, context.Canceled)
		identity := <-identified
		close(release)
		require.NoError(t, <-blocked)
		require.NoError(t, node.Read(ctx, false, func(*replog.Core, *control.State) {})) // all earlier calls have run
		require.Empty(t, identity.GetId(), "written after the caller had left")
		require.False(t, ran, "run after the caller had left")
		stop()
		require.NoError(t, <-end)
	})
}
