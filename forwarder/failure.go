package forwarder

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/responder"
)

// Causes of failures, for errors.Is.
var (
	// ErrDeadline means that the deadline of the request passed.
	ErrDeadline = merry.Sentinel("deadline passed")
	// ErrDialTimeout means that no connection was open after Config.DialTimeout, before the deadline of the request.
	ErrDialTimeout = merry.Sentinel("connection was not opened in time")
	// ErrUpgrade means that the request asked for CONNECT or an upgrade.
	ErrUpgrade = merry.Sentinel("CONNECT and Upgrade are not forwarded")
	// ErrUnsolicited means that the server sent bytes before the request.
	ErrUnsolicited = merry.Sentinel("server sent bytes before the request")
	// ErrForeign means that the server sent an answer to another request that is too long to skip.
	ErrForeign = merry.Sentinel("answer belongs to another request")
	// ErrInvalid means that the answer cannot come from the server that was asked.
	ErrInvalid = merry.Sentinel("answer does not come from the server that was asked")
	// ErrUnframed means that the end of the answer cannot be told from a broken connection.
	ErrUnframed = merry.Sentinel("answer has neither a length nor chunks")
	// ErrSwitched means that the server answered 101 to a request without Upgrade.
	ErrSwitched = merry.Sentinel("server switched protocols unasked")
	// ErrInformational means that the server sent too many informational answers.
	ErrInformational = merry.Sentinel("too many informational answers")
	// ErrHeaderTooLarge means that the header of the answer exceeds its limit.
	ErrHeaderTooLarge = merry.Sentinel("header of the answer is too large")
	// ErrShed means that the server answered that it did not run the request.
	ErrShed = merry.Sentinel("server shed the request")
	// ErrRequest means that the request was invalid or its body could not be read.
	ErrRequest = merry.Sentinel("request could not be read")
)

// Failure says why a request has no whole answer, and whether it may have run.
type Failure struct {
	Reason responder.Reason
	Ran    responder.Ran
	// Broken is true if the server ended the connection after a byte of the request was written.
	Broken bool
	// Silent is true if the exchange ended without a byte of answer at its deadline, or by cancellation after SilentAfter.
	Silent bool
	// BodyRead is true if a byte of the request's body was taken, so that the request can be sent elsewhere only with a new body.
	BodyRead bool
	// Status is the status of a shed answer, otherwise 0.
	Status int
	// Header is the header of a shed answer, without hop-by-hop fields.
	Header http.Header
	// Err is the cause.
	Err error
}

// Error returns the reason and the cause for logs.
func (f *Failure) Error() string {
	return string(f.Reason) + " (" + string(f.Ran) + "): " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Err
}

// reasonOf returns the reason that fits the cause, or other.
func reasonOf(err error, other responder.Reason) responder.Reason {
	var r *responder.Refusal
	switch {
	case errors.As(err, &r):
		return r.Reason
	case errors.Is(err, ErrDeadline), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return responder.DeadlineExceeded
	case errors.Is(err, ErrUpgrade), errors.Is(err, ErrRequest):
		return responder.BadRequest
	}
	return other
}
