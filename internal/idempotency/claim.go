package idempotency

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/keeper"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// Attempt is one attempt to run a request. Guard.Claim returns it when the keepers
// granted it, so that the request may run.
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
	// Decision is keeper.Granted if the request may run.
	Decision keeper.Decision
	// Attempt is set if the request may run.
	Attempt *Attempt
	// Record is the record of another attempt that holds the key, if any.
	Record *wire.Record
}

// Claim asks the keepers for permission to run the request with the given key and
// content. The caller must end a granted attempt with Release, Finish or Abandon.
func (g *Guard) Claim(ctx context.Context, key string, content []byte) Result {
	set := g.store.Current()
	home, ok := Home(set, key)
	if !ok {
		return Result{Decision: keeper.Unavailable}
	}
	epoch, members := EpochOf(set, home)
	digest := sha256.Sum256(content)
	a := &Attempt{guard: g, key: key, id: NewIdentity(), epoch: epoch, members: members, digest: digest[:]}
	g.attempts.begin(a.id, g.timers.Now())
	decision, record := a.sendIntent(ctx)
	if decision == keeper.Granted {
		return Result{Decision: decision, Attempt: a}
	}
	g.attempts.end(a.id, nil, true)
	a.Release()
	return Result{Decision: decision, Record: record}
}

// sendIntent sends the intent to all keepers and returns as soon as the decision is
// certain.
func (a *Attempt) sendIntent(ctx context.Context) (keeper.Decision, *wire.Record) {
	waitCtx, cancel := context.WithTimeout(ctx, a.guard.timeout)
	defer cancel()
	claim := keeper.NewClaim(a.epoch, a.id, a.digest)
	request := &wire.IntentRequest{
		Epoch: a.epoch.Number, Key: a.key, Attempt: a.id, Owner: a.guard.self.Name,
		OwnerAddress: a.guard.self.Address.String(), Digest: a.digest,
	}
	start := a.guard.timers.Now()
	answers := make(chan *wire.IntentResponse, len(a.members))
	for _, m := range a.members {
		a.guard.background.Go(func() {
			// The call is not cancelled by the decision, so that all keepers store the
			// record.
			ctx, cancel := context.WithTimeout(context.Background(), a.guard.timeout)
			defer cancel()
			answer := &wire.IntentResponse{}
			if a.guard.call(ctx, m, "Keeper.Intent", request, answer) != nil {
				answer = nil
			}
			answers <- answer
		})
	}
	decision := claim.Decision()
	for decision == keeper.Undecided {
		select {
		case answer := <-answers:
			// A process that was suspended meanwhile may receive grants that are too
			// old to count.
			if a.guard.timers.Now() > start+keeper.ClaimBound {
				answer = nil
			}
			decision = claim.Answer(answer)
		case <-waitCtx.Done():
			// Grants that did not arrive in time do not count.
			return finalDecision(claim, len(a.members)), claim.Record()
		}
	}
	return decision, claim.Record()
}

// finalDecision returns the decision if no more keepers respond.
func finalDecision(claim *keeper.Claim, members int) keeper.Decision {
	for range members {
		if d := claim.Decision(); d != keeper.Undecided {
			return d
		}
		claim.Answer(nil)
	}
	return claim.Decision()
}

// Renew renews the record of a running request until the context ends. The call
// returns at once.
func (a *Attempt) Renew(ctx context.Context) {
	ticks := a.guard.timers.Subscribe(ctx, max(time.Second, a.epoch.Lifetime/4))
	a.guard.background.Go(func() {
		for range ticks {
			a.sendIntent(ctx)
		}
	})
}

// Release asks the keepers to remove the record of an attempt that was never sent to
// a target. The call returns at once.
func (a *Attempt) Release() {
	a.guard.attempts.end(a.id, nil, true)
	a.sendOutcome(&wire.OutcomeRequest{Epoch: a.epoch.Number, Key: a.key, Attempt: a.id, Release: true})
}

// Finish stores the answer at the keepers, so that a repeated request receives it.
// The call returns at once.
func (a *Attempt) Finish(answer *wire.Answer) {
	a.guard.attempts.end(a.id, answer, false)
	a.sendOutcome(&wire.OutcomeRequest{Epoch: a.epoch.Number, Key: a.key, Attempt: a.id, Answer: answer})
}

// Abandon removes the attempt from this instance's state when it is unknown whether
// the request ran. The keepers' records of the attempt remain.
func (a *Attempt) Abandon() { a.guard.attempts.forget(a.id) }

// sendOutcome sends an outcome to all keepers without waiting for them.
func (a *Attempt) sendOutcome(request *wire.OutcomeRequest) {
	for _, m := range a.members {
		a.guard.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			if err := a.guard.call(ctx, m, "Keeper.Outcome", request, &wire.Empty{}); err != nil {
				a.guard.log.V(1).Info("cannot send outcome to keeper", "keeper", m.Name, "reason", err.Error())
			}
		})
	}
}

// ReleaseRecord removes the record of an attempt that its owner reported as not run,
// in case the owner's own release arrived at a keeper before its intent.
func (g *Guard) ReleaseRecord(r *wire.Record) {
	set := g.store.Current()
	home, ok := Home(set, r.GetKey())
	if !ok {
		return
	}
	epoch, members := EpochOf(set, home)
	a := &Attempt{guard: g, key: r.GetKey(), id: r.GetAttempt(), epoch: epoch, members: members}
	a.sendOutcome(&wire.OutcomeRequest{Epoch: epoch.Number, Key: a.key, Attempt: a.id, Release: true})
}
