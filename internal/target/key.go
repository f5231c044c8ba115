package target

import "github.com/vanillaward/vanillaward/internal/wire"

// Key identifies a target as long as the list does not show a restart. An odd list may name several
// targets by the same identity.
type Key struct{ id, address, service string }

// NewKey returns the key of the target with an identity, an address and a service.
func NewKey(id, address, service string) Key { return Key{id, address, service} }

// KeyOf returns the key of a listed target.
func KeyOf(t *wire.Target) Key { return NewKey(t.GetId(), t.GetAddress(), t.GetService()) }

// ID returns the target's identity.
func (k Key) ID() string { return k.id }

// Address returns the target's address as ip:port.
func (k Key) Address() string { return k.address }

// Service returns the service that the target belongs to.
func (k Key) Service() string { return k.service }
