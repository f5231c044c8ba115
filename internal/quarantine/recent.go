package quarantine

import "time"

// recentHalf bounds each of the two maps of recent.
const recentHalf = 2048

// recent maps names of parts to times. It keeps at least the last recentHalf names that were
// put, and at most twice as many.
type recent struct {
	young, old map[string]time.Duration
}

func (r *recent) get(name string) (time.Duration, bool) {
	if at, ok := r.young[name]; ok {
		return at, true
	}
	at, ok := r.old[name]
	return at, ok
}

func (r *recent) put(name string, at time.Duration) {
	if r.young == nil || len(r.young) >= recentHalf {
		r.old, r.young = r.young, map[string]time.Duration{}
	}
	r.young[name] = at
}
