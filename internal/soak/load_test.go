package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/platform/platformtest"
)

// Pace of callers and operators.
const (
	shortestPause = 10 * time.Millisecond
	longestPause  = 60 * time.Millisecond
	changeEvery   = 300 * time.Millisecond
	readEvery     = 100 * time.Millisecond
	budget        = 6 * time.Second
	// answerTime bounds a request of a caller; by then it is a finding.
	answerTime = budget + hangTime + 5*time.Second
)

// load are the callers and the operator of a cluster, and what they saw.
type load struct {
	cluster *cluster

	mu      sync.Mutex // guards the rest
	records []record
	history history
	version uint64 // that was sent last
	reads   int
}

func newLoad(c *cluster) *load {
	return &load{cluster: c, history: history{sent: map[uint64]string{}}}
}

// run sends requests and changes until the context ends, and waits for the last answers.
func (l *load) run(ctx context.Context, seed uint64) {
	var working sync.WaitGroup
	kinds := []kind{kindSafe, kindOnce, kindStream, kindStream}
	for i := range gateways {
		for j, k := range kinds {
			random := rand.New(rand.NewPCG(seed, uint64(1+i*len(kinds)+j)))
			working.Go(func() { l.call(ctx, gatewayName(i), k, random) })
		}
	}
	working.Go(func() { l.operate(ctx, rand.New(rand.NewPCG(seed, 1<<32))) })
	working.Go(func() { l.read(ctx, rand.New(rand.NewPCG(seed, 1<<33))) })
	working.Wait()
}

func prefixOf(version uint64) string { return fmt.Sprint("/v", version, "/") }

func (l *load) acked() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history.acked
}

// call sends requests of a kind to an instance, one after another over a connection that
// is kept open.
func (l *load) call(ctx context.Context, gateway string, k kind, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		l.one(client, gateway, k, random.Uint64())
		time.Sleep(shortestPause + time.Duration(random.Int64N(int64(longestPause-shortestPause))))
	}
}

func (l *load) one(client *http.Client, gateway string, k kind, id uint64) platformtest.Answer {
	r := record{kind: k, sentTo: gateway, request: platformtest.Request{ID: fmt.Sprintf("%016x", id), Body: fmt.Sprint("body ", id), Budget: budget}}
	switch k {
	case kindSafe:
		r.request.Path = platformtest.SafePath + "x"
	case kindOnce:
		r.request.Path = prefixOf(l.acked()) + "x"
	case kindStream:
		r.request.Path = platformtest.StreamPath + "x"
	}
	p := l.cluster.process[gateway]
	before := p.touches()
	r.from = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	r.answer = platformtest.Send(ctx, client, p.ip+":"+platformtest.CallerPort, r.request)
	r.to = time.Now()
	after := p.touches()
	r.undisturbed = after.number == before.number && !before.paused
	r.stopping = after.number == before.number+1 && after.stopping && !before.paused && !before.stopping
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	return r.answer
}

// operate sends configurations to the replicas, each under a higher version. One that got
// no clear answer is sent again to another replica, or overtaken by the next.
func (l *load) operate(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		version, body := l.next()
		for range 1 + random.IntN(3) {
			if l.put(random.IntN(controls), version, body) {
				break
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * changeEvery))))
	}
}

func (l *load) next() (uint64, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	body := platformtest.Configuration(l.version, prefixOf(l.version))
	l.history.sent[l.version] = body
	return l.version, body
}

// put reports whether a configuration was acknowledged.
func (l *load) put(replica int, version uint64, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	status, err := platformtest.PutConfiguration(ctx, l.cluster.client, l.cluster.operator(replica), body)
	if err != nil || status != http.StatusOK {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.acked = max(l.history.acked, version)
	return true
}

func (l *load) read(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		l.readOne(random.IntN(controls))
		time.Sleep(readEvery)
	}
}

// readOne reads the configuration from a replica and returns its version, or 0.
func (l *load) readOne(replica int) uint64 {
	before := l.acked()
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	version, body, err := platformtest.ReadConfiguration(ctx, l.cluster.client, l.cluster.operator(replica))
	if err != nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	for _, finding := range l.history.checkRead(controlName(replica), before, version, body) {
		l.cluster.found("%s", finding)
	}
	return version
}

// recovered reports whether everything works again: the replicas agree on a version that
// was sent last or acknowledged, the log is whole, and every instance serves every kind
// of request by that version.
func (l *load) recovered(random *rand.Rand) string {
	version := l.readOne(0)
	for i := 1; i < controls; i++ {
		if got := l.readOne(i); got != version || version == 0 {
			return fmt.Sprintf("%s reads version %d, %s %d", controlName(0), version, controlName(i), got)
		}
	}
	if !l.cluster.whole() {
		return "the log does not have three voters and no learner"
	}
	for i := range gateways {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		ready := platformtest.Ready(ctx, l.cluster.client, l.cluster.process[gatewayName(i)].ip+":"+platformtest.ReadinessPort)
		cancel()
		if !ready {
			return gatewayName(i) + " is not ready"
		}
		for _, k := range []kind{kindSafe, kindOnce, kindStream} {
			if a := l.one(l.cluster.client, gatewayName(i), k, random.Uint64()); a.Status != http.StatusOK || !a.Whole() {
				return fmt.Sprintf("%s answers kind %d with status %d, %v", gatewayName(i), k, a.Status, a.Err)
			}
		}
	}
	return ""
}

// findings checks all requests. It must be called once all processes have ended, when
// nothing can run any more.
func (l *load) findings() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, r := range l.records {
		runs := l.cluster.fleet.Runs(r.request.ID)
		r.stopping = r.stopping && l.cluster.calm(runs.Targets, r.from, r.to)
		out = append(out, checkRecord(r, runs)...)
	}
	return append(out, l.cluster.fleet.Strange()...)
}

// counts tells how the requests ended, by status; 0 stands for no answer.
func (l *load) counts() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[int]int{}
	for _, r := range l.records {
		out[r.answer.Status]++
	}
	return out
}
