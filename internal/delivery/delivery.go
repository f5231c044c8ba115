// Package delivery decides, for one request, what reaches the caller: each token
// once, in order and from a single generation, and exactly one outcome. It is a
// pure state machine; it opens no connection and reads no clock.
//
// A generation that is lost before any token was delivered is restarted without a
// comparison. One that is lost after the caller received tokens is run again with
// the same seed. The tokens that were already delivered are then withheld and
// compared by a running hash; if they differ, the request ends as incomplete, so
// that tokens of two generations are never mixed.
package delivery

import "hash/maphash"

// Outcome is the final answer to a request. A request has exactly one.
type Outcome string

// Outcomes.
const (
	// Complete means that the caller received the complete answer.
	Complete Outcome = "complete"
	// NotRun means that the request provably did not run.
	NotRun Outcome = "not-run"
	// Unknown means that a non-idempotent request may or may not have run.
	Unknown Outcome = "unknown"
	// Incomplete means that the caller received a part of the answer, which
	// cannot be continued, or that an idempotent request ran without a complete
	// answer.
	Incomplete Outcome = "incomplete"
)

// Loss is the way in which a generation's stream ended early.
type Loss int

// Losses.
const (
	// LostLink means that the connection broke or stalled; the generation may
	// still be running.
	LostLink Loss = iota
	// LostGeneration means that the target no longer has the generation.
	LostGeneration
	// Refused means that the target stated that it did not execute the request.
	Refused
	// Unsent means that no byte of the request was sent to the target.
	Unsent
)

// Step is the action to take after a loss.
type Step int

// Steps.
const (
	// Resume requests the same generation from the same target, from the next
	// index on.
	Resume Step = iota
	// Restart runs the request again as a new generation.
	Restart
	// End reports the outcome to the caller.
	End
)

// Verdict is the action to take for a token.
type Verdict int

// Verdicts.
const (
	// Pass means that the token is the next one to deliver.
	Pass Verdict = iota
	// Drop means that the token belongs to another generation or is a duplicate.
	Drop
	// Withhold means that the caller already has the token from an earlier run.
	Withhold
	// Gap means that tokens are missing before this one; the link is to be
	// resumed from the next index.
	Gap
	// Diverged means that a later run differs from the tokens that the caller
	// already has.
	Diverged
	// Excess means that more tokens were received than the target says the run has.
	Excess
)

// Policy bounds the attempts at one request.
type Policy struct {
	// Idempotent permits running the request more than once.
	Idempotent bool
	// Buffered buffers tokens until the answer is complete.
	Buffered bool
	// MaxAttempts is the largest number of runs of a request.
	MaxAttempts int
	// MaxResumes is the largest number of successive resumptions of a generation
	// without a new token.
	MaxResumes int
}

// hashSeed is shared by all requests of the process, so that hashes of different
// runs can be compared.
var hashSeed = maphash.MakeSeed()

// Core is the state of one request. It is not safe for concurrent use.
type Core struct {
	policy     Policy
	generation int // number of the current run, from 1
	next       int // next index expected from the current run
	passed     int // tokens passed to the caller or into the buffered answer
	passedHash uint64
	hash       maphash.Hash
	resumes    int
	sent       bool // the current run may have reached its target
	sentBefore bool // an earlier run may have reached a target
	accepted   bool // the target has accepted the current run
	outcome    Outcome
	diverged   bool
}

// New returns the state of a request that has not run yet.
func New(policy Policy) *Core {
	c := &Core{policy: policy}
	c.hash.SetSeed(hashSeed)
	return c
}

// Begin starts the next run and returns its number.
func (c *Core) Begin() int {
	c.generation++
	c.next = 0
	c.resumes = 0
	c.accepted = false
	c.sentBefore = c.MayHaveRun()
	c.sent = false
	c.hash.Reset()
	if c.policy.Buffered {
		c.passed, c.passedHash = 0, 0 // the buffered answer is discarded
	}
	return c.generation
}

// Sent records that the current run may have reached its target.
func (c *Core) Sent() { c.sent = true }

// Accepted records that the target has accepted the current run, so that its
// stream can be resumed.
func (c *Core) Accepted() { c.accepted = true }

// Generation returns the number of the current run.
func (c *Core) Generation() int { return c.generation }

