package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	// evacuateTime is evacuate_ms, stretchTime max_stretch_ms and contactTime contact_ms of the deployment with
	// evacuations.
	evacuateTime = 5 * time.Second
	stretchTime  = 6 * time.Second
	contactTime  = 4 * time.Second
	// cutTime is how long one core machine is cut off.
	cutTime = 5 * time.Second
	// watchTime is how long the runners of the evacuated zone are watched.
	watchTime = 10 * time.Second
	// evacuated is the zone that is evacuated.
	evacuated = "zone-1"
)

// lateOrder takes the evacuation of a zone back while one core machine is cut off, so that the order is sent again
// to another one, and evacuates the zone anew. The cut heals.
func lateOrder(d *deployment, trouble bool) (bool, error) {
	links := newNetwork()
	defer links.close()
	var cores, fronts []*machine
	for i, zone := range []string{evacuated, "zone-2", "zone-3"} {
		m := d.add("control", "core-"+zone, zone)
		proxy := d.address(firstMachine + i + proxyOctetAdd)
		if err := links.before(m, proxy); err != nil {
			return false, err
		}
		d.seeds = append(d.seeds, proxy+":"+controlPort)
		cores = append(cores, m)
	}
	for _, zone := range []string{evacuated, "zone-2"} {
		fronts = append(fronts, d.add("gateway", "front-"+zone, zone))
	}
	f, err := newFleet(d)
	if err != nil {
		return false, err
	}
	defer f.close()
	for i, zone := range []string{evacuated, "zone-2", "zone-3"} {
		if err := f.add(210+i, "i-"+zone, zone); err != nil {
			return false, err
		}
	}
	for _, m := range d.machines {
		m.bootstrap = true
		if err := m.start(); err != nil {
			return false, err
		}
	}
	o := &operator{rec: d.rec}
	if !o.put(plainConfiguration(1), cores, 10*time.Second) {
		return false, errors.New("the first configuration was not acknowledged")
	}
	if !awaitReady(fronts, 15*time.Second) {
		return false, errors.New("the front machines are not ready")
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
	// The operator picks the machine that is cut off first for an ordinary change, and then for the order.
	first := append([]*machine{followers[0]}, followers[1], leader)
	if !o.put(plainConfiguration(2), first, 6*time.Second) {
		return false, errors.New("a configuration was not acknowledged")
	}
	load := startRequesters(d, fronts, 100*time.Millisecond)
	defer load.end(d.rec)
	time.Sleep(contactTime)
	path := "/vanillaward/evacuation/" + evacuated
	if !o.order(http.MethodPost, path, "", "evacuation of "+evacuated, first, 6*time.Second) {
		return false, errors.New("the evacuation was not acknowledged")
	}
	time.Sleep(evacuateTime + time.Second)
	if trouble {
		d.rec.line("%s is cut off from the other core machines; the operator and the front machines still reach it", followers[0].name)
		links.separate(followers[0].ip, followers[1].ip, leader.ip)
	}
	healAt := time.Now().Add(cutTime)
	time.Sleep(50 * time.Millisecond)
	if !o.order(http.MethodDelete, path, "", "end of the evacuation of "+evacuated, first, 6*time.Second) {
		return false, errors.New("the end of the evacuation was not acknowledged")
	}
	time.Sleep(time.Second)
	if !o.order(http.MethodPost, path, "", "evacuation of "+evacuated, []*machine{followers[1], leader}, 6*time.Second) {
		return false, errors.New("the second evacuation was not acknowledged")
	}
	acked := d.rec.now()
	time.Sleep(time.Until(healAt))
	if trouble {
		d.rec.line("the cut heals")
		links.heal()
	}
	from := max(acked+evacuateTime+stretchTime, d.rec.now()+contactTime)
	to := from + watchTime
	time.Sleep(to - d.rec.now())
	late := f.runsIn(evacuated, from, to)
	d.rec.line("requests that ran in %s from %.1f s to %.1f s, %.1f s and more after its evacuation was acknowledged: %d; elsewhere: %d",
		evacuated, from.Seconds(), to.Seconds(), (from - acked).Seconds(), len(late), len(f.runsIn("zone-2", from, to))+len(f.runsIn("zone-3", from, to)))
	for i, r := range late {
		if i == 5 {
			break
		}
		d.rec.line("request %s ran at %s at %.3f s", r.request, r.runner.id, r.at.Seconds())
	}
	return len(late) > 0, nil
}
