package replog

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// resetElectionTimer draws a new election timeout, which starts now.
func (c *Core) resetElectionTimer() {
	c.electionDeadline = c.now + c.timing.Election + time.Duration(c.random.Int64N(int64(c.timing.Election)))
}

// hasRecentLeader reports whether this replica leads or received a message from a
// leader within the minimum election timeout. The replica then grants no vote.
func (c *Core) hasRecentLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.now < c.leaderContact+c.timing.Election
}

// campaign starts a pre-vote, which asks whether an election could be won without
// changing the term.
func (c *Core) campaign() {
	c.resetElectionTimer()
	if !c.isVoter() {
		return
	}
	c.become(PreCandidate, c.term)
	c.votes = map[string]bool{c.id: true}
	if c.majorityVoted() {
		c.startElection()
		return
	}
	c.requestVotes(wire.Kind_KIND_PRE_VOTE, c.term+1)
}

// startElection starts an election in the next term.
func (c *Core) startElection() {
	c.term++
	c.vote = c.id
	c.become(Candidate, c.term)
	c.saveState()
	c.votes = map[string]bool{c.id: true}
	if c.majorityVoted() {
		c.becomeLeader()
		return
	}
	c.requestVotes(wire.Kind_KIND_VOTE, c.term)
}

func (c *Core) requestVotes(kind wire.Kind, term uint64) {
	for _, id := range c.voters() {
		if id == c.id {
			continue
		}
		c.send(&wire.Message{Kind: kind, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm()})
	}
}

func (c *Core) majorityVoted() bool {
	voters := c.voters()
	n := 0
	for _, id := range voters {
		if c.votes[id] {
			n++
		}
	}
	return n > len(voters)/2
}

// upToDate reports whether the candidate's log holds every record that this replica
// may have acknowledged.
func (c *Core) upToDate(m *wire.Message) bool {
	last := c.log.lastTerm()
	return m.GetLogTerm() > last || m.GetLogTerm() == last && m.GetIndex() >= c.log.last()
}

func (c *Core) onPreVote(m *wire.Message) {
	grant := m.GetTerm() > c.term && c.upToDate(m) && !c.hasRecentLeader()
	reply := &wire.Message{Kind: wire.Kind_KIND_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: !grant}
	if grant {
		reply.Term = m.GetTerm()
	}
	c.send(reply)
}

func (c *Core) onPreVoteReply(m *wire.Message) {
	if c.role != PreCandidate || m.GetReject() || m.GetTerm() != c.term+1 {
		return
	}
	c.votes[m.GetFrom()] = true
	if c.majorityVoted() {
		c.startElection()
	}
}

func (c *Core) onVote(m *wire.Message) {
	grant := (c.vote == "" || c.vote == m.GetFrom()) && c.upToDate(m) && !c.hasRecentLeader()
	if grant && c.vote == "" {
		c.vote = m.GetFrom()
		c.saveState()
	}
	if grant {
		c.resetElectionTimer()
	}
	c.send(&wire.Message{Kind: wire.Kind_KIND_VOTE_REPLY, To: m.GetFrom(), Reject: !grant})
}

func (c *Core) onVoteReply(m *wire.Message) {
	if c.role != Candidate || m.GetReject() {
		return
	}
	c.votes[m.GetFrom()] = true
	if c.majorityVoted() {
		c.becomeLeader()
	}
}

// becomeLeader makes this replica the leader of its term and appends an empty record,
// whose commit also commits the remaining records of earlier terms.
func (c *Core) becomeLeader() {
	c.become(Leader, c.term)
	c.leader = c.id
	c.replicaProgress = map[string]*progress{}
	c.leaving = map[string]time.Duration{}
	c.roundTime = map[uint64]time.Duration{}
	c.hasLease = false
	c.ledSince, c.whole = c.now, wholeVoters{}
	c.nextHeartbeat = c.now + c.timing.Heartbeat
	c.nextRound()
	c.appendAsLeader(&wire.Entry{})
	c.lastLeader = ""
}
