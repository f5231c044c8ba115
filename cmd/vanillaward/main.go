// Command vanillaward serves text generations; see the README.
package main

import (
	"os"

	"github.com/vanillaward/vanillaward/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
