package balance

import "time"

const (
	// crossingShare is the part of the room of brittle targets that all instances together take while they
	// do not know of each other's last requests, for each request that a target can turn away in a
	// second; maxCrossing bounds it.
	crossingShare = 0.02
	maxCrossing   = 0.2
	// roomRegained is the part of its slots by which the room that a target is taken to have grows again in
	// a second.
	roomRegained = 0.1
)

// room is how many requests a target takes, as learned from those that it turned away for want of room.
type room struct {
	known bool
	limit float64 // requests of all instances together, as of at
	at    time.Duration
}

// brittleness is what the targets of a service state about falling over.
type brittleness struct {
	bears float64 // requests that a target can turn away in a second without falling over
	// unseen is the result of Balancer.unseen at unseenAt.
	unseen   float64
	unseenAt time.Duration
}

// StateBrittle records whether an answer of a target states that it is brittle, and how many requests it can
// turn away in a second. It holds for all targets of the service, until one of them states it no more. It
// reports whether this is news.
func (b *Balancer) StateBrittle(t *Target, brittle bool, bears float64) bool {
	before := b.brittle[t.service]
	if !brittle {
		if before != nil {
			delete(b.brittle, t.service)
			for _, l := range b.byService[t.service] {
				l.room = room{}
			}
		}
		return before != nil
	}
	if before == nil {
		b.demandFor(t.service) // counts from now on
		b.brittle[t.service] = &brittleness{bears: bears}
		return true
	}
	changed := before.bears != bears
	before.bears = bears
	return changed
}

// hasRoom reports whether a brittle engine is likely to have room for another request of so many tokens.
// Other engines turn away what they have no room for. It is no guide to plain services: their requests end
// before others hear of them, and what was heard of last would bring all to the same target.
//
// The others' requests are known as of a moment ago. Where more of them can have come since than the room
// that is left, each instance sends with a probability, so that all together take a part of that room.
func (b *Balancer) hasRoom(t *Target, tokens int, now time.Duration) bool {
	s := b.brittle[t.service]
	if s == nil {
		return true
	}
	if !b.mayHaveRoom(t, tokens, now) {
		return false
	}
	free := t.roomLimit(now) - float64(t.batch())
	taken := min(maxCrossing, crossingShare*max(1, s.bears)) * free
	unseen := b.unseen(t.service, now)
	return unseen <= taken || b.random.Float64() < taken/unseen
}

// mayHaveRoom reports whether an engine has room by what is known of it. Only brittle ones may have none.
func (b *Balancer) mayHaveRoom(t *Target, tokens int, now time.Duration) bool {
	if b.brittle[t.service] == nil {
		return true
	}
	memory, known := t.memory(tokens, now)
	// What finds no memory waits, and the engine may let none wait.
	return t.roomLimit(now)-float64(t.batch()) >= 1 && (!known || memory <= fullMemory)
}

// unseen returns how many requests of other instances may have come to each target of a service that has
// room since these were heard of: no more than there are, if requests end faster than they are heard of.
func (b *Balancer) unseen(service string, now time.Duration) float64 {
	s := b.brittle[service]
	if s.unseenAt == now {
		return s.unseen
	}
	total, withRoom := 0, 0
	for _, t := range b.byService[service] {
		total += t.batch()
		if t.roomLimit(now)-float64(t.batch()) >= 1 {
			withRoom++
		}
	}
	came := b.demandFor(service).Rate(now) * float64(b.likelyInstances()-1) * (now - b.peersAt + b.peersInterval).Seconds()
	s.unseenAt, s.unseen = now, min(came, float64(max(1, total)))/float64(max(1, withRoom))
	return s.unseen
}

// roomLimit returns how many requests a target is taken to have room for: no more than it runs at once.
func (t *Target) roomLimit(now time.Duration) float64 {
	slots := float64(t.likelySlots())
	if t.room.known {
		return min(slots, t.room.limit+slots*roomRegained*(now-t.room.at).Seconds())
	}
	return slots
}

// noteTurnedAway records that a target turned a request away for want of room.
func (b *Balancer) noteTurnedAway(t *Target, now time.Duration) {
	if b.brittle[t.service] == nil {
		return
	}
	t.room = room{known: true, limit: max(1, min(t.roomLimit(now), float64(t.batch()))-1), at: now}
}

// waitForRoom returns how long it takes until a brittle target without room may be tried again, 0 for one
// with room.
func (b *Balancer) waitForRoom(t *Target, now time.Duration) time.Duration {
	if b.brittle[t.service] == nil || t.roomLimit(now) >= float64(t.batch()+1) {
		return 0
	}
	return roomWait
}

// roomWait is the time after which a caller is told to come back when brittle targets have no room.
const roomWait = 150 * time.Millisecond
