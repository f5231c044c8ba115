package cli

import (
	"slices"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/admission"
	"github.com/vanillaward/vanillaward/internal/experiment"
)

func (t *tool) addExperiment(app *kingpin.Application) {
	c := app.Command("experiment", "Compare routing strategies in virtual time, with the real admission cores and a model of the engines. Prints a Markdown table: median and range over the seeds.")
	workloads := c.Flag("mix", "Workloads: correa, kupa.").Default("correa", "kupa").Strings()
	loads := c.Flag("load", "Offered load, as fractions of the capacity.").Default("0.7", "0.9", "1.1", "1.5").Float64List()
	faults := c.Flag("fault", "What fails halfway: none, engine, domain.").Default("none").Strings()
	instances := c.Flag("instances", "Numbers of entry instances.").Default("1").Ints()
	strategies := c.Flag("way", "Routing strategies by name; all when absent.").Strings()
	seeds := c.Flag("seeds", "Number of seeds.").Default("5").Int()
	duration := c.Flag("length", "Duration of the arrivals in virtual time.").Default("120s").Duration()
	workers := c.Flag("workers", "Number of concurrent runs.").Default("4").Int()
	policy := admission.DefaultPolicy()
	c.Flag("deviations", "Standard deviations of the predicted memory that the policy predicted-peak keeps free.").Default(strconv.FormatFloat(policy.Deviations, 'g', -1, 64)).Float64Var(&policy.Deviations)
	c.Flag("headroom", "Fraction of the memory that the policy predicted-peak keeps free.").Default(strconv.FormatFloat(policy.Headroom, 'g', -1, 64)).Float64Var(&policy.Headroom)
	c.Flag("samples", "Candidates that the policy predicted-peak compares; 0 for all.").Default(strconv.Itoa(policy.Samples)).IntVar(&policy.Samples)
	c.Action(func(*kingpin.ParseContext) error {
		opts := experiment.Options{Loads: *loads, Instances: *instances, Seeds: *seeds, Duration: *duration, Workers: *workers}
		for _, name := range *workloads {
			switch name {
			case "correa":
				opts.Workloads = append(opts.Workloads, experiment.CorreaWorkload())
			case "kupa":
				opts.Workloads = append(opts.Workloads, experiment.KupaWorkload())
			default:
				return errors.Errorf("unknown mix %q", name)
			}
		}
		for _, name := range *faults {
			opts.Faults = append(opts.Faults, experiment.Fault(name))
		}
		for _, strategy := range experiment.Strategies(policy) {
			if len(*strategies) == 0 || slices.Contains(*strategies, strategy.Name()) {
				opts.Strategies = append(opts.Strategies, strategy)
			}
		}
		return experiment.WriteTable(t.out, experiment.Compare(opts))
	})
}
