package claimer

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/responder"
)

// MaxBodyBytes is the maximum size of a response body stored for resends.
const MaxBodyBytes = 64 << 10

// maxHeaderBytes limits the stored headers. If they exceed it, neither headers nor body are stored.
const maxHeaderBytes = 8 << 10

// CompletedWithoutBody is the reason returned for a resend of an executed request whose response was not stored in full.
const CompletedWithoutBody responder.Reason = "completed_without_body"

// ErrRequest reports a request that lacks a field required for a claim.
var ErrRequest = merry.Sentinel("invalid claim request")

// Request describes one attempt to send a non-idempotent request.
type Request struct {
	Account string
	Route   string
	// Key is the Idempotency-Key: chosen by the caller, or a ticket.
	Key string
	// RequestDigest covers all parts of the request that affect its result.
	RequestDigest [32]byte
	// Deadline is the time after which the request must not run.
	Deadline time.Time
}

// Verdict determines how an attempt to send a request is handled.
type Verdict string

// Verdicts returned by Begin.
const (
	// Run allows this attempt, and no other, to run until the deadline of its claim.
	Run Verdict = "run"
	// Stored means that the response to an earlier attempt is available.
	Stored Verdict = "stored"
	// Completed means that an earlier attempt ran, but its response was not stored in full. The outcome contains its status.
	Completed Verdict = "completed"
	// InProgress means that an earlier attempt may still be running.
	InProgress Verdict = "in_progress"
	// OutcomeUnknown means that an earlier attempt may have run and that no response to it is stored.
	OutcomeUnknown Verdict = "outcome_unknown"
	// Mismatch means that the key was used for a different request.
	Mismatch Verdict = "mismatch"
	// Unavailable means that no claim could be acquired. This attempt has not run and will not.
	Unavailable Verdict = "unavailable"
	// Invalid means that the ticket was not issued to this account by the incarnation that it names.
	Invalid Verdict = "invalid"
)

// Outcome is the response to an executed request.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is the result of Begin.
type Decision struct {
	Verdict Verdict
	// Claim is set if the verdict is Run and the key was chosen by the caller.
	Claim *Claim
	// Ticket is set if the verdict is Run and the key is a ticket.
	Ticket *TicketRun
	// Outcome is set if the verdict is Stored, or Completed, then without a body.
	Outcome *Outcome
	// RetryAfter is the time after which a resend may get another verdict, or zero if the verdict is final.
	RetryAfter time.Duration
}

// Refusal returns the error response for the caller, or nil if the verdict is Run or Stored.
func (d Decision) Refusal() *responder.Refusal {
	if d.Verdict == Run || d.Verdict == Stored {
		return nil
	}
	r, ok := refusals[d.Verdict]
	if !ok {
		r = refusals[OutcomeUnknown]
	}
	r.RetryAfter = d.RetryAfter
	return &r
}

var refusals = map[Verdict]responder.Refusal{
	Completed: {
		Status: http.StatusGone, Reason: CompletedWithoutBody, Ran: responder.HasRun,
		Message: "the request has run; its answer was too large to be kept",
	},
	InProgress: {
		Status: http.StatusConflict, Reason: responder.InProgress, Ran: responder.Unknown,
		Message: "an earlier sending with this key may still run; send again later with the same key",
	},
	OutcomeUnknown: {
		Status: http.StatusConflict, Reason: responder.OutcomeUnknown, Ran: responder.Unknown,
		Message: "an earlier sending with this key may have run; its outcome is not known",
	},
	Mismatch: {
		Status: http.StatusUnprocessableEntity, Reason: responder.IdempotencyKeyMismatch, Ran: responder.NotRun,
		Message: "the key was used for another request",
	},
	Unavailable: {
		Status: http.StatusServiceUnavailable, Reason: responder.ClaimUnavailable, Ran: responder.NotRun,
		Message: "this sending has not run; use a ticket if the key was never sent before, else send again with the same key",
	},
	Invalid: {
		Status: http.StatusUnprocessableEntity, Reason: responder.TicketInvalid, Ran: responder.NotRun,
		Message: "the ticket was not issued to this account",
	},
}

func (r Request) validate() error {
	switch {
	case r.Account == "":
		return merry.Append(ErrRequest, "account is missing")
	case r.Route == "":
		return merry.Append(ErrRequest, "route is missing")
	case r.Key == "":
		return merry.Append(ErrRequest, "key is missing")
	case r.Deadline.IsZero():
		return merry.Append(ErrRequest, "deadline is missing")
	default:
		return nil
	}
}

// truncate returns the part of o that fits the storage limits and reports whether that is all of o.
func (o Outcome) truncate() (Outcome, bool) {
	n := 0
	for k, v := range o.Header {
		n += len(k)
		for _, s := range v {
			n += len(s)
		}
	}
	if n > maxHeaderBytes {
		return Outcome{Status: o.Status}, false
	}
	if len(o.Body) > MaxBodyBytes {
		return Outcome{Status: o.Status, Header: o.Header}, false
	}
	return o, true
}
