package forwarder

import (
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/responder"
)

// Verdict is the classification of a response by its header.
type Verdict int

// Classifications of responses.
const (
	// Accepted means that the response belongs to the request.
	Accepted Verdict = iota
	// Shed means that the server states that it did not run the request.
	Shed
	// ShedUnidentified is like Shed, but the response does not identify the request.
	ShedUnidentified
	// Foreign means that the response belongs to another request; the next response on the connection is read.
	Foreign
	// Invalid means that the response must not reach a caller.
	Invalid
	// Unframed means that the end of the response cannot be distinguished from a broken connection.
	Unframed
)

// Protocol is the protocol of a Forwarder's servers on top of HTTP.
type Protocol interface {
	// ID returns the value that responses to a request with header h repeat, or an empty string if they repeat none.
	ID(h http.Header) string
	// Prepare sets the fields that carry the deadline of a request, which is left from now.
	Prepare(h http.Header, deadline time.Time, left time.Duration)
	// Judge classifies a response by the headers of the request and the response. Unframed means that the response has
	// neither a length nor chunked encoding.
	Judge(sent http.Header, status int, got http.Header, unframed bool) Verdict
}

// nativeProtocol is used between instances, and for targets without a protocol of their own.
type nativeProtocol struct {
	shed Verdict
}

// InstanceProtocol returns the project's own protocol for links between instances. An instance never repeats a response,
// so a connection is reused after a shed response.
func InstanceProtocol() Protocol {
	return nativeProtocol{shed: Shed}
}

// ID returns an empty string.
func (nativeProtocol) ID(http.Header) string {
	return ""
}

// Prepare sets HeaderDeadline.
func (nativeProtocol) Prepare(h http.Header, deadline time.Time, _ time.Duration) {
	h.Set(HeaderDeadline, FormatDeadline(deadline))
}

// Judge classifies a 503 whose responder.HeaderRan is NotRun as shed.
func (n nativeProtocol) Judge(_ http.Header, status int, got http.Header, unframed bool) Verdict {
	switch {
	case unframed:
		return Unframed
	case status == http.StatusServiceUnavailable && responder.Ran(got.Get(responder.HeaderRan)) == responder.NotRun:
		return n.shed
	}
	return Accepted
}
