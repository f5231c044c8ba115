package cli

import "github.com/alecthomas/kingpin/v2"

func (t *tool) addExperiment(_ *kingpin.Application) {}
