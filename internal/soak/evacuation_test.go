package soak_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/platform/platformtest"
)

const (
	// evacuateTime is how long after its acknowledgement an order must be in force at every instance.
	evacuateTime = 5 * time.Second
	// lateOrder is how long after it was sent an order may be committed whose answer did not come: a leader that ends may leave
	// it to the next one.
	lateOrder = 6 * time.Second
	// orderTimeout is how long an operator waits for an answer before it asks another replica.
	orderTimeout = time.Second
	// minOrderInterval and maxOrderInterval bound the pause of an operator between two orders.
	minOrderInterval = 500 * time.Millisecond
	maxOrderInterval = 7 * time.Second
	// orderedDomains is the number of failure domains that operators give orders for; the others hold engines only.
	orderedDomains = plainCount
	// evacuationFactor is how many times as long as others a seed of TestSoakEvacuation lasts.
	evacuationFactor = 3
)

// domainOrder is an order for a failure domain that an operator sent once to one replica.
type domainOrder struct {
	domain   string
	evacuate bool
	from     time.Time
	answered time.Time // zero without an acknowledgement
}

// end returns the time from which an order cannot be committed any more.
func (o domainOrder) end() time.Time {
	if o.answered.IsZero() {
		return o.from.Add(lateOrder)
	}
	return o.answered
}

// zoneName returns the failure domain of the targets with an index.
func zoneName(i int) string { return fmt.Sprint("zone-", i) }

// sendOrders evacuates and restores failure domains at random until the context is done.
func (l *load) sendOrders(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		domain, evacuate := zoneName(random.IntN(orderedDomains)), random.IntN(3) > 0
		for range 1 + random.IntN(6) {
			if l.sendOrder(random.IntN(controlCount), domain, evacuate) {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(minOrderInterval + time.Duration(random.Int64N(int64(maxOrderInterval-minOrderInterval)))):
		}
	}
}

