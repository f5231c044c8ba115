package experiment

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/admission"
)

// Strategies returns all routing strategies that are compared, with the given settings of
// the chosen policy.
func Strategies(chosen admission.PredictedPeak) []Strategy {
	return []Strategy{
		{Policy: admission.RandomChoice{}},
		{Policy: admission.LeastOutstanding{}},
		{Policy: admission.TwoChoices{}},
		{Policy: admission.ReserveLongest{}},
		{Policy: chosen},
		{Policy: chosen, Oracle: true},
	}
}

// Options select the runs of a comparison.
type Options struct {
	Workloads  []*Workload
	Loads      []float64 // offered load, as fractions of the capacity
	Faults     []Fault
	Instances  []int
	Strategies []Strategy
	Seeds      int
	Duration   time.Duration
	Workers    int
}

// Capacity returns the requests per second that the engines of a workload complete when
// far more requests are offered than they can serve and requests queue in the engines:
// the batches are then as full as the memory allows.
func Capacity(w *Workload, duration time.Duration) float64 {
	const overload = 2.5
	r := Run(Setup{
		Workload: w, Strategy: Strategy{Policy: admission.LeastOutstanding{}}, Rate: overload * estimateRate(w),
		Duration: duration, Instances: 1, Fault: FaultNone, Seed: 99,
	})
	return r.Tokens / meanOutput(w)
}

// estimateRate estimates the capacity, in requests per second, from a full batch.
func estimateRate(w *Workload) float64 {
	const stepSeconds = 0.045
	tokensPerRequest := 0.0
	for _, c := range w.classes {
		tokensPerRequest += c.share * (c.prompt + estimateMeanOutput(c)/2)
	}
	batch := min(float64(w.batchCap), float64(w.capacity)/tokensPerRequest)
	return float64(w.engines) * batch / stepSeconds / meanOutput(w)
}

func meanOutput(w *Workload) float64 {
	sum, n := 0, 0
	for _, a := range w.arrivals(100, 2000*time.Second, 1) {
		sum += a.output
		n++
	}
	return float64(sum) / float64(n)
}

func estimateMeanOutput(c requestClass) float64 { return c.output * (1 + c.sigma*c.sigma/2) }

// Summary is the median and the range of a metric over the seeds.
type Summary struct {
	Median float64
	Low    float64
	High   float64
}

func summarise(values []float64) Summary {
	slices.Sort(values)
	return Summary{Median: values[len(values)/2], Low: values[0], High: values[len(values)-1]}
}

// String formats the summary as "median (low-high)".
func (s Summary) String() string {
	return fmt.Sprintf("%.4g (%.3g-%.3g)", s.Median, s.Low, s.High)
}

// Row holds the results of one combination for all seeds.
type Row struct {
	Workload  string
	Load      float64
	Fault     Fault
	Instances int
	Strategy  string
	Results   []*Result
}

// Summarise summarises one metric of the row over the seeds.
func (r *Row) Summarise(metric func(*Result) float64) Summary {
	var values []float64
	for _, res := range r.Results {
		values = append(values, metric(res))
	}
	return summarise(values)
}

// Compare runs all combinations, up to Options.Workers runs at once, and returns a
// row for each combination.
func Compare(o Options) []*Row {
	var rows []*Row
	var runs sync.WaitGroup
	slots := make(chan struct{}, o.Workers)
	for _, setup := range o.combinations() {
		row := &Row{
			Workload: setup.Workload.name, Load: setup.load, Fault: setup.Fault, Instances: setup.Instances,
			Strategy: setup.Strategy.Name(), Results: make([]*Result, o.Seeds),
		}
		rows = append(rows, row)
		for seed := range o.Seeds {
			runs.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				seeded := setup.Setup
				seeded.Seed = uint64(seed + 1)
				row.Results[seed] = Run(seeded)
			})
		}
	}
	runs.Wait()
	return rows
}

// combination is a setup without a seed, with its load as a fraction of the
// capacity.
type combination struct {
	Setup
	load float64
}

func (o *Options) combinations() []combination {
	var out []combination
	for _, w := range o.Workloads {
		capacity := Capacity(w, o.Duration)
		for _, fault := range o.Faults {
			for _, load := range o.Loads {
				for _, instances := range o.Instances {
					for _, strategy := range o.Strategies {
						out = append(out, combination{load: load, Setup: Setup{
							Workload: w, Strategy: strategy, Rate: load * capacity, Duration: o.Duration, Instances: instances, Fault: fault,
						}})
					}
				}
			}
		}
	}
	return out
}

// metricColumns are the metric columns of a report.
var metricColumns = []struct {
	name  string
	value func(*Result) float64
}{
	{"preemptions/1000", func(r *Result) float64 { return r.Preemptions }},
	{"stall s/1000", func(r *Result) float64 { return r.StallTime }},
	{"p50 ms", func(r *Result) float64 { return millis(r.InterToken[0]) }},
	{"p95 ms", func(r *Result) float64 { return millis(r.InterToken[1]) }},
	{"p99 ms", func(r *Result) float64 { return millis(r.InterToken[2]) }},
	{"first p95 ms", func(r *Result) float64 { return millis(r.FirstToken) }},
	{"worth/s", func(r *Result) float64 { return r.CompletedWorth }},
	{"small share", func(r *Result) float64 { return r.SmallShare }},
	{"refused %", func(r *Result) float64 { return 100 * float64(r.refused()) / float64(max(1, r.Requests)) }},
}

func (r *Result) refused() int {
	n := 0
	for _, k := range r.Refusals {
		n += k
	}
	return n
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteTable writes the rows as a Markdown table.
func WriteTable(w io.Writer, rows []*Row) error {
	header, separator := "| mix | fault | load | instances | way |", "| --- | --- | --- | --- | --- |"
	for _, f := range metricColumns {
		header += " " + f.name + " |"
		separator += " --- |"
	}
	if _, err := fmt.Fprintln(w, header+"\n"+separator); err != nil {
		return err
	}
	for _, r := range rows {
		line := fmt.Sprintf("| %s | %s | %.1f | %d | %s |", r.Workload, r.Fault, r.Load, r.Instances, r.Strategy)
		for _, f := range metricColumns {
			line += " " + r.Summarise(f.value).String() + " |"
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}
