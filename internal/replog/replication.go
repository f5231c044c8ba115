package replog

import (
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// snapshotRetryHeartbeats is how many heartbeats a leader waits before it sends
// a snapshot again.
const snapshotRetryHeartbeats = 10

func (c *Core) tickLeader() {
	if !c.checkMajority() || c.now < c.nextHeartbeat {
		return
	}
	c.nextHeartbeat = c.now + c.timing.Heartbeat
	c.nextRound()
	c.broadcast()
}

// checkMajority steps down when no majority has answered within the maximum election
// timeout, which is twice the minimum. It reports whether the replica still leads.
func (c *Core) checkMajority() bool {
	voters := c.voters()
	n := 0
	for _, id := range voters {
		p := c.replicaProgress[id]
		if id == c.id || p != nil && c.now < p.lastContact+2*c.timing.Election {
			n++
		}
	}
	if n > len(voters)/2 {
		return true
	}
	c.become(Follower, c.term)
	c.leader = ""
	c.resetElectionTimer()
	return false
}

func (c *Core) nextRound() {
	c.round++
	c.roundTime[c.round] = c.now
	c.updateLease()
}

// updateLease extends the lease, which is measured from the start of the newest heartbeat
// round that a majority answered.
func (c *Core) updateLease() {
	round := c.quorumValue(func(id string) uint64 {
		if id == c.id {
			return c.round
		}
		if p := c.replicaProgress[id]; p != nil {
			return p.round
		}
		return 0
	})
	start, ok := c.roundTime[round]
	if !ok {
		return
	}
	c.leaseStart, c.hasLease = start, true
	for r := range c.roundTime {
		if r < round {
			delete(c.roundTime, r)
		}
	}
}

// appendAsLeader appends a record of the leader's term, replicates it and returns its
// index.
func (c *Core) appendAsLeader(e *wire.Entry) uint64 {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.append(e)
	c.emit(SaveEntries{Entries: []*wire.Entry{e}})
	c.advanceCommit()
	c.broadcast()
	return e.GetIndex()
}

func (c *Core) broadcast() {
	isMember := map[string]bool{}
	for _, r := range c.Membership().GetReplicas() {
		id := r.GetId()
		isMember[id] = true
		if id == c.id {
			continue
		}
		p := c.replicaProgress[id]
		if p == nil {
			p = &progress{next: c.log.last() + 1, lastContact: c.now}
			if id == c.lastLeader {
				p.lastContact = c.leaderContact // its silence led to the election
			}
			c.replicaProgress[id] = p
		}
		c.replicate(id, p)
	}
	for id := range c.replicaProgress {
		if !isMember[id] {
			delete(c.replicaProgress, id)
		}
	}
}

// replicate sends the records that the replica lacks, or an empty append as a
// heartbeat.
func (c *Core) replicate(id string, p *progress) {
	prevIndex := p.next - 1
	term, held := c.log.term(prevIndex)
	if !held {
		c.sendSnapshot(id, p)
		return
	}
	entries := boundEntries(c.log.between(prevIndex, c.log.last()))
	c.send(&wire.Message{
		Kind: wire.Kind_KIND_APPEND, To: id, Index: prevIndex, LogTerm: term,
		Entries: entries, Commit: c.commit, Round: c.round,
	})
	p.next += uint64(len(entries))
}

func boundEntries(entries []*wire.Entry) []*wire.Entry {
	size := 0
	for i, e := range entries {
		size += len(e.GetData())
		if i > 0 && (i >= maxAppendEntries || size > maxAppendBytes) {
			return entries[:i]
		}
	}
	return entries
}

func (c *Core) sendSnapshot(id string, p *progress) {
	if c.snapshot == nil || p.snapshotSent > 0 && c.now < p.snapshotSent+snapshotRetryHeartbeats*c.timing.Heartbeat {
		return
	}
	p.snapshotSent = c.now
	c.send(&wire.Message{Kind: wire.Kind_KIND_SNAPSHOT, To: id, Snapshot: c.snapshot, Commit: c.commit, Round: c.round})
}

// acceptLeader accepts a replica as the leader of the term.
func (c *Core) acceptLeader(leader string) {
	if c.role != Follower {
		c.become(Follower, c.term)
	}
	c.leader, c.lastLeader = leader, leader
	c.leaderContact = c.now
	c.resetElectionTimer()
}

func (c *Core) onAppend(m *wire.Message) {
	c.acceptLeader(m.GetFrom())
	c.leaderCommit = max(c.leaderCommit, m.GetCommit())
	reply := &wire.Message{Kind: wire.Kind_KIND_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	prevIndex := m.GetIndex()
	if prevIndex > c.commit {
		if term, ok := c.log.term(prevIndex); !ok || term != m.GetLogTerm() {
			reply.Reject = true
			reply.Hint = min(c.log.last(), prevIndex-1)
			c.send(reply)
			return
		}
	}
	c.appendMissing(m.GetEntries())
	matched := prevIndex + uint64(len(m.GetEntries()))
	c.commitTo(min(m.GetCommit(), matched))
	reply.Index = matched
	c.send(reply)
	c.noteLeaderWithoutVote(m.GetCommit())
}

// appendMissing appends the records that this log lacks and truncates a conflicting
// suffix. Committed records never conflict.
func (c *Core) appendMissing(entries []*wire.Entry) {
	for i, e := range entries {
		if e.GetIndex() <= c.commit {
			continue
		}
		term, held := c.log.term(e.GetIndex())
		if held && term == e.GetTerm() {
			continue
		}
		save := SaveEntries{Entries: entries[i:]}
		if held {
			save.TruncateFrom = e.GetIndex()
			c.log.truncate(e.GetIndex())
		}
		c.log.append(entries[i:]...)
		c.emit(save)
		return
	}
}

func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	entries := c.log.between(c.commit, index)
	c.commit = index
	c.emit(Apply{entries})
}

func (c *Core) onAppendReply(m *wire.Message) {
	p := c.replicaProgress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.lastContact, p.answered = c.now, true
	p.round = max(p.round, m.GetRound())
	c.updateLease()
	if m.GetReject() {
		p.next = max(p.match+1, min(p.next, m.GetHint()+1))
		c.replicate(m.GetFrom(), p)
		return
	}
	p.match = max(p.match, m.GetIndex())
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if c.role == Leader && p.next <= c.log.last() {
		c.replicate(m.GetFrom(), p)
	}
}

// committedInTerm reports whether a record of the leader's own term is committed,
// so that its commit index is current.
func (c *Core) committedInTerm() bool {
	term, ok := c.log.term(c.commit)
	return ok && term == c.term
}

// advanceCommit commits the records that a majority holds. Records of earlier terms
// are committed only together with one of the current term.
func (c *Core) advanceCommit() {
	index := c.quorumValue(c.MatchIndex)
	if index <= c.commit {
		return
	}
	if term, ok := c.log.term(index); !ok || term != c.term {
		return
	}
	c.commitTo(index)
	if !c.isVoter() {
		c.broadcast() // so that the others elect at once, see noteLeaderWithoutVote
		c.become(Follower, c.term)
		c.leader = ""
		c.resetElectionTimer()
	}
}

// noteLeaderWithoutVote begins an election soon if the leader has no vote any more. A leader steps down when the
// membership without its vote is committed, and with its last message says so. It has then no lease, so that votes may be granted
// at once. Only a record of the leader's own term shows that the membership is not an older one, of before it voted.
func (c *Core) noteLeaderWithoutVote(leaderCommit uint64) {
	latest, index := c.log.latestMembership()
	if c.commit != leaderCommit || index > c.commit || !c.committedInTerm() || slices.Contains(voterIDs(latest), c.leader) {
		return
	}
	c.leader = ""
	c.leaderContact = c.now - c.timing.Election
	c.electionDeadline = c.now + time.Duration(c.random.Int64N(int64(c.timing.Heartbeat)))
}

func (c *Core) onSnapshot(m *wire.Message) {
	c.acceptLeader(m.GetFrom())
	c.leaderCommit = max(c.leaderCommit, m.GetCommit())
	s := m.GetSnapshot()
	if s.GetIndex() > c.commit {
		// Records that follow the snapshot in a matching log were acknowledged and must
		// be kept.
		if term, held := c.log.term(s.GetIndex()); held && term == s.GetTerm() {
			c.log.compact(s.GetIndex())
		} else {
			c.log.reset(s)
		}
		c.snapshot = s
		c.commit = s.GetIndex()
		c.emit(SaveSnapshot{s})
		c.emit(Restore{s})
	}
	c.send(&wire.Message{Kind: wire.Kind_KIND_APPEND_REPLY, To: m.GetFrom(), Index: s.GetIndex(), Round: m.GetRound()})
}
