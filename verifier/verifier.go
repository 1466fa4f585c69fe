package verifier

import (
	"net/http"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
)

// ErrFieldName means that the name of a field is not a token.
var ErrFieldName = merry.Sentinel("name of a field is not a token")

// Fields returns ErrFieldName if the name of a field of h is not a token (RFC 9110, section 5.6.2). The parser of net/http accepts
// blanks, but does not recognize the fields of the framing by such names.
func Fields(h http.Header) error {
	for k := range h {
		if !httpguts.ValidHeaderFieldName(k) {
			return merry.Wrap(ErrFieldName, merry.AppendMessagef("%q", k))
		}
	}
	return nil
}

// Transport returns a transport whose responses fail with ErrFieldName if the name of a field is not a token.
func Transport(t http.RoundTripper) http.RoundTripper {
	return transport{t}
}

type transport struct{ http.RoundTripper }

// RoundTrip checks the header of the response.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	p, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Fields(p.Header); err != nil {
		_ = p.Body.Close()
		return nil, err
	}
	return p, nil
}
