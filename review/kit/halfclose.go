package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"
)

// leaving has requesters leave before their answer: they close their side of the channel, and read what
// still comes until the machine closes its own.
func leaving(c *cluster, trouble bool) (verdict, string) {
	core, fronts, err := smallDeployment(c)
	if err != nil {
		return cannotRun, err.Error()
	}
	l := &ledger{record: c.record}
	for i, zone := range zones {
		r, err := startRunner(c, l, fmt.Sprintf("i-agenda-%d", i+1), agenda, zone, 21+i, 200*time.Millisecond)
		if err != nil {
			return cannotRun, err.Error()
		}
		defer r.close()
	}
	op := newOperator(c.record)
	time.Sleep(time.Second)
	if op.put(10*time.Second, configuration(7, tenant("huka270", "key-a")), core...) != 200 {
		return cannotRun, "the first configuration was not acknowledged"
	}
	if !awaitReady(10*time.Second, fronts...) {
		return cannotRun, "fronts are not ready"
	}
	time.Sleep(contactTime)
	wrong := 0
	for i := range 12 {
		q := booking("key-a")
		var a answer
		if trouble {
			a = q.leave(c.record, fronts[i%len(fronts)])
		} else {
			a = q.send(c.record, fronts[i%len(fronts)])
		}
		if a.status/100 == 2 && a.stamp == "" {
			wrong++
		}
	}
	if wrong > 0 {
		return broken, fmt.Sprintf("%d of 12 requesters got a success that no runner gave", wrong)
	}
	return held, "every success was a runner's"
}

// leave sends the request, closes the requester's side of the channel after 50 ms, and reads to the end.
func (r *request) leave(rec *record, n *node) answer {
	rec.note("requester: %s %s %s sent to %s", r.id, r.method, r.path, n.name)
	conn, err := net.DialTimeout("tcp", n.front(), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(conn, r.text()); err != nil {
		return answer{err: err}
	}
	time.Sleep(50 * time.Millisecond)
	_ = conn.(*net.TCPConn).CloseWrite()
	rec.note("requester: %s leaves: it closes its side of the channel", r.id)
	a := readAnswer(bufio.NewReader(conn), r.method)
	rec.note("requester: %s gets %d, stamp %q, %d bytes, whole %v, error %v", r.id, a.status, a.stamp, len(a.body), a.whole, a.err)
	return a
}
