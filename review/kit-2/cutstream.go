package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// reloadSettle is how long after its SIGHUP the front machine gets the requests: less than config_apply_ms, 2.5 s.
	reloadSettle = 300 * time.Millisecond
	// streamLeft is the time budget of the requests: what a requester whose first attempt has failed after 4 s has left of its 6 s.
	streamLeft = 2 * time.Second
	// emptiedZone is the zone of the second runner.
	emptiedZone = "zone-2"
)

// shortStream is a stream that is complete in time: a few events, as those of the deployment with resumable streams.
var shortStream = shape{events: 7, first: 400 * time.Millisecond, every: 170 * time.Millisecond}

// cutStream sends streams that may be resumed, while the zone of one of two runners is evacuated. The front machine gets SIGHUP
// before each; its settings are the same.
func cutStream(d *deployment, trouble bool) (bool, error) {
	f, front, cores, err := startModel(d, shortStream)
	if err != nil {
		return false, err
	}
	defer f.close()
	o := &operator{rec: d.rec}
	if trouble && !o.order(http.MethodPost, "/vanillaward/evacuation/"+emptiedZone, "", "evacuation of "+emptiedZone, cores, 6*time.Second) {
		return false, errors.New("the evacuation was not acknowledged")
	}
	time.Sleep(evacuateTime + time.Second)
	lost := 0
	for i := range streams {
		front.signal(syscall.SIGHUP)
		time.Sleep(reloadSettle)
		id := fmt.Sprintf("%016x", 0xc0de+i)
		events, took := requestStream(f, front, id, streamLeft)
		time.Sleep(time.Second)
		if events < f.shape.events && took < streamLeft && !f.brokeOff(id) {
			lost++
		}
	}
	d.rec.line("answers cut off before their time, though their runners worked on: %d of %d", lost, streams)
	return lost > 0, nil
}

// brokeOff reports whether a runner has ended a request by itself before it was complete.
func (f *modelFleet) brokeOff(id string) bool {
	for _, k := range f.worksOf(id) {
		if k.why == budgetOver {
			return true
		}
	}
	return false
}
