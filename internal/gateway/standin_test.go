package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// Headers of the tests' dialect.
const (
	testID      = "Test-Id"
	testBudget  = "Test-Budget-Ms"
	testKey     = "Test-Key"
	testLeft    = "Test-Left-Ms"
	testTarget  = "Test-Target"
	testOrg     = "Test-Organisation"
	testBackup  = "Test-Backup"
	testResume  = "Test-Resume"
	testAfter   = "Test-After"
	testNotRun  = "Test-Not-Run"
	testLongest = "Test-Longest"
	testLeaving = "Test-Leaving"
	testWait    = "Test-Wait-Ms"
	testParts   = "Test-Parts"
	testLimit   = "Test-Limit"
	testKeep    = "Test-Keep-Seconds"
)

// dialect is a dialect with header names that only the tests use.
type dialect struct{}

func (dialect) ReadRequest(h http.Header) vanillaward.CallerRequest {
	budget, _ := strconv.Atoi(h.Get(testBudget))
	longest, _ := strconv.Atoi(h.Get(testLongest))
	after, afterErr := strconv.ParseInt(h.Get(testAfter), 10, 64)
	return vanillaward.CallerRequest{
		ID: h.Get(testID), Budget: time.Duration(budget) * time.Millisecond, Key: h.Get(testKey),
		PromptTokens: longest, LongestTokens: longest, SharedParts: strings.Fields(h.Get(testParts)),
		LastEvent: vanillaward.LastEvent{Stated: h.Get(testAfter) != "", Valid: afterErr == nil && after >= 0, Number: uint64(max(0, after))},
	}
}

func (dialect) Forward(h http.Header, f vanillaward.Forwarding) {
	h.Del(testKey)
	h.Set(testLeft, strconv.FormatInt(f.Remaining.Milliseconds(), 10))
	h.Set(testTarget, f.Target)
	h.Set(testOrg, f.Organisation)
	h.Del(testBackup)
	h.Del(testAfter)
	if f.After != nil {
		h.Set(testAfter, strconv.FormatUint(*f.After, 10))
	}
	if f.CopyHolder != "" {
		h.Set(testBackup, f.CopyHolder)
	}
	if f.Resume != nil {
		h.Set(testResume, f.Resume.Address+"/"+f.Resume.Handle)
		h.Set(testAfter, strconv.FormatUint(f.Resume.LastEvent, 10))
	}
}

func (dialect) SetBudget(h http.Header, remaining time.Duration) {
	h.Set(testBudget, strconv.FormatInt(remaining.Milliseconds(), 10))
}

func (dialect) SetLastEvent(h http.Header, number uint64) {
	h.Set(testAfter, strconv.FormatUint(number, 10))
}

func (dialect) ReadAnswer(_ int, h http.Header) vanillaward.TargetAnswer {
	wait, _ := strconv.Atoi(h.Get(testWait))
	keep, _ := strconv.Atoi(h.Get(testKeep))
	limit, noLimit := strconv.ParseFloat(h.Get(testLimit), 64)
	named := h.Values(testID)
	return vanillaward.TargetAnswer{
		RequestID: h.Get(testID), SeveralRequests: len(slices.Compact(slices.Clone(named))) > 1, NotRun: h.Get(testNotRun) != "", Closing: h.Get("Connection") == "close",
		Leaving: h.Get(testLeaving) != "", Wait: time.Duration(wait) * time.Millisecond,
		Limited: noLimit == nil, Limit: limit, KeepFor: time.Duration(keep) * time.Second,
	}
}

func (dialect) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// engines records the requested moves and drops of copies.
type engines struct {
	hold chan struct{} // if set, moves wait until it is closed
	// runsOf, if set, answers what the engine at an address runs, in place of runs.
	runsOf func(address string) (vanillaward.EngineRuns, error)
	// runs, if set, answers what an engine runs; no engine can be reached else. stop, if set, answers a move
	// that is to stop its run.
	runs func() (vanillaward.EngineRuns, error)
	stop func(vanillaward.Move) (vanillaward.MoveResult, error)

	mu     sync.Mutex // guards the fields below
	asked  int        // number of questions what an engine runs
	absent int        // number of moves that still find that the engine does not run the request
	moves  []vanillaward.Move
	drops  []string
}

func (*engines) Load(context.Context, string) (*vanillaward.EngineReport, error) {
	return &vanillaward.EngineReport{Load: &wire.Load{}}, nil
}

