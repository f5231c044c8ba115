// Command review plays one case of the second independent review against the processes of the deploy file, on
// loopback addresses. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// play is a case. Trouble is false for a run without the disruption. It reports whether the rule was broken.
type play func(d *deployment, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"removed-machine": removedMachine,
	"two-disks":       twoDisks,
	"cut-stream":      cutStream,
	"late-order":      lateOrder,
	"silent-runner":   silentRunner,
}

// The processes that a case starts end with the thread that started them, so the case stays on the first one.
func init() { runtime.LockOSThread() }

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE REPOSITORY FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(os.Args[2], rec)
	if err != nil {
		rec.line("not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.close()
		os.Exit(exitNotRun)
	}()
	broken, err := plays[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.line("not run: %v", err)
		return exitNotRun
	case broken:
		rec.line("result: the rule was broken")
		return exitBroken
	}
	rec.line("result: the rule held")
	return exitHeld
}
