package once

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/keeper"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	keeperTick    = 200 * time.Millisecond
	recallTimeout = 2 * time.Second
)

// LocalKeeper runs this instance's keeper. It is safe for concurrent use.
type LocalKeeper struct {
	log     logr.Logger
	timers  vanillaward.Timers
	store   *config.Store
	domain  string
	creds   *peer.Credentials
	traffic *peer.Traffic
	control []inifile.Peer

	mu   sync.Mutex // guards core; never held while another lock is taken
	core *keeper.Core
}

// NewLocalKeeper returns the keeper of an instance under a new incarnation.
func NewLocalKeeper(b base.Base, store *config.Store) *LocalKeeper {
	s := b.Settings
	return &LocalKeeper{
		log: b.Log, timers: b.Timers, store: store, domain: s.Instance.FailureDomain,
		control: s.Control.Replicas, creds: b.Credentials, traffic: b.Traffic,
		core: keeper.New(s.Instance.Name, NewIdentity(), s.Entry.KeeperRecords, b.Timers.Now()),
	}
}

// Intent records a request that is about to run.
func (k *LocalKeeper) Intent(in *wire.IntentRequest, out *wire.IntentResponse) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	got := k.core.Intent(k.timers.Now(), in)
	out.Status, out.Record, out.Epoch = got.GetStatus(), got.GetRecord(), got.GetEpoch()
	return nil
}

// Outcome stores the outcome of a request.
func (k *LocalKeeper) Outcome(in *wire.OutcomeRequest, _ *wire.Empty) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.Outcome(k.timers.Now(), in)
	return nil
}

// Lookup returns the record of a key.
func (k *LocalKeeper) Lookup(in *wire.IntentRequest, out *wire.IntentResponse) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	out.Status = wire.IntentStatus_INTENT_STATUS_GRANTED
	if !k.core.Voting() {
		out.Status = wire.IntentStatus_INTENT_STATUS_NOT_READY
	}
	out.Record = k.core.Lookup(k.timers.Now(), in.GetKey())
	return nil
}

// Recall hands the records to a recovering keeper.
func (k *LocalKeeper) Recall(in *wire.RecallRequest, out *wire.RecallResponse) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	got := k.core.Recall(k.timers.Now(), in)
	out.HeldEpoch, out.Epoch, out.Records = got.GetHeldEpoch(), got.GetEpoch(), got.GetRecords()
	out.Incarnation, out.FirstKeepers = got.GetIncarnation(), got.GetFirstKeepers()
	return nil
}

// Adopt takes the records of a keeper that stops.
func (k *LocalKeeper) Adopt(in *wire.RecallResponse, _ *wire.Empty) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.Adopt(k.timers.Now(), in.GetRecords())
	return nil
}

// All returns the records held.
func (k *LocalKeeper) All() *wire.RecallResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Recall(k.timers.Now(), &wire.RecallRequest{})
}

// Voting reports whether the keeper grants records, or is not one at all.
func (k *LocalKeeper) Voting() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Voting()
}

// Run keeps the keeper configured and recovers it until the context ends. It
// reports its end on the returned channel.
func (k *LocalKeeper) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range k.timers.Subscribe(ctx, keeperTick) {
			k.configure()
			k.recover(ctx)
		}
		done <- nil
	}()
	return done
}

func (k *LocalKeeper) configure() {
	set := k.store.Current()
	if set == nil {
		return
	}
	epoch, _ := EpochOf(set, k.domain)
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch.Number > 0 {
		k.core.Configure(k.timers.Now(), epoch)
	}
	k.core.Tick(k.timers.Now())
}

// recover asks the other keepers for their records, and the replicated log for
// the right of the first keepers when none of them has any.
func (k *LocalKeeper) recover(ctx context.Context) {
	k.mu.Lock()
	wanted, epoch := k.core.Wanted(), k.core.Epoch()
	incarnation := k.core.Incarnation()
	k.mu.Unlock()
	if len(wanted) == 0 {
		k.openIfFirst(ctx, epoch)
		return
	}
	var asking sync.WaitGroup
	for _, p := range k.peers(wanted) {
		asking.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, recallTimeout)
			defer cancel()
			client := peer.NewClient(p.Address, k.creds, k.traffic)
			defer client.Close()
			answer := &wire.RecallResponse{}
			request := &wire.RecallRequest{Epoch: epoch.Number, Incarnation: incarnation}
			if err := client.Call(ctx, "Keeper.Recall", request, answer); err != nil {
				return
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			k.core.Recalled(k.timers.Now(), p.Name, epoch.Number, answer)
		})
	}
	asking.Wait()
	k.openIfFirst(ctx, epoch)
}

