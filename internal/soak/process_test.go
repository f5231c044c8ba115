package soak_test

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWatchHoldsNoTwoLocks guards against a deadlock of a process that exits unexpectedly while a
// fault that records findings starts or ends processes.
func TestWatchHoldsNoTwoLocks(t *testing.T) {
	command := exec.Command("true")
	require.NoError(t, command.Start())
	log, err := os.CreateTemp(t.TempDir(), "log")
	require.NoError(t, err)
	c, p := &cluster{}, &process{name: "p", command: command, exited: make(chan struct{})}
	c.mu.Lock()
	go c.watch(p, command, p.exited, log)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.command == nil
	}, 20*time.Second, time.Millisecond)
	c.mu.Unlock()
	<-p.exited
	require.Len(t, c.findings, 1)
}
