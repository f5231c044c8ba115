package replog

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// postpone draws a new time to campaign.
func (c *Core) postpone() {
	c.deadline = c.now + c.timing.Election + time.Duration(c.random.Int64N(int64(c.timing.Election)))
}

// hearsLeader reports whether a leader was heard too recently for a vote.
func (c *Core) hearsLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.now < c.heard+c.timing.Election
}

// campaign asks whether an election could be won, without touching the term.
func (c *Core) campaign() {
	c.postpone()
	if !c.isVoter() {
		return
	}
	c.become(PreCandidate, c.term)
	c.votes = map[string]bool{c.id: true}
	if c.majorityVoted() {
		c.elect()
		return
	}
	c.requestVotes(wire.Kind_KIND_PRE_VOTE, c.term+1)
}

// elect starts a real election in the next term.
func (c *Core) elect() {
	c.term++
	c.vote = c.id
	c.become(Candidate, c.term)
	c.saveState()
	c.votes = map[string]bool{c.id: true}
	if c.majorityVoted() {
		c.lead()
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

// upToDate reports whether the candidate's log holds all that this one may have
// acknowledged.
func (c *Core) upToDate(m *wire.Message) bool {
	last := c.log.lastTerm()
	return m.GetLogTerm() > last || m.GetLogTerm() == last && m.GetIndex() >= c.log.last()
}

func (c *Core) onPreVote(m *wire.Message) {
	grant := m.GetTerm() > c.term && c.upToDate(m) && !c.hearsLeader()
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
		c.elect()
	}
}

func (c *Core) onVote(m *wire.Message) {
	grant := (c.vote == "" || c.vote == m.GetFrom()) && c.upToDate(m) && !c.hearsLeader()
	if grant && c.vote == "" {
		c.vote = m.GetFrom()
		c.saveState()
	}
	if grant {
		c.postpone()
	}
	c.send(&wire.Message{Kind: wire.Kind_KIND_VOTE_REPLY, To: m.GetFrom(), Reject: !grant})
}

func (c *Core) onVoteReply(m *wire.Message) {
	if c.role != Candidate || m.GetReject() {
		return
	}
	c.votes[m.GetFrom()] = true
	if c.majorityVoted() {
		c.lead()
	}
}

// lead starts to lead the term: an empty record commits what earlier terms left.
func (c *Core) lead() {
	c.become(Leader, c.term)
	c.leader = c.id
	c.elected = c.now
	c.others = map[string]*progress{}
	c.roundTime = map[uint64]time.Duration{}
	c.leased = false
	c.beat = c.now + c.timing.Heartbeat
	c.nextRound()
	c.appendOwn(&wire.Entry{})
}
