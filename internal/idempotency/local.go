package idempotency

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
	// keeperTickInterval is the interval at which the keeper is configured and
	// recovered.
	keeperTickInterval = 200 * time.Millisecond
	// recallTimeout bounds a call to the replicated log, and how long a connection may be silent
	// during a call for the records of a keeper.
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

// NewLocalKeeper returns the keeper of an instance, with a new incarnation.
func NewLocalKeeper(b base.Base, store *config.Store) *LocalKeeper {
	s := b.Settings
	return &LocalKeeper{
		log: b.Log, timers: b.Timers, store: store, domain: s.Instance.FailureDomain,
		control: s.Control.Replicas, creds: b.Credentials, traffic: b.Traffic,
		core: keeper.New(s.Instance.Name, NewIdentity(), s.Entry.KeeperRecords, b.Timers.Now()),
	}
}

// Intent records a request that is about to run, or renews its record.
func (k *LocalKeeper) Intent(in *wire.IntentRequest, out *wire.IntentResponse) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	got := k.core.Intent(k.timers.Now(), in)
	out.Status, out.Record, out.Epoch = got.GetStatus(), got.GetRecord(), got.GetEpoch()
	return nil
}

// Outcome stores the answer to a request, or removes the record of an attempt that
// was never sent to a target.
func (k *LocalKeeper) Outcome(in *wire.OutcomeRequest, _ *wire.Empty) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.Outcome(k.timers.Now(), in)
	return nil
}

// Lookup writes the record of a key to out, and the status NOT_READY if the keeper
// does not vote.
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

// Recall returns records to a recovering keeper.
func (k *LocalKeeper) Recall(in *wire.RecallRequest, out *wire.RecallResponse) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	got := k.core.Recall(k.timers.Now(), in)
	out.HeldEpoch, out.Epoch, out.Records = got.GetHeldEpoch(), got.GetEpoch(), got.GetRecords()
	out.Incarnation, out.FirstKeepers, out.More = got.GetIncarnation(), got.GetFirstKeepers(), got.GetMore()
	return nil
}

// Adopt merges the records of a keeper that is stopping.
func (k *LocalKeeper) Adopt(in *wire.RecallResponse, _ *wire.Empty) error {
	k.adopt(in.GetRecords())
	return nil
}

func (k *LocalKeeper) adopt(records []*wire.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.Adopt(k.timers.Now(), records)
}

// Records returns the records of the keeper of keys after the given one, or a part of them.
func (k *LocalKeeper) Records(after string) *wire.RecallResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Recall(k.timers.Now(), &wire.RecallRequest{Partial: true, After: after})
}

// Voting reports whether the keeper grants records.
func (k *LocalKeeper) Voting() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Voting()
}

