package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/engineapi"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// compareInterval is the time between two comparisons of all targets.
	compareInterval = time.Second
	// readTimeout bounds reading a target's state.
	readTimeout = 2 * time.Second
	// orderTimeout bounds an order in flight. A next issuer waits for it.
	orderTimeout = 2 * time.Second
	// comparisons is how many targets are compared at once.
	comparisons = 16
	// commitTimeout bounds the record of an order in the log.
	commitTimeout = 3 * time.Second
)

// errLeaseLost stops an issuer that may no longer be the only one.
var errLeaseLost = errors.New("the lease of the issuer is not valid")

// Issuer gives orders while its replica leads. Every order is recorded in the
// log first; the record's index is its fencing number. Targets that ignore the
// number get orders only while the lease is valid, and not before every order of
// an earlier issuer has ended.
type Issuer struct {
	log    logr.Logger
	node   *control.Node
	timers vanillaward.Timers
	timing replog.Timing
	name   string
	reads  *http.Client
	orders *http.Client

	term  uint64
	since time.Duration // when this replica was first seen to lead the term
}

// NewIssuer returns the issuer of a replica.
func NewIssuer(log logr.Logger, node *control.Node, timers vanillaward.Timers, timing replog.Timing, name string) *Issuer {
	return &Issuer{
		log: log, node: node, timers: timers, timing: timing, name: name,
		reads: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		// An order is not repeated by the transport: each has its own connection.
		orders: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Run compares and orders until the context ends, and reports its end on the
// returned channel.
func (i *Issuer) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range i.timers.Subscribe(ctx, compareInterval) {
			i.round(ctx)
		}
		i.reads.CloseIdleConnections()
		done <- nil
	}()
	return done
}

// round compares all targets once.
func (i *Issuer) round(ctx context.Context) {
	term, leads := i.node.Leads(ctx)
	if !leads {
		return
	}
	if term != i.term {
		i.term, i.since = term, i.timers.Now()
	}
	set := i.node.Declarations()
	if set == nil {
		return
	}
	states := i.readAll(ctx, set)
	loading := 0
	for _, s := range states {
		if s != nil && s.Loading() {
			loading++
		}
	}
	for n, t := range set.Targets() {
		if states[n] == nil {
			continue
		}
		order := Next(t, states[n], loading < set.Fleet().LoadsAtOnce())
		if order.Kind == None || order.Kind == Wait {
			continue
		}
		if order.Kind == Load {
			loading++
		}
		if err := i.issue(ctx, t, order); err != nil {
			i.log.Info("order failed", "target", t.Name(), "kind", string(order.Kind), "reason", err.Error())
			if errors.Is(err, errLeaseLost) {
				return
			}
		}
	}
}

// readAll returns the state of each target, nil for those that are not engines
// or do not answer.
func (i *Issuer) readAll(ctx context.Context, set *declaration.Set) []*engineapi.Load {
	targets := set.Targets()
	out := make([]*engineapi.Load, len(targets))
	slots := make(chan struct{}, comparisons)
	var reading sync.WaitGroup
	for n, t := range targets {
		if !t.Engine() {
			continue
		}
		slots <- struct{}{}
		reading.Go(func() {
			defer func() { <-slots }()
			if s, err := i.read(ctx, t); err == nil {
				out[n] = s
			}
		})
	}
	reading.Wait()
	return out
}

func (i *Issuer) read(ctx context.Context, t *declaration.Target) (*engineapi.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return engineapi.ReadLoad(ctx, i.reads, t.Address().String())
}

// issue records an order and sends it.
func (i *Issuer) issue(ctx context.Context, t *declaration.Target, order Order) error {
	if !t.ChecksFence() && i.timers.Now() < i.since+Quarantine(i.timing) {
		return errors.New("waiting until orders of an earlier issuer have ended")
	}
	record, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	fence, err := i.node.RecordOrder(record, &wire.OrderStep{Target: t.Name(), State: describe(order), Issuer: i.name})
	if err != nil {
		return errors.Wrap(err, "order cannot be recorded")
	}
	order.Fence = fence
	data, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "order cannot be encoded")
	}
	send, cancelSend := context.WithTimeout(ctx, orderTimeout)
	defer cancelSend()
	r, err := http.NewRequestWithContext(send, http.MethodPost, "http://"+t.Address().String()+"/orders", bytes.NewReader(data))
	if err != nil {
		return err
	}
	// The last moment before the act: a frozen issuer that wakes up here finds
	// its lease expired by a clock that ran on.
	if term, leads := i.node.Leads(ctx); !leads || term != i.term {
		return errLeaseLost
	}
	response, err := i.orders.Do(r)
	if err != nil {
		return err
	}
	_ = response.Body.Close() // the status says all
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("target answered %d", response.StatusCode)
	}
	i.log.Info("order given", "target", t.Name(), "order", describe(order), "fence", fence)
	return nil
}

// Quarantine returns how long a new issuer waits before it orders targets that
// ignore fencing numbers: the longest that an earlier issuer may have believed
// in its lease, and its last order in flight.
func Quarantine(t replog.Timing) time.Duration { return t.Election + t.Margin + orderTimeout }

func describe(o Order) string {
	if o.Kind == Load {
		return "load " + o.Model + " version " + o.ModelVersion
	}
	return "role " + o.Role
}
