// Package base holds what every part of a process is given.
package base

import (
	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/telemetry"
)

// Base is shared by the parts of an instance.
type Base struct {
	Log         logr.Logger
	Settings    *settings.Settings
	Timers      vanillaward.Timers
	Credentials *peer.Credentials
	Traffic     *peer.Traffic
	Metrics     *telemetry.Metrics
}
