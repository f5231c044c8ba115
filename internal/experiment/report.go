package experiment

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/admission"
)

// Ways returns all ways that are compared, with the given form of the chosen
// policy.
func Ways(chosen admission.PredictedPeak) []Way {
	return []Way{
		{Policy: admission.RoundRobin{}},
		{Policy: admission.LeastOutstanding{}},
		{Policy: admission.TwoChoices{}},
		{Policy: admission.ReserveLongest{}},
		{Policy: chosen},
		{Policy: chosen, Oracle: true},
	}
}

// Options select the runs of a comparison.
type Options struct {
	Mixes     []*Mix
	Loads     []float64 // of capacity
	Faults    []Fault
	Instances []int
	Ways      []Way
	Seeds     int
	Length    time.Duration
	Workers   int
}

// Capacity returns the requests a second that the engines of a mix complete when
// far more are offered than they can take and the engines queue by themselves:
// the batches are then as full as the memory allows.
func Capacity(m *Mix, length time.Duration) float64 {
	const overload = 2.5
	r := Run(Setup{
		Mix: m, Way: Way{Policy: admission.LeastOutstanding{}}, Rate: overload * roughRate(m),
		Length: length, Instances: 1, Fault: FaultNone, Seed: 99,
	})
	return r.Tokens / meanOutput(m)
}

// roughRate estimates the capacity from a full batch.
func roughRate(m *Mix) float64 {
	const stepSeconds = 0.045
	held := 0.0
	for _, c := range m.classes {
		held += c.part * (c.prompt + meanOf(c)/2)
	}
	batch := min(float64(m.batchCap), float64(m.capacity)/held)
	return float64(m.engines) * batch / stepSeconds / meanOutput(m)
}

func meanOutput(m *Mix) float64 {
	sum, n := 0, 0
	for _, a := range m.arrivals(100, 2000*time.Second, 1) {
		sum += a.output
		n++
	}
	return float64(sum) / float64(n)
}

func meanOf(c classMix) float64 { return c.output * (1 + c.spread*c.spread/2) }

// Summary is the median and the range of a figure over seeds.
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

// Row is one combination with the figures of all seeds.
type Row struct {
	Mix       string
	Load      float64
	Fault     Fault
	Instances int
	Way       string
	Results   []*Result
}

// Figure summarises one figure of the row.
func (r *Row) Figure(of func(*Result) float64) Summary {
	var values []float64
	for _, x := range r.Results {
		values = append(values, of(x))
	}
	return summarise(values)
}

// Compare runs all combinations, several at once, and returns a row for each.
func Compare(o Options) []*Row {
	var rows []*Row
	var running sync.WaitGroup
	slots := make(chan struct{}, o.Workers)
	for _, setup := range o.combinations() {
		row := &Row{
			Mix: setup.Mix.name, Load: setup.load, Fault: setup.Fault, Instances: setup.Instances,
			Way: setup.Way.Name(), Results: make([]*Result, o.Seeds),
		}
		rows = append(rows, row)
		for seed := range o.Seeds {
			running.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				one := setup.Setup
				one.Seed = uint64(seed + 1)
				row.Results[seed] = Run(one)
			})
		}
	}
	running.Wait()
	return rows
}

// combination is a run without a seed, with its load as a part of the capacity.
type combination struct {
	Setup
	load float64
}

func (o *Options) combinations() []combination {
	var out []combination
	for _, m := range o.Mixes {
		capacity := Capacity(m, o.Length)
		for _, fault := range o.Faults {
			for _, load := range o.Loads {
				for _, instances := range o.Instances {
					for _, way := range o.Ways {
						out = append(out, combination{load: load, Setup: Setup{
							Mix: m, Way: way, Rate: load * capacity, Length: o.Length, Instances: instances, Fault: fault,
						}})
					}
				}
			}
		}
	}
	return out
}

// figures are the columns of a report.
var figures = []struct {
	name string
	of   func(*Result) float64
}{
	{"preemptions/1000", func(r *Result) float64 { return r.Preemptions }},
	{"stall s/1000", func(r *Result) float64 { return r.StallTime }},
	{"p50 ms", func(r *Result) float64 { return millis(r.Between[0]) }},
	{"p95 ms", func(r *Result) float64 { return millis(r.Between[1]) }},
	{"p99 ms", func(r *Result) float64 { return millis(r.Between[2]) }},
	{"first p95 ms", func(r *Result) float64 { return millis(r.FirstToken) }},
	{"worth/s", func(r *Result) float64 { return r.Worth }},
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

// Write writes the rows as a Markdown table.
func Write(w io.Writer, rows []*Row) error {
	head, rule := "| mix | fault | load | instances | way |", "| --- | --- | --- | --- | --- |"
	for _, f := range figures {
		head += " " + f.name + " |"
		rule += " --- |"
	}
	if _, err := fmt.Fprintln(w, head+"\n"+rule); err != nil {
		return err
	}
	for _, r := range rows {
		text := fmt.Sprintf("| %s | %s | %.1f | %d | %s |", r.Mix, r.Fault, r.Load, r.Instances, r.Way)
		for _, f := range figures {
			text += " " + r.Figure(f.of).String() + " |"
		}
		if _, err := fmt.Fprintln(w, text); err != nil {
			return err
		}
	}
	return nil
}
