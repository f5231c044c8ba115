package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// startTime is how long the machines run before the traffic starts, on the large deployment.
	startTime = 14 * time.Second
	// splitTime is how long the core is split before the change, and powerTime how long the machines that lose their disks
	// are down.
	splitTime = 6 * time.Second
	powerTime = 3 * time.Second
	// recoveryTime is recovery_s there.
	recoveryTime = 15 * time.Second
	// readTime is how long the operator reads back at the end: twice contact_ms there.
	readTime = 10 * time.Second
)

// twoDisks has five core machines, of which the loss of two is to be borne. They are split into two and three for some
// seconds. The three acknowledge a change, and two of them are killed and lose their disks. Then the split heals, and all
// machines are there again.
func twoDisks(d *deployment, trouble bool) (bool, error) {
	links := newNetwork()
	defer links.close()
	var cores []*machine
	for i := range 5 {
		m := d.add("control", fmt.Sprintf("core-%d", i+1), fmt.Sprintf("zone-%d", i+1))
		proxy := d.address(firstMachine + i + proxyOctetAdd)
		if err := links.before(m, proxy); err != nil {
			return false, err
		}
		if i < 3 {
			d.seeds = append(d.seeds, proxy+":"+controlPort)
		}
		cores = append(cores, m)
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
	time.Sleep(startTime)
	if !o.put(plainConfiguration(2), cores, 6*time.Second) {
		return false, errors.New("a configuration was not acknowledged before the disruption")
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
	few, many, lost := followers[:2], []*machine{leader, followers[2], followers[3]}, []*machine{leader, followers[2]}
	if trouble {
		d.rec.line("the core is split: %s / %s; the operator reaches both halves", names(few), names(many))
		for _, m := range few {
			for _, other := range many {
				links.separate(m.ip, other.ip)
			}
		}
	}
	time.Sleep(splitTime)
	if !o.put(plainConfiguration(3), many, 6*time.Second) {
		return false, errors.New("no configuration was acknowledged by the larger half")
	}
	time.Sleep(time.Second)
	if trouble {
		for _, m := range lost {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range lost {
			if err := m.loseDisk(); err != nil {
				return false, err
			}
		}
		time.Sleep(powerTime)
		for _, m := range lost {
			if err := m.start(); err != nil {
				return false, err
			}
		}
		d.rec.line("the split heals")
		links.heal()
	}
	time.Sleep(recoveryTime)
	highest, lowest := o.readBack(cores, readTime)
	d.rec.line("newest version acknowledged: %d; versions read back: %d to %d (0: none came)", o.acked, lowest, highest)
	return lowest < o.acked, nil
}

func names(machines []*machine) string {
	var out []string
	for _, m := range machines {
		out = append(out, m.name)
	}
	return strings.Join(out, ", ")
}

// list is the platform's list, without entries.
type list struct{ server *http.Server }

func serveList(d *deployment) *list {
	l := &list{server: &http.Server{Addr: d.address(fleetOctet) + ":" + listPort, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"instances":[],"next":null}`))
	})}}
	go func() { _ = l.server.ListenAndServe() }()
	return l
}

func (l *list) close() { _ = l.server.Close() }
