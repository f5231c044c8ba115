package evidence

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// RPC methods of the replicas.
const (
	// MethodTell adds what an instance has seen to what a replica has heard.
	MethodTell = "Control.Tell"
	// MethodHear returns what a replica has heard and an instance has not.
	MethodHear = "Control.Hear"
)

const (
	// tellInterval is how often an instance looks for news to tell.
	tellInterval = 500 * time.Millisecond
	// hearPause is the shortest time between the answers of a replica that has news all the time.
	hearPause = 500 * time.Millisecond
	// silenceLimit is how long nothing may pass on the connection of a call, in addition to the time
	// that the replica may hold it open.
	silenceLimit = 2 * time.Second
	// retryDelay is how long a replica that did not answer is left alone.
	retryDelay = time.Second
)

// Exchanger exchanges evidence with all replicas of a deployment: instances that reach any of them
// in common learn from each other, with or without a leader.
type Exchanger struct {
	log      logr.Logger
	timers   vanillaward.Timers
	ledger   *Ledger
	replicas []*replica
}

// replica is what an instance knows of one replica.
type replica struct {
	name   string
	client *peer.Client
	epoch  atomic.Uint64 // of its process, which may have forgotten what earlier ones were told; 0 if unknown
}

// NewExchanger returns an exchanger between an instance's ledger and the replicas.
func NewExchanger(b base.Base, ledger *Ledger, replicas []inifile.Peer) *Exchanger {
	x := &Exchanger{log: b.Log, timers: b.Timers, ledger: ledger}
	for _, r := range replicas {
		x.replicas = append(x.replicas, &replica{name: r.Name, client: peer.NewClient(r.Address, b.Credentials, b.Traffic)})
	}
	return x
}

// Run exchanges evidence until the context ends. It then sends nil on the returned channel.
func (x *Exchanger) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var wg sync.WaitGroup
		for _, r := range x.replicas {
			wg.Go(func() { x.hear(ctx, r) })
			wg.Go(func() { x.tell(ctx, r) })
		}
		wg.Wait()
		for _, r := range x.replicas {
			r.client.Close()
		}
		done <- nil
	}()
	return done
}

// hear adds a replica's news to the ledger.
func (x *Exchanger) hear(ctx context.Context, r *replica) {
	request := &wire.HearRequest{}
	for heard := true; ctx.Err() == nil; {
		response := &wire.HearResponse{}
		wait := time.Duration(request.GetWaitMs()) * time.Millisecond
		err := r.client.CallUntilSilent(ctx, wait+silenceLimit, MethodHear, request, response)
		x.logContact(ctx, r, err, heard)
		if heard = err == nil; !heard {
			request.WaitMs = 0 // to find out soon that it is back
			timer.Sleep(ctx, retryDelay)
			continue
		}
		if e := response.GetEvidence(); e != nil {
			x.ledger.MergeEvidence(e)
		}
		r.epoch.Store(response.GetEpoch())
		request = &wire.HearRequest{Epoch: response.GetEpoch(), Version: response.GetVersion(), WaitMs: uint64(config.MaxWait.Milliseconds())}
		timer.Sleep(ctx, hearPause)
	}
}

// tell tells a replica what the instance has seen, whenever there is news, and all of it to a process that
// may not have it.
func (x *Exchanger) tell(ctx context.Context, r *replica) {
	var told, epoch uint64 // number of the evidence that the replica's process has, and which process that is
	for range x.timers.Subscribe(ctx, tellInterval) {
		current := r.epoch.Load()
		if current == 0 {
			continue // not reached yet
		}
		if current != epoch {
			told = 0
		}
		news, number := x.ledger.Evidence(told)
		if news == nil {
			continue
		}
		if err := r.client.CallUntilSilent(ctx, silenceLimit, MethodTell, news, &wire.Empty{}); err != nil {
			x.log.V(1).Info("cannot tell a replica of crashes", "replica", r.name, "reason", err.Error())
			continue
		}
		told, epoch = number, current
	}
}

// logContact logs when a replica is lost or regained.
func (x *Exchanger) logContact(ctx context.Context, r *replica, err error, before bool) {
	switch {
	case err != nil && before && ctx.Err() == nil:
		x.log.Info("replica lost for evidence of crashes", "replica", r.name, "reason", err.Error())
	case err == nil && !before:
		x.log.Info("replica regained for evidence of crashes", "replica", r.name)
	}
}
