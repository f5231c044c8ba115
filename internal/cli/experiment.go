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
	c := app.Command("experiment", "Compare ways of routing in virtual time, over the real admission cores and the engines' model. Prints a Markdown table: median and range over the seeds.")
	mixes := c.Flag("mix", "Loads: correa, kupa.").Default("correa", "kupa").Strings()
	loads := c.Flag("load", "Offered load, as parts of the capacity.").Default("0.7", "0.9", "1.1", "1.5").Float64List()
	faults := c.Flag("fault", "What fails halfway: none, engine, domain.").Default("none").Strings()
	instances := c.Flag("instances", "Numbers of entry instances.").Default("1").Ints()
	ways := c.Flag("way", "Ways by name; all when absent.").Strings()
	seeds := c.Flag("seeds", "Number of seeds.").Default("5").Int()
	length := c.Flag("length", "Virtual time of arrivals.").Default("120s").Duration()
	workers := c.Flag("workers", "Runs at once.").Default("4").Int()
	chosen := admission.DefaultPolicy()
	c.Flag("deviations", "Standard deviations that the chosen way keeps free.").Default(strconv.FormatFloat(chosen.Deviations, 'g', -1, 64)).Float64Var(&chosen.Deviations)
	c.Flag("headroom", "Part of the memory that the chosen way keeps free.").Default(strconv.FormatFloat(chosen.Headroom, 'g', -1, 64)).Float64Var(&chosen.Headroom)
	c.Flag("samples", "Candidates that the chosen way compares; 0 for all.").Default(strconv.Itoa(chosen.Samples)).IntVar(&chosen.Samples)
	c.Action(func(*kingpin.ParseContext) error {
		o := experiment.Options{Loads: *loads, Instances: *instances, Seeds: *seeds, Length: *length, Workers: *workers}
		for _, name := range *mixes {
			switch name {
			case "correa":
				o.Mixes = append(o.Mixes, experiment.Correa())
			case "kupa":
				o.Mixes = append(o.Mixes, experiment.Kupa())
			default:
				return errors.Errorf("there is no mix %q", name)
			}
		}
		for _, name := range *faults {
			o.Faults = append(o.Faults, experiment.Fault(name))
		}
		for _, way := range experiment.Ways(chosen) {
			if len(*ways) == 0 || slices.Contains(*ways, way.Name()) {
				o.Ways = append(o.Ways, way)
			}
		}
		return experiment.Write(t.out, experiment.Compare(o))
	})
}
