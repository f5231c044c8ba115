package admission

import "time"

// Progress records the number of tokens that a running request has generated.
func (c *Core) Progress(now time.Duration, id uint64, written int) {
	r := c.requests[id]
	if r == nil || r.target == nil {
		return
	}
	if r.target.pool != nil {
		r.target.pool.rate.add(now, written-r.written)
	}
	r.written = written
	c.estimate(r)
	if r.target.pool != nil {
		r.target.pool.profile.observe(r)
	}
	r.target.refresh(now)
}

// Result is how a request ended at its target.
type Result int

// Results.
const (
	// Finished means that the complete output was received.
	Finished Result = iota
	// Cancelled means that the request was cancelled, usually because its caller left.
	Cancelled
	// Failed means that the target or its link failed.
	Failed
	// Rejected means that the target refused the request without running it.
	Rejected
)

// Done records that a request ended at its target or left its queue, and starts
// waiting requests in its place.
func (c *Core) Done(now time.Duration, id uint64, written int, result Result) []Decision {
	r := c.requests[id]
	if r == nil {
		return nil
	}
	delete(c.requests, id)
	p := c.pool(r.Pool)
	if r.target == nil {
		p.queue.remove(r)
		return c.takeDecisions()
	}
	t := r.target
	t.removeRequest(r)
	p.rate.add(now, written-r.written)
	p.queue.charge(r, float64(r.PromptTokens+written)-r.cost())
	if result == Finished {
		c.estimator.Learn(r.Class, r.Organisation, r.PromptTokens, written)
		p.meanLength += (float64(written) - p.meanLength) / 64
		c.budget = min(maxBudget, c.budget+c.settings.RetryBudget)
	}
	c.updateEjection(now, t, result)
	t.refresh(now)
	c.dispatch(now, p)
	return c.takeDecisions()
}

func (t *target) removeRequest(r *request) {
	for i, own := range t.own {
		if own == r {
			t.own = append(t.own[:i], t.own[i+1:]...)
			return
		}
	}
}

// updateEjection ejects a target after consecutive failures, and resets its failures
// after a success.
func (c *Core) updateEjection(now time.Duration, t *target, result Result) {
	t.trial = false
	switch result {
	case Finished:
		t.failures, t.ejections = 0, 0
	case Failed:
		t.failures++
		if t.failures >= c.settings.EjectAfter || t.ejections > 0 {
			t.failures = 0
			t.ejectedUntil = now + c.settings.EjectFor<<min(t.ejections, maxEjections-1)
			t.ejections++
		}
	case Rejected:
		// A target that refuses requests is at capacity or leaving: eject it briefly.
		t.ejectedUntil = max(t.ejectedUntil, now+reportAge)
	}
}

// TakeRetry takes one retry from the budget. It returns false if none is left.
func (c *Core) TakeRetry() bool {
	if c.budget < 1 {
		return false
	}
	c.budget--
	return true
}
