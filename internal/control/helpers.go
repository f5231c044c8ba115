package control

import (
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// helperCount is the number of helpers that an instance is told of.
	helperCount = 3
	// helperTTL is how long an instance is taken for a helper after its last request.
	helperTTL = 2 * time.Second
	// helperViewAge bounds how old the sorted lists are that helpers are chosen from.
	helperViewAge = 200 * time.Millisecond
)

// helpers knows which instances can serve requests of those that have lost their targets. Only the
// leader hears from all instances. It is safe for concurrent use.
type helpers struct {
	mu         sync.Mutex // guards the rest; never held while another lock is taken
	byInstance map[string]helperState
	view       helperView
	viewedAt   time.Duration
}

// helperState is what an instance last told.
type helperState struct {
	address string // empty if it takes no requests of others
	domain  string
	lacks   bool // it lacks targets
	at      time.Duration
}

// helperView holds the instances sorted by name: those that help, as addresses, and those that lack
// targets, by failure domain and, under the empty name, of all domains.
type helperView struct {
	helping map[string][]string
	lacking map[string][]string
}

func newHelpers() *helpers { return &helpers{byInstance: map[string]helperState{}} }

// update records what an instance tells.
func (h *helpers) update(r *wire.FollowRequest, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byInstance[r.GetInstance()] = helperState{address: r.GetHelpAddress(), domain: r.GetFailureDomain(), lacks: r.GetLacksTargets(), at: now}
}

// choose returns the addresses of the instances that are to help one in a failure domain. Those of
// its domain help as long as there are no more that lack targets than that do not; otherwise
// all instances do, so that no helper has more than its part of the load. Those that lack targets
// get different helpers as far as there are enough.
func (h *helpers) choose(instance, domain string, now time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.currentView(now)
	group := domain
	if len(v.lacking[domain]) > len(v.helping[domain]) || len(v.helping[domain]) < 2 {
		group = ""
	}
	own := h.byInstance[instance].address
	candidates, lacking := v.helping[group], v.lacking[group]
	var out []string
	first := firstHelper(instance, lacking, len(candidates))
	for i := range candidates {
		if len(out) == helperCount {
			break
		}
		if address := candidates[(first+i)%len(candidates)]; address != own {
			out = append(out, address)
		}
	}
	return out
}

// firstHelper returns the index of the first of an instance's helpers among n candidates.
func firstHelper(instance string, lacking []string, n int) int {
	if n == 0 {
		return 0
	}
	if i, ok := slices.BinarySearch(lacking, instance); ok {
		return i * max(1, min(helperCount, n/len(lacking))) % n
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(instance)) // never fails
	return int(hash.Sum32()) % n
}

// currentView returns the sorted lists, made anew if they are too old. It is called with the lock held.
func (h *helpers) currentView(now time.Duration) helperView {
	if h.view.helping != nil && now-h.viewedAt < helperViewAge {
		return h.view
	}
	v := helperView{helping: map[string][]string{}, lacking: map[string][]string{}}
	for name, s := range h.byInstance {
		if now-s.at > helperTTL {
			delete(h.byInstance, name)
			continue
		}
		for _, group := range []string{"", s.domain} {
			switch {
			case s.lacks:
				v.lacking[group] = append(v.lacking[group], name)
			case s.address != "":
				v.helping[group] = append(v.helping[group], s.address)
			}
		}
	}
	for _, lists := range []map[string][]string{v.helping, v.lacking} {
		for _, list := range lists {
			slices.SortFunc(list, strings.Compare)
		}
	}
	h.view, h.viewedAt = v, now
	return v
}
