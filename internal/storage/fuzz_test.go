package storage_test

import (
	"testing"

	"github.com/vanillaward/vanillaward/internal/storage"
)

// FuzzOpen checks that for any content of the files, Open returns an error or a log
// without gaps.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0}, []byte{})
	f.Add([]byte("garbage of some length"), []byte("more"))
	f.Fuzz(func(t *testing.T, log, snapshot []byte) {
		d := newMemoryDisk()
		d.files["replica-id"], d.files["log"] = &node{live: []byte("id")}, &node{live: log}
		if len(snapshot) > 0 {
			d.files["snapshot"] = &node{live: snapshot}
		}
		s, err := storage.Open(d, "new")
		if err != nil {
			return
		}
		durable := s.Durable()
		next := durable.Snapshot.GetIndex() + 1
		for _, e := range durable.Entries {
			if e.GetIndex() != next {
				t.Fatalf("got record %d, want record %d", e.GetIndex(), next)
			}
			next++
		}
	})
}
