package gateway_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

var (
	answerCount = flag.Int("answers", 1500, "number of answers of TestAnswersInEveryFraming")
	answerSeed  = flag.Uint64("answers.seed", 1, "seed of these answers")
)

// rawAnswer is an answer of a target as the bytes that are sent, with what a caller may take from
// it. The latter follows from how the bytes were made, apart from the gateway's readers.
type rawAnswer struct {
	kind     route.Kind
	framing  upstream.Framing
	ending   ending
	segments []string
	complete bool
	body     string // the whole body, or the whole events that were sent of a stream that is cut
}

// piece is a part of an answer on the wire; some pieces are parts of the body.
type piece struct {
	raw    string
	inBody bool
}

// answerMaker makes answers at random, in every framing that the protocol allows.
type answerMaker struct{ random *rand.Rand }

func (m answerMaker) chance(oneIn int) bool { return m.random.IntN(oneIn) == 0 }

func (m answerMaker) next() rawAnswer {
	a := rawAnswer{kind: route.Once, ending: endsByClose}
	var body string
	var events []string
	if m.chance(2) {
		a.kind = route.Stream
		events, body = m.events()
	} else {
		body = strings.Repeat("x", m.random.IntN(3000))
	}
	a.framing = []upstream.Framing{upstream.FramedByLength, upstream.FramedByChunks, upstream.FramedByClose}[m.random.IntN(3)]
	head, pieces := m.head(a.framing, len(body)), m.frame(a.framing, body)
	total := 0
	for _, p := range pieces {
		total += len(p.raw)
	}
	end := total
	if m.chance(2) {
		end = m.random.IntN(total + 1)
	}
	if m.chance(3) && (end < total || a.framing == upstream.FramedByClose) {
		a.ending = endsByReset
	}
	sent, received := cutPieces(pieces, end)
	a.complete = a.ending == endsByClose && (end == total || a.framing == upstream.FramedByClose)
	a.body = received
	if a.kind == route.Stream {
		a.body = wholeEvents(events, len(received))
		a.complete = a.complete && a.showsItsEnd(received)
	}
	if end == total && a.framing != upstream.FramedByClose && m.chance(4) {
		sent += "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nextra" // belongs to no request
	}
	a.segments = m.split(head + sent)
	return a
}

// showsItsEnd reports whether a stream ends after an event, or is shown by its framing to be empty.
func (a rawAnswer) showsItsEnd(received string) bool {
	return a.body == received && (a.framing != upstream.FramedByClose || received != "")
}

// events returns the events of a stream and its body, which may have an unfinished event at its
// end.
func (m answerMaker) events() (events []string, body string) {
	lineEnd := []string{"\n", "\r\n"}[m.random.IntN(2)]
	numbered := m.chance(2)
	for i := range m.random.IntN(12) {
		var e strings.Builder
		if m.chance(5) {
			events = append(events, ": comment"+lineEnd+lineEnd)
		}
		if numbered {
			fmt.Fprintf(&e, "id: %d%s", i+1, lineEnd)
		}
		for range 1 + m.random.IntN(3) {
			e.WriteString("data: " + strings.Repeat("y", m.random.IntN(200)) + lineEnd)
		}
		events = append(events, e.String()+lineEnd)
	}
	body = strings.Join(events, "")
	if m.chance(6) {
		body += "data: unfinished" + lineEnd
	}
	return events, body
}

