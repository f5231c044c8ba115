package control

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// helperCount is the number of helpers that an instance is told of.
	helperCount = 3
	// helperTTL is how long an instance is taken for a helper after its last request.
	helperTTL = 2 * time.Second
	// helperListAge bounds how old the sorted lists are that helpers are chosen from.
	helperListAge = 200 * time.Millisecond
)

// helpers chooses, among the instances that follow a replica, those that serve requests of others that have
// lost their targets. Only the leader hears which instances do. It is not safe for concurrent use.
type helpers struct {
	helping  map[string][]string // addresses, sorted, by failure domain and, under the empty name, of all domains
	lacking  map[string][]string // names of instances that lack targets, in the same way
	sortedAt time.Duration       // when the lists were made
}

// choose returns the addresses of the instances that are to help one in a failure domain. Those of
// its domain help as long as there are no more that lack targets than that do not; otherwise
// all instances do, so that no helper has more than its part of the load. Those that lack targets
// get different helpers as far as there are enough.
func (h *helpers) choose(watchers map[string]watcher, instance, domain string, now time.Duration) []string {
	if h.helping == nil || now-h.sortedAt >= helperListAge {
		h.sort(watchers, now)
	}
	group := domain
	if len(h.lacking[domain]) > len(h.helping[domain]) || len(h.helping[domain]) < 2 {
		group = ""
	}
	own := watchers[instance].helpAddress
	candidates, lacking := h.helping[group], h.lacking[group]
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
	if i, found := slices.BinarySearch(lacking, instance); found {
		return i * max(1, min(helperCount, n/len(lacking))) % n
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(instance)) // never fails
	return int(hash.Sum32()) % n
}

// sort makes the lists from what the watchers told last.
func (h *helpers) sort(watchers map[string]watcher, now time.Duration) {
	h.helping, h.lacking, h.sortedAt = map[string][]string{}, map[string][]string{}, now
	for name, w := range watchers {
		if now-w.lastSeen > helperTTL {
			continue
		}
		for _, group := range []string{"", w.domain} {
			switch {
			case w.lacksTargets:
				h.lacking[group] = append(h.lacking[group], name)
			case w.helpAddress != "":
				h.helping[group] = append(h.helping[group], w.helpAddress)
			}
		}
	}
	for _, lists := range []map[string][]string{h.helping, h.lacking} {
		for _, list := range lists {
			slices.Sort(list)
		}
	}
}
