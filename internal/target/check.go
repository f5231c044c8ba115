// Package target tells which entries of a list of targets are usable, and which of them are the same
// target.
package target

import (
	"net/netip"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// maxNameBytes bounds the identity, the service and the failure domain of a target, in bytes.
	maxNameBytes = 256
	// maxWarmup bounds the remaining warm-up time of a target.
	maxWarmup = 24 * time.Hour
	// maxSlots bounds the number of requests that a target states to run at once.
	maxSlots = 1 << 20
)

// Check returns an error that names what is wrong with a listed target, or nil. Whoever reads
// a list, from the platform or from another instance, leaves out a target that fails the check.
func Check(t *wire.Target) error {
	switch {
	case !isName(t.GetId()):
		return errors.Errorf("identity of %d bytes is empty, too long or not printable", len(t.GetId()))
	case !isName(t.GetService()):
		return errors.Errorf("service of %d bytes is empty, too long or not printable", len(t.GetService()))
	case t.GetFailureDomain() != "" && !isName(t.GetFailureDomain()):
		return errors.Errorf("failure domain of %d bytes is too long or not printable", len(t.GetFailureDomain()))
	case t.GetColdMs() > uint32(maxWarmup.Milliseconds()):
		return errors.Errorf("warm-up of %d ms is too long", t.GetColdMs())
	case t.GetSlots() > maxSlots:
		return errors.Errorf("%d slots are too many", t.GetSlots())
	}
	return checkAddress(t.GetAddress())
}

// isName reports whether a text is printable and neither empty nor too long.
func isName(text string) bool {
	notPrintable := func(r rune) bool { return !unicode.IsPrint(r) }
	return text != "" && len(text) <= maxNameBytes && !strings.ContainsFunc(text, notPrintable)
}

// checkAddress returns an error unless connections can be made to an address.
func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Errorf("address of %d bytes cannot be parsed", len(address))
	}
	ip := parsed.Addr()
	if parsed.Port() == 0 || ip.Zone() != "" || !ip.IsGlobalUnicast() && !ip.IsLoopback() && !ip.IsLinkLocalUnicast() {
		return errors.Errorf("address %s is not that of one target", address)
	}
	return nil
}
