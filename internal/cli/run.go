package cli

import (
	"net/netip"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/instance"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/pkg/finding"
	"github.com/vanillaward/vanillaward/platform"
)

func (t *tool) addRun(app *kingpin.Application) {
	c := app.Command("run", "Run an instance until SIGTERM or SIGINT, then stop it without interrupting a request. A second signal stops it at once.")
	file := c.Flag("settings", "Settings file of the instance.").Envar(platform.SettingsVariable).Required().String()
	c.Action(func(*kingpin.ParseContext) error {
		s, err := settings.Load(*file)
		if err != nil {
			return err
		}
		inst, err := instance.New(s)
		if err != nil {
			return err
		}
		ctx, cancel, stop := shutdownSignals()
		defer cancel()
		return inst.Run(ctx, stop)
	})
}

func (t *tool) addCheck(app *kingpin.Application) {
	c := app.Command("check", "Check settings files and declarations, and report all findings together. Files with a section [instance] are settings; the others are one set of declarations.")
	files := c.Arg("file", "Files to check.").Required().Strings()
	c.Action(func(*kingpin.ParseContext) error {
		found, err := checkFiles(*files)
		if err != nil {
			return err
		}
		if err := found.Err(); err != nil {
			return err
		}
		return t.print(map[string]int{"files": len(*files), "findings": 0}, func(w writer) {
			writeLine(w, "%d files, no findings", len(*files))
		})
	})
}

// checkFiles validates settings and declarations, and reports addresses that several
// settings files use. It returns an error if a file cannot be read.
func checkFiles(files []string) (finding.List, error) {
	var found finding.List
	var sections []*inifile.Section
	fileByAddress := map[netip.AddrPort]string{}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return found, errors.Wrap(err, "check")
		}
		parsed, findings := inifile.Parse(name, data)
		if !isSettings(parsed) {
			found.Merge(findings)
			sections = append(sections, parsed...)
			continue
		}
		s, findings := settings.Parse(name, data)
		found.Merge(findings)
		checkAddresses(s, name, fileByAddress, &found)
	}
	if len(sections) > 0 {
		_, findings := declaration.Build(1, sections, nil)
		found.Merge(findings)
	}
	return found, nil
}

func isSettings(sections []*inifile.Section) bool {
	for _, s := range sections {
		if s.ID() == "instance" {
			return true
		}
	}
	return false
}

// checkAddresses reports addresses that two settings files use. Of an unspecified IP address nothing is known: it
// may belong to different machines.
func checkAddresses(s *settings.Settings, file string, fileByAddress map[netip.AddrPort]string, found *finding.List) {
	for _, listener := range s.Listen.Listeners() {
		if listener.Address.Addr().IsUnspecified() {
			continue
		}
		address := netip.AddrPortFrom(listener.Address.Addr().Unmap(), listener.Address.Port())
		if other, dup := fileByAddress[address]; dup && other != file {
			found.Add(file, 0, "", "address %s is already used by %s", listener.Address, other)
		}
		fileByAddress[address] = file
	}
}
