package control

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// domainPrefix precedes the name of a failure domain in the target of its orders.
	domainPrefix = "failure-domain/"
	// stateOutOfUse and stateInUse are the states that orders for failure domains set.
	stateOutOfUse = "out-of-use"
	stateInUse    = "in-use"
	// maxEvacuated is the number of failure domains that may be evacuated at once.
	maxEvacuated = 64
	// maxRestored is the number of orders that restored a failure domain which are kept. A domain
	// without an order is in use, so that older ones are not needed.
	maxRestored = 64
	// maxDomainName and maxOrderNote bound what an order holds, in bytes.
	maxDomainName = 128
	maxOrderNote  = 1024
	// maxCutOff is how long after it was current a replica without a leader states so. The replicas are
	// expected to be without a leader for up to 7 s.
	maxCutOff = 10 * time.Second
	// pendingPoll is the interval at which an order checks whether all earlier records are applied.
	pendingPoll = 10 * time.Millisecond
	// methodOrderDomain is the RPC method that commits an order for a failure domain.
	methodOrderDomain = "Control.OrderDomain"
)

// ErrDomainName is returned for a name that no failure domain may have.
var ErrDomainName = errors.New("the name of a failure domain has 1 to 128 letters, digits, '-', '_' and '.'")

var (
	// errRecordsPending postpones an order while records before it are not applied.
	errRecordsPending = errors.New("earlier records are not committed yet")
	// errDomainSettled ends an order that changes nothing.
	errDomainSettled = errors.New("the failure domain is in that state already")
	// errTooManyEvacuated ends an order that would evacuate too many failure domains.
	errTooManyEvacuated = errors.Errorf("%d failure domains are evacuated already", maxEvacuated)
)

// Evacuation is which failure domains are evacuated. It is a function of the log up to its index.
type Evacuation struct {
	index  uint64
	orders []*wire.OrderStep
}

// Index returns the index of the last record that changed the evacuated failure domains, 0 for none.
func (e Evacuation) Index() uint64 { return e.index }

// Orders returns the orders in force that evacuated failure domains, sorted by domain.
func (e Evacuation) Orders() []*wire.OrderStep { return e.orders }

// evacuates reports whether a failure domain is evacuated.
func (e Evacuation) evacuates(domain string) bool {
	return slices.ContainsFunc(e.orders, func(o *wire.OrderStep) bool { return DomainOf(o) == domain })
}

// NewDomainOrder returns an order that evacuates or restores a failure domain.
func NewDomainOrder(domain string, evacuate bool, issuer, note string) *wire.OrderStep {
	state := stateInUse
	if evacuate {
		state = stateOutOfUse
	}
	return &wire.OrderStep{Target: domainPrefix + domain, State: state, Issuer: issuer, Note: note}
}

// DomainOf returns the failure domain that an order is for, or the empty string for an order to a target.
func DomainOf(o *wire.OrderStep) string {
	name, found := strings.CutPrefix(o.GetTarget(), domainPrefix)
	if !found {
		return ""
	}
	return name
}

// CheckDomain returns ErrDomainName for a name that no failure domain may have.
func CheckDomain(name string) error {
	allowed := func(c byte) bool {
		return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
	}
	if name == "" || len(name) > maxDomainName {
		return ErrDomainName
	}
	for i := range len(name) {
		if !allowed(name[i]) {
			return ErrDomainName
		}
	}
	return nil
}

func isDomainOrder(o *wire.OrderStep) bool { return strings.HasPrefix(o.GetTarget(), domainPrefix) }

// Evacuates reports whether an order for a failure domain evacuates it.
func Evacuates(o *wire.OrderStep) bool { return o.GetState() == stateOutOfUse }

// Evacuation returns which failure domains are evacuated. The result is not changed later.
func (s *State) Evacuation() Evacuation { return s.evacuation }

