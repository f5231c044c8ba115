// Package orders brings the targets to their declared state: it compares what is
// declared with what each target reports at intervals, and gives fenced orders.
//
// Targets are compared, not watched: engines offer no watch, and the record of
// what is wanted is the configuration itself. The idea of reconciling from a
// record at intervals in place of a watch for each object follows the KubeVela
// ResourceTracker; docs/design/orders.md has the measurement.
package orders

import (
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/engineapi"
)

// Kind is what an order asks for.
type Kind string

// Kinds of orders.
const (
	// None means that there is nothing to do.
	None Kind = ""
	// Wait means that the target is being emptied.
	Wait Kind = "wait"
	// SetRole changes whether the target takes requests.
	SetRole Kind = "role"
	// Load loads a model, a version and adapters.
	Load Kind = "load"
)

// roleStandby is the role of a target that takes no new requests.
const roleStandby = "standby"

// Order is one order to a target.
type Order struct {
	Kind         Kind     `json:"kind"`
	Fence        uint64   `json:"fence"`
	Model        string   `json:"model,omitempty"`
	ModelVersion string   `json:"model-version,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// Next returns the next order for a target, judged by its report alone, so that
// any issuer continues where the last one ended. A target is set to stand by and
// emptied before a load, so that no request is cut. Loading is the report of an
// engine between two models.
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
