package difference_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/difference"
)

const maxBytes = 4 << 20

// edited returns base with some random changes of a kind that documents undergo.
func edited(random *rand.Rand, base []byte) []byte {
	out := bytes.Clone(base)
	for range random.IntN(6) {
		at := random.IntN(len(out) + 1)
		length := min(random.IntN(300), len(out)-at)
		switch random.IntN(4) {
		case 0:
			out = append(bytes.Clone(out[:at]), out[at+length:]...)
		case 1:
			out = append(bytes.Clone(out[:at]), append(randomText(random, length), out[at:]...)...)
		case 2: // a range moves
			moved := bytes.Clone(out[at : at+length])
			out = append(bytes.Clone(out[:at]), out[at+length:]...)
			to := random.IntN(len(out) + 1)
			out = append(bytes.Clone(out[:to]), append(moved, out[to:]...)...)
		case 3:
			copy(out[at:at+length], randomText(random, length))
		}
	}
	return out
}

// randomText returns text of few letters, so that many ranges occur more than once.
func randomText(random *rand.Rand, length int) []byte {
	out := make([]byte, length)
	for i := range out {
		out[i] = "ab{}"[random.IntN(4)]
	}
	return out
}

// TestDifferenceMakesTarget checks that a difference turns its base into exactly the target.
func TestDifferenceMakesTarget(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 29))
		base := randomText(random, random.IntN(2000))
		target := edited(random, base)
		if random.IntN(10) == 0 {
			target = randomText(random, random.IntN(2000))
		}
		d, err := difference.Make(base, target)
		require.NoError(t, err, "seed %d", seed)
		again, err := difference.Make(base, target)
		require.NoError(t, err)
		require.Equal(t, d, again, "seed %d: not deterministic", seed)
		got, err := difference.Apply(base, d, maxBytes)
		require.NoError(t, err, "seed %d", seed)
		require.True(t, bytes.Equal(target, got), "seed %d", seed)
	}
}

// document returns a configuration with a number, a count of routes and the timeout of one of them.
func document(number, routes, timeout int) []byte {
	random := rand.New(rand.NewPCG(3, 4))
	var out strings.Builder
	fmt.Fprintf(&out, `{"version":%d,"routes":[`, number)
	for i := range routes {
		t := 1500
		if i == routes/2 {
			t = timeout
		}
		fmt.Fprintf(&out, `{"name":"r-%x","host":"%x.example","path":"/%x/","timeout":%d,"service":"s"},`, random.Uint32(), random.Uint32(), random.Uint64(), t)
	}
	out.WriteString(`],"limits":{}}`)
	return []byte(out.String())
}

// TestCostFollowsChange checks that a difference costs what changed, at any size of the whole.
func TestCostFollowsChange(t *testing.T) {
	const maxSmallChange = 256
	for _, routes := range []int{3, 1000, 10000} {
		base := document(99, routes, 1500)
		for name, target := range map[string][]byte{"number": document(100, routes, 1500), "one value": document(100, routes, 700)} {
			d, err := difference.Make(base, target)
			require.NoError(t, err)
			require.LessOrEqual(t, len(d), maxSmallChange, "%s of %d routes", name, routes)
		}
		more := document(100, routes+1000, 1500)
		d, err := difference.Make(base, more)
		require.NoError(t, err)
		require.LessOrEqual(t, len(d), len(more)-len(base)+maxSmallChange)
	}
}

// TestMalformedDifference checks that what is no difference for the base is refused.
func TestMalformedDifference(t *testing.T) {
	target := bytes.Repeat([]byte("x"), 1<<20)
	d, err := difference.Make(nil, target)
	require.NoError(t, err)
	_, err = difference.Apply(nil, d, len(target)-1)
	require.ErrorIs(t, err, difference.ErrMalformed, "too large")
	d, err = difference.Make(target, target)
	require.NoError(t, err)
	_, err = difference.Apply(target[1:], d, len(target))
	require.ErrorIs(t, err, difference.ErrMalformed, "another base")
	_, err = difference.Apply(target, d[:len(d)-1], len(target))
	require.ErrorIs(t, err, difference.ErrMalformed, "cut off")
}

// FuzzApply checks that no bytes make Apply fail in another way than it states, or take much memory.
func FuzzApply(f *testing.F) {
	const limit = 1 << 16 // bytes of a target
	const maxAllocated = 1 << 22
	base := []byte(strings.Repeat("0123456789abcdef", 16))
	for _, target := range [][]byte{nil, base[5:], append(bytes.Clone(base), base...)} {
		d, err := difference.Make(base, target)
		require.NoError(f, err)
		f.Add(d)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		out, err := difference.Apply(base, data, limit)
		runtime.ReadMemStats(&after)
		require.LessOrEqual(t, len(out), limit)
		if err != nil {
			require.ErrorIs(t, err, difference.ErrMalformed)
		}
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
	})
}

// BenchmarkMake measures a change of one value, and of nothing but the number, in 4,200 routes.
func BenchmarkMake(b *testing.B) {
	base := document(99, 4200, 1500)
	for name, target := range map[string][]byte{"number": document(100, 4200, 1500), "value": document(100, 4200, 700), "whole": nil} {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(base)))
			for b.Loop() {
				if target == nil {
					_, _ = difference.Make(nil, base)
				} else {
					_, _ = difference.Make(base, target)
				}
			}
		})
	}
}
