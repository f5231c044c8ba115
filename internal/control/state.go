// Package control runs the replicas of the log, which hold the configuration and the
// orders recorded for targets.
package control

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// maxHistory is the number of accepted changes that the history holds.
	maxHistory = 5000
	// maxKnown is the number of change identities that are stored with their
	// results, whether accepted or not.
	maxKnown = 20000
)

// State is the replicated state: a deterministic function of the log.
type State struct {
	version uint64
	texts   map[string]string
	history []*wire.HistoryItem
	known   []*wire.KnownChange
	byID    map[string]*wire.KnownChange
	domains map[string]*wire.OpenDomain
	orders  map[string]*wire.OrderStep
	// evacuation is derived from the orders
	evacuation Evacuation
	// document is the configuration document with the highest number, or nil
	document *wire.Document
}

// NewState returns the state before the first change.
func NewState() *State {
	return &State{
		texts: map[string]string{}, byID: map[string]*wire.KnownChange{},
		domains: map[string]*wire.OpenDomain{}, orders: map[string]*wire.OrderStep{},
	}
}

// Version returns the number of accepted changes.
func (s *State) Version() uint64 { return s.version }

// History returns the accepted changes after a version, oldest first.
func (s *State) History(after uint64) []*wire.HistoryItem {
	for i, item := range s.history {
		if item.GetVersion() > after {
			return slices.Clone(s.history[i:])
		}
	}
	return nil
}

// Known returns the stored result of a change identity.
func (s *State) Known(identity string) (*wire.KnownChange, bool) {
	k, ok := s.byID[identity]
	return k, ok
}

// OrderFor returns the last recorded order step for a target, or nil.
func (s *State) OrderFor(target string) *wire.OrderStep { return s.orders[target] }

// Orders returns the last recorded order step of each target and failure domain, sorted by target.
func (s *State) Orders() []*wire.OrderStep {
	out := make([]*wire.OrderStep, 0, len(s.orders))
	for _, o := range s.orders {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *wire.OrderStep) int { return bytes.Compare([]byte(a.GetTarget()), []byte(b.GetTarget())) })
	return out
}

// Outcome is the result of applying a command.
type Outcome struct {
	// Change is the result of a change.
	Change *wire.ChangeResult
	// Delta is set when the configuration has a new version.
	Delta *wire.Delta
	// Domain is the result of opening a failure domain.
	Domain *wire.OpenDomainResult
	// Document is the result of an offered document.
	Document *wire.DocumentResult
}

// Apply executes the command of the record at the given index. It returns an error if
// the command cannot be decoded.
func (s *State) Apply(index uint64, data []byte) (Outcome, error) {
	command := &wire.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return Outcome{}, errors.Wrapf(err, "cannot decode record %d", index)
	}
	switch {
	case command.GetChange() != nil:
		return s.applyChange(command.GetChange()), nil
	case command.GetOpenDomain() != nil:
		return s.openDomain(command.GetOpenDomain()), nil
	case command.GetOrderStep() != nil:
		s.recordOrder(index, command.GetOrderStep())
	case command.GetDocument() != nil:
		return s.offerDocument(command.GetDocument()), nil
	}
	return Outcome{}, nil
}

func (s *State) applyChange(c *wire.Change) Outcome {
	digest := ChangeDigest(c)
	if known, ok := s.byID[c.GetIdentity()]; ok {
		return Outcome{Change: answerKnown(known, digest)}
	}
	if c.GetExpectedVersion() != s.version {
		result := &wire.ChangeResult{Status: wire.ChangeStatus_CHANGE_STATUS_CONFLICT, Version: s.version}
		if n := len(s.history); n > 0 {
			winner := s.winner(c.GetExpectedVersion() + 1)
			result.Winner, result.WinnerOperator = winner.GetIdentity(), winner.GetOperator()
		}
		s.storeResult(c.GetIdentity(), digest, result)
		return Outcome{Change: result}
	}
	s.version++
	config.ApplyEdits(s.texts, c.GetEdits())
	result := &wire.ChangeResult{Status: wire.ChangeStatus_CHANGE_STATUS_ACCEPTED, Version: s.version}
	s.storeResult(c.GetIdentity(), digest, result)
	s.history = append(s.history, historyItem(s.version, c))
	if len(s.history) > maxHistory {
		s.history = slices.Delete(s.history, 0, len(s.history)-maxHistory)
	}
	return Outcome{Change: result, Delta: &wire.Delta{Version: s.version, Edits: c.GetEdits()}}
}

// winner returns the change that created a version, or the latest change if the history
// does not hold that version. The history must not be empty.
func (s *State) winner(version uint64) *wire.HistoryItem {
	for _, item := range s.history {
		if item.GetVersion() == version {
			return item
		}
	}
	return s.history[len(s.history)-1]
}

