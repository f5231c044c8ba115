package main

import (
	"fmt"
	"time"
)

// lastKeys takes away the last key of every tenant, and then has requesters use the old keys, and one that
// never was.
func lastKeys(c *cluster, trouble bool) (verdict, string) {
	core, fronts, err := smallDeployment(c)
	if err != nil {
		return cannotRun, err.Error()
	}
	l := &ledger{record: c.record}
	for i, zone := range zones {
		r, err := startRunner(c, l, fmt.Sprintf("i-agenda-%d", i+1), agenda, zone, 21+i, 30*time.Millisecond)
		if err != nil {
			return cannotRun, err.Error()
		}
		defer r.close()
	}
	op := newOperator(c.record)
	time.Sleep(time.Second)
	if op.put(10*time.Second, configuration(7, tenant("huka270", "key-a"), tenant("lomi113", "key-b")), core...) != 200 {
		return cannotRun, "the first configuration was not acknowledged"
	}
	if !awaitReady(10*time.Second, fronts...) {
		return cannotRun, "fronts are not ready"
	}
	time.Sleep(contactTime)
	for _, f := range fronts {
		if a := booking("key-a").send(c.record, f); a.status != 200 {
			return cannotRun, "a booking with a valid key is not served"
		}
		if a := booking("key-x").send(c.record, f); a.status != 401 {
			return cannotRun, "an unknown key is not refused"
		}
	}

	// Two keys are taken away, each by a version, as by the disruption "revoke" with count 2.
	if op.put(ackTime, configuration(9, tenant("huka270"), tenant("lomi113", "key-b")), core...) != 200 {
		return cannotRun, "version 9 was not acknowledged"
	}
	if trouble {
		time.Sleep(time.Second)
		if op.put(ackTime, configuration(12, tenant("huka270"), tenant("lomi113")), core...) != 200 {
			return cannotRun, "version 12 was not acknowledged"
		}
	}
	time.Sleep(configTime + time.Second)
	ran := 0
	for range 3 {
		for _, f := range fronts {
			for _, key := range []string{"key-a", "key-never"} {
				q := booking(key)
				q.send(c.record, f)
				ran += len(l.of(q.id))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	if ran > 0 {
		return broken, fmt.Sprintf("%d bookings ran with a key that was taken away or never was, without Tenant", ran)
	}
	return held, "no booking ran with a key that is not in force"
}

func booking(key string) *request {
	id := newID()
	return &request{id: id, method: "POST", host: hostName, path: pathBooking + "2f", key: key, deadline: 1500 * time.Millisecond, body: "slot " + id}
}
