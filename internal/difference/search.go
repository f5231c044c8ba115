package difference

import (
	"bytes"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// hashFactor is the base of the rolling hash, an odd number with well distributed bits.
const hashFactor = 0x9E3779B97F4A7C15

// leadFactor is the weight of the first byte of a block in its hash.
var leadFactor = func() uint64 {
	out := uint64(1)
	for range blockBytes - 1 {
		out *= hashFactor
	}
	return out
}()

// search finds ranges of a target in a base: the base's blocks are indexed by their hash, and a hash
// rolls over the target.
type search struct {
	base   []byte
	blocks map[uint64]int // offset of a block by its hash
}

// newSearch indexes the blocks of the base between two offsets.
func newSearch(base []byte, from, to int) *search {
	s := &search{base: base, blocks: make(map[uint64]int, (to-from)/blockBytes)}
	for at := from; at+blockBytes <= to; at += blockBytes {
		h := hash(base[at : at+blockBytes])
		if _, taken := s.blocks[h]; !taken {
			s.blocks[h] = at
		}
	}
	return s
}

func hash(block []byte) uint64 {
	h := uint64(0)
	for _, b := range block {
		h = h*hashFactor + uint64(b)
	}
	return h
}

// edits returns the edits that make the target.
func (s *search) edits(target []byte) []*wire.DifferenceEdit {
	var out []*wire.DifferenceEdit
	done, at := 0, 0 // the target is made up to done and searched up to at
	rolled := uint64(0)
	fresh := true // rolled must be computed anew
	for len(s.blocks) > 0 && at+blockBytes <= len(target) {
		if fresh {
			rolled, fresh = hash(target[at:at+blockBytes]), false
		}
		from, found := s.blocks[rolled]
		if found && bytes.Equal(s.base[from:from+blockBytes], target[at:at+blockBytes]) {
			back := commonSuffix(s.base[:from], target[done:at])
			count := back + commonPrefix(s.base[from:], target[at:])
			out = appendInsert(out, target[done:at-back])
			out = append(out, &wire.DifferenceEdit{CopyFrom: uint64(from - back), CopyBytes: uint64(count)})
			done = at - back + count
			at, fresh = done, true
			continue
		}
		if at+blockBytes < len(target) {
			rolled = (rolled-uint64(target[at])*leadFactor)*hashFactor + uint64(target[at+blockBytes])
		}
		at++
	}
	return appendInsert(out, target[done:])
}

// appendInsert adds bytes that are not in the base to the last edit, which has none yet.
func appendInsert(out []*wire.DifferenceEdit, inserted []byte) []*wire.DifferenceEdit {
	if len(inserted) == 0 {
		return out
	}
	if len(out) == 0 {
		out = append(out, &wire.DifferenceEdit{})
	}
	out[len(out)-1].Insert = inserted
	return out
}