// Run applies configurations to the keeper and recovers it until the context ends. It
// then sends nil on the returned channel.
func (k *LocalKeeper) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range k.timers.Subscribe(ctx, keeperTickInterval) {
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

// recover recalls the records of the other keepers. If none of them has voted, it asks
// the replicated log for the permission of the first keepers.
func (k *LocalKeeper) recover(ctx context.Context) {
	k.mu.Lock()
	keeperNames, epoch := k.core.RecallPeers(), k.core.Epoch()
	incarnation := k.core.Incarnation()
	k.mu.Unlock()
	if len(keeperNames) == 0 {
		k.requestFirstPermission(ctx, epoch)
		return
	}
	var recalls sync.WaitGroup
	for _, p := range k.peers(keeperNames) {
		recalls.Go(func() {
			client := peer.NewClient(p.Address, k.creds, k.traffic)
			defer client.Close()
			asked := k.timers.Now()
			answer := k.recallFrom(ctx, client, asked, &wire.RecallRequest{Epoch: epoch.Number, Incarnation: incarnation, Partial: true})
			if answer == nil {
				return
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			k.core.Recalled(asked, k.timers.Now(), p.Name, epoch.Number, answer)
		})
	}
	recalls.Wait()
	k.requestFirstPermission(ctx, epoch)
}

// recallFrom recalls the records of a keeper part by part, adopts them, and returns the last part; the first if
// they were asked for too early to count. It returns nil if a call failed or the keeper is no longer the one that gave the first part.
func (k *LocalKeeper) recallFrom(ctx context.Context, client *peer.Client, asked time.Duration, request *wire.RecallRequest) *wire.RecallResponse {
	var first *wire.RecallResponse
	for {
		answer := &wire.RecallResponse{}
		if err := client.CallUntilSilent(ctx, recallTimeout, "Keeper.Recall", request, answer); err != nil {
			k.log.V(1).Info("cannot recall records", "keeper", client.Address().String(), "after", request.GetAfter(), "reason", err.Error())
			return nil
		}
		if first == nil {
			first = answer
		}
		if answer.GetIncarnation() != first.GetIncarnation() || answer.GetEpoch() != first.GetEpoch() || answer.GetHeldEpoch() != first.GetHeldEpoch() {
			return nil
		}
		k.adopt(answer.GetRecords())
		if !answer.GetMore() || k.askedTooEarly(asked, answer) {
			return answer
		}
		request.After = answer.GetRecords()[len(answer.GetRecords())-1].GetKey()
	}
}

func (k *LocalKeeper) askedTooEarly(asked time.Duration, answer *wire.RecallResponse) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.AskedTooEarly(asked, answer)
}

// peers returns the addresses of the named current and previous keepers.
func (k *LocalKeeper) peers(keeperNames []string) []inifile.Peer {
	d, ok := k.store.Current().FailureDomain(k.domain)
	if !ok {
		return nil
	}
	var out []inifile.Peer
	for _, name := range keeperNames {
		for _, p := range append(append([]inifile.Peer(nil), d.Keepers()...), d.PreviousKeepers()...) {
			if p.Name == name {
				out = append(out, p)
				break
			}
		}
	}
	return out
}

// requestFirstPermission asks the replicas in turn for the permission of the first
// keepers, if the keeper may request it, and applies the first response.
func (k *LocalKeeper) requestFirstPermission(ctx context.Context, epoch keeper.Epoch) {
	k.mu.Lock()
	first := k.core.FirstKeepers()
	k.mu.Unlock()
	if len(first) == 0 {
		return
	}
	request := &wire.OpenDomain{FailureDomain: k.domain, Epoch: epoch.Number, Incarnations: first}
	for _, p := range k.control {
		if granted, ok := k.callOpenDomain(ctx, p, request); ok {
			k.mu.Lock()
			k.core.PermitFirstKeepers(granted)
			voting := k.core.Voting()
			k.mu.Unlock()
			k.log.Info("replicated log named the first keepers of the failure domain", "granted", voting)
			return
		}
	}
}

// callOpenDomain asks one replica which incarnations are the first keepers. It returns
// false if the call fails.
func (k *LocalKeeper) callOpenDomain(ctx context.Context, replica inifile.Peer, request *wire.OpenDomain) ([]string, bool) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	client := peer.NewClient(replica.Address, k.creds, k.traffic)
	defer client.Close()
	answer := &wire.OpenDomainResult{}
	if err := client.Call(ctx, "Control.OpenDomain", request, answer); err != nil {
		return nil, false
	}
	return answer.GetIncarnations(), true
}

// Register registers the services Keeper and Owner with the server. Only instances may
// call them.
func Register(server *peer.Server, k *LocalKeeper, g *Guard) {
	server.Register("Keeper", func(c peer.Caller) any {
		if c.Role() != peer.RoleInstance {
			return accessDenied{}
		}
		return k.service()
	})
	server.Register("Owner", func(c peer.Caller) any {
		if c.Role() != peer.RoleInstance {
			return accessDenied{}
		}
		return &ownerService{g}
	})
}

// accessDenied is the service for callers without permission. It has one method, since
// net/rpc does not register a type without methods.
type accessDenied struct{}

// Refuse does nothing; see accessDenied.
func (accessDenied) Refuse(_, _ *wire.Empty) error { return nil }

// keeperService is the service through which other instances call the keeper.
type keeperService struct{ keeper *LocalKeeper }

func (k *LocalKeeper) service() *keeperService { return &keeperService{k} }

// Intent records a request that is about to run, or renews its record.
func (s *keeperService) Intent(in *wire.IntentRequest, out *wire.IntentResponse) error {
	return s.keeper.Intent(in, out)
}

// Outcome stores the answer to a request, or removes the record of an attempt that
// was never sent to a target.
func (s *keeperService) Outcome(in *wire.OutcomeRequest, out *wire.Empty) error {
	return s.keeper.Outcome(in, out)
}

// Lookup writes the record of a key to out, and the status NOT_READY if the keeper
// does not vote.
func (s *keeperService) Lookup(in *wire.IntentRequest, out *wire.IntentResponse) error {
	return s.keeper.Lookup(in, out)
}

// Recall returns all records to a recovering keeper.
func (s *keeperService) Recall(in *wire.RecallRequest, out *wire.RecallResponse) error {
	return s.keeper.Recall(in, out)
}

// Adopt merges the records of a keeper that is stopping.
func (s *keeperService) Adopt(in *wire.RecallResponse, out *wire.Empty) error {
	return s.keeper.Adopt(in, out)
}

// ownerService is the service through which other instances ask for the states of this
// instance's attempts.
type ownerService struct{ guard *Guard }

// Ask writes the state of an attempt to out.
func (s *ownerService) Ask(in *wire.OwnerRequest, out *wire.OwnerResponse) error {
	return s.guard.Ask(in, out)
}
