package engine

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

var words = [...]string{
	"the ", "river ", "bends ", "past ", "a ", "cove ", "where ", "dogs ", "meet ", "at ",
	"noon ", "and ", "walk ", "along ", "water ", "until ", "tide ", "turns. ", "park ", "gate ",
	"opens ", "early ", "for ", "those ", "who ", "swim ", "near ", "rocks, ", "shade ", "falls ",
}

// Text is the output of a generation. It depends only on the prompt and the seed,
// so that a second run gives the same tokens.
type Text struct {
	state uint64
}

// NewText returns the output for a prompt and a seed.
func NewText(prompt string, seed int64) Text {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt)) // never returns an error
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(seed)))
	return Text{state: h.Sum64()}
}

// Token returns the text of the token at a 0-based position.
func (t Text) Token(index int) string {
	return words[mix(t.state+uint64(index))%uint64(len(words))]
}

// Length draws the output's length from a log-normal distribution with the given
// median, at least 1 and at most longest.
func (t Text) Length(median float64, longest int) int {
	const sigma = 1.1
	u1 := float64(mix(t.state^1)>>11)/(1<<53) + 1e-12
	u2 := float64(mix(t.state^2)>>11) / (1 << 53)
	normal := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
	return max(1, min(longest, int(median*math.Exp(sigma*normal))))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
