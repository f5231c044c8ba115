package admission

import (
	"math"
	"time"

	"github.com/vanillaward/vanillaward"
)

const (
	// reportAge is the assumed age of a load report when it arrives. Requests that
	// this instance started within that time are not in the report yet.
	reportAge = 400 * time.Millisecond
	// reportValid is how long a target is used without a new report.
	reportValid = 3 * time.Second
	// maxEjections is the number of successive ejections up to which each lasts twice
	// as long as the one before.
	maxEjections = 4
)

// Load is what a target reports about itself.
type Load struct {
	Running    int
	Waiting    int
	UsedTokens int
	Leaving    bool
	// Ready is false while the target has another model, version or role than
	// declared.
	Ready bool
}

// target is the last known state of one target.
type target struct {
	name     string
	index    int
	pool     *pool
	capacity float64
	batchCap int
	reports  bool

	own          []*request // running requests of this instance
	reported     bool       // whether load and reportTime are set
	reportTime   time.Duration
	load         Load
	leaving      bool // according to the platform's list or the target's report
	failures     int
	ejections    int
	ejectedUntil time.Duration // when the target becomes available again
	trial        bool          // a request is running that probes the target after an ejection
	allowance    allowance
}

// pool holds the targets of one model or plain service. The field candidates has an
// entry for each target at the same index, so that a decision reads only precomputed
// numbers.
type pool struct {
	name       string
	targets    []*target
	candidates []vanillaward.Candidate
	queue      fairQueue
	rate       rateMeter
	meanLength float64
	profile    requestProfile
	share      float64 // fraction of the pool's requests that are this instance's
}

func (p *pool) add(name string, capacity, batchCap int) *target {
	t := &target{name: name, index: len(p.targets), pool: p, capacity: float64(capacity), batchCap: batchCap}
	p.targets = append(p.targets, t)
	p.candidates = append(p.candidates, vanillaward.Candidate{})
	return t
}

// remove removes a target from the pool. Its requests continue, and are removed when
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
	if now < t.ejectedUntil {
		return false
	}
	return t.ejections == 0 || !t.trial
}

// refresh recomputes the target's candidate from the current state.
func (t *target) refresh(now time.Duration) {
	if t.pool == nil {
		return
	}
	held, reserved, forecast := t.ownUse()
	otherRequests, otherTokens := t.othersUse()
	if otherRequests > 0 {
		f := t.pool.forecastOthers(otherRequests, otherTokens)
		forecast.Add(&f)
	}
	c := &t.pool.candidates[t.index]
	*c = vanillaward.Candidate{
		CapacityTokens: t.capacity,
		UsedTokens:     held + otherTokens,
		Forecast:       forecast,
		ReservedTokens: reserved + otherTokens,
		Allowance:      t.allowanceAt(now),
		Running:        len(t.own) + otherRequests,
		BatchCap:       t.batchCap,
		Available:      t.available(now),
	}
}

// ownUse returns the tokens held now, the reservation for the longest outputs and
// the forecast, all for this instance's requests.
func (t *target) ownUse() (held, reserved float64, forecast vanillaward.Forecast) {
	for _, r := range t.own {
		held += r.held()
		reserved += float64(r.PromptTokens + r.longest())
		forecast.Add(&r.forecast)
	}
	return held, reserved, forecast
}

// requestProfile describes an average running request of a pool, averaged over this
// instance's requests while they run.
type requestProfile struct {
	seen     int
	held     float64
	forecast vanillaward.Forecast
}

// profileWeight is the weight of the newest observation.
const profileWeight = 1.0 / 256

func (p *requestProfile) observe(r *request) {
	p.seen++
	weight := max(profileWeight, 1/float64(p.seen))
	p.held += (r.held() - p.held) * weight
	for i := range p.forecast {
		p.forecast[i].Mean += (r.forecast[i].Mean - p.forecast[i].Mean) * weight
		p.forecast[i].Variance += (r.forecast[i].Variance - p.forecast[i].Variance) * weight
	}
}

