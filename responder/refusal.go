package responder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of a refusal.
const (
	HeaderReason = "Celeryhead-Reason"
	HeaderRan    = "Celeryhead-Ran"
)

// Ran states whether a target has executed a refused request.
type Ran string

// The values of Ran.
const (
	NotRun  Ran = "not-run"
	Unknown Ran = "unknown"
	// HasRun marks a repeated request that was executed before, but whose answer was too large to store.
	HasRun Ran = "ran"
)

// Reason is the machine-readable cause of a refusal, in snake case.
type Reason string

// The reasons of refusals.
const (
	BadRequest             Reason = "bad_request"
	NoRoute                Reason = "no_route"
	KeyMissing             Reason = "key_missing"
	KeyInvalid             Reason = "key_invalid"
	Stale                  Reason = "stale"
	RateExceeded           Reason = "rate_exceeded"
	IdempotencyKeyMissing  Reason = "idempotency_key_missing"
	IdempotencyKeyMismatch Reason = "idempotency_key_mismatch"
	ClaimUnavailable       Reason = "claim_unavailable"
	TicketInvalid          Reason = "ticket_invalid"
	InProgress             Reason = "in_progress"
	OutcomeUnknown         Reason = "outcome_unknown"
	NoOwner                Reason = "no_owner"
	NoSlot                 Reason = "no_slot"
	LinkBudget             Reason = "link_budget"
	CrashSuspect           Reason = "crash_suspect"
	DeadlineExceeded       Reason = "deadline_exceeded"
	TargetUnreachable      Reason = "target_unreachable"
	TargetShed             Reason = "target_shed"
	TargetFailed           Reason = "target_failed"
	BodyTooLarge           Reason = "body_too_large"
	BodyIncomplete         Reason = "body_incomplete"
	Leaving                Reason = "leaving"
	Overloaded             Reason = "overloaded"
)

// Refusal is an error answer that celeryhead sends in place of a target's answer. It implements error.
type Refusal struct {
	Status  int
	Reason  Reason
	Ran     Ran
	Message string
	// RetryAfter is the suggested delay before a retry; it is zero if a later retry has no better chance.
	RetryAfter time.Duration
}

// Error returns the reason and message for logs.
func (r *Refusal) Error() string {
	return string(r.Reason) + " (" + string(r.Ran) + "): " + r.Message
}

// body is the JSON encoding of a Refusal.
type body struct {
	Reason  Reason `json:"reason"`
	Ran     Ran    `json:"ran"`
	Message string `json:"message"`
}

// Write sends r as the complete answer. It drops all header fields set before except Connection, and must be called
// before any byte of the answer is written.
func (r *Refusal) Write(w http.ResponseWriter) error {
	h := w.Header()
	c, closes := h["Connection"]
	clear(h)
	if closes {
		h["Connection"] = c
	}
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderReason, string(r.Reason))
	h.Set(HeaderRan, string(r.Ran))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	return json.NewEncoder(w).Encode(body{Reason: r.Reason, Ran: r.Ran, Message: r.Message})
}
