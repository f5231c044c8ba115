// Command kit plays one case of the review: it starts the project's own programs as separate processes on
// loopback addresses, with small stand-ins for requesters, runners, the operator and the platform.
//
//	kit CASE FOLDER
//
// It writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 in the environment the case is played without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the outcome of a case.
type verdict int

const (
	held verdict = iota
	broken
	cannotRun
)

// play plays a case. Trouble is false if the disruption is left out.
type play func(c *cluster, trouble bool) (verdict, string)

var plays = map[string]play{
	"lost-majority":    lostMajority,
	"replaced-leaders": replacedLeaders,
	"last-keys":        lastKeys,
	"preempted":        preempted,
	"leaving":          leaving,
}

// limit bounds a case, so that it has ended within 120 s.
const limit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE FOLDER")
		os.Exit(int(cannotRun))
	}
	os.Exit(int(playCase(os.Args[1], os.Args[2])))
}

func playCase(name, folder string) verdict {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	root, err := os.Getwd()
	if err != nil {
		return cannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, with the disruption: %v", name, trouble)
	c, err := newCluster(rec, root)
	if err != nil {
		rec.note("cannot run: %v", err)
		return cannotRun
	}
	defer c.close()
	type result struct {
		v   verdict
		why string
	}
	done := make(chan result, 1)
	go func() {
		v, why := plays[name](c, trouble)
		done <- result{v, why}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	r := result{cannotRun, "time is over, or stopped"}
	select {
	case r = <-done:
	case <-time.After(limit):
	case <-stop:
	}
	text := [...]string{"HELD", "BROKEN", "COULD NOT RUN"}[r.v] + ": " + r.why
	rec.note("%s", text)
	fmt.Println(text)
	return r.v
}
