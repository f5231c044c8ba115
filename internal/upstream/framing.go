package upstream

import "net/http"

// Framing is how the end of an answer's body is marked.
type Framing string

// Framings.
const (
	// FramedByLength means that the head states the length of the body.
	FramedByLength Framing = "length"
	// FramedByChunks means that the body is sent in chunks, of which the last is empty.
	FramedByChunks Framing = "chunks"
	// FramedByClose means that the body ends with its connection.
	FramedByClose Framing = "close"
)

// FramingOf returns the framing of an answer.
func FramingOf(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0:
		return FramedByLength
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}