// repeatsDomainOrder reports whether an order leaves its failure domain in the state that it has. Builds
// that do not know such orders record these repetitions too; they then have a higher index for the same
// evacuated domains, which does no harm.
func (s *State) repeatsDomainOrder(o *wire.OrderStep) bool {
	return isDomainOrder(o) && Evacuates(o) == s.evacuation.evacuates(DomainOf(o))
}

// dropOldRestorations bounds the number of records of failure domains that are in use. The newest record
// stays, because the index of the evacuated domains comes from it.
func (s *State) dropOldRestorations() {
	var restored []*wire.OrderStep
	for _, o := range s.orders {
		if isDomainOrder(o) && !Evacuates(o) {
			restored = append(restored, o)
		}
	}
	if len(restored) <= maxRestored {
		return
	}
	slices.SortFunc(restored, func(a, b *wire.OrderStep) int { return cmp.Compare(a.GetFence(), b.GetFence()) })
	for _, o := range restored[:len(restored)-maxRestored] {
		delete(s.orders, o.GetTarget())
	}
}

// updateEvacuation derives the evacuated failure domains from the orders.
func (s *State) updateEvacuation() {
	next := Evacuation{}
	for _, o := range s.Orders() {
		if !isDomainOrder(o) {
			continue
		}
		next.index = max(next.index, o.GetFence())
		if Evacuates(o) {
			next.orders = append(next.orders, o)
		}
	}
	s.evacuation = next
}

// TargetOrders returns the last recorded order step of each target, sorted by target.
func (s *State) TargetOrders() []*wire.OrderStep {
	return slices.DeleteFunc(s.Orders(), isDomainOrder)
}

// OrderDomain commits an order for a failure domain, unless the domain is in that state already. Either is
// only answered by a leader with a valid lease that has applied its whole log, so that an order is
// decided on what all earlier ones resulted in. On a replica that does not lead it returns
// replog.ErrNotLeader or ErrNotCurrent.
func (n *Node) OrderDomain(ctx context.Context, step *wire.OrderStep) (*wire.DomainOrderResult, error) {
	step.IssuedUnixMs = unixMillis()
	data, err := proto.Marshal(&wire.Command{OrderStep: step})
	if err != nil {
		return nil, errors.Wrap(err, "order cannot be encoded")
	}
	for {
		var before Evacuation
		_, index, err := n.awaitCommit(ctx, func() (uint64, []replog.Action, error) {
			before = n.state.Evacuation()
			if err := n.checkDomainOrder(step); err != nil {
				return 0, nil, err
			}
			return n.core.Propose(n.timers.Now(), data)
		})
		switch {
		case err == nil:
			n.logDomainOrder(step, index)
			return &wire.DomainOrderResult{Index: index}, nil
		case errors.Is(err, errDomainSettled):
			return &wire.DomainOrderResult{Index: before.Index()}, nil
		case errors.Is(err, errTooManyEvacuated):
			return &wire.DomainOrderResult{Index: before.Index(), TooMany: true}, nil
		case !errors.Is(err, errRecordsPending):
			return nil, err
		}
		if timer.Sleep(ctx, pendingPoll); ctx.Err() != nil {
			return nil, err
		}
	}
}

// checkDomainOrder returns an error unless an order is to be proposed now. It is called in the goroutine
// that owns the replica.
func (n *Node) checkDomainOrder(step *wire.OrderStep) error {
	if err := n.checkLeads(); err != nil {
		return err
	}
	evacuation := n.state.Evacuation()
	switch {
	case n.applied < n.core.LastIndex():
		return errRecordsPending
	case Evacuates(step) == evacuation.evacuates(DomainOf(step)):
		return errDomainSettled
	case Evacuates(step) && len(evacuation.orders) >= maxEvacuated:
		return errTooManyEvacuated
	}
	return nil
}

// logDomainOrder logs an order that was committed, with how many targets are listed in its failure domain.
func (n *Node) logDomainOrder(step *wire.OrderStep, index uint64) {
	listed := 0
	for _, t := range n.publisher.Targets() {
		if t.GetFailureDomain() == DomainOf(step) {
			listed++
		}
	}
	message := "order for failure domain committed"
	if listed == 0 {
		message = "order for failure domain committed; no target is listed there"
	}
	n.log.Info(message, "failure-domain", DomainOf(step), "state", step.GetState(), "index", index, "issuer", step.GetIssuer(),
		"note", step.GetNote(), "listed-targets", listed)
}