// sendOrder sends an order to a replica, and reports whether it was acknowledged.
func (l *load) sendOrder(replica int, domain string, evacuate bool) bool {
	method := http.MethodDelete
	if evacuate {
		method = http.MethodPost
	}
	o := domainOrder{domain: domain, evacuate: evacuate, from: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	status, err := platformtest.OrderDomain(ctx, l.cluster.client, method, l.cluster.operator(replica), domain)
	acknowledged := err == nil && status == http.StatusOK
	if acknowledged {
		o.answered = time.Now()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
	return acknowledged
}

// restoreAll restores the failure domains that operators gave orders for. A domain that stays evacuated is a
// finding of the recovery.
func (l *load) restoreAll() {
	if l.operators == 0 {
		return
	}
	for i := range orderedDomains {
		waitUntilDone(func() string {
			for replica := range controlCount {
				if l.sendOrder(replica, zoneName(i), false) {
					return ""
				}
			}
			return "order is not acknowledged"
		}, recoveryTimeout)
	}
}

// evacuationFindings checks the requests that reached evacuated domains. It does so unless there were faults that
// can keep an instance from hearing of an order.
func (l *load) evacuationFindings(steps []step) []string {
	if slices.ContainsFunc(steps, func(s step) bool { return !slices.Contains(faultsOfOrders, s.fault) }) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return checkEvacuation(l.orders, l.records, l.cluster.fleet.Arrivals())
}

// checkEvacuation finds requests that were sent evacuateTime after an order was acknowledged and reached a target in the
// evacuated domain, though no order to restore it was sent meanwhile.
func checkEvacuation(orders []domainOrder, records []requestRecord, arrivals []platformtest.Arrival) []string {
	sent := map[string]requestRecord{}
	for _, r := range records {
		sent[r.request.ID] = r
	}
	var out []string
	for _, a := range arrivals {
		r, ok := sent[a.Request]
		if !ok {
			continue
		}
		slot, _, _ := strings.Cut(a.Target, ".")
		domain := "zone-" + slot[strings.Index(slot, "-")+1:]
		if o, evacuated := inForce(orders, domain, r.from, a.At); evacuated {
			out = append(out, fmt.Sprintf("request %s to %s reached %s, %s after it was evacuated", a.Request, r.sentTo, a.Target, a.At.Sub(o.answered)))
		}
	}
	return out
}

// inForce returns the order by which a failure domain is evacuated for certain at all instances from a time to another.
func inForce(orders []domainOrder, domain string, from, to time.Time) (domainOrder, bool) {
	for _, o := range orders {
		if o.domain != domain || !o.evacuate || o.answered.IsZero() || from.Before(o.answered.Add(evacuateTime)) {
			continue
		}
		if !slices.ContainsFunc(orders, func(other domainOrder) bool {
			return other.domain == domain && !other.evacuate && other.end().After(o.from) && other.from.Before(to)
		}) {
			return o, true
		}
	}
	return domainOrder{}, false
}

// evacuationFaults are the faults of TestSoakEvacuation: none of them keeps an instance that runs from the replicas.
var evacuationFaults = []fault{faultKill, faultStop, faultTear, faultWipe, faultTargetKill, faultTargetEnd}

// faultsOfOrders are the faults beside which the check of orders binds.
var faultsOfOrders = slices.Concat(evacuationFaults, []fault{faultReplace, faultSplitWipe})

// makeEvacuationFaults draws the faults of a seed of TestSoakEvacuation.
func makeEvacuationFaults(seed uint64, length time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 6))
	var out []step
	at := maxFaultInterval
	for ; at < length; at += maxFaultInterval + time.Duration(random.Int64N(int64(maxFaultDuration))) {
		s := step{at: at, duration: minFaultDuration + time.Duration(random.Int64N(int64(time.Second))), fault: evacuationFaults[random.IntN(len(evacuationFaults))]}
		s.subject, s.to = drawSubject(random, s.fault)
		out = append(out, s)
	}
	slices.SortStableFunc(out, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return out
}

// TestSoakEvacuation guards against requests that reach an evacuated domain, and against orders that are lost, while
// two operators give orders for the same domains and processes end, lose their disks and start again.
func TestSoakEvacuation(t *testing.T) {
	playSeeds(t, loadOptions{operators: 2}, func(seed uint64) []step { return makeEvacuationFaults(seed, evacuationFactor**soakDuration) })
}

// TestEvacuationCheck checks that the check of evacuation reports the violation that it is meant for.
func TestEvacuationCheck(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	order := func(evacuate bool, from, answered int) domainOrder {
		o := domainOrder{domain: "zone-1", evacuate: evacuate, from: at(from)}
		if answered > 0 {
			o.answered = at(answered)
		}
		return o
	}
	for _, c := range []struct {
		name     string
		orders   []domainOrder
		sent     int
		findings int
	}{
		{"no order", nil, 100, 0},
		{"too late", []domainOrder{order(true, 10, 11)}, 17, 1},
		{"in time", []domainOrder{order(true, 10, 11)}, 15, 0},
		{"not acknowledged", []domainOrder{order(true, 10, 0)}, 100, 0},
		{"restored", []domainOrder{order(true, 10, 11), order(false, 15, 16)}, 17, 0},
		{"evacuated again", []domainOrder{order(true, 10, 11), order(false, 15, 16), order(true, 18, 19)}, 25, 1},
		{"restored later", []domainOrder{order(true, 10, 11), order(false, 30, 31)}, 17, 1},
		{"opposite orders at once", []domainOrder{order(true, 10, 12), order(false, 11, 13)}, 100, 0},
		{"an order to restore it may come late", []domainOrder{order(false, 8, 0), order(true, 10, 11)}, 100, 0},
		{"it cannot come any more", []domainOrder{order(false, 8, 0), order(true, 20, 21)}, 100, 1},
	} {
		records := []requestRecord{{request: platformtest.Request{ID: "r"}, from: at(c.sent), to: at(c.sent)}}
		require.Len(t, checkEvacuation(c.orders, records, []platformtest.Arrival{{Request: "r", Target: "plain-1.7", At: at(c.sent)}}), c.findings, c.name)
		require.Empty(t, checkEvacuation(c.orders, records, []platformtest.Arrival{{Request: "r", Target: "engine-2.3", At: at(c.sent)}}), c.name)
	}
}
