package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Bounds of the two oldest deployments.
const (
	// successorTime is how long a successor runs before the machine that it replaces is removed: longer than
	// catch_up_s, 4 s.
	successorTime = 6 * time.Second
	// nextLoss is how long after that the next machine loses its disk, and downAfterLoss how long it is down.
	nextLoss      = time.Second
	downAfterLoss = time.Second
	// smallRecovery is recovery_s there, and smallReadTime twice contact_ms.
	smallRecovery = 12 * time.Second
	smallReadTime = 6 * time.Second
)

// removedMachine has three core machines, of which the loss of one is to be borne. One is replaced: its successor comes
// first, and some seconds later the old one is removed without SIGTERM. Then another one loses its disk.
func removedMachine(d *deployment, trouble bool) (bool, error) {
	var cores []*machine
	for i := range 3 {
		cores = append(cores, d.add("control", fmt.Sprintf("core-%d", i+1), fmt.Sprintf("zone-%d", i+1)))
	}
	for _, m := range cores {
		d.seeds = append(d.seeds, m.ip+":"+controlPort)
	}
	list := serveList(d)
	defer list.close()
	for _, m := range cores {
		m.bootstrap = true
		if err := m.start(); err != nil {
			return false, err
		}
		m.bootstrap = false
	}
	o := &operator{rec: d.rec}
	if !o.put(plainConfiguration(1), cores, 10*time.Second) {
		return false, errors.New("the first configuration was not acknowledged")
	}
	leader := d.awaitLeader(5 * time.Second)
	if leader == nil {
		return false, errors.New("no machine says that it leads")
	}
	var followers []*machine
	for _, m := range cores {
		if m != leader {
			followers = append(followers, m)
		}
	}
	time.Sleep(smallRecovery)
	old, other := followers[0], followers[1]
	successor := d.add("control", "core-4", old.zone)
	if err := successor.start(); err != nil {
		return false, err
	}
	time.Sleep(successorTime)
	rest := []*machine{leader, other, successor}
	if !o.put(plainConfiguration(2), rest, 6*time.Second) {
		return false, errors.New("a configuration was not acknowledged before the removal")
	}
	old.signal(syscall.SIGKILL)
	d.rec.line("%s is removed for good; its successor %s has run for %v", old.name, successor.name, successorTime)
	time.Sleep(nextLoss)
	if trouble {
		other.signal(syscall.SIGKILL)
		if err := other.loseDisk(); err != nil {
			return false, err
		}
		time.Sleep(downAfterLoss)
		if err := other.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(smallRecovery)
	highest, lowest := o.readBack(rest, smallReadTime)
	if !o.put(plainConfiguration(3), rest, 6*time.Second) {
		d.rec.line("version 3 was not acknowledged")
		return true, nil
	}
	d.rec.line("newest version acknowledged before the read: 2; versions read back: %d to %d (0: none came)", lowest, highest)
	return lowest < 2, nil
}
