package messenger

import (
	"net/http"

	"celeryhead.dev/celeryhead/verifier"
)

// MaxResponseHeader bounds the header of a response in bytes, for the transports of clients.
const MaxResponseHeader = 16 << 10

// LimitResponses returns a transport whose responses fail after a number of bytes of body, or with verifier.ErrFieldName; the
// generated clients read a response to its end.
func LimitResponses(t http.RoundTripper, bytes int64) http.RoundTripper {
	return limited{verifier.Transport(t), bytes}
}

type limited struct {
	http.RoundTripper
	bytes int64
}

// RoundTrip limits the body of the response.
func (l limited) RoundTrip(r *http.Request) (*http.Response, error) {
	p, err := l.RoundTripper.RoundTrip(r)
	if err == nil {
		p.Body = http.MaxBytesReader(nil, p.Body, l.bytes)
	}
	return p, err
}
