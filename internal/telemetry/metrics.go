package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxSeries bounds the pairs of organisation and class that have series of
	// their own. The requests of further pairs are counted under the organisation
	// "other". A pair that was idle for seriesIdleTimeout can be evicted for another.
	maxSeries         = 64
	seriesIdleTimeout = 10 * time.Minute
	// otherOrganisation stands for all organisations without series of their own.
	otherOrganisation = "other"
)

// Metrics holds the metric series of one instance. It is safe for concurrent use.
type Metrics struct {
	set *metrics.Set

	mu     sync.Mutex // guards series; never held while another lock is taken
	series map[seriesKey]*Series
	now    func() time.Time
}

type seriesKey struct {
	organisation string
	class        string
}

// Series holds the histograms of one organisation and class. All of them measure seconds.
type Series struct {
	key      seriesKey
	lastUsed time.Time

	// FirstToken measures the time from arrival to the first token.
	FirstToken *metrics.Histogram
	// BetweenTokens measures the time from one token to the next.
	BetweenTokens *metrics.Histogram
	// Gap measures gaps of at least one second within a stream.
	Gap *metrics.Histogram
	// Queue measures the time that requests waited for a target.
	Queue *metrics.Histogram
	// Answer measures the time from arrival to the end of the complete answer.
	Answer *metrics.Histogram
}

// NewMetrics returns an empty set of series.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet(), series: map[seriesKey]*Series{}, now: time.Now}
}

// For returns the series of an organisation and a class. If maxSeries pairs have series
// and none of them is idle, it returns those of otherOrganisation for a further pair.
func (m *Metrics) For(organisation, class string) *Series {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	key := seriesKey{organisation, class}
	if m.series[key] == nil && len(m.series) >= maxSeries && !m.evict(now) {
		key.organisation = otherOrganisation
	}
	s := m.series[key]
	if s == nil {
		s = m.create(key)
		m.series[key] = s
	}
	s.lastUsed = now
	return s
}

// evict removes one idle pair and reports whether there was one. It is called with the
// lock held.
func (m *Metrics) evict(now time.Time) bool {
	for key, s := range m.series {
		if now.Sub(s.lastUsed) < seriesIdleTimeout || key.organisation == otherOrganisation {
			continue
		}
		for _, name := range histogramNames {
			m.set.UnregisterMetric(seriesName(name, key))
		}
		delete(m.series, key)
		return true
	}
	return false
}

var histogramNames = []string{
	"vanillaward_first_token_seconds", "vanillaward_between_tokens_seconds",
	"vanillaward_stall_seconds", "vanillaward_queue_seconds", "vanillaward_answer_seconds",
}

func seriesName(name string, key seriesKey) string {
	return fmt.Sprintf("%s{organisation=%q,class=%q}", name, key.organisation, key.class)
}

func (m *Metrics) create(key seriesKey) *Series {
	h := func(i int) *metrics.Histogram { return m.set.GetOrCreateHistogram(seriesName(histogramNames[i], key)) }
	return &Series{key: key, FirstToken: h(0), BetweenTokens: h(1), Gap: h(2), Queue: h(3), Answer: h(4)}
}

// Class returns the histogram of the time to the complete answer for a class of
// requests and an organisation.
func (m *Metrics) Class(class, organisation string) *metrics.Histogram {
	return m.For(organisation, class).Answer
}

// Outcome counts a request's outcome.
func (m *Metrics) Outcome(class, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_outcomes_total{class=%q,outcome=%q}", class, outcome)).Inc()
}

// AnswerEnd counts a request that a target answered, by how the end of the target's last
// answer was marked and by the request's outcome.
func (m *Metrics) AnswerEnd(framing, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_answer_ends_total{framing=%q,outcome=%q}", framing, outcome)).Inc()
}

// EntriesLeftOut counts entries of the platform's list of targets that are not usable.
func (m *Metrics) EntriesLeftOut(n int) {
	m.set.GetOrCreateCounter("vanillaward_list_entries_left_out_total").Add(n)
}

