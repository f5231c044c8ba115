// Command vanillaward-standin runs stand-ins for the systems around vanillaward.
package main

import (
	"os"

	"github.com/vanillaward/vanillaward/internal/standin/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
