package once

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/keeper"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// Attempt is a claim that was granted: the request may run.
type Attempt struct {
	guard   *Guard
	key     string
	id      string
	epoch   keeper.Epoch
	members []inifile.Peer
	digest  []byte
}

// Result is the result of a claim.
type Result struct {
	// Ruling tells whether the request may run.
	Ruling keeper.Ruling
	// Attempt is set when it may.
	Attempt *Attempt
	// Record is what another attempt left, when one holds the key.
	Record *wire.Record
}

// Claim asks the keepers for the right to run the request with the given key and
// content.
func (g *Guard) Claim(ctx context.Context, key string, content []byte) Result {
	set := g.store.Current()
	home, ok := Home(set, key)
	if !ok {
		return Result{Ruling: keeper.Unavailable}
	}
	epoch, members := EpochOf(set, home)
	digest := sha256.Sum256(content)
	a := &Attempt{guard: g, key: key, id: NewIdentity(), epoch: epoch, members: members, digest: digest[:]}
	g.attempts.begin(a.id, g.timers.Now())
	ruling, record := a.ask(ctx)
	if ruling == keeper.Granted {
		return Result{Ruling: ruling, Attempt: a}
	}
	g.attempts.end(a.id, nil, true)
	a.Release()
	return Result{Ruling: ruling, Record: record}
}

// ask sends the intent to all keepers and returns as soon as the ruling is
// certain.
func (a *Attempt) ask(ctx context.Context) (keeper.Ruling, *wire.Record) {
	wait, cancel := context.WithTimeout(ctx, a.guard.timeout)
	defer cancel()
	claim := keeper.NewClaim(a.epoch, a.id, a.digest)
	request := &wire.IntentRequest{
		Epoch: a.epoch.Number, Key: a.key, Attempt: a.id, Owner: a.guard.self.Name,
		OwnerAddress: a.guard.self.Address.String(), Digest: a.digest,
	}
	start := a.guard.timers.Now()
	answers := make(chan *wire.IntentResponse, len(a.members))
	for _, m := range a.members {
		a.guard.ended.Go(func() {
			// The call outlives the ruling, so that all keepers hold the record.
			ctx, cancel := context.WithTimeout(context.Background(), a.guard.timeout)
			defer cancel()
			answer := &wire.IntentResponse{}
			if a.guard.call(ctx, m, "Keeper.Intent", request, answer) != nil {
				answer = nil
			}
			answers <- answer
		})
	}
	ruling := claim.Ruling()
	for ruling == keeper.Undecided {
		select {
		case answer := <-answers:
			// A process that was frozen meanwhile finds old grants here.
			if a.guard.timers.Now() > start+keeper.ClaimBound {
				answer = nil
			}
			ruling = claim.Answer(answer)
		case <-wait.Done():
			// Without an answer in time, a keeper's grant does not count.
			return settle(claim, len(a.members)), claim.Record()
		}
	}
	return ruling, claim.Record()
}

func settle(claim *keeper.Claim, members int) keeper.Ruling {
	for range members {
		if r := claim.Ruling(); r != keeper.Undecided {
			return r
		}
		claim.Answer(nil)
	}
	return claim.Ruling()
}

// Renew keeps the record of a running request alive until the context ends.
func (a *Attempt) Renew(ctx context.Context) {
	ticks := a.guard.timers.Subscribe(ctx, max(time.Second, a.epoch.Lifetime/4))
	a.guard.ended.Go(func() {
		for range ticks {
			a.ask(ctx)
		}
	})
}

// Release tells the keepers that the attempt never left for a target. The call
// returns at once.
func (a *Attempt) Release() {
	a.guard.attempts.end(a.id, nil, true)
	a.tell(&wire.OutcomeRequest{Epoch: a.epoch.Number, Key: a.key, Attempt: a.id, Release: true})
}

// Finish stores the answer at the keepers, so that a resend gets it. The call
// returns at once.
func (a *Attempt) Finish(answer *wire.Answer) {
	a.guard.attempts.end(a.id, answer, false)
	a.tell(&wire.OutcomeRequest{Epoch: a.epoch.Number, Key: a.key, Attempt: a.id, Answer: answer})
}

// Abandon records that nobody knows whether the request ran.
func (a *Attempt) Abandon() { a.guard.attempts.forget(a.id) }

func (a *Attempt) tell(request *wire.OutcomeRequest) {
	for _, m := range a.members {
		a.guard.ended.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			if err := a.guard.call(ctx, m, "Keeper.Outcome", request, &wire.Empty{}); err != nil {
				a.guard.log.V(1).Info("keeper was not told of an outcome", "keeper", m.Name, "reason", err.Error())
			}
		})
	}
}

// ReleaseRecord removes the record of an attempt that its owner said did not run,
// in case the owner's own message was overtaken by its intent.
func (g *Guard) ReleaseRecord(r *wire.Record) {
	set := g.store.Current()
	home, ok := Home(set, r.GetKey())
	if !ok {
		return
	}
	epoch, members := EpochOf(set, home)
	a := &Attempt{guard: g, key: r.GetKey(), id: r.GetAttempt(), epoch: epoch, members: members}
	a.tell(&wire.OutcomeRequest{Epoch: epoch.Number, Key: a.key, Attempt: a.id, Release: true})
}
