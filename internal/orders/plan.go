// Package orders brings the targets to their declared state: at intervals it compares
// the declarations with the targets' reports, and sends fenced orders.
//
// Targets are polled, not watched: engines offer no watch, and the configuration itself
// is the record of the desired state. Reconciling from a record at intervals instead of
// watching each object follows the KubeVela ResourceTracker; docs/design/orders.md has
// the measurement.
package orders

import (
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/engineapi"
)

// Kind is the kind of action that an order requests.
type Kind string

// Kinds of orders.
const (
	// None means that there is nothing to do.
	None Kind = ""
	// Wait means that the target must first finish its requests or a load, or that
	// no further load may start now.
	Wait Kind = "wait"
	// SetRole sets whether the target accepts requests.
	SetRole Kind = "role"
	// Load loads a version of a model and its adapters.
	Load Kind = "load"
)

// roleStandby is the role of a target that accepts no new requests.
const roleStandby = "standby"

// Order is an order to a target.
type Order struct {
	Kind         Kind     `json:"kind"`
	Fence        uint64   `json:"fence"`
	Model        string   `json:"model,omitempty"`
	ModelVersion string   `json:"model-version,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// Next returns the next order for a target. The order depends on the target's declaration and
// report alone, so that any issuer continues where the previous one stopped. Before a
// load the target is set to standby and finishes its requests, so that no request is
// interrupted. An engine reports that it is loading while it is between two models.
func Next(t *declaration.Target, s *engineapi.Load, mayLoad bool) Order {
	loaded := s.Loaded(t)
	switch {
	case loaded && s.Role == t.Role():
		return Order{Kind: None}
	case loaded:
		return Order{Kind: SetRole, Role: t.Role()}
	case s.Role != roleStandby:
		return Order{Kind: SetRole, Role: roleStandby}
	case s.Running+s.Waiting > 0 || s.Loading() || !mayLoad:
		return Order{Kind: Wait}
	}
	return Order{Kind: Load, Model: t.Model(), ModelVersion: t.ModelVersion(), Adapters: t.Adapters()}
}
