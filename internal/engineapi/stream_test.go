package engineapi

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEngineStream reads streams in the forms that engines send, and streams that
// were truncated on the network.
func TestEngineStream(t *testing.T) {
	long := strings.Repeat("x", 20000)
	cases := []struct {
		name string
		in   string
		want []string // index, own or foreign, data
	}{
		{"one event", "id: g:0\ndata: {}\n\n", []string{"0 own {}"}},
		{"no space after the colon, CRLF", "id:g:7\r\ndata:{}\r\n\r\n", []string{"7 own {}"}},
		{"another generation", "id: h:0\ndata: a\n\nid: g:0\ndata: b\n\n", []string{"-1 foreign a", "0 own b"}},
		{"index that is not a number", "id: g:x\ndata: a\n\n", []string{"-1 foreign a"}},
		{"negative index", "id: g:-3\ndata: a\n\n", []string{"-1 foreign a"}},
		{"comments and other fields", ": keep-alive\n\nevent: x\nid: g:1\ndata: a\n\n", []string{"1 own a"}},
		{"line longer than the buffer", "id: g:1\ndata: " + long + "\n\n", []string{"1 own " + long}},
		{"truncated in the second event", "id: g:0\ndata: a\n\nid: g:1\nda", []string{"0 own a"}},
		{"truncated before the empty line", "id: g:0\ndata: a\n\nid: g:1\ndata: b\n", []string{"0 own a"}},
		{"several data lines", "id: g:0\ndata: a\ndata: b\n\n", []string{"0 own a\nb"}},
		{"id after the data", "data: a\nid: g:0\n\n", []string{"0 own a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewStream(io.NopCloser(strings.NewReader(c.in)), "g")
			var got []string
			for {
				e, err := s.Next()
				if err != nil {
					break
				}
				owner := "foreign"
				if e.matchesGeneration {
					owner = "own"
				}
				got = append(got, strings.Join([]string{formatIndex(e.index), owner, string(e.data)}, " "))
			}
			require.Equal(t, c.want, got)
		})
	}
}

func formatIndex(n int) string {
	if n < 0 {
		return "-1"
	}
	return string(rune('0' + n))
}

// TestRawText checks that the text is returned as escaped in the JSON, and that the
// final event is recognised.
func TestRawText(t *testing.T) {
	require.Equal(t, `a\"b`, string(RawText([]byte(`{"choices":[{"text":"a\"b","finish_reason":null}]}`), false)))
	require.Equal(t, `hi`, string(RawText([]byte(`{"choices":[{"delta":{"content":"hi"}}]}`), true)))
	require.Equal(t, `hi`, string(RawText([]byte(`{ "choices" : [ { "delta" : { "content" : "hi" } } ] }`), true)))
	require.Empty(t, RawText([]byte(`{}`), false))
	require.True(t, IsFinal([]byte(`{"choices":[{"text":"","finish_reason":"stop"}]}`)))
	require.False(t, IsFinal([]byte(`{"choices":[{"text":"a","finish_reason":null}]}`)))
}

// TestFinalEventWithoutItsEnd guards against a stream that was broken off inside its final
// event being taken as complete: the data of the event was used before its end was read.
func TestFinalEventWithoutItsEnd(t *testing.T) {
	const stream = "id: g:0\ndata: {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\n\n" +
		"id: g:1\ndata: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n"
	for end := range len(stream) + 1 {
		s := NewStream(io.NopCloser(strings.NewReader(stream[:end])), "g")
		final := false
		for {
			e, err := s.Next()
			if err != nil {
				break
			}
			final = final || IsFinal(e.Data())
		}
		require.Equal(t, end == len(stream), final, "cut after %d of %d bytes", end, len(stream))
	}
}

// FuzzEngineStream checks that no stream of an engine makes its reader panic.
func FuzzEngineStream(f *testing.F) {
	f.Add([]byte("id: g:0\ndata: {\"choices\":[{\"text\":\"a\\\"\"}]}\n\n"))
	f.Add([]byte("data: [DONE]\n\nid: g:-9\ndata:\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := NewStream(io.NopCloser(bytes.NewReader(data)), "g")
		for {
			e, err := s.Next()
			if err != nil {
				return
			}
			RawText(e.data, false)
			RawText(e.data, true)
			IsFinal(e.data)
		}
	})
}
