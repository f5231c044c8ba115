package follow

import (
	"hash/fnv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/target"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// digest is the sum of the hashes of targets without their warm-up times, in any order. It tells whether two lists are the
// same without a comparison of thousands of entries for each response.
type digest uint64

func digestOf(list []*wire.Target) digest {
	var sum digest
	for _, t := range list {
		sum += digestOfTarget(t)
	}
	return sum
}

func digestOfTarget(t *wire.Target) digest {
	cold := t.GetColdMs()
	if cold > 0 {
		t = proto.CloneOf(t)
		t.ColdMs = 0
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(t)
	if err != nil {
		return 0 // a list with text that is not UTF-8 cannot have been received
	}
	h := fnv.New64a()
	_, _ = h.Write(data) // never fails
	return digest(h.Sum64())
}

// leavingDigest returns by how much the digest of the merged list differs from that of the newest one.
func leavingDigest(newest *targetList, leaving *keySet) digest {
	var sum digest
	for _, t := range newest.targets {
		if shown := overlaid(t, leaving); shown != t {
			sum += digestOfTarget(shown) - digestOfTarget(t)
		}
	}
	return sum
}

// warmUpTolerance is the difference of the ends of a target's warm-up time that makes no difference.
const warmUpTolerance = 300 * time.Millisecond

// mergedList describes the list that the sink has.
type mergedList struct {
	known   bool
	digest  digest
	warmUps map[target.Key]time.Duration // ends of warm-up times
}

// warmUps returns the ends of the warm-up times of a list as of the time of its reading.
func warmUps(list []*wire.Target, readAt time.Duration) map[target.Key]time.Duration {
	out := map[target.Key]time.Duration{}
	for _, t := range list {
		if t.GetColdMs() > 0 {
			out[target.KeyOf(t)] = readAt + time.Duration(t.GetColdMs())*time.Millisecond
		}
	}
	return out
}

// hasWarmUps reports whether the sink has the warm-up times of targets of a list that was read at a time.
func (m *mergedList) hasWarmUps(list []*wire.Target, readAt time.Duration) bool {
	for _, t := range list {
		if t.GetColdMs() == 0 {
			continue
		}
		difference := m.warmUps[target.KeyOf(t)] - readAt - time.Duration(t.GetColdMs())*time.Millisecond
		if difference > warmUpTolerance || difference < -warmUpTolerance {
			return false
		}
	}
	return true
}

// keySet is a set of keys of targets in which few targets of a long list are looked for.
type keySet struct {
	ids  map[string]bool
	keys map[target.Key]bool
}

func newKeySet(size int) *keySet {
	return &keySet{ids: make(map[string]bool, size), keys: make(map[target.Key]bool, size)}
}

func (s *keySet) add(k target.Key) { s.ids[k.ID()], s.keys[k] = true, true }

func (s *keySet) has(t *wire.Target) bool { return s.ids[t.GetId()] && s.keys[target.KeyOf(t)] }
