package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPace guards against a replica that is saturated by its followers: intervals must grow while its timers are late, stay
// bounded, and return.
func TestPace(t *testing.T) {
	p := newPace()
	require.Zero(t, p.termsFor(pacedFrom, pacedFromTargets, true), "few instances keep their own interval")
	require.Zero(t, p.termsFor(300, 50, false), "answers are small")
	calm := p.termsFor(300, 3000, true)
	require.Equal(t, 300*time.Millisecond, calm.interval)
	require.False(t, calm.shed)
	for range 100 {
		p.observe(time.Second)
	}
	require.NotZero(t, p.termsFor(300, 50, false), "small answers, and the replica is behind")
	late := p.termsFor(300, 3000, true)
	require.True(t, late.shed)
	require.Greater(t, late.interval, 3*calm.interval)
	require.LessOrEqual(t, late.interval, maxInterval)
	require.Less(t, 2*maxInterval, useTTL, "uses are reported before they expire")
	require.Less(t, late.bytesPerSecond, calm.bytesPerSecond)
	require.Zero(t, p.termsFor(pacedFrom, pacedFromTargets, true), "also while the replica is behind")
	for range 1000 {
		p.observe(0)
	}
	require.Equal(t, calm, p.termsFor(300, 3000, true))
}

// TestPaceOfAllFollowers guards against exchanges and bytes that grow faster than instances: the sums over all followers
// stay the same.
func TestPaceOfAllFollowers(t *testing.T) {
	p := newPace()
	for _, followers := range []int{3, 101, 300, 1100} {
		terms := p.termsFor(followers, 10*followers+pacedFromTargets, true)
		require.LessOrEqual(t, float64(followers)/terms.interval.Seconds(), 1000.1)
		require.LessOrEqual(t, followers*int(terms.bytesPerSecond), answerBytesPerSecond)
	}
}

// TestReconnectDelay checks that a replica that has stopped is tried again before it would be missed, and that replicas
// which lost each other together do not stay together.
func TestReconnectDelay(t *testing.T) {
	for failures := range 40 {
		require.LessOrEqual(t, reconnectDelay(failures, 1), 250*time.Millisecond)
		require.Less(t, reconnectDelay(failures, 0), reconnectDelay(failures, 1))
	}
	require.Less(t, reconnectDelay(0, 1), reconnectDelay(3, 0.5))
}