// forecastOthers forecasts the memory of other instances' requests, of which only
// the number and the sum are known. They are assumed to resemble this instance's
// requests; before the first of these was observed, their remaining lengths are
// assumed to be exponentially distributed.
func (p *pool) forecastOthers(requests int, tokens float64) vanillaward.Forecast {
	var out vanillaward.Forecast
	n := float64(requests)
	average := tokens / n
	for i, h := range vanillaward.Horizons {
		if p.profile.seen > 0 {
			scale := (average + float64(h)) / (p.profile.held + float64(h) + 1)
			m := p.profile.forecast[i]
			out[i] = vanillaward.Moments{Mean: n * m.Mean * scale, Variance: othersVarianceFactor * n * m.Variance * scale * scale}
			continue
		}
		running := math.Exp(-float64(h) / p.meanLength)
		held := average + float64(h)
		out[i] = vanillaward.Moments{Mean: n * running * held, Variance: n * running * (1 - running) * held * held}
	}
	return out
}

// othersUse returns the requests and tokens of other instances: those in the target's
// report minus those of this instance at the time of the report.
func (t *target) othersUse() (int, float64) {
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
	otherRequests := max(0, t.load.Running+t.load.Waiting-running)
	used := max(0, float64(t.load.UsedTokens)-tokens)
	if otherRequests == 0 {
		used = 0 // the remaining tokens are only the difference of two estimates
	}
	return otherRequests, used
}

// allowance is the part of a target's free memory that this instance may take
// until the next report.
type allowance struct {
	tokens    float64
	until     time.Duration
	undivided bool // so much memory is free that it is not divided among instances
}

const (
	// othersVarianceFactor increases the variance in the forecast of other instances'
	// requests, because their classes are not known.
	othersVarianceFactor = 3
	// allowanceValid is how long an allowance lasts: memory that is taken later is not
	// in the target's next report, and would be allotted twice.
	allowanceValid = 300 * time.Millisecond
	// undividedFreeMemory is the fraction of a target's memory that must be free for
	// it not to be divided among instances.
	undividedFreeMemory = 0.4
	// soleInstanceShare is the share of the pool's requests above which an instance is
	// considered to be the only one.
	soleInstanceShare = 0.7
)

// allowanceAt returns the memory, in tokens, that may still be taken at a time.
func (t *target) allowanceAt(now time.Duration) float64 {
	switch {
	case !t.reports || t.allowance.undivided || t.pool.share > soleInstanceShare:
		return math.Inf(1)
	case now > t.allowance.until:
		return 0
	}
	return t.allowance.tokens
}

// updateAllowance computes this instance's part of the free memory according to a new
// report. The value rounding must be uniformly distributed in (0, 1]. The part is
// divided by it, so that a request that needs more than the part starts with a
// probability that keeps the expected sum over all instances at the free memory.
func (t *target) updateAllowance(now time.Duration, rounding float64) {
	peak := 0.0
	for _, m := range t.pool.candidates[t.index].Forecast {
		peak = max(peak, m.Mean)
	}
	free := max(0, t.capacity-peak)
	t.allowance = allowance{
		tokens: free * t.pool.share / rounding, until: now + allowanceValid, undivided: free > undividedFreeMemory*t.capacity,
	}
}

// observeShare updates the moving average of this instance's share of the requests
// that run in the pool, which indicates how many other instances use the pool.
func (p *pool) observeShare(t *target) {
	const weight = 1.0 / 64
	running := p.candidates[t.index].Running
	if running == 0 {
		return
	}
	p.share += (float64(len(t.own))/float64(running) - p.share) * weight
}

// rateMeter measures the rate of generation in tokens per second.
type rateMeter struct {
	tokens float64
	since  time.Duration
	rate   float64
}

// A rate is measured over at least this time and this many tokens.
const (
	rateWindow = 2 * time.Second
	rateTokens = 4000
)

func (m *rateMeter) add(now time.Duration, tokens int) {
	m.tokens += float64(tokens)
	elapsed := now - m.since
	if elapsed < rateWindow || m.tokens < rateTokens {
		return
	}
	rate := m.tokens / elapsed.Seconds()
	if m.rate == 0 {
		m.rate = rate
	}
	m.rate += (rate - m.rate) / 2
	m.tokens, m.since = 0, now
}
