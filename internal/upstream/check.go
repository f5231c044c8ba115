package upstream

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedAnswer means that an answer is none by the rules of HTTP (RFC 9110), though the reader of net/http lets it pass.
var ErrMalformedAnswer = errors.New("malformed answer")

// Statuses below minStatus and above maxStatus are invalid.
const (
	minStatus    = 100
	maxStatus    = 599
	statusDigits = 3
)

// checkHead returns an error that matches ErrMalformedAnswer if the head of an answer is malformed.
func checkHead(response *http.Response) error {
	if !validStatus(response) {
		return errors.Wrapf(ErrMalformedAnswer, "status %q", response.Status)
	}
	return checkNames(response.Header)
}

func validStatus(response *http.Response) bool {
	if len(response.Status) < statusDigits || response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return false
	}
	for _, c := range response.Status[:statusDigits] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// checkNames returns an error that matches ErrMalformedAnswer if the name of a field is not a token. A field with
// a blank before the colon is one that other readers would obey, such as a length.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformedAnswer, "field name %q", name)
		}
	}
	return nil
}

// checkedBody is the body of an answer. Reading it ends with an error that matches ErrMalformedAnswer if its trailer
// is malformed.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

// strictTransport refuses malformed answers.
type strictTransport struct{ base *http.Transport }

// Strict returns a round tripper that sends requests by a transport, and returns an error that matches ErrMalformedAnswer
// for an answer that is malformed, and an error for a body whose connection was reset. The transport must not be in use.
func Strict(base *http.Transport) http.RoundTripper {
	base.DialContext = dialResetConn(base.DialContext)
	return &strictTransport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *strictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkNames(http.Header(h)) }}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close() // the answer is not used
		return nil, err
	}
	response.Body = &checkedBody{response.Body, response}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *strictTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }
