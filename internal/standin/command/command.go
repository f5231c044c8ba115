// Package command implements the command line of the stand-ins.
package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/standin"
)

// Run executes the command line and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	app := kingpin.New("vanillaward-standin", "Stand-ins for the systems around vanillaward, and a small caller.")
	app.UsageWriter(errOut).ErrorWriter(errOut)
	code := -1
	app.Terminate(func(c int) { code = c })
	addRun(app)
	addCall(app, out)
	addLoad(app, out)
	_, err := app.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "vanillaward-standin: "+err.Error()) // no other place to report it
		return 1
	}
	return 0
}

func addRun(app *kingpin.Application) {
	c := app.Command("run", "Run the targets that declarations name, each at its address, and the platform's list. Faults are switched at the admin address.")
	admin := c.Flag("admin", "Address of the admin interface.").Required().String()
	speed := c.Flag("speed", "Divides the engines' durations.").Default("1").Float64()
	lag := c.Flag("list-lag", "Delay until the platform's list shows a change.").Default("5s").Duration()
	files := c.Arg("file", "Files of the declarations.").Required().Strings()
	c.Action(func(*kingpin.ParseContext) error {
		set, err := declaration.Load(*files)
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		done, err := standin.NewHost(set.Targets(), *speed, *lag).Run(ctx, *admin)
		if err != nil {
			return err
		}
		return <-done
	})
}

func addCall(app *kingpin.Application, out io.Writer) {
	c := app.Command("call", "Send the requests of a small demonstration and show the answers.")
	url := c.Flag("url", "URL of an entry instance.").Required().String()
	key := c.Flag("key", "Key of the organisation.").Required().String()
	file := c.Arg("file", "File of requests, one per line: name, class, method, path and body, separated by tabs.").Required().String()
	timeout := c.Flag("timeout", "Timeout of one request.").Default("60s").Duration()
	c.Action(func(*kingpin.ParseContext) error {
		calls, err := readCalls(*file)
		if err != nil {
			return err
		}
		caller := &caller{url: *url, key: *key, timeout: *timeout, out: out}
		for _, request := range calls {
			if err := caller.send(request); err != nil {
				return errors.Wrap(err, request.name)
			}
			time.Sleep(callPause)
		}
		return nil
	})
}

// callPause is the pause between two requests of a demonstration.
const callPause = 50 * time.Millisecond
