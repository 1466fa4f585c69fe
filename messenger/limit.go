package messenger

import (
	"net/http"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/verifier"
)

// MaxResponseHeader bounds the header of a response in bytes, for the transports of clients.
const MaxResponseHeader = 16 << 10

// ErrUnframed means that the end of a response cannot be distinguished from a broken connection.
var ErrUnframed = merry.Sentinel("response has neither a length nor chunked encoding")

// LimitResponses returns a transport whose responses fail after a number of bytes of body, with ErrUnframed, or with
// verifier.ErrFieldName; the generated clients read a response to its end, and decode a message that ends after any of its fields.
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
	if err != nil {
		return nil, err
	}
	if isUnframed(p) {
		_ = p.Body.Close()
		return nil, ErrUnframed
	}
	p.Body = http.MaxBytesReader(nil, p.Body, l.bytes)
	return p, nil
}

// isUnframed reports whether the end of the connection ends the response. HTTP/2 frames all responses, and a decompressed one has
// its own end.
func isUnframed(p *http.Response) bool {
	return !p.ProtoAtLeast(2, 0) && !p.Uncompressed && p.Body != http.NoBody && p.ContentLength < 0 && len(p.TransferEncoding) == 0
}
