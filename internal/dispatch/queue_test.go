package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/dispatch"
)

func request(organisation string, rank int, arrived time.Duration) dispatch.Request {
	return dispatch.Request{
		Organisation: organisation, Rank: rank, Tokens: 1000, Prompt: 800,
		Arrived: arrived, Objective: arrived + time.Second, Deadline: arrived + 20*time.Second,
	}
}

// sent returns the requests that are sent with capacity for so many of them, in their order.
func sent(q *dispatch.Queue, now time.Duration, capacity int) []dispatch.Request {
	var out []dispatch.Request
	q.Dispatch(now, func(e *dispatch.Entry) bool {
		if len(out) == capacity {
			return false
		}
		out = append(out, e.Request)
		return true
	})
	return out
}

// TestOrder checks the order of ranks, of missed objectives and of age.
func TestOrder(t *testing.T) {
	const now = 10 * time.Second
	for name, c := range map[string]struct{ first, second dispatch.Request }{
		"an urgent one goes before an earlier one":     {request("a", 0, now), request("a", 1, now-time.Second)},
		"equal ranks go by arrival":                    {request("a", 1, now-time.Second/2), request("a", 1, now)},
		"one in time goes before one that is late":     {request("a", 1, now), request("a", 1, now-2*time.Second)},
		"one that has waited long gains ranks":         {request("a", 2, now-10*time.Second), request("a", 1, now)},
		"one of a high rank gains many":                {request("a", 12, now-16*time.Second), request("a", 3, now)},
		"a late one goes first after half of its time": {request("a", 0, now-10*time.Second), request("a", 0, now)},
	} {
		t.Run(name, func(t *testing.T) {
			for _, order := range [][]dispatch.Request{{c.first, c.second}, {c.second, c.first}} {
				q := dispatch.New()
				for _, r := range order {
					q.Add(r)
				}
				require.Equal(t, []dispatch.Request{c.first}, sent(q, now, 1))
			}
		})
	}
}

// TestFairShares guards against an organisation that fills the queue and leaves others with less than 0.9 of their share,
// with requests of any size, also while a third of the capacity is lost.
func TestFairShares(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		q, given, waiting := dispatch.New(), map[string]int{}, map[string]int{}
		free, total := 0, 0
		for now := time.Duration(0); now < time.Minute; now += 20 * time.Millisecond {
			for _, organisation := range []string{"small", "other", "large", "large", "large", "large"} {
				if most := map[string]int{"large": 40, "small": 2, "other": 2}[organisation]; waiting[organisation] > most {
					continue // each always has something waiting
				}
				r := request(organisation, 0, now)
				r.Tokens = 500 + random.IntN(4000)
				r.Objective, r.Deadline = now+time.Hour, now+time.Hour
				waiting[organisation]++
				q.Add(r)
			}
			free += 300
			if now > 20*time.Second && now < 40*time.Second {
				free -= 100
			}
			q.Dispatch(now, func(e *dispatch.Entry) bool {
				if e.Tokens > free {
					return false
				}
				free -= e.Tokens
				total += e.Tokens
				given[e.Organisation] += e.Tokens
				waiting[e.Organisation]--
				return true
			})
		}
		require.GreaterOrEqual(t, given["small"], total*9/30, "seed %d: %v of %d", seed, given, total)
		require.GreaterOrEqual(t, given["other"], total*9/30, "seed %d: %v of %d", seed, given, total)
	}
}

// TestAllBegin guards against ranks and sizes that never begin while there is capacity for all in the long run, and against
// requests that go before more urgent ones which fit.
func TestAllBegin(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 2))
		q, free := dispatch.New(), 0
		waiting := map[*dispatch.Entry]bool{}
		for now := time.Duration(0); now < time.Minute; now += 20 * time.Millisecond {
			if random.Float64() < 0.2 || now > 20*time.Second && now < 25*time.Second {
				r := request(string(rune('a'+random.IntN(5))), random.IntN(3), now)
				r.Tokens = 500 + random.IntN(500)
				if random.IntN(50) == 0 {
					r.Tokens = 8000
				}
				waiting[q.Add(r)] = true
			}
			free = min(10000, free+300)
			q.Dispatch(now, func(e *dispatch.Entry) bool {
				for o := range waiting {
					require.False(t, o.RankAt(now) < e.RankAt(now) && o.Tokens <= free, "seed %d at %v: %+v before %+v", seed, now, e.Request, o.Request)
				}
				if e.Tokens > free {
					return false
				}
				free -= e.Tokens
				delete(waiting, e)
				return true
			})
			for e := range waiting {
				require.Greater(t, e.Deadline, now, "seed %d: %+v did not begin", seed, e.Request)
			}
		}
	}
}

// TestLargeRequestStarts guards against smaller requests of the same rank that take all capacity before a larger one.
func TestLargeRequestStarts(t *testing.T) {
	q := dispatch.New()
	large := request("a", 0, 0)
	large.Tokens = 5000
	q.Add(large)
	free, began := 0, time.Duration(0)
	for now := time.Duration(0); began == 0 && now < 10*time.Second; now += 50 * time.Millisecond {
		q.Add(request("b", 0, now))
		free += 500 // less than one of the smaller ones needs
		q.Dispatch(now, func(e *dispatch.Entry) bool {
			if e.Tokens > free {
				return false
			}
			free -= e.Tokens
			if e.Tokens == large.Tokens {
				began = now
			}
			return true
		})
	}
	require.Positive(t, began)
	require.Less(t, began, time.Second)
}

// TestRefusalOnlyIfLate guards against refusals of requests that could begin, and against waiting without a prospect.
func TestRefusalOnlyIfLate(t *testing.T) {
	q := dispatch.New()
	var now time.Duration
	for ; now < 5*time.Second; now += 100 * time.Millisecond { // 10 a second come and 5 a second are sent
		r := request("a", 1, now)
		r.Objective = r.Deadline
		e := q.Add(r)
		inTime, _ := q.InTime(e, now)
		require.True(t, inTime)
		sent(q, now, int(now/(100*time.Millisecond))%2)
	}
	short := request("a", 1, now)
	short.Deadline = now + time.Second // 25 are before it, which takes 5 s
	inTime, wait := q.InTime(q.Add(short), now)
	require.False(t, inTime)
	require.InDelta(t, 5, wait.Seconds(), 1.5)
	urgent := request("a", 0, now)
	urgent.Deadline = now + time.Second
	inTime, _ = q.InTime(q.Add(urgent), now)
	require.True(t, inTime)
}

// TestReturningGainsNothing guards against a caller that leaves and comes back to be served before those that wait.
func TestReturningGainsNothing(t *testing.T) {
	q := dispatch.New()
	first := q.Add(request("a", 0, 0))
	second := request("a", 0, time.Millisecond)
	q.Add(second)
	q.Remove(first)
	q.Add(request("a", 0, 2*time.Millisecond))
	require.Equal(t, []dispatch.Request{second}, sent(q, 3*time.Millisecond, 1))
}
