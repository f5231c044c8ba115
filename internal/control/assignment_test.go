package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOneReaderPerEngine checks that, while the replicas reach each other, every engine
// has exactly one reader, in its own failure domain if that has a replica, and that the
// remaining replicas take over when others are down.
func TestOneReaderPerEngine(t *testing.T) {
	domainOf := map[string]string{"r1": "a", "r2": "a", "r3": "b", "r4": "c"}
	buildAssignments := func(running ...string) map[string]*EngineAssignment {
		out := map[string]*EngineAssignment{}
		for _, self := range running {
			a := &EngineAssignment{service: &Service{self: self}, domain: domainOf[self], domains: map[string]string{}}
			for _, other := range running {
				if other != self {
					a.domains[other] = domainOf[other]
				}
			}
			out[self] = a
		}
		return out
	}
	for _, running := range [][]string{{"r1", "r2", "r3", "r4"}, {"r1", "r3"}, {"r4"}} {
		all := buildAssignments(running...)
		domains := map[string]bool{}
		for _, r := range running {
			domains[domainOf[r]] = true
		}
		read := map[string]int{}
		for e := range 200 {
			engine, domain := fmt.Sprint("e", e), []string{"a", "b", "c", "d"}[e%4]
			readers := 0
			for name, a := range all {
				if !a.IsReader(engine, domain) {
					continue
				}
				readers++
				read[name]++
				if domains[domain] {
					require.Equal(t, domain, domainOf[name])
				}
			}
			require.Equal(t, 1, readers, "readers of engine %s in domain %s with replicas %v", engine, domain, running)
		}
		for _, r := range running {
			require.Positive(t, read[r], r)
		}
	}
}
