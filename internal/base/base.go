// Package base defines the dependencies that all components of a process share.
package base

import (
	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/bodyread"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/telemetry"
)

// Base holds the dependencies that the components of an instance share.
type Base struct {
	Log         logr.Logger
	Settings    *settings.Settings
	Timers      vanillaward.Timers
	Credentials *peer.Credentials
	Traffic     *peer.Traffic
	Metrics     *telemetry.Metrics
	// Bodies is the memory of the bodies of requests that are being read; nil gives a component memory of its own.
	Bodies *bodyread.Pool
}
