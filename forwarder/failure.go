package forwarder

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/responder"
)

// Causes of failures, for use with errors.Is.
var (
	// ErrDeadline means that the deadline of the request passed.
	ErrDeadline = merry.Sentinel("deadline passed")
	// ErrDialTimeout means that the connection was not established within Config.DialTimeout, before the deadline of
	// the request.
	ErrDialTimeout = merry.Sentinel("connection not established within the dial timeout")
	// ErrConnect means that the request asked for CONNECT.
	ErrConnect = merry.Sentinel("CONNECT is not forwarded")
	// ErrUnsolicited means that the server sent bytes before the request.
	ErrUnsolicited = merry.Sentinel("server sent bytes before the request")
	// ErrMismatched means that the server sent a response to another request that is too long to discard or could not
	// be read.
	ErrMismatched = merry.Sentinel("response belongs to another request")
	// ErrRepeated means that a shed response does not identify the request and may be a repetition of an earlier one.
	ErrRepeated = merry.Sentinel("shed response may be a repetition of an earlier one")
	// ErrInvalid means that the response cannot come from the intended server.
	ErrInvalid = merry.Sentinel("response does not come from the intended server")
	// ErrUnframed means that the end of the response cannot be distinguished from a broken connection.
	ErrUnframed = merry.Sentinel("response has neither a length nor chunked encoding")
	// ErrSwitchedProtocols means that the server sent a 101 response to a request without Upgrade.
	ErrSwitchedProtocols = merry.Sentinel("server switched protocols without an upgrade request")
	// ErrMalformed means that the response has a status outside of 100 to 599, a field whose name is not a token or a line that
	// continues a field, or is no HTTP response. What it says otherwise does not count.
	ErrMalformed = merry.Sentinel("response has an invalid status or is malformed")
	// ErrInformational means that the server sent too many 1xx responses.
	ErrInformational = merry.Sentinel("too many informational responses")
	// ErrHeaderTooLarge means that the header of the response exceeds Config.MaxHeader or Config.MaxFields.
	ErrHeaderTooLarge = merry.Sentinel("response header exceeds the limit")
	// ErrShed means that the server responded that it did not run the request.
	ErrShed = merry.Sentinel("server shed the request")
	// ErrBodyTimeout means that the body of the request did not arrive before the deadline for reads from the caller.
	ErrBodyTimeout = merry.Sentinel("body of the request did not arrive in time")
	// ErrRequest means that the request was invalid or its body could not be read.
	ErrRequest = merry.Sentinel("request is invalid or its body could not be read")
)

// Failure states why a request has no complete response, and whether it may have run.
type Failure struct {
	Reason responder.Reason
	Ran    responder.Ran
	// Broken is true if the connection failed after a byte of the request was written.
	Broken bool
	// Silent is true if not a byte of the response arrived before the deadline, or before a cancellation at least
	// Config.UnresponsiveAfter after the first write, or if the request was not acknowledged within Config.AckTimeout.
	Silent bool
	// BodyRead is true if a byte of the request's body was read, so that the request can be sent elsewhere only with a
	// new body.
	BodyRead bool
	// Status is the status of a shed response, otherwise 0.
	Status int
	// Header is the header of a shed response, without hop-by-hop fields.
	Header http.Header
	// Err is the cause.
	Err error
}

// Error returns the reason, whether the request may have run, and the cause.
func (f *Failure) Error() string {
	return string(f.Reason) + " (" + string(f.Ran) + "): " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Err
}

// reasonOf returns the reason for the cause err, or other if none is known.
func reasonOf(err error, other responder.Reason) responder.Reason {
	var r *responder.Refusal
	switch {
	case errors.As(err, &r):
		return r.Reason
	case errors.Is(err, ErrDeadline), errors.Is(err, ErrBodyTimeout), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return responder.DeadlineExceeded
	case errors.Is(err, ErrConnect), errors.Is(err, ErrRequest):
		return responder.BadRequest
	}
	return other
}