func (e *engines) Runs(_ context.Context, address string) (vanillaward.EngineRuns, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	if e.runsOf != nil {
		return e.runsOf(address)
	}
	if e.runs == nil {
		return vanillaward.EngineRuns{}, vanillaward.ErrUnreachable
	}
	return e.runs()
}

func (e *engines) askedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked
}

func (e *engines) Move(ctx context.Context, m vanillaward.Move) (vanillaward.MoveResult, error) {
	e.mu.Lock()
	e.moves = append(e.moves, m)
	absent := e.absent > 0
	e.absent--
	e.mu.Unlock()
	if m.Last && e.stop != nil {
		return e.stop(m)
	}
	if absent {
		return vanillaward.MoveResult{}, vanillaward.ErrNotRunning
	}
	if e.hold != nil {
		select {
		case <-e.hold:
		case <-ctx.Done():
			return vanillaward.MoveResult{}, ctx.Err()
		}
	}
	return vanillaward.MoveResult{Handle: "handle"}, nil
}

func (e *engines) movesMade() []vanillaward.Move {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.moves)
}

func (e *engines) moveCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.moves)
}

func (e *engines) Drop(_ context.Context, _, handle string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drops = append(e.drops, handle)
	return nil
}

func (e *engines) dropped() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.drops)
}

// newRawStandin returns a target that answers each request by a function and closes the
// connection then.
func newRawStandin(t *testing.T, id string, answer func(net.Conn, *http.Request)) *standin {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &standin{id: id, listener: listener}
	go acceptAll(listener, func(conn net.Conn) { s.serveRaw(conn, answer) })
	return s
}

// acceptAll serves each connection of a listener in a goroutine of its own, until the listener is closed.
func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

func (s *standin) serveRaw(conn net.Conn, answer func(net.Conn, *http.Request)) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.seen = append(s.seen, request.Header)
	s.mu.Unlock()
	answer(conn, request)
}

// standin is a target with a given behaviour, such as a fault.
type standin struct {
	id        string
	behaviour string
	listener  net.Listener
	// boundAddress is the address of a target that refuses connections; it has no listener.
	boundAddress string
	held         chan struct{} // closing it ends the wait of the behaviours stream-held and stream-paused
	begins       func()        // if set, is called when a request has arrived

	mu     sync.Mutex // guards the fields below
	runs   []string   // IDs of the requests that the target ran
	seen   []http.Header
	bodies []string
}

const completeBody = "the whole answer of the target"

func newStandin(t *testing.T, id, behaviour string) *standin {
	t.Helper()
	s := &standin{id: id, behaviour: behaviour, held: make(chan struct{})}
	if behaviour == "dead" {
		s.boundAddress = bindWithoutListening(t)
		return s
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.listener = listener
	t.Cleanup(func() { _ = listener.Close() })
	go acceptAll(listener, s.serve)
	return s
}

// bindWithoutListening returns an address that refuses connections until the test ends. The port stays bound:
// that of a closed listener can be given to the next one, which would then answer in the place of the target.
func bindWithoutListening(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(socket) })
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(socket)
	require.NoError(t, err)
	inet, ok := bound.(*syscall.SockaddrInet4)
	require.True(t, ok)
	return netip.AddrPortFrom(netip.AddrFrom4(inet.Addr), uint16(inet.Port)).String()
}

func (s *standin) address() string {
	if s.boundAddress != "" {
		return s.boundAddress
	}
	return s.listener.Addr().String()
}

func (s *standin) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if s.behaviour == "early" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 413 Too Large\r\n%s: %s\r\nContent-Length: 2\r\n\r\nno", testID, request.Header.Get(testID))
		}
		body, _ := io.ReadAll(request.Body)
		if s.begins != nil {
			s.begins()
		}
		s.mu.Lock()
		s.seen = append(s.seen, request.Header)
		s.bodies = append(s.bodies, request.Method+" "+request.RequestURI+" "+request.Host+" "+string(body))
		s.mu.Unlock()
		if s.behaviour != "early" && !s.answer(conn, request) {
			return
		}
	}
}