func historyItem(version uint64, c *wire.Change) *wire.HistoryItem {
	item := &wire.HistoryItem{
		Version: version, Identity: c.GetIdentity(), Operator: c.GetOperator(), Note: c.GetNote(),
		AcceptedUnixMs: c.GetProposedUnixMs(),
	}
	for _, e := range c.GetEdits() {
		item.Sections = append(item.Sections, e.GetId())
	}
	return item
}

// storeResult stores the result of a change, which a resend of the change returns.
func (s *State) storeResult(identity string, digest []byte, result *wire.ChangeResult) {
	k := &wire.KnownChange{Identity: identity, Digest: digest, Result: result}
	s.known = append(s.known, k)
	s.byID[identity] = k
	for len(s.known) > maxKnown {
		delete(s.byID, s.known[0].GetIdentity())
		s.known = s.known[1:]
	}
}

// answerKnown returns the first result of a resent change, or the status
// IDENTITY_REUSED if the identity was used for a different change.
func answerKnown(known *wire.KnownChange, digest []byte) *wire.ChangeResult {
	if !bytes.Equal(known.GetDigest(), digest) {
		return &wire.ChangeResult{Status: wire.ChangeStatus_CHANGE_STATUS_IDENTITY_REUSED, Version: known.GetResult().GetVersion()}
	}
	return known.GetResult()
}

// openDomain grants the first keepers of a failure domain the right to vote while they
// hold no records. Later requests return the incarnations of the first grant.
func (s *State) openDomain(o *wire.OpenDomain) Outcome {
	first, ok := s.domains[o.GetFailureDomain()]
	if !ok {
		first = o
		s.domains[o.GetFailureDomain()] = o
	}
	return Outcome{Domain: &wire.OpenDomainResult{Incarnations: first.GetIncarnations()}}
}

// recordOrder stores an order step with the record's index as its fencing number.
func (s *State) recordOrder(index uint64, o *wire.OrderStep) {
	if s.repeatsDomainOrder(o) {
		return
	}
	s.orders[o.GetTarget()] = &wire.OrderStep{
		Target: o.GetTarget(), State: o.GetState(), Issuer: o.GetIssuer(), Fence: index, Note: o.GetNote(), IssuedUnixMs: o.GetIssuedUnixMs(),
	}
	if isDomainOrder(o) {
		s.dropOldRestorations()
		s.updateEvacuation()
	}
}

// Document returns the document in force, or nil before the first.
func (s *State) Document() *wire.Document { return s.document }

// offerDocument puts a document in force if its number is the highest so far.
func (s *State) offerDocument(d *wire.Document) Outcome {
	if d.GetNumber() > s.document.GetNumber() {
		s.document = d
	}
	installed := proto.Equal(s.document, d)
	return Outcome{Document: &wire.DocumentResult{Number: s.document.GetNumber(), Installed: installed}}
}

// ChangeDigest returns a digest of a change's content, which distinguishes a resend
// from a reused identity. The time of the proposal is not part of the content.
func ChangeDigest(c *wire.Change) []byte {
	content := &wire.Change{
		ExpectedVersion: c.GetExpectedVersion(), Operator: c.GetOperator(), Note: c.GetNote(), Edits: c.GetEdits(),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return nil // no field of the message can fail to encode
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	out := &wire.ControlState{
		Version: s.version, Sections: config.SectionsFromTexts(s.texts),
		History: s.history, Known: s.known, Orders: s.Orders(), Document: s.document,
	}
	names := make([]string, 0, len(s.domains))
	for name := range s.domains {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		out.Domains = append(out.Domains, s.domains[name])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(out)
}

// RestoreState decodes a state that Snapshot encoded.
func RestoreState(data []byte) (*State, error) {
	in := &wire.ControlState{}
	if err := proto.Unmarshal(data, in); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	s := NewState()
	s.version, s.history, s.known = in.GetVersion(), in.GetHistory(), in.GetKnown()
	s.document = in.GetDocument()
	config.ApplyEdits(s.texts, in.GetSections())
	for _, k := range s.known {
		s.byID[k.GetIdentity()] = k
	}
	for _, d := range in.GetDomains() {
		s.domains[d.GetFailureDomain()] = d
	}
	for _, o := range in.GetOrders() {
		s.orders[o.GetTarget()] = o
	}
	s.updateEvacuation()
	return s, nil
}

// Texts returns the texts of the configuration's sections by ID.
func (s *State) Texts() map[string]string { return s.texts }

// unixMillis returns the wall-clock time, which is used only for display in the history.
func unixMillis() int64 { return time.Now().UnixMilli() }
