package forwarder

import (
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/responder"
)

// Verdict says what the header of an answer means for its exchange.
type Verdict int

// The verdicts.
const (
	// Accepted means that the answer is the one to the request.
	Accepted Verdict = iota
	// Shed means that the server states that it did not run the request.
	Shed
	// Foreign means that the answer belongs to another request; the next one on the connection is read.
	Foreign
	// Invalid means that the answer must not reach a caller.
	Invalid
	// Unframed means that the end of the answer cannot be told from a broken connection.
	Unframed
)

// Protocol is what the servers of a Forwarder speak beside HTTP.
type Protocol interface {
	// Prepare sets the fields that carry the deadline of a request, for which left remains.
	Prepare(h http.Header, deadline time.Time, left time.Duration)
	// Judge classifies an answer by the headers of the request and the answer; unframed means that the answer has neither
	// a length nor chunks.
	Judge(sent http.Header, status int, got http.Header, unframed bool) Verdict
}

// native is the protocol between instances and towards targets without a protocol of their own.
type native struct{}

// Prepare sets HeaderDeadline.
func (native) Prepare(h http.Header, deadline time.Time, _ time.Duration) {
	h.Set(HeaderDeadline, FormatDeadline(deadline))
}

// Judge takes a 503 with responder.HeaderRan for a shed request.
func (native) Judge(_ http.Header, status int, got http.Header, unframed bool) Verdict {
	switch {
	case unframed:
		return Unframed
	case status == http.StatusServiceUnavailable && responder.Ran(got.Get(responder.HeaderRan)) == responder.NotRun:
		return Shed
	}
	return Accepted
}
