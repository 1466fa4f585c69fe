package claimer

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/responder"
)

// MaxBodyBytes is the largest body of an answer that is stored for resends.
const MaxBodyBytes = 64 << 10

// maxHeaderBytes bounds the stored headers; beyond it neither headers nor body are stored.
const maxHeaderBytes = 8 << 10

// CompletedWithoutBody is the reason given to a resend of a request that ran, but whose answer was too large to store.
const CompletedWithoutBody responder.Reason = "completed_without_body"

// ErrRequest says that a request lacks a field that claims need.
var ErrRequest = merry.Sentinel("invalid claim request")

// Request identifies one sending of a non-idempotent request.
type Request struct {
	Account string
	Route   string
	// Key is the Idempotency-Key: chosen by the caller, or a ticket.
	Key string
	// RequestDigest covers everything of the request that its effect depends on.
	RequestDigest [32]byte
	// Deadline is the time after which the request must not run.
	Deadline time.Time
}

// Verdict says what is to be done with one sending of a request.
type Verdict string

// The verdicts.
const (
	// Run allows this sending, and no other, to run until the deadline of its claim.
	Run Verdict = "run"
	// Stored carries the answer of an earlier sending.
	Stored Verdict = "stored"
	// Completed says that an earlier sending ran and its answer was too large to store; the outcome has its status.
	Completed Verdict = "completed"
	// InProgress says that an earlier sending may still run.
	InProgress Verdict = "in_progress"
	// OutcomeUnknown says that an earlier sending may have run, and that no answer of it is stored.
	OutcomeUnknown Verdict = "outcome_unknown"
	// Mismatch says that the key belongs to another request.
	Mismatch Verdict = "mismatch"
	// Unavailable says that no claim could be made; this sending has not run and will not.
	Unavailable Verdict = "unavailable"
	// Invalid says that a ticket was not issued to this account by the incarnation that it names.
	Invalid Verdict = "invalid"
)

// Outcome is the answer of a request that ran.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is the answer to Begin.
type Decision struct {
	Verdict Verdict
	// Claim is set if the verdict is Run and the request has a caller's key.
	Claim *Claim
	// Ticket is set if the verdict is Run and the request has a ticket.
	Ticket *TicketRun
	// Outcome is set if the verdict is Stored, and without a body if it is Completed.
	Outcome *Outcome
	// RetryAfter is a time after which a resend may see another verdict; zero if none will.
	RetryAfter time.Duration
}

// Refusal returns the answer to the caller, or nil if the verdict is Run or Stored.
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

func (r Request) check() error {
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

// kept returns the part of o that is stored, and whether it is whole.
func (o Outcome) kept() (Outcome, bool) {
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