func (m answerMaker) head(framing upstream.Framing, length int) string {
	var head strings.Builder
	for m.chance(4) {
		head.WriteString("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
	}
	head.WriteString("HTTP/1.1 200 X\r\n")
	switch framing {
	case upstream.FramedByLength:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", length)
	case upstream.FramedByChunks:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case upstream.FramedByClose:
	}
	if m.chance(4) {
		head.WriteString("Connection: close\r\n")
	}
	return head.String() + "\r\n"
}

// frame returns a body as it is sent.
func (m answerMaker) frame(framing upstream.Framing, body string) []piece {
	if framing != upstream.FramedByChunks {
		return []piece{{body, true}}
	}
	var out []piece
	for len(body) > 0 {
		size := 1 + m.random.IntN(min(len(body), 1+m.random.IntN(400)))
		extension := ""
		if m.chance(4) {
			extension = ";name=value"
		}
		out = append(out, piece{fmt.Sprintf("%x%s\r\n", size, extension), false}, piece{body[:size], true}, piece{"\r\n", false})
		body = body[size:]
	}
	end := "0\r\n"
	if m.chance(4) {
		end += "Trailer-Field: value\r\n"
	}
	return append(out, piece{end + "\r\n", false})
}

// cutPieces returns the first bytes of an answer, and those of them that are its body.
func cutPieces(pieces []piece, end int) (sent, received string) {
	for _, p := range pieces {
		part := p.raw[:min(len(p.raw), end-len(sent))]
		sent += part
		if p.inBody {
			received += part
		}
	}
	return sent, received
}

// wholeEvents returns the events that end within the first bytes of a stream.
func wholeEvents(events []string, bytes int) string {
	out := ""
	for _, e := range events {
		if len(out)+len(e) > bytes {
			break
		}
		out += e
	}
	return out
}

// split returns the parts in which an answer is written.
func (m answerMaker) split(raw string) []string {
	var out []string
	for range m.random.IntN(5) {
		at := m.random.IntN(len(raw) + 1)
		out, raw = append(out, raw[:at]), raw[at:]
		if raw == "" {
			break
		}
	}
	return append(out, raw)
}

func (a rawAnswer) send(conn net.Conn, _ *http.Request) {
	for _, s := range a.segments {
		_, _ = conn.Write([]byte(s)) // a failure shows in the caller's answer
	}
	if a.ending == endsByReset {
		time.Sleep(resetPause)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// check compares what the caller received with what it may take from the answer.
func (a rawAnswer) check(got reply) string {
	switch {
	case a.complete:
		if got.err != nil || got.status != http.StatusOK || got.body != a.body {
			return "a complete answer does not arrive"
		}
	case got.status == http.StatusOK && got.err == nil:
		return "an answer that was cut looks complete"
	case a.kind == route.Once:
		if got.status != http.StatusBadGateway || got.err != nil {
			return "an answer that was cut is not refused as broken"
		}
	case a.ending == endsByReset:
		if got.status == http.StatusOK && !strings.HasPrefix(a.body, got.body) {
			return "a cut stream is not a beginning of the target's"
		}
	case got.body != a.body:
		return "whole events of a cut stream are missing, or a part of one arrives"
	}
	return ""
}

// TestAnswersInEveryFraming guards against an answer being taken as complete that is not, and the
// reverse, whatever the framing, the events' form, the segments and the end. Call it with
// -answers 100000 for a long run.
func TestAnswersInEveryFraming(t *testing.T) {
	const workers = 4
	t.Logf("seed %d", *answerSeed)
	for worker := range workers {
		t.Run(fmt.Sprint("worker-", worker), func(t *testing.T) {
			t.Parallel()
			m := answerMaker{rand.New(rand.NewPCG(*answerSeed, uint64(worker)))}
			config := map[route.Kind]*route.Configuration{}
			rigs := map[route.Kind]*rig{}
			var answer rawAnswer
			target := newRawStandin(t, "", func(conn net.Conn, r *http.Request) { answer.send(conn, r) })
			for _, kind := range []route.Kind{route.Once, route.Stream} {
				config[kind] = configuration(1, kind, 1, 30*time.Second)
				config[kind].Services[0].ContinuousCopies, config[kind].Services[0].Moves = false, false
				rigs[kind] = newRig(t, config[kind])
			}
			for i := range *answerCount / workers {
				answer = m.next()
				target.id = fmt.Sprint("target-", i) // a new one, without failures
				rigs[answer.kind].updateTargets(target)
				got := rigs[answer.kind].send(t, http.MethodPost, fmt.Sprint("/r/", i), "", map[string]string{testBudget: "30000"}) // a repeat of a request that was cut is held back
				require.Empty(t, answer.check(got), "worker %d, answer %d: %+v\ngot %+v", worker, i, answer, got)
			}
		})
	}
}
