// Package evidence is an instance's side of what instances tell each other about requests, and parts of
// prompts, that crash targets: the ledger that its requests share, and the exchange with replicas for
// instances that do not follow them.
package evidence

import (
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// Ledger is a quarantine.Ledger for concurrent use.
type Ledger struct {
	base base.Base

	mu     sync.Mutex // guards ledger; never held while another lock is taken
	ledger *quarantine.Ledger
}

// New returns an empty ledger of an instance.
func New(b base.Base) *Ledger {
	return &Ledger{base: b, ledger: quarantine.New(b.Settings.Instance.Name)}
}

// Check reports whether a request whose prompt has the given parts may be sent. It returns nil if so.
func (l *Ledger) Check(r quarantine.Request, parts []string) *quarantine.Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.base.Timers.Now()
	if held := l.ledger.Check(parts, now); held != nil {
		return held
	}
	return l.ledger.CheckRequest(r, now)
}

// PartsCrashed records that a target crashed when it had been answering a request for a time of at most
// quarantine.JustBegun. Attempt identifies the attempt. It returns the number of groups of parts that are
// held back.
func (l *Ledger) PartsCrashed(attempt, target string, parts []string, answering time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Crashed(attempt, target, parts, answering, l.base.Timers.Now())
	return l.ledger.Parts()
}

// PartsMayHaveCrashed records that a target ended at a time of the timers while it had a request with the given parts, sent at
// another, and whose answer had not begun or had been going on for at most quarantine.LateBegun. Attempt identifies the
// attempt. It returns the number of groups of parts that are held back.
func (l *Ledger) PartsMayHaveCrashed(attempt, target string, parts []string, sentAt, at time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.MayHaveCrashed(attempt, target, parts, sentAt, at, l.base.Timers.Now())
	return l.ledger.Parts()
}

// Outlived records that a target has been answering a request with the given parts for longer than
// quarantine.LateBegun, so that it does not crash on them.
func (l *Ledger) Outlived(parts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Answered(parts, l.base.Timers.Now())
}

// RequestCrashed records that a target crashed when it had begun to run a request that was sent at a time, or
// was about to. It returns the number of crashes that speak against the request.
func (l *Ledger) RequestCrashed(r quarantine.Request, attempt, target string, sentAt time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.base.Timers.Now()
	return l.ledger.RequestCrashed(r, attempt, target, now-sentAt, now)
}

// Answered records that a target answered a request completely, whatever the answer, at a time of the timers. Parts
// are those of its prompt if it succeeded, or else none.
func (l *Ledger) Answered(r quarantine.Request, target string, parts []string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.RequestAnswered(r, target, at)
	l.ledger.Answered(parts, at)
}

// Suspects reports whether an answer to a request, and to a prompt with the given parts, would refute a crash.
func (l *Ledger) Suspects(r quarantine.Request, parts []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Suspects(r, parts)
}

// Parts returns the number of groups of parts that are held back.
func (l *Ledger) Parts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Parts()
}

// Evidence returns what this instance has seen since the known number, or all that it knows for 0, with the
// number of the newest; 0 stands for nothing. It returns no evidence if that is the known one.
func (l *Ledger) Evidence(known uint64) (*wire.Evidence, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := l.ledger.OwnVersion()
	if number == known || number == 0 {
		return nil, number
	}
	return l.ledger.OwnNews(known, l.base.Timers.Now()), number
}

// MergeEvidence adds what a replica has heard from other instances.
func (l *Ledger) MergeEvidence(e *wire.Evidence) {
	l.mu.Lock()
	before := l.ledger.Parts()
	l.ledger.Merge(e, l.base.Timers.Now())
	held := l.ledger.Parts()
	l.mu.Unlock()
	if held != before {
		l.base.Log.Info("parts held back", "groups", held, "before", before, "crashes", len(e.GetCrashes()))
	}
	for _, c := range e.GetRequestCrashes() {
		l.base.Log.Info("told of a target that crashed when it began to run a request", "name", c.GetRequest(), "target", c.GetTarget(), "age-ms", c.GetAgeMs())
	}
}
