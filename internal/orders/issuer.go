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
	"github.com/vanillaward/vanillaward/internal/upstream"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// reconcileInterval is the time between two comparisons of all targets with their
	// declarations.
	reconcileInterval = time.Second
	// readTimeout bounds reading a target's state.
	readTimeout = 2 * time.Second
	// orderTimeout bounds sending an order and waiting for the response. It is a part of
	// Quarantine, for which the next issuer waits.
	orderTimeout = 2 * time.Second
	// maxConcurrentReads is the number of targets that are read at once.
	maxConcurrentReads = 16
	// commitTimeout bounds recording an order in the log.
	commitTimeout = 3 * time.Second
)

// errLeaseLost is returned when another replica may have become the issuer.
var errLeaseLost = errors.New("the issuer no longer holds a valid lease of its term")

// Issuer sends orders to targets while its replica leads. Every order is recorded in
// the log first; the index of the record is the order's fencing number. Targets that
// ignore the number get orders only while the lease is valid, and only after every
// order of an earlier issuer has ended.
type Issuer struct {
	log         logr.Logger
	node        *control.Node
	timers      vanillaward.Timers
	timing      replog.Timing
	name        string
	readClient  *http.Client
	orderClient *http.Client

	term         uint64
	leadingSince time.Duration // when this replica was first seen leading in that term
}

// NewIssuer returns the issuer of a replica.
func NewIssuer(log logr.Logger, node *control.Node, timers vanillaward.Timers, timing replog.Timing, name string) *Issuer {
	return &Issuer{
		log: log, node: node, timers: timers, timing: timing, name: name,
		readClient: &http.Client{Transport: upstream.Strict(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: upstream.MaxHeadBytes})},
		// Each order has its own connection, so that the transport does not retry it.
		orderClient: &http.Client{Transport: upstream.Strict(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: upstream.MaxHeadBytes})},
	}
}

// Run compares the targets with their declarations and sends orders until the context
// ends. It then sends nil on the returned channel.
func (i *Issuer) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range i.timers.Subscribe(ctx, reconcileInterval) {
			i.reconcile(ctx)
		}
		i.readClient.CloseIdleConnections()
		done <- nil
	}()
	return done
}

// reconcile compares all targets with their declarations once and sends the orders that
// are due.
func (i *Issuer) reconcile(ctx context.Context) {
	term, leads := i.node.Leads(ctx)
	if !leads {
		return
	}
	if term != i.term {
		i.term, i.leadingSince = term, i.timers.Now()
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
		order := Next(t, states[n], loading < set.Fleet().MaxConcurrentLoads())
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

// readAll returns the reported state of each target, or nil for targets that are not engines
// or do not respond.
func (i *Issuer) readAll(ctx context.Context, set *declaration.Set) []*engineapi.Load {
	targets := set.Targets()
	out := make([]*engineapi.Load, len(targets))
	sem := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	for n, t := range targets {
		if !t.Engine() {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			if s, err := i.read(ctx, t); err == nil {
				out[n] = s
			}
		})
	}
	wg.Wait()
	return out
}

func (i *Issuer) read(ctx context.Context, t *declaration.Target) (*engineapi.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return engineapi.ReadLoad(ctx, i.readClient, t.Address().String())
}

// issue records an order and sends it.
func (i *Issuer) issue(ctx context.Context, t *declaration.Target, order Order) error {
	if !t.ChecksFence() && i.timers.Now() < i.leadingSince+Quarantine(i.timing) {
		return errors.New("orders of an earlier issuer may still be in flight")
	}
	recordCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	fence, err := i.node.RecordOrder(recordCtx, &wire.OrderStep{Target: t.Name(), State: describeOrder(order), Issuer: i.name})
	if err != nil {
		return errors.Wrap(err, "cannot record order")
	}
	order.Fence = fence
	data, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "cannot encode order")
	}
	sendCtx, cancelSend := context.WithTimeout(ctx, orderTimeout)
	defer cancelSend()
	req, err := http.NewRequestWithContext(sendCtx, http.MethodPost, "http://"+t.Address().String()+"/orders", bytes.NewReader(data))
	if err != nil {
		return err
	}
	// The lease is checked immediately before sending: an issuer whose process was
	// frozen until here finds its lease expired, because its clock kept running.
	if term, leads := i.node.Leads(ctx); !leads || term != i.term {
		return errLeaseLost
	}
	resp, err := i.orderClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close() // only the status is used
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("target responded with HTTP status %d", resp.StatusCode)
	}
	i.log.Info("order accepted by target", "target", t.Name(), "order", describeOrder(order), "fence", fence)
	return nil
}

// Quarantine returns how long a new issuer waits before it sends orders to targets
// that ignore fencing numbers: the longest time for which an earlier issuer may have
// considered its lease valid, plus the timeout of its last order in flight.
func Quarantine(t replog.Timing) time.Duration { return t.Election + t.Margin + orderTimeout }

func describeOrder(o Order) string {
	if o.Kind == Load {
		return "load " + o.Model + " version " + o.ModelVersion
	}
	return "role " + o.Role
}