// Next returns the index that the current run's next token must have.
func (c *Core) Next() int { return c.next }

// PassedTokens returns the number of tokens that were passed to the caller or, if
// Policy.Buffered is set, into the buffered answer.
func (c *Core) PassedTokens() int { return c.passed }

// Delivered returns the number of tokens that the caller has received before the
// end of the answer.
func (c *Core) Delivered() int {
	if c.policy.Buffered {
		return 0
	}
	return c.passed
}

// Token returns the verdict on a token and updates the state accordingly. The
// caller of Token must act on the verdict before its next call.
func (c *Core) Token(generation, index int, text []byte) Verdict {
	switch {
	case generation != c.generation || c.outcome != "" || index < c.next:
		return Drop
	case index > c.next:
		return Gap
	}
	c.resumes = 0
	c.next++
	if c.policy.Buffered {
		c.passed++
		return Pass
	}
	_, _ = c.hash.Write(text) // writing to a hash does not fail
	_ = c.hash.WriteByte(0)
	if index >= c.passed {
		c.passed++
		c.passedHash = c.hash.Sum64()
		return Pass
	}
	if c.next == c.passed && c.hash.Sum64() != c.passedHash {
		c.diverged = true
		return Diverged
	}
	return Withhold
}

// Finished returns the verdict on the end of a run after total tokens; Pass means
// that the answer is complete.
func (c *Core) Finished(generation, total int) Verdict {
	switch {
	case generation != c.generation || c.outcome != "":
		return Drop
	case total > c.next:
		return Gap
	case total < c.next:
		return Excess
	case c.next < c.passed:
		c.diverged = true // the caller already has more tokens than this run produced
		return Diverged
	}
	return Pass
}

// Resumable reports whether the current run's stream may be resumed.
func (c *Core) Resumable() bool { return c.accepted && c.resumes < c.policy.MaxResumes }

// Resumed counts a resumption. A new token resets the count.
func (c *Core) Resumed() { c.resumes++ }

// RunSent reports whether the current run may have reached its target.
func (c *Core) RunSent() bool { return c.sent }

// MayHaveRun reports whether any run may have reached a target.
func (c *Core) MayHaveRun() bool { return c.sent || c.sentBefore }

// Lost returns the step that follows the loss of the current run, and the outcome
// if that step is End. The function mayRetry reports whether the retry budget and
// the deadline allow another run. It is called only when another run would follow,
// since the call consumes budget.
func (c *Core) Lost(loss Loss, mayRetry func() bool) (Step, Outcome) {
	switch {
	case c.diverged:
		return End, Incomplete
	case loss == LostLink && c.Resumable():
		return Resume, ""
	case loss == Unsent || loss == Refused:
		c.sent = false
		return c.afterProvenRefusal(mayRetry)
	case !c.policy.Idempotent:
		return End, c.incompleteOr(Unknown)
	case c.generation < c.policy.MaxAttempts && mayRetry():
		return Restart, ""
	}
	// An idempotent request can be run again safely, but NotRun would be false.
	return End, c.incompleteOr(Incomplete)
}

// afterProvenRefusal handles a run that provably did not execute. Earlier runs may
// have executed.
func (c *Core) afterProvenRefusal(mayRetry func() bool) (Step, Outcome) {
	if c.generation < c.policy.MaxAttempts && mayRetry() {
		return Restart, ""
	}
	if !c.MayHaveRun() {
		return End, NotRun
	}
	if !c.policy.Idempotent {
		return End, Unknown
	}
	return End, Incomplete
}

// NotExecuted records that the target stated that it did not execute the current
// run.
func (c *Core) NotExecuted() { c.sent = false }

// incompleteOr returns Incomplete if the caller has received tokens, and fallback
// otherwise.
func (c *Core) incompleteOr(fallback Outcome) Outcome {
	if c.passed > 0 && !c.policy.Buffered {
		return Incomplete
	}
	return fallback
}

// End sets the outcome. Only the first call has an effect; End reports whether
// this call was the first.
func (c *Core) End(outcome Outcome) bool {
	if c.outcome != "" {
		return false
	}
	c.outcome = outcome
	return true
}

// Outcome returns the outcome, or the empty string while there is none.
func (c *Core) Outcome() Outcome { return c.outcome }
