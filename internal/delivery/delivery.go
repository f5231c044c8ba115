// Package delivery decides, for one request, what reaches the caller: each token
// once, in order and from a single generation, and exactly one outcome. It is a
// function of state and event; it opens no connection and reads no clock.
//
// A generation that is lost before anything was passed on is replaced freely.
// One that is lost after the caller saw tokens is run again with the same seed,
// and the tokens that were already passed on are withheld and compared by a
// running hash; on a difference the request ends as incomplete, so that two
// generations are never spliced.
package delivery

import "hash/maphash"

// Outcome is the final answer to a request. A request has exactly one.
type Outcome string

// Outcomes.
const (
	// Complete means that the caller got the whole answer.
	Complete Outcome = "complete"
	// NotRun means that the request provably did not run.
	NotRun Outcome = "not-run"
	// Unknown means that a non-idempotent request may or may not have run.
	Unknown Outcome = "unknown"
	// Incomplete means that the caller got a part of the answer and that it
	// cannot be continued.
	Incomplete Outcome = "incomplete"
)

// Loss is how a generation's stream ended early.
type Loss int

// Losses.
const (
	// LostLink means that the connection broke or fell silent; the generation
	// may go on.
	LostLink Loss = iota
	// LostGeneration means that the target no longer has the generation.
	LostGeneration
	// Refused means that the target stated that it did not execute the request.
	Refused
	// Unsent means that no byte of the request left for the target.
	Unsent
)

// Step is what to do after a loss.
type Step int

// Steps.
const (
	// Resume asks the same target for the same generation from the next index.
	Resume Step = iota
	// Restart runs the request again as a new generation.
	Restart
	// End answers the caller with the outcome.
	End
)

// Verdict is what to do with a token.
type Verdict int

// Verdicts.
const (
	// Pass means that the token is next for the caller.
	Pass Verdict = iota
	// Drop means that the token belongs to another generation or was seen.
	Drop
	// Withhold means that the caller has the token from an earlier run.
	Withhold
	// Gap means that tokens are missing before this one; the link is to be
	// resumed from the next index.
	Gap
	// Diverged means that a second run differs from what the caller has.
	Diverged
)

// Policy bounds the attempts at one request.
type Policy struct {
	// Idempotent permits a second run.
	Idempotent bool
	// Whole holds tokens until the answer is complete.
	Whole bool
	// MaxAttempts bounds the runs of a request.
	MaxAttempts int
	// MaxResumes bounds the resumptions of one generation without progress.
	MaxResumes int
}

// hashSeed is shared by the hashes of a process, so that they can be compared.
var hashSeed = maphash.MakeSeed()

// Core is the state of one request. It is not safe for concurrent use.
type Core struct {
	policy     Policy
	generation int // number of the current run, from 1
	next       int // next index expected from the current run
	passed     int // tokens that the caller has
	passedHash uint64
	hash       maphash.Hash
	resumes    int
	sent       bool // the current run may have reached its target
	sentBefore bool // an earlier run may have
	accepted   bool // the target has the current run
	outcome    Outcome
	diverged   bool
}

// New returns the state of a request that did not run yet.
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
	if c.policy.Whole {
		c.passed, c.passedHash = 0, 0 // what was held is discarded
	}
	return c.generation
}

// Sent records that the current run may have reached its target.
func (c *Core) Sent() { c.sent = true }

// Accepted records that the target has taken the current run, so that its stream
// can be resumed.
func (c *Core) Accepted() { c.accepted = true }

// Generation returns the number of the current run.
func (c *Core) Generation() int { return c.generation }

// Next returns the index that the current run's next token must have.
func (c *Core) Next() int { return c.next }

// Passed returns how many tokens were passed on, to the caller or, for whole
// delivery, into the held answer.
func (c *Core) Passed() int { return c.passed }

// Delivered returns how many tokens the caller has before the end of the answer.
func (c *Core) Delivered() int {
	if c.policy.Whole {
		return 0
	}
	return c.passed
}

// Token judges a token. The caller of Token acts on the verdict at once.
func (c *Core) Token(generation, index int, text []byte) Verdict {
	switch {
	case generation != c.generation || c.outcome != "" || index < c.next:
		return Drop
	case index > c.next:
		return Gap
	}
	c.resumes = 0
	c.next++
	if c.policy.Whole {
		c.passed++
		return Pass
	}
	_, _ = c.hash.Write(text) // a hash does not fail
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

// Finished judges the end of the current run after total tokens and reports
// whether the answer is complete.
func (c *Core) Finished(generation, total int) Verdict {
	switch {
	case generation != c.generation || c.outcome != "":
		return Drop
	case total > c.next:
		return Gap
	case c.next < c.passed:
		c.diverged = true // the second run is shorter than what the caller has
		return Diverged
	}
	return Pass
}

// Resumable reports whether the current run's stream can be asked for again.
func (c *Core) Resumable() bool { return c.accepted && c.resumes < c.policy.MaxResumes }

// Resumed counts a resumption without progress. A new token resets the count.
func (c *Core) Resumed() { c.resumes++ }

// RunSent reports whether the current run may have reached its target.
func (c *Core) RunSent() bool { return c.sent }

// MayHaveRun reports whether a run may have reached a target.
func (c *Core) MayHaveRun() bool { return c.sent || c.sentBefore }

// Lost decides what follows the loss of the current run. MayRetry tells whether
// the budget and the deadline allow another run; it is asked only when one would
// follow, since asking takes from the budget.
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
		return End, c.partial(Unknown)
	case c.generation < c.policy.MaxAttempts && mayRetry():
		return Restart, ""
	}
	// Running an idempotent request again does no harm, but it did run.
	return End, c.partial(Incomplete)
}

// afterProvenRefusal handles a run that did not execute. Earlier runs may have.
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

// Unexecuted records that the target stated that it did not execute the current
// run.
func (c *Core) Unexecuted() { c.sent = false }

func (c *Core) partial(otherwise Outcome) Outcome {
	if c.passed > 0 && !c.policy.Whole {
		return Incomplete
	}
	return otherwise
}

// End fixes the outcome. Only the first call counts; it reports whether this was
// the first.
func (c *Core) End(outcome Outcome) bool {
	if c.outcome != "" {
		return false
	}
	c.outcome = outcome
	return true
}

// Outcome returns the outcome, or the empty string while there is none.
func (c *Core) Outcome() Outcome { return c.outcome }