// evacuationView returns how well this replica knows the orders for failure domains. It is called at each
// tick, and in the goroutine that owns the replica.
func (n *Node) evacuationView() wire.EvacuationView {
	now := n.timers.Now()
	switch {
	case n.applied >= n.core.Commit() && n.core.Current(now, 2*n.timing.Election):
		n.wasCurrent, n.currentAt = true, now
		return wire.EvacuationView_EVACUATION_VIEW_CURRENT
	case n.wasCurrent && now-n.currentAt <= maxCutOff:
		return wire.EvacuationView_EVACUATION_VIEW_CUT_OFF
	}
	return wire.EvacuationView_EVACUATION_VIEW_BEHIND
}

// EvacuationView returns how well the replica knows the orders for failure domains.
func (s LogStatus) EvacuationView() wire.EvacuationView { return s.evacuationView }

// describeEvacuation adds the evacuated failure domains to the answer to an instance that holds those of an index.
func (s LogStatus) describeEvacuation(held uint64, answer *wire.FollowResponse) {
	answer.EvacuationIndex, answer.EvacuationView = s.evacuation.Index(), s.evacuationView
	if s.evacuation.Index() > held {
		answer.Evacuated = s.evacuation.Orders()
	}
}

// OrderDomain commits an order for a failure domain at this replica if it leads, or forwards it to the
// leader, unless its caller gives up before. It returns ErrDomainName for a name that no failure domain may have, and an
// error if the order is not known to be committed. A leader of a build that does not know such orders refuses them: it has no
// method that would commit one for another replica.
func (s *Service) OrderDomain(ctx context.Context, step *wire.OrderStep) (*wire.DomainOrderResult, error) {
	if err := checkOrder(step); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	if err := s.node.awaitSteady(ctx); err != nil {
		return nil, errors.Wrap(errCallerGone, err.Error())
	}
	result, err := s.node.OrderDomain(ctx, step)
	if !errors.Is(err, replog.ErrNotLeader) {
		return result, err
	}
	legacy := &wire.DomainOrderResult{}
	forwarded, err := s.forward(ctx, &wire.ForwardedCommand{DomainOrder: step}, func() error {
		return s.callLeader(ctx, methodOrderDomain, step, legacy)
	})
	if got := forwarded.GetDomainOrder(); got != nil {
		return got, err
	}
	return legacy, err
}

// checkOrder returns an error for an order that is not one for a failure domain.
func checkOrder(step *wire.OrderStep) error {
	if err := CheckDomain(DomainOf(step)); err != nil {
		return err
	}
	if state := step.GetState(); state != stateOutOfUse && state != stateInUse {
		return errors.New("the state that the order sets is not known")
	}
	if len(step.GetNote()) > maxOrderNote || len(step.GetIssuer()) > maxOrderNote {
		return errors.Errorf("note or issuer of the order has more than %d bytes", maxOrderNote)
	}
	return nil
}

// OrderDomain commits an order for a failure domain that another replica or an operator sends. The issuer of an
// operator's order is the name in its certificate.
func (c *controlCalls) OrderDomain(step *wire.OrderStep, result *wire.DomainOrderResult) error {
	order := c.service.OrderDomain
	if c.operatorOnly() == nil {
		step.Issuer = c.caller.Name()
	} else {
		if err := c.instanceOnly(); err != nil {
			return err
		}
		if err := checkOrder(step); err != nil {
			return err
		}
		order = c.service.node.OrderDomain // it was forwarded once, by a build that knows no permits
	}
	ctx, cancel := context.WithTimeout(c.service.ctx, documentTimeout)
	defer cancel()
	got, err := order(ctx, step)
	result.Index, result.TooMany = got.GetIndex(), got.GetTooMany()
	return err
}
