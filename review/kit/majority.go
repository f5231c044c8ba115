package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// before is how long a successor runs before the machine that it replaces is stopped.
	before = catchUpTime + 2*time.Second
	// calm is the time without any disruption or planned work before the disk is lost.
	calm = 20 * time.Second
)

// lostMajority replaces two machines of the core by plan, one after the other, the new one first. After a
// calm time one machine loses its disk.
func lostMajority(c *cluster, trouble bool) (verdict, string) {
	op := newOperator(c.record)
	running, seeds, err := startCore(c, op)
	if err != nil {
		return cannotRun, err.Error()
	}
	for i, version := range []int{9, 11} {
		if running, err = replace(c, running, i, before, seeds); err != nil {
			return cannotRun, err.Error()
		}
		if op.put(ackTime, configuration(version, tenant("huka270", "key-a")), running...) != 200 {
			return cannotRun, "a configuration after a replacement was not acknowledged"
		}
	}
	time.Sleep(calm)
	if got := op.read(ackTime, running...); got != 11 {
		return cannotRun, "the configuration cannot be read before the disk is lost"
	}

	lost := running[0]
	if trouble {
		lost.loseDisk()
		time.Sleep(time.Second)
		if err := lost.start(false); err != nil {
			return cannotRun, err.Error()
		}
	}
	back := time.Now()
	got := op.read(recoveryTime+ackTime+contactTime, running...)
	c.record.note("read back %.1f s after the machine was back: version %d", time.Since(back).Seconds(), got)
	if got < 11 {
		op.put(ackTime, configuration(14, tenant("huka270", "key-a")), running...)
		return broken, "the acknowledged configuration 11 does not come any more, with all three machines of the core running"
	}
	if op.put(recoveryTime, configuration(14, tenant("huka270", "key-a")), running...) != 200 {
		return broken, "no configuration is acknowledged any more"
	}
	return held, "the configuration was read back and the next one acknowledged"
}

// startCore starts the core and has it acknowledge the first configuration. It returns the machines and
// their control addresses.
func startCore(c *cluster, op *operator) (core []*node, seeds []string, err error) {
	for i, zone := range zones {
		core = append(core, c.add("core-"+zone+"-1", "control", zone, i+1, nil))
		seeds = append(seeds, core[i].control())
	}
	for _, n := range core {
		n.seeds = seeds
	}
	if err := startAll(true, core...); err != nil {
		return nil, nil, err
	}
	time.Sleep(time.Second)
	if op.put(10*time.Second, configuration(7, tenant("huka270", "key-a")), core...) != 200 {
		return nil, nil, errors.New("the first configuration was not acknowledged")
	}
	time.Sleep(contactTime)
	return core, seeds, nil
}

// replace replaces the last of the running machines by plan and returns those that run then, the new one
// first but one: the machine at the end is the next to be replaced. The new one runs for the given time
// before the old one is stopped.
func replace(c *cluster, running []*node, turn int, before time.Duration, seeds []string) ([]*node, error) {
	old := running[len(running)-1]
	successor := c.add(fmt.Sprintf("core-%s-%d", old.zone, turn+2), "control", old.zone, 4+turn, seeds)
	if err := successor.start(false); err != nil {
		return nil, err
	}
	time.Sleep(before)
	c.record.note("platform: SIGTERM for %s, which is removed for good", old.name)
	old.signal(syscall.SIGTERM)
	if !old.await(graceSeconds * time.Second) {
		old.kill()
	}
	kept := running[:len(running)-1]
	return []*node{kept[0], successor, kept[1]}, nil
}
