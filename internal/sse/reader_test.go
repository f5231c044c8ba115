package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/membudget"
)

// TestReader reads streams that end at and between events, and events of all lengths around
// that of the buffer.
func TestReader(t *testing.T) {
	longData := strings.Repeat("x", MaxEventBytes)
	cases := []struct {
		name, in string
		want     []string
		err      error
	}{
		{"empty", "", nil, io.EOF},
		{"two events", "id: 1\ndata: a\n\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "data: b\n\n"}, io.EOF},
		{"CRLF", "data: a\r\n\r\ndata: b\r\n\r\n", []string{"data: a\r\n\r\n", "data: b\r\n\r\n"}, io.EOF},
		{"comment and empty lines", "\n: c\n\ndata: a\n\n", []string{"\n", ": c\n\n", "data: a\n\n"}, io.EOF},
		{"ends inside a line", "data: a\n\nda", []string{"data: a\n\n"}, ErrUnfinished},
		{"ends after a line", "data: a\n\ndata: b\n", []string{"data: a\n\n"}, ErrUnfinished},
		{"ends inside the empty line", "data: a\r\n\r", nil, ErrUnfinished},
		{"too long", "data: a\n\n" + longData + "\n\n", []string{"data: a\n\n"}, ErrTooLong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := readAll(NewReader(strings.NewReader(c.in)))
			require.Equal(t, c.want, got)
			require.ErrorIs(t, err, c.err)
		})
	}
	const size = 16
	for length := range 3 * size {
		event := "data: " + strings.Repeat("x", length) + "\r\n\r\n"
		got, err := readAll(newReader(strings.NewReader(event+event), size))
		require.Equal(t, []string{event, event}, got)
		require.ErrorIs(t, err, io.EOF)
	}
}

func readAll(r *Reader) ([]string, error) {
	var out []string
	for {
		event, err := r.Next()
		if err != nil {
			return out, err
		}
		out = append(out, string(event))
	}
}

// TestBuffered checks that only complete events count as buffered.
func TestBuffered(t *testing.T) {
	for in, want := range map[string]bool{
		"data: a\n\n": false, "data: a\n\ndata: b\n": false, "data: a\n\ndata: b\n\n": true, "data: a\r\n\r\ndata: b\r\n\r\n": true,
	} {
		r := NewReader(strings.NewReader(in))
		_, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, want, r.Buffered(), "%q", in)
	}
}

// FuzzReader checks that any byte stream is split into events without loss or change:
// concatenated they are the bytes received but for those of an unfinished event, and each of
// them ends with an empty line.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 16)
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: "), 16)
	f.Add([]byte("\n\n\n:comment\n\nid:99999999999999999999\n\n"), 64)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		reader := newReader(bytes.NewReader(data), max(16, size%4096))
		rest := data
		for {
			event, err := reader.Next()
			if err != nil {
				requireEnd(t, err, rest, reader.Unfinished())
				return
			}
			reader.Buffered()
			if !bytes.HasPrefix(rest, event) {
				t.Fatalf("%q is read where %q follows", event, rest)
			}
			if rest = rest[len(event):]; !bytes.HasSuffix(append([]byte("\n"), bytes.ReplaceAll(event, []byte("\r"), nil)...), []byte("\n\n")) {
				t.Fatalf("event without its end: %q", event)
			}
		}
	})
}

func requireEnd(t *testing.T, err error, rest []byte, unfinished int) {
	t.Helper()
	want := io.EOF
	if len(rest) > 0 {
		want = ErrUnfinished
	}
	if !errors.Is(err, want) || unfinished != len(rest) {
		t.Fatalf("%v with %d unfinished bytes, %d bytes are left", err, unfinished, len(rest))
	}
}

// TestBudget checks that long events draw on a budget, that a stream whose event it has no memory for is
// ended, and that usual events need none.
func TestBudget(t *testing.T) {
	const limit = 60 << 10
	budget := membudget.New(limit)
	long := "data: " + strings.Repeat("x", 60<<10) + "\n\n"
	first := NewReader(strings.NewReader(long+long), WithBudget(budget))
	for range 2 {
		event, err := first.Next()
		require.NoError(t, err)
		require.Len(t, event, len(long))
	}
	held := budget.Used()
	require.Positive(t, held)
	require.LessOrEqual(t, held, int64(limit))
	second := NewReader(strings.NewReader(long), WithBudget(budget))
	_, err := second.Next()
	require.ErrorIs(t, err, ErrNoMemory)
	usual := NewReader(strings.NewReader("data: x\n\n"), WithBudget(budget))
	_, err = usual.Next()
	require.NoError(t, err)
	for _, r := range []*Reader{first, second, usual} {
		r.Close()
	}
	require.Zero(t, budget.Used())
}
