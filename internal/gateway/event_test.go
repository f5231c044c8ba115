package gateway

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/pkg/errors"
)

// FuzzEvents checks that any byte stream is split into events without loss or change:
// concatenated they are the bytes received, and only the last one may lack its end.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 16)
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: "), 16)
	f.Add([]byte("\n\n\n:comment\n\nid:99999999999999999999\n\n"), 64)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		reader := bufio.NewReaderSize(bytes.NewReader(data), max(16, size%4096))
		var all []byte
		for {
			event, err := readEvent(reader)
			all = append(all, event...)
			eventBuffered(reader)
			eventNumber(event)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.HasSuffix(event, []byte("\n")) {
				t.Fatalf("event without its end: %q", event)
			}
		}
		if !bytes.Equal(all, data) {
			t.Fatalf("%q became %q", data, all)
		}
	})
}
