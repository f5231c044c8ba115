package storage_test

import (
	"testing"

	"github.com/vanillaward/vanillaward/internal/storage"
)

// FuzzOpen: no content of the files makes a replica start with a log that has
// gaps; it starts or is refused.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0}, []byte{})
	f.Add([]byte("garbage of some length"), []byte("more"))
	f.Fuzz(func(t *testing.T, log, snapshot []byte) {
		d := newMemoryDisk()
		d.names["replica-id"], d.names["log"] = &node{live: []byte("id")}, &node{live: log}
		if len(snapshot) > 0 {
			d.names["snapshot"] = &node{live: snapshot}
		}
		s, err := storage.Open(d, "new")
		if err != nil {
			return
		}
		durable := s.Durable()
		next := durable.Snapshot.GetIndex() + 1
		for _, e := range durable.Entries {
			if e.GetIndex() != next {
				t.Fatalf("record %d in place of %d", e.GetIndex(), next)
			}
			next++
		}
	})
}
