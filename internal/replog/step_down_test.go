package replog_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestLeaderThatIsNotKnownYetIsNotAbandoned guards against a vote for another replica while the leader holds a lease: a replica
// that lags has an older membership, of before its leader voted, which does not mean that the leader has stepped down.
func TestLeaderThatIsNotKnownYetIsNotAbandoned(t *testing.T) {
	replicas := func(ids ...string) *wire.Membership {
		m := &wire.Membership{}
		for _, id := range ids {
			m.Replicas = append(m.Replicas, &wire.Replica{Id: id, Address: id})
		}
		return m
	}
	const term = 5
	for name, c := range map[string]struct {
		last    *wire.Entry // the newest record of the replica, at index 2
		commit  uint64      // as the leader states it
		granted bool
	}{
		"leader has stepped down":         {&wire.Entry{Index: 2, Term: term, Membership: replicas("a", "b", "c")}, 2, true},
		"record of an earlier term":       {&wire.Entry{Index: 2, Term: term - 1, Membership: replicas("a", "b", "c")}, 2, false},
		"not committed yet":               {&wire.Entry{Index: 2, Term: term, Membership: replicas("a", "b", "c")}, 1, false},
		"more is committed than is known": {&wire.Entry{Index: 2, Term: term, Membership: replicas("a", "b", "c")}, 3, false},
		"leader votes":                    {&wire.Entry{Index: 2, Term: term, Membership: replicas("a", "b", "leader")}, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			from := replog.Durable{
				HardState: &wire.HardState{Term: term - 1},
				Snapshot:  &wire.Snapshot{Index: 1, Term: 1, Membership: replicas("a", "b", "c")},
				Entries:   []*wire.Entry{c.last},
			}
			core := replog.New("a", replog.DefaultTiming(), rand.New(rand.NewPCG(1, 1)), now-time.Minute, from)
			core.Receive(now, &wire.Message{Kind: wire.Kind_KIND_APPEND, From: "leader", To: "a", Term: term, Index: 2, LogTerm: c.last.GetTerm(), Commit: c.commit})
			actions := core.Receive(now, &wire.Message{Kind: wire.Kind_KIND_VOTE, From: "b", To: "a", Term: term + 1, Index: 9, LogTerm: term})
			granted := false
			for _, a := range actions {
				if send, ok := a.(replog.Send); ok && send.Message.GetKind() == wire.Kind_KIND_VOTE_REPLY {
					granted = !send.Message.GetReject()
				}
			}
			require.Equal(t, c.granted, granted)
		})
	}
}