func (k *LocalKeeper) peers(wanted []string) []inifile.Peer {
	d, ok := k.store.Current().FailureDomain(k.domain)
	if !ok {
		return nil
	}
	var out []inifile.Peer
	for _, name := range wanted {
		for _, p := range append(append([]inifile.Peer(nil), d.Keepers()...), d.PreviousKeepers()...) {
			if p.Name == name {
				out = append(out, p)
				break
			}
		}
	}
	return out
}

func (k *LocalKeeper) openIfFirst(ctx context.Context, epoch keeper.Epoch) {
	k.mu.Lock()
	first := k.core.FirstKeepers()
	k.mu.Unlock()
	if len(first) == 0 {
		return
	}
	request := &wire.OpenDomain{FailureDomain: k.domain, Epoch: epoch.Number, Incarnations: first}
	for _, p := range k.control {
		if granted, ok := k.askOpen(ctx, p, request); ok {
			k.mu.Lock()
			k.core.Opened(granted)
			voting := k.core.Voting()
			k.mu.Unlock()
			k.log.Info("first keepers of the failure domain", "granted", voting)
			return
		}
	}
}

func (k *LocalKeeper) askOpen(ctx context.Context, at inifile.Peer, request *wire.OpenDomain) ([]string, bool) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	client := peer.NewClient(at.Address, k.creds, k.traffic)
	defer client.Close()
	answer := &wire.OpenDomainResult{}
	if err := client.Call(ctx, "Control.OpenDomain", request, answer); err != nil {
		return nil, false
	}
	return answer.GetIncarnations(), true
}

// Register makes the keeper and the guard's attempts callable by instances.
func Register(server *peer.Server, k *LocalKeeper, g *Guard) {
	server.Register("Keeper", func(c peer.Caller) any {
		if c.Role() != peer.RoleInstance {
			return refused{}
		}
		return k.calls()
	})
	server.Register("Owner", func(c peer.Caller) any {
		if c.Role() != peer.RoleInstance {
			return refused{}
		}
		return &ownerCalls{g}
	})
}

// refused has a method, since net/rpc wants one, and no other.
type refused struct{}

// Refuse does nothing.
func (refused) Refuse(_, _ *wire.Empty) error { return nil }

// keeperCalls are the methods of a keeper that others may call.
type keeperCalls struct{ keeper *LocalKeeper }

func (k *LocalKeeper) calls() *keeperCalls { return &keeperCalls{k} }

// Intent records a request that is about to run.
func (c *keeperCalls) Intent(in *wire.IntentRequest, out *wire.IntentResponse) error {
	return c.keeper.Intent(in, out)
}

// Outcome stores the outcome of a request.
func (c *keeperCalls) Outcome(in *wire.OutcomeRequest, out *wire.Empty) error {
	return c.keeper.Outcome(in, out)
}

// Lookup returns the record of a key.
func (c *keeperCalls) Lookup(in *wire.IntentRequest, out *wire.IntentResponse) error {
	return c.keeper.Lookup(in, out)
}

// Recall hands the records to a recovering keeper.
func (c *keeperCalls) Recall(in *wire.RecallRequest, out *wire.RecallResponse) error {
	return c.keeper.Recall(in, out)
}

// Adopt takes the records of a keeper that stops.
func (c *keeperCalls) Adopt(in *wire.RecallResponse, out *wire.Empty) error {
	return c.keeper.Adopt(in, out)
}

// ownerCalls tell others what became of this instance's attempts.
type ownerCalls struct{ guard *Guard }

// Ask answers what became of an attempt.
func (c *ownerCalls) Ask(in *wire.OwnerRequest, out *wire.OwnerResponse) error {
	return c.guard.Ask(in, out)
}
