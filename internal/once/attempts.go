package once

import (
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// maxAttempts bounds the attempts that an instance remembers; the oldest that
// ended go first.
const maxAttempts = 20000

type message = proto.Message

type attemptState struct {
	running bool
	notRun  bool
	answer  *wire.Answer
}

// attempts remembers what became of this instance's own attempts, so that a
// duplicate elsewhere can be told. It is safe for concurrent use.
type attempts struct {
	mu    sync.Mutex // guards the rest; never held while another lock is taken
	byID  map[string]*attemptState
	ended []string
}

func newAttempts() *attempts { return &attempts{byID: map[string]*attemptState{}} }

func (a *attempts) begin(id string, _ time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id] = &attemptState{running: true}
}

func (a *attempts) end(id string, answer *wire.Answer, notRun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.byID[id]
	if s == nil || !s.running {
		return
	}
	s.running, s.notRun, s.answer = false, notRun, answer
	a.ended = append(a.ended, id)
	for len(a.ended) > maxAttempts {
		delete(a.byID, a.ended[0])
		a.ended = a.ended[1:]
	}
}

// forget drops an attempt of which nobody knows whether it ran.
func (a *attempts) forget(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byID, id)
}

func (a *attempts) describe(id string, out *wire.OwnerResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.byID[id]
	if s == nil {
		return
	}
	out.Known, out.Running, out.NotRun, out.Answer = true, s.running, s.notRun, s.answer
}

func parsePeer(name, address string) (inifile.Peer, error) {
	a, err := netip.ParseAddrPort(address)
	return inifile.Peer{Name: name, Address: a}, err
}
