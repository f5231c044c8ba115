package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns a new Request-Id.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// request is one attempt of a requester, on a channel of its own.
type request struct {
	id       string
	method   string
	host     string
	path     string
	key      string
	deadline time.Duration
	body     string
	header   []string // further lines
}

// answer is what a requester got.
type answer struct {
	status int // 0 without an answer
	stamp  string
	body   string
	whole  bool
	err    error
}

func (r *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	for _, line := range r.header {
		b.WriteString(line + "\r\n")
	}
	if r.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.String()
}

// send sends the request to a front machine and reads its answer.
func (r *request) send(rec *record, n *node) answer {
	rec.note("requester: %s %s %s (key %q) sent to %s", r.id, r.method, r.path, r.key, n.name)
	a := r.exchange(n)
	rec.note("requester: %s gets %d, stamp %q, %d bytes, whole %v, error %v", r.id, a.status, a.stamp, len(a.body), a.whole, a.err)
	return a
}

func (r *request) exchange(n *node) answer {
	conn, err := net.DialTimeout("tcp", n.front(), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := io.WriteString(conn, r.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), r.method)
}

// readAnswer reads one answer.
func readAnswer(reader *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, stamp: response.Header.Get("Response-Stamp"), body: string(data), whole: err == nil, err: err}
}

// ready reports whether a front machine says that it is ready.
func ready(n *node) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ip + ":" + portReady + "/vanillaward/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all front machines are ready.
func awaitReady(limit time.Duration, nodes ...*node) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range nodes {
			all = all && ready(n)
		}
		if all {
			return true
		}
	}
	return false
}