// Statement counts a target's statement about itself in an answer.
func (m *Metrics) Statement(statement string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_target_statements_total{statement=%q}", statement)).Inc()
}

// Connection counts an attempt to open a connection to a target.
func (m *Metrics) Connection(opened bool) {
	result := "failed"
	if opened {
		result = "opened"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_target_connections_total{result=%q}", result)).Inc()
}

// Queued records how long a generation of a rank waited at this instance until an engine had capacity or it left the
// queue.
func (m *Metrics) Queued(rank int, waited time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("vanillaward_gateway_queue_seconds{rank=\"%d\"}", rank)).Update(waited.Seconds())
}

// QueueRefusal counts a generation that was refused because it could not begin in time, by reason.
func (m *Metrics) QueueRefusal(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_gateway_queue_refusals_total{reason=%q}", reason)).Inc()
}

// TargetEnd counts the end of a request's connection at a target, by what it says of the request's parts.
func (m *Metrics) TargetEnd(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_target_ends_total{kind=%q}", kind)).Inc()
}

// Survival counts a target that was looked at after an answer that ended with its connection.
func (m *Metrics) Survival(survived bool) {
	result := "gone"
	if survived {
		result = "survived"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_target_survival_total{result=%q}", result)).Inc()
}

// HandedOver counts a request that was handed over to another instance, by how that ended.
func (m *Metrics) HandedOver(end string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_handed_over_total{end=%q}", end)).Inc()
}

// TakenOver counts a request that another instance handed over to this one, by its outcome.
func (m *Metrics) TakenOver(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_taken_over_total{outcome=%q}", outcome)).Inc()
}

// Refusal counts a refusal by its reason.
func (m *Metrics) Refusal(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_refusals_total{reason=%q}", reason)).Inc()
}

// Retry counts a repeated run of a request by kind.
func (m *Metrics) Retry(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_retries_total{kind=%q}", kind)).Inc()
}

// Repeat counts a request that was to be sent once more, by kind.
func (m *Metrics) Repeat(kind string, allowed bool) {
	result := "denied"
	if allowed {
		result = "allowed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_gateway_repeats_total{kind=%q,result=%q}", kind, result)).Inc()
}

// NotContinued counts an answer to a request for the rest of a stream that began with another event.
func (m *Metrics) NotContinued() {
	m.set.GetOrCreateCounter("vanillaward_gateway_streams_not_continued_total").Inc()
}

// TokenDropped counts a token that did not belong to the current run of its request.
func (m *Metrics) TokenDropped() { m.set.GetOrCreateCounter("vanillaward_tokens_dropped_total").Inc() }

// Preemptions sets the number of preemptions that a target reported.
func (m *Metrics) Preemptions(target string, n int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_target_preemptions_total{target=%q}", target)).Set(uint64(max(0, n)))
}

// PeerMessage counts the bytes of a message between the system's own processes, by its method.
func (m *Metrics) PeerMessage(method string, sent bool, size int) {
	direction := "received"
	if sent {
		direction = "sent"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_peer_message_bytes_total{method=%q,direction=%q}", method, direction)).Add(size)
}

// Gauge registers a value that is computed whenever the metrics are written.
func (m *Metrics) Gauge(name string, value func() float64) { m.set.GetOrCreateGauge(name, value) }

// Write writes all series in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// EvacuationRefusal counts a request that was refused because the failure domains of all targets of its service
// are evacuated.
func (m *Metrics) EvacuationRefusal() {
	m.set.GetOrCreateCounter("vanillaward_gateway_evacuation_refusals_total").Inc()
}

// Halt counts an engine that was asked to end a run before it goes on elsewhere, by the result.
func (m *Metrics) Halt(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_run_halts_total{result=%q}", result)).Inc()
}

// FormerRun counts a run that its request had left and that has ended at its engine, by how.
func (m *Metrics) FormerRun(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("vanillaward_former_runs_total{result=%q}", result)).Inc()
}
