package cli

import (
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/vanillaward/vanillaward/internal/experiment"
)

func (t *tool) addExperimentStale(app *kingpin.Application) {
	c := app.Command("experiment-stale", "Compare ways to choose an engine by stale information in virtual time, with the real balancers and a model of the engines. Prints a Markdown table.")
	var s experiment.StaleSetup
	instances := c.Flag("instances", "Numbers of gateway instances.").Default("3", "100", "300").Ints()
	engines := c.Flag("engines", "Numbers of engines.").Default("60").Ints()
	ages := c.Flag("age", "Ages of what is known of other instances and, from 0.5 s on, of engines.").Default("100ms", "500ms", "2s").DurationList()
	loads := c.Flag("load", "Offered load, as fractions of the capacity.").Default("0.7", "0.9", "1.1").Float64List()
	ways := c.Flag("way", "Ways to choose by name; all when absent.").Strings()
	workers := c.Flag("workers", "Number of concurrent runs.").Default("2").Int()
	c.Flag("subset", "Engines that each instance knows; 0 for all.").IntVar(&s.Subset)
	c.Flag("speeds", "Engines of 0.7, 0.7 and 1.7 of the nominal speed.").BoolVar(&s.Speeds)
	c.Flag("bursts", "Arrivals in bursts.").BoolVar(&s.Bursts)
	c.Flag("replaced", "Engines are replaced, each every 20 s.").BoolVar(&s.Replaced)
	c.Flag("no-leader", "Instances know reports only.").BoolVar(&s.NoLeader)
	c.Flag("halves", "Each half of the instances knows nothing of the other.").BoolVar(&s.Halves)
	c.Flag("length", "Duration in virtual time.").Default("60s").DurationVar(&s.Duration)
	c.Flag("seed", "Seed.").Default("1").Uint64Var(&s.Seed)
	c.Action(func(*kingpin.ParseContext) error {
		var setups []experiment.StaleSetup
		for _, s.Instances = range *instances {
			for _, s.Engines = range *engines {
				for _, s.Age = range *ages {
					for _, s.Load = range *loads {
						for _, s.Way = range experiment.StaleWays() {
							if len(*ways) == 0 || slices.Contains(*ways, s.Way.Name) {
								setups = append(setups, s)
							}
						}
					}
				}
			}
		}
		return experiment.WriteStaleTable(t.out, setups, experiment.CompareStale(setups, *workers))
	})
}
