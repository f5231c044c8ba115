package idempotency

import (
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// maxAttempts is the largest number of ended attempts that an instance remembers.
// The oldest are evicted first.
const maxAttempts = 20000

type message = proto.Message

// attemptState is the state of one attempt. notRun and answer are set when it ends.
type attemptState struct {
	running bool
	notRun  bool
	answer  *wire.Answer
}

// attempts stores the states of this instance's own attempts, so that it can answer
// other instances that received a duplicate. It is safe for concurrent use.
type attempts struct {
	mu       sync.Mutex // guards the fields below; never held while another lock is taken
	byID     map[string]*attemptState
	endedIDs []string // identities of ended attempts, oldest first
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
	a.endedIDs = append(a.endedIDs, id)
	for len(a.endedIDs) > maxAttempts {
		delete(a.byID, a.endedIDs[0])
		a.endedIDs = a.endedIDs[1:]
	}
}

// forget removes an attempt of which it is unknown whether it ran.
func (a *attempts) forget(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byID, id)
}

// describe writes the state of an attempt to out. It does not change out if the
// attempt is unknown.
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
