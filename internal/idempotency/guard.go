// Package idempotency ensures that non-idempotent requests run at most once. It claims
// them at the keepers of their home failure domain, stores the results of this
// instance's attempts, and serves this instance's own keeper.
package idempotency

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/keeper"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// generatedKeyPrefix is the prefix of keys that the system generated. The home
	// failure domain follows it.
	generatedKeyPrefix = "vw1."
	// identityBytes is the length of a random identity in bytes, before it is encoded
	// in hexadecimal.
	identityBytes = 12
	// releaseTimeout bounds a call that reports the end of an attempt to a keeper.
	releaseTimeout = 2 * time.Second
)

// Guard claims non-idempotent requests. It is safe for concurrent use.
type Guard struct {
	log      logr.Logger
	timers   vanillaward.Timers
	store    *config.Store
	creds    *peer.Credentials
	traffic  *peer.Traffic
	self     inifile.Peer
	domain   string
	timeout  time.Duration
	local    *LocalKeeper
	attempts *attempts

	mu         sync.Mutex // guards clients; never held while another lock is taken
	clients    map[string]*peer.Client
	background sync.WaitGroup // background calls to keepers
}

// NewGuard returns the guard of an instance; local is the instance's own keeper.
func NewGuard(b base.Base, store *config.Store, local *LocalKeeper) *Guard {
	s := b.Settings
	return &Guard{
		log: b.Log, timers: b.Timers, store: store, creds: b.Credentials, traffic: b.Traffic, local: local,
		self:   inifile.Peer{Name: s.Instance.Name, Address: s.PeerAddress()},
		domain: s.Instance.FailureDomain, timeout: s.Entry.KeeperTimeout,
		attempts: newAttempts(), clients: map[string]*peer.Client{},
	}
}

// NewIdentity returns a random identity in hexadecimal.
func NewIdentity() string {
	b := make([]byte, identityBytes)
	_, _ = rand.Read(b) // never returns an error
	return hex.EncodeToString(b)
}

// GenerateKey returns a new random key whose home is this instance's failure domain.
func (g *Guard) GenerateKey() string { return generatedKeyPrefix + g.domain + "." + NewIdentity() }

// Home returns the failure domain whose keepers store the records of a key. Keys that
// the system generated name it; for other keys it is chosen by rendezvous hashing. Home
// returns false if the key names a failure domain that does not exist, or if there are
// none.
func Home(set *declaration.Set, key string) (string, bool) {
	if rest, ok := strings.CutPrefix(key, generatedKeyPrefix); ok {
		if domain, _, ok := strings.Cut(rest, "."); ok {
			_, exists := set.FailureDomain(domain)
			return domain, exists
		}
	}
	best, bestScore := "", uint64(0)
	for _, domain := range set.FailureDomains() {
		h := fnv.New64a()
		_, _ = h.Write([]byte(domain + "\x00" + key)) // writing to a hash does not fail
		if score := h.Sum64(); best == "" || score > bestScore {
			best, bestScore = domain, score
		}
	}
	return best, best != ""
}

// EpochOf returns the current epoch of a failure domain's keepers, and the keepers.
// Both are empty for an unknown failure domain.
func EpochOf(set *declaration.Set, domain string) (keeper.Epoch, []inifile.Peer) {
	d, ok := set.FailureDomain(domain)
	if !ok {
		return keeper.Epoch{}, nil
	}
	return keeper.Epoch{
		Number: uint64(d.KeeperEpoch()), Members: peerNames(d.Keepers()), Previous: peerNames(d.PreviousKeepers()),
		Lifetime: set.Fleet().RecordLifetime(),
	}, d.Keepers()
}

func peerNames(peers []inifile.Peer) []string {
	var out []string
	for _, p := range peers {
		out = append(out, p.Name)
	}
	return out
}

// AttemptStatus is the status of a request that another attempt holds.
type AttemptStatus int

// Attempt statuses.
const (
	// StatusUnknown means that neither the owner nor the keepers know the status.
	StatusUnknown AttemptStatus = iota
	// StatusRunning means that the request is still running.
	StatusRunning
	// StatusNotRun means that the attempt ended without running.
	StatusNotRun
	// StatusDone means that the request has run to its end.
	StatusDone
)

// ResolveRecord returns the status of a record's request and its answer, if there is
// one. It asks the owner, and the keepers if the owner is unreachable or does not know
// the attempt.
func (g *Guard) ResolveRecord(ctx context.Context, r *wire.Record) (AttemptStatus, *wire.Answer) {
	if r.GetDone() {
		return StatusDone, r.GetAnswer()
	}
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	answer := &wire.OwnerResponse{}
	owner, err := parsePeer(r.GetOwner(), r.GetOwnerAddress())
	if err == nil {
		err = g.call(ctx, owner, "Owner.Ask", &wire.OwnerRequest{Key: r.GetKey(), Attempt: r.GetAttempt()}, answer)
	}
	switch {
	case err != nil || !answer.GetKnown():
		return g.lookupAnswer(ctx, r.GetKey())
	case answer.GetRunning():
		return StatusRunning, nil
	case answer.GetNotRun():
		return StatusNotRun, nil
	}
	return StatusDone, answer.GetAnswer()
}

