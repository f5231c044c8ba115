package cli

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/trace"
)

func (t *tool) addReplay(app *kingpin.Application) {
	c := app.Command("replay", "Replay recorded traces through the decision cores and report every broken promise with its line.")
	files := c.Arg("file", "Traces, as JSON lines.").Required().Strings()
	c.Action(func(*kingpin.ParseContext) error {
		broken := []string{}
		for _, name := range *files {
			violations, err := replayFile(name)
			if err != nil {
				return err
			}
			for _, v := range violations {
				broken = append(broken, name+":"+v.String())
			}
		}
		if err := t.print(map[string]any{"files": len(*files), "broken": broken}, func(w writer) {
			for _, b := range broken {
				writeLine(w, "%s", b)
			}
			writeLine(w, "%d files, %d promises broken", len(*files), len(broken))
		}); err != nil {
			return err
		}
		if len(broken) > 0 {
			return &exitError{ExitBroken, errors.Errorf("%d promises broken", len(broken))}
		}
		return nil
	})
}

func replayFile(name string) ([]trace.Violation, error) {
	f, err := os.Open(name) //nolint:gosec // the operator chooses the file
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	defer func() { _ = f.Close() }() // the file was only read
	events, err := trace.Read(f)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	return append(trace.Replay(events), trace.Check(events)...), nil
}