// answer answers a request. It reports whether the connection stays open.
func (s *standin) answer(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get(testID)
	if s.behaviour != "refuse" {
		s.mu.Lock()
		s.runs = append(s.runs, id)
		s.mu.Unlock()
	}
	head := func(status int, id string, more string, body string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%s: %s\r\n%s\r\n%s", status, testID, id, more, body)
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(completeBody))
	name, argument, _ := strings.Cut(s.behaviour, ":")
	if name == "stream" || name == "stream-held" || name == "stream-paused" {
		return s.stream(conn, request, argument)
	}
	if s.endEarly(conn, name, head, id) {
		return false
	}
	switch name {
	case "complete":
		head(200, id, length, completeBody)
	case "error":
		head(500, id, "Content-Length: 4\r\n", "oops")
	case "says-503":
		head(503, id, "Content-Length: 4\r\n", "oops")
	case "refuse":
		head(503, id, testNotRun+": 1\r\nContent-Length: 0\r\n", "")
	case "foreign":
		head(200, "somebody-else", "Content-Length: 7\r\n", "foreign")
		head(200, id, length, completeBody)
	case "only-foreign":
		head(200, "somebody-else", "Content-Length: 7\r\n", "foreign")
		return false
	case "extra":
		head(200, id, length, completeBody+"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nextra")
	case "unframed":
		head(200, id, "Connection: close\r\n", completeBody)
		return false
	}
	return true
}

// endEarly handles the behaviours that end a connection without a complete answer. It
// reports false for other behaviours.
func (s *standin) endEarly(conn net.Conn, name string, head func(int, string, string, string), id string) bool {
	switch name {
	case "truncate":
		head(200, id, fmt.Sprintf("Content-Length: %d\r\n", len(completeBody)), completeBody[:10])
	case "reset":
		_ = conn.(*net.TCPConn).SetLinger(0)
	case "end":
	case "garbage":
		_, _ = fmt.Fprint(conn, "\x00\x01 this is no answer\r\n\r\n")
	case "unframed-reset":
		head(200, id, "Connection: close\r\n", completeBody[:10])
		time.Sleep(20 * time.Millisecond) // the bytes must be sent before the reset
		_ = conn.(*net.TCPConn).SetLinger(0)
	case "mute":
		_, _ = conn.Read(make([]byte, 1))
	default:
		return false
	}
	return true
}

// errPaused replaces the result of parsing the argument once the stream has paused, so that
// the stream neither pauses again nor is cut off.
var errPaused = errors.New("stream has already paused")

// stream sends five events. The argument states after which of them it cuts the stream off,
// or pauses once.
func (s *standin) stream(conn net.Conn, request *http.Request, argument string) bool {
	const events = 5
	from := 0
	if request.Header.Get(testAfter) != "" {
		from, _ = strconv.Atoi(request.Header.Get(testAfter))
	}
	if argument == "restart" { // runs the request again though it is asked to continue it
		from = 0
	}
	if argument == "late-crash" {
		s.streamUntilLateCrash(conn, request)
		return false
	}
	if argument == "unframed" || argument == "unframed-crash" {
		s.streamUnframed(conn, request, argument == "unframed-crash")
		return false
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", testID, request.Header.Get(testID))
	cut, err := strconv.Atoi(argument)
	for i := from + 1; i <= events; i++ {
		event := fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
		if argument == "skip" && i == 3 {
			continue
		}
		if err == nil && i == cut+1 && strings.HasPrefix(s.behaviour, "stream-paused") {
			<-s.held
			err = errPaused
		}
		if err == nil && i == cut+1 {
			if strings.HasPrefix(s.behaviour, "stream-held") {
				<-s.held
			}
			_, _ = fmt.Fprintf(conn, "%x\r\n%s", len(event), event[:4]) // in the middle of the event
			return false
		}
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	_, _ = fmt.Fprint(conn, "0\r\n\r\n")
	return true
}

// streamUnframed sends five events that end with the connection. With crashes, the target ends after the second.
func (s *standin) streamUnframed(conn net.Conn, request *http.Request, crashes bool) {
	events := strings.SplitAfterN(fiveEvents, "\n\n", 3)
	if crashes {
		_ = s.listener.Close()
		events = events[:2]
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", testID, request.Header.Get(testID), strings.Join(events, ""))
}

// lateCrash is how long a stream of streamUntilLateCrash lasts: longer than a run that has just begun.
const lateCrash = 700 * time.Millisecond

// streamUntilLateCrash sends an event, and crashes in the next one after a time.
func (s *standin) streamUntilLateCrash(conn net.Conn, request *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: event 1\n\nid: 2\n", testID, request.Header.Get(testID))
	time.Sleep(lateCrash)
	_ = s.listener.Close()
}

func (s *standin) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// requestCount returns how many requests the target received, including those refused.
func (s *standin) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

// firstHeader returns the header of the first request that the target received.
func (s *standin) firstHeader() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[0]
}

// lastHeader returns the header of the last request that the target received.
func (s *standin) lastHeader() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[len(s.seen)-1]
}
