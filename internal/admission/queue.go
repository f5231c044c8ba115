package admission

import (
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/fairshare"
)

// fairQueue orders waiting requests: higher urgency first, then organisations by
// the service they received relative to their weight, then by arrival. Service is
// counted in expected tokens.
type fairQueue struct {
	orgs   []*orgQueue
	byName map[string]*orgQueue
	shares fairshare.Shares
	length int
}

// orgQueue holds an organisation's waiting requests.
type orgQueue struct {
	name    string
	weight  float64
	waiting []*request
	tokens  float64 // expected tokens of the waiting requests
}

func (q *fairQueue) org(name string, weight float64) *orgQueue {
	o := q.byName[name]
	if o == nil {
		o = &orgQueue{name: name}
		if q.byName == nil {
			q.byName = map[string]*orgQueue{}
		}
		q.byName[name] = o
		q.orgs = append(q.orgs, o)
	}
	o.weight = weight
	return o
}

func (q *fairQueue) push(r *request) {
	o := q.org(r.Organisation, r.Weight)
	if len(o.waiting) == 0 {
		q.shares.Join(o.name)
	}
	at := len(o.waiting)
	for at > 0 && o.waiting[at-1].urgency < r.urgency {
		at--
	}
	o.waiting = slices.Insert(o.waiting, at, r)
	o.tokens += r.cost()
	q.length++
}

// head returns the request that starts next, or nil when the queue is empty.
func (q *fairQueue) head() *request {
	var best *orgQueue
	for _, o := range q.orgs {
		if len(o.waiting) == 0 {
			continue
		}
		if best == nil || q.before(o, best) {
			best = o
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

func (q *fairQueue) before(o, other *orgQueue) bool {
	a, b := o.waiting[0], other.waiting[0]
	if a.urgency != b.urgency {
		return a.urgency > b.urgency
	}
	return q.shares.Tag(o.name) < q.shares.Tag(other.name)
}

// remove removes a request from the queue, if it is queued.
func (q *fairQueue) remove(r *request) {
	o := q.byName[r.Organisation]
	if o == nil {
		return
	}
	i := slices.Index(o.waiting, r)
	if i < 0 {
		return
	}
	o.waiting = slices.Delete(o.waiting, i, i+1)
	o.tokens -= r.cost()
	q.length--
}

// charge adds tokens to the service that the request's organisation has received.
func (q *fairQueue) charge(r *request, tokens float64) {
	o := q.org(r.Organisation, r.Weight)
	q.shares.Charge(o.name, tokens/o.weight)
}

// mostOverShare returns the organisation whose waiting requests exceed its share most.
func (q *fairQueue) mostOverShare() *orgQueue {
	var worst *orgQueue
	for _, o := range q.orgs {
		if len(o.waiting) == 0 {
			continue
		}
		if worst == nil || o.tokens/o.weight > worst.tokens/worst.weight {
			worst = o
		}
	}
	return worst
}

// wait estimates how long a request waits for the requests of its organisation that
// have at least its urgency and were queued before it. The pool serves rate tokens
// per second; wait returns 0 while the rate is unknown.
func (q *fairQueue) wait(r *request, rate float64) time.Duration {
	if rate <= 0 || q.length == 0 {
		return 0
	}
	own := q.byName[r.Organisation]
	weights, ahead := r.Weight, 0.0
	for _, o := range q.orgs {
		if len(o.waiting) == 0 || o == own {
			continue
		}
		weights += o.weight
	}
	if own != nil {
		for _, w := range own.waiting {
			if w == r {
				break
			}
			if w.urgency >= r.urgency {
				ahead += w.cost()
			}
		}
	}
	share := rate * r.Weight / weights
	return time.Duration(ahead / share * float64(time.Second))
}

// each calls f for every waiting request; f may remove it.
func (q *fairQueue) each(f func(*request)) {
	for _, o := range q.orgs {
		for _, r := range slices.Clone(o.waiting) {
			f(r)
		}
	}
}
