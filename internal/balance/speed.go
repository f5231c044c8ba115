package balance

import (
	"math"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// Speeds within slowSpeed and fastSpeed of the median count as 1: estimates of equal engines differ by
	// that much, by up to a quarter where engines record what they report every 150 ms.
	slowSpeed = 0.8
	fastSpeed = 1.25
	// minSpeed and maxSpeed bound the effect of an estimate.
	minSpeed = 0.25
	maxSpeed = 4
	// speedHeld is how long the last speed is used when no newer one is reported; then it decays to 1
	// over speedDecay.
	speedHeld  = 10 * time.Second
	speedDecay = 5 * time.Second
	// speedsNeeded is the number of engines of a service with a known speed that make a median.
	speedsNeeded = 3
	// slowReadings is the number of readings from which on an engine may count as slow. Prompts that it
	// processes slow its steps, and of fewer readings all may be affected.
	slowReadings = 8
	// speedUnit is the unit of a speed in a report.
	speedUnit = 1000
)

// speed is what is known of an engine's speed.
type speed struct {
	reported float64       // the engine's speed by its reader's measure; 0 if unknown
	readings int           // the number of readings behind it
	at       time.Duration // when it was reported last
	relative float64       // to the median of the service; 0 if unknown
}

// noteSpeed records the speed in an engine's report, if it states one. A new reader of the engine begins with few
// readings, so a speed of more readings is kept while it is recent.
func (t *Target) noteSpeed(l *wire.Load, at time.Duration) {
	readings := int(l.GetSpeedReadings())
	if l.GetSpeedPermille() == 0 || readings < t.speed.readings && readings < slowReadings && at-t.speed.at < speedHeld {
		return
	}
	t.speed.reported, t.speed.readings, t.speed.at = float64(l.GetSpeedPermille())/speedUnit, readings, at
}

// comparable reports whether the speed is recent.
func (s *speed) comparable(now time.Duration) bool { return s.reported > 0 && now-s.at < speedHeld }

// compareSpeeds sets the speeds of a service's engines relative to their median.
func (b *Balancer) compareSpeeds(service string, now time.Duration) {
	var known []float64
	for _, t := range b.byService[service] {
		if t.speed.comparable(now) && t.speed.readings >= slowReadings {
			known = append(known, t.speed.reported)
		}
	}
	if len(known) < speedsNeeded {
		return
	}
	slices.Sort(known)
	median := known[len(known)/2]
	for _, t := range b.byService[service] {
		if !t.speed.comparable(now) {
			continue
		}
		t.speed.relative = min(max(t.speed.reported/median, minSpeed), maxSpeed)
		if t.speed.readings < slowReadings {
			t.speed.relative = max(t.speed.relative, 1)
		}
	}
}

// speedAt returns the engine's speed relative to the median of its service. It is 1 where it is not known or
// differs little.
func (t *Target) speedAt(now time.Duration) float64 {
	relative := t.speed.relative
	if relative == 0 || relative > slowSpeed && relative < fastSpeed {
		return 1
	}
	if old := now - t.speed.at - speedHeld; old > 0 {
		return 1 + (relative-1)*math.Exp(-old.Seconds()/speedDecay.Seconds())
	}
	return relative
}

// Speed returns the target's speed relative to the median of its service, 1 if it is not known.
func (b *Balancer) Speed(t *Target, now time.Duration) float64 { return t.speedAt(now) }
