package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward"
)

const (
	// reportAge is the assumed age of a load report; own requests younger than
	// that are not in it yet.
	reportAge = 400 * time.Millisecond
	// reportValid is how long a target is used without a fresh report.
	reportValid = 3 * time.Second
	// othersRemaining is the part of their expected length that requests of
	// other instances have left, on average.
	othersRemaining = 0.5
	// maxEjections bounds the doubling of an ejection.
	maxEjections = 4
)

// Load is a target's own report.
type Load struct {
	Running    int
	Waiting    int
	UsedTokens int
	Leaving    bool
	// Ready is false while the target has another model, version or role than
	// declared.
	Ready bool
}

// target is what this instance knows of one target.
type target struct {
	name     string
	index    int
	pool     *pool
	capacity float64
	batchCap int
	reports  bool

	own        []*request
	reported   bool
	reportTime time.Duration
	load       Load
	leaving    bool // by the platform's list or the target's word
	failures   int
	ejections  int
	ejected    time.Duration // until when
	trial      bool          // one request is trying a target that was ejected
}

// pool holds the targets of one model or plain service. Candidates mirror the
// targets, so that a decision reads plain numbers only.
type pool struct {
	name       string
	targets    []*target
	candidates []vanillaward.Candidate
	queue      fairQueue
	rate       rateMeter
	meanLength float64
}

func (p *pool) add(name string, capacity, batchCap int) *target {
	t := &target{name: name, index: len(p.targets), pool: p, capacity: float64(capacity), batchCap: batchCap}
	p.targets = append(p.targets, t)
	p.candidates = append(p.candidates, vanillaward.Candidate{})
	return t
}

// remove takes a target out of the pool. Its requests go on and are forgotten as
// they end.
func (p *pool) remove(t *target) {
	last := len(p.targets) - 1
	p.targets[t.index] = p.targets[last]
	p.targets[t.index].index = t.index
	p.candidates[t.index] = p.candidates[last]
	p.targets = p.targets[:last]
	p.candidates = p.candidates[:last]
	t.pool = nil
}

func (t *target) available(now time.Duration) bool {
	if t.leaving || t.load.Leaving {
		return false
	}
	if t.reports && (!t.reported || !t.load.Ready || now-t.reportTime > reportValid) {
		return false
	}
	if now < t.ejected {
		return false
	}
	return t.ejections == 0 || !t.trial
}

// refresh computes the target's candidate from what is known now.
func (t *target) refresh(now time.Duration) {
	if t.pool == nil {
		return
	}
	held, peak, reserved := t.ownUse()
	others, otherTokens := t.othersUse(now)
	c := &t.pool.candidates[t.index]
	*c = vanillaward.Candidate{
		CapacityTokens: t.capacity,
		UsedTokens:     held + otherTokens,
		PeakTokens:     peak + otherTokens + float64(others)*t.pool.meanLength*othersRemaining,
		ReservedTokens: reserved + otherTokens,
		Running:        len(t.own) + others,
		BatchCap:       t.batchCap,
		Available:      t.available(now),
	}
}

// ownUse returns the tokens held now, the predicted peak and the reservation for
// the longest outputs of this instance's requests.
func (t *target) ownUse() (held, peak, reserved float64) {
	slices.SortFunc(t.own, func(a, b *request) int { return cmp.Compare(a.remaining(), b.remaining()) })
	for _, r := range t.own {
		held += r.held()
		reserved += float64(r.Prompt + r.longest())
	}
	// When the request with the i-th shortest remainder ends, all that end later
	// have grown by that remainder. The peak is at one of these moments.
	left := held
	for i, r := range t.own {
		peak = max(peak, left+r.remaining()*float64(len(t.own)-i))
		left -= r.held()
	}
	return held, peak, reserved
}

// othersUse returns the requests and tokens of other instances, by the target's
// report less what this instance had there at that time.
func (t *target) othersUse(now time.Duration) (int, float64) {
	if !t.reported {
		return 0, 0
	}
	running, tokens := 0, 0.0
	for _, r := range t.own {
		if r.started <= t.reportTime-reportAge {
			running++
			tokens += r.held()
		}
	}
	others := max(0, t.load.Running+t.load.Waiting-running)
	used := max(0, float64(t.load.UsedTokens)-tokens)
	if others == 0 {
		used = 0 // what is left is the difference of two estimates
	}
	return others, used
}

// rateMeter measures generated tokens a second.
type rateMeter struct {
	tokens float64
	since  time.Duration
	rate   float64
}

const rateWindow = 2 * time.Second

func (m *rateMeter) add(now time.Duration, tokens int) {
	m.tokens += float64(tokens)
	elapsed := now - m.since
	if elapsed < rateWindow {
		return
	}
	rate := m.tokens / elapsed.Seconds()
	if m.rate == 0 {
		m.rate = rate
	}
	m.rate += (rate - m.rate) / 2
	m.tokens, m.since = 0, now
}
