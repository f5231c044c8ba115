package experiment

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// CompareStale executes runs, several at a time, and returns their results in the same order.
func CompareStale(setups []StaleSetup, workers int) []StaleResult {
	results := make([]StaleResult, len(setups))
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range next {
				results[i] = RunStale(setups[i])
			}
		})
	}
	for i := range setups {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}

// WriteStaleTable writes results as a Markdown table.
func WriteStaleTable(w io.Writer, setups []StaleSetup, results []StaleResult) error {
	if _, err := fmt.Fprint(w, "| instances | engines | age s | load | case | way | received: most / mean | least / mean | present: most / mean | behind 3 % | with one idle % | first ms | 95% ms | preempted % | bytes |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for i, s := range setups {
		r := results[i]
		_, err := fmt.Fprintf(w, "| %d | %d | %.2f | %.1f | %s | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %d | %d | %.2f | %d |\n",
			s.Instances, s.Engines, s.Age.Seconds(), s.Load, s.caseName(), s.Way.Name, r.Evenness, r.Least, r.Busiest, 100*r.Behind, 100*r.BehindIdle,
			r.First.Round(time.Millisecond).Milliseconds(), r.First95.Milliseconds(), 100*r.Preempted, r.Bytes)
		if err != nil {
			return err
		}
	}
	return nil
}

// caseName names what differs from equal engines under a steady load.
func (s *StaleSetup) caseName() string {
	name := ""
	for _, c := range []struct {
		set  bool
		name string
	}{{s.Speeds, "speeds"}, {s.Bursts, "bursts"}, {s.Replaced, "replaced"}, {s.NoLeader, "no leader"}, {s.Halves, "halves"}, {s.Subset > 0, fmt.Sprint("subset ", s.Subset)}} {
		if c.set {
			name += ", " + c.name
		}
	}
	if name == "" {
		return "steady"
	}
	return name[2:]
}
