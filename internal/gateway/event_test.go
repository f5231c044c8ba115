package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventNumber reads the numbers of events.
func TestEventNumber(t *testing.T) {
	cases := []struct {
		event  string
		number uint64
		ok     bool
	}{
		{"id: 7\ndata: a\n\n", 7, true},
		{"data: a\r\nid:8\r\n\r\n", 8, true},
		{"data: id: 1\n\n", 0, false},
		{"id: x\n\n", 0, false},
		{"id:99999999999999999999\n\n", 0, false},
		{": comment\n\n", 0, false},
	}
	for _, c := range cases {
		number, ok := eventNumber([]byte(c.event))
		require.Equal(t, c.ok, ok, c.event)
		if ok {
			require.Equal(t, c.number, number, c.event)
		}
	}
}

// FuzzEventNumber checks that no event makes its reader panic.
func FuzzEventNumber(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Add([]byte("\n\n\n:comment\n\nid:99999999999999999999\n\n"))
	f.Fuzz(func(_ *testing.T, event []byte) { eventNumber(event) })
}
