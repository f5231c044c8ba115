package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOneReader: as long as the replicas see each other, every engine has exactly one
// reader, in its own failure domain where a replica is there; when replicas are gone,
// others take over.
func TestOneReader(t *testing.T) {
	place := map[string]string{"r1": "a", "r2": "a", "r3": "b", "r4": "c"}
	build := func(there ...string) map[string]*Neighbours {
		out := map[string]*Neighbours{}
		for _, self := range there {
			n := &Neighbours{service: &Service{self: self}, domain: place[self], domains: map[string]string{}}
			for _, other := range there {
				if other != self {
					n.domains[other] = place[other]
				}
			}
			out[self] = n
		}
		return out
	}
	for _, there := range [][]string{{"r1", "r2", "r3", "r4"}, {"r1", "r3"}, {"r4"}} {
		all := build(there...)
		domains := map[string]bool{}
		for _, r := range there {
			domains[place[r]] = true
		}
		read := map[string]int{}
		for e := range 200 {
			engine, domain := fmt.Sprint("e", e), []string{"a", "b", "c", "d"}[e%4]
			readers := 0
			for name, n := range all {
				if !n.Reads(engine, domain) {
					continue
				}
				readers++
				read[name]++
				if domains[domain] {
					require.Equal(t, domain, place[name])
				}
			}
			require.Equal(t, 1, readers, "engine %s of domain %s with %v", engine, domain, there)
		}
		for _, r := range there {
			require.Positive(t, read[r], r)
		}
	}
}