// Outcome asks the keepers of a key's home failure domain for the status of its
// request.
func (g *Guard) Outcome(ctx context.Context, key string) (AttemptStatus, *wire.Answer) {
	record, known := g.findRecord(ctx, key)
	switch {
	case record != nil:
		return g.ResolveRecord(ctx, record)
	case known:
		return StatusNotRun, nil
	}
	return StatusUnknown, nil
}

// lookupAnswer returns the answer of a finished request from the keepers.
func (g *Guard) lookupAnswer(ctx context.Context, key string) (AttemptStatus, *wire.Answer) {
	if record, _ := g.findRecord(ctx, key); record.GetDone() {
		return StatusDone, record.GetAnswer()
	}
	return StatusUnknown, nil
}

// findRecord returns the record of a key, or nil, and whether a majority of the keepers
// responded and had the right to vote. Without such a majority, a record may exist
// although none was found.
func (g *Guard) findRecord(ctx context.Context, key string) (*wire.Record, bool) {
	set := g.store.Current()
	home, ok := Home(set, key)
	if !ok {
		return nil, false
	}
	epoch, members := EpochOf(set, home)
	var found *wire.Record
	voting := 0
	for _, m := range members {
		answer := &wire.IntentResponse{}
		request := &wire.IntentRequest{Epoch: epoch.Number, Key: key}
		if g.call(ctx, m, "Keeper.Lookup", request, answer) != nil {
			continue
		}
		if answer.GetStatus() != wire.IntentStatus_INTENT_STATUS_NOT_READY {
			voting++
		}
		if r := answer.GetRecord(); r != nil && (found == nil || r.GetDone()) {
			found = r
		}
	}
	return found, voting >= epoch.Quorum()
}

// call calls a method of a peer. It calls this instance's own keeper directly,
// without a connection.
func (g *Guard) call(ctx context.Context, to inifile.Peer, method string, request, response message) error {
	if to.Name == g.self.Name {
		return g.callLocal(method, request, response)
	}
	return g.client(to).Call(ctx, method, request, response)
}

func (g *Guard) callLocal(method string, request, response message) error {
	switch in := request.(type) {
	case *wire.IntentRequest:
		out, ok := response.(*wire.IntentResponse)
		if ok && method == "Keeper.Lookup" {
			return g.local.Lookup(in, out)
		}
		if ok {
			return g.local.Intent(in, out)
		}
	case *wire.OutcomeRequest:
		return g.local.Outcome(in, &wire.Empty{})
	case *wire.OwnerRequest:
		if out, ok := response.(*wire.OwnerResponse); ok {
			return g.Ask(in, out)
		}
	}
	return errors.Errorf("no local method %s for this request and response", method)
}

// Ask writes the state of one of this instance's attempts to out.
func (g *Guard) Ask(in *wire.OwnerRequest, out *wire.OwnerResponse) error {
	g.attempts.describe(in.GetAttempt(), out)
	return nil
}

func (g *Guard) client(to inifile.Peer) *peer.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := to.Address.String()
	c := g.clients[key]
	if c == nil {
		c = peer.NewClient(to.Address, g.creds, g.traffic)
		g.clients[key] = c
	}
	return c
}

// Flush waits until all pending calls to keepers have returned or timed out.
func (g *Guard) Flush() { g.background.Wait() }

// Close calls Flush and then closes the connections to the keepers.
func (g *Guard) Close() {
	g.Flush()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.clients {
		c.Close()
	}
}

// TransferRecords transfers the records of this instance's keeper to the other keepers
// of the failure domain when the instance stops.
func (g *Guard) TransferRecords(ctx context.Context) {
	set := g.store.Current()
	if set == nil {
		return
	}
	_, members := EpochOf(set, g.domain)
	members = slices.DeleteFunc(slices.Clone(members), func(p inifile.Peer) bool { return p.Name == g.self.Name })
	for _, m := range members {
		if err := g.transferTo(ctx, m); err != nil {
			g.log.Info("cannot transfer records to keeper", "keeper", m.Name, "reason", err.Error())
		}
	}
}

// transferTo transfers the records to one keeper, part by part.
func (g *Guard) transferTo(ctx context.Context, to inifile.Peer) error {
	after := ""
	for {
		records := g.local.Records(after)
		if len(records.GetRecords()) == 0 {
			return nil
		}
		if err := g.call(ctx, to, "Keeper.Adopt", records, &wire.Empty{}); err != nil {
			return err
		}
		if !records.GetMore() {
			return nil
		}
		after = records.GetRecords()[len(records.GetRecords())-1].GetKey()
	}
}
