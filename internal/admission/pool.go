package admission

import (
	"math"
	"time"

	"github.com/vanillaward/vanillaward"
)

const (
	// reportAge is the assumed age of a load report; own requests younger than
	// that are not in it yet.
	reportAge = 400 * time.Millisecond
	// reportValid is how long a target is used without a fresh report.
	reportValid = 3 * time.Second
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
	allowance  allowance
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
	typical    typical
	share      float64 // of the pool's requests that are this instance's
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
	held, reserved, forecast := t.ownUse()
	others, otherTokens := t.othersUse()
	if others > 0 {
		f := t.pool.forecastOthers(others, otherTokens)
		forecast.Add(&f)
	}
	c := &t.pool.candidates[t.index]
	*c = vanillaward.Candidate{
		CapacityTokens: t.capacity,
		UsedTokens:     held + otherTokens,
		Forecast:       forecast,
		ReservedTokens: reserved + otherTokens,
		Allowance:      t.allowanceAt(now),
		Running:        len(t.own) + others,
		BatchCap:       t.batchCap,
		Available:      t.available(now),
	}
}

// ownUse returns the tokens held now, the reservation for the longest outputs and
// the forecast for this instance's requests.
func (t *target) ownUse() (held, reserved float64, forecast vanillaward.Forecast) {
	for _, r := range t.own {
		held += r.held()
		reserved += float64(r.Prompt + r.longest())
		forecast.Add(&r.forecast)
	}
	return held, reserved, forecast
}

// typical is what a request that runs in a pool is like, averaged over this
// instance's own requests while they run.
type typical struct {
	seen     int
	held     float64
	forecast vanillaward.Forecast
}

// typicalWeight is the weight of the newest observation.
const typicalWeight = 1.0 / 256

func (p *typical) observe(r *request) {
	p.seen++
	weight := max(typicalWeight, 1/float64(p.seen))
	p.held += (r.held() - p.held) * weight
	for i := range p.forecast {
		p.forecast[i].Mean += (r.forecast[i].Mean - p.forecast[i].Mean) * weight
		p.forecast[i].Variance += (r.forecast[i].Variance - p.forecast[i].Variance) * weight
	}
}

// forecastOthers forecasts the memory of other instances' requests, of which only
// the number and the sum are known. They are taken to resemble this instance's
// own; before any was seen, their remaining lengths are taken to be exponential.
func (p *pool) forecastOthers(requests int, tokens float64) vanillaward.Forecast {
	var out vanillaward.Forecast
	n := float64(requests)
	average := tokens / n
	for i, h := range vanillaward.Horizons {
		if p.typical.seen > 0 {
			scale := (average + float64(h)) / (p.typical.held + float64(h) + 1)
			m := p.typical.forecast[i]
			out[i] = vanillaward.Moments{Mean: n * m.Mean * scale, Variance: othersDoubt * n * m.Variance * scale * scale}
			continue
		}
		running := math.Exp(-float64(h) / p.meanLength)
		held := average + float64(h)
		out[i] = vanillaward.Moments{Mean: n * running * held, Variance: n * running * (1 - running) * held * held}
	}
	return out
}

// othersUse returns the requests and tokens of other instances, by the target's
// report less what this instance had there at that time.
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
	others := max(0, t.load.Running+t.load.Waiting-running)
	used := max(0, float64(t.load.UsedTokens)-tokens)
	if others == 0 {
		used = 0 // what is left is the difference of two estimates
	}
	return others, used
}

// allowance is the part of a target's free memory that this instance may take
// until the next report.
type allowance struct {
	tokens float64
	until  time.Duration
	spare  bool // there is so much free memory that no division is needed
}

const (
	// othersDoubt widens the forecast of other instances' requests, whose classes
	// are not known.
	othersDoubt = 3
	// allowanceValid is how long an allowance lasts: what is taken later is not
	// in the target's next report, and would be given out twice.
	allowanceValid = 300 * time.Millisecond
	// spareMemory is the free part of a target's memory from which it is not
	// divided.
	spareMemory = 0.4
	// soleShare is the share of the pool's requests from which an instance counts
	// as the only one.
	soleShare = 0.7
)

// allowanceAt returns what may still be taken at a time.
func (t *target) allowanceAt(now time.Duration) float64 {
	switch {
	case !t.reports || t.allowance.spare || t.pool.share > soleShare:
		return math.Inf(1)
	case now > t.allowance.until:
		return 0
	}
	return t.allowance.tokens
}

// allow divides the free memory of a fresh report. Rounding is uniform in (0, 1]:
// dividing by it makes a request that needs more than the share start with the
// probability that keeps the expected sum over all instances at the free memory.
func (t *target) allow(now time.Duration, rounding float64) {
	peak := 0.0
	for _, m := range t.pool.candidates[t.index].Forecast {
		peak = max(peak, m.Mean)
	}
	free := max(0, t.capacity-peak)
	t.allowance = allowance{
		tokens: free * t.pool.share / rounding, until: now + allowanceValid, spare: free > spareMemory*t.capacity,
	}
}

// observeShare follows this instance's part of the requests that run in the pool,
// which tells how many other instances share it.
func (p *pool) observeShare(t *target) {
	const weight = 1.0 / 64
	running := p.candidates[t.index].Running
	if running == 0 {
		return
	}
	p.share += (float64(len(t.own))/float64(running) - p.share) * weight
}

// rateMeter measures generated tokens a second.
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
