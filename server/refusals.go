package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/spooler"
)

const (
	// staleRetry is when a caller may try again, preferably at another instance.
	staleRetry = time.Second
	// ownerRetry and shedRetry are when a caller may try again at the same instance.
	ownerRetry = time.Second
	shedRetry  = time.Second
)

// notRun returns a refusal of a request of which no byte went to a target.
func notRun(status int, r responder.Reason, message string) *responder.Refusal {
	return &responder.Refusal{Status: status, Reason: r, Ran: responder.NotRun, Message: message}
}

func badRequest(message string) *responder.Refusal {
	return notRun(http.StatusBadRequest, responder.BadRequest, message)
}

// noRoute is told apart by found: whether a route has the path, but not the method.
func noRoute(found bool) *responder.Refusal {
	if found {
		return notRun(http.StatusMethodNotAllowed, responder.NoRoute, "no route of this path has this method")
	}
	return notRun(http.StatusNotFound, responder.NoRoute, "no route has this path")
}

func keyMissing() *responder.Refusal {
	return notRun(http.StatusUnauthorized, responder.KeyMissing, "this route needs a key")
}

func keyInvalid() *responder.Refusal {
	return notRun(http.StatusUnauthorized, responder.KeyInvalid, "the key is not valid")
}

func idempotencyKeyMissing() *responder.Refusal {
	return notRun(http.StatusBadRequest, responder.IdempotencyKeyMissing, "this route needs an Idempotency-Key of at most 255 bytes")
}

func stale() *responder.Refusal {
	f := notRun(http.StatusServiceUnavailable, responder.Stale,
		"this instance cannot tell at present whether its configuration is the newest; use another one")
	f.RetryAfter = staleRetry
	return f
}

func leaving() *responder.Refusal {
	return notRun(http.StatusServiceUnavailable, responder.Leaving, "this instance is leaving; use another one")
}

func noOwner() *responder.Refusal {
	f := notRun(http.StatusServiceUnavailable, responder.NoOwner, "no instance can send requests to this pool at present")
	f.RetryAfter = ownerRetry
	return f
}

func deadlineExceeded() *responder.Refusal {
	return notRun(http.StatusGatewayTimeout, responder.DeadlineExceeded, "the deadline passed before the request was sent")
}

func targetFailed(n responder.Ran) *responder.Refusal {
	return &responder.Refusal{Status: http.StatusBadGateway, Reason: responder.TargetFailed, Ran: n, Message: "the target gave no whole answer"}
}

// outcomeUnknown answers a request whose ticket is decided at an incarnation that cannot be asked.
func outcomeUnknown() *responder.Refusal {
	return &responder.Refusal{
		Status:  http.StatusConflict,
		Reason:  responder.OutcomeUnknown,
		Ran:     responder.Unknown,
		Message: "the instance that issued the ticket cannot be asked; an earlier sending may have run",
	}
}

// refusalOf returns what the caller of a request without an answer is told. A refusal in the cause is passed on only
// if the request did not run, since it says so.
func refusalOf(x *forwarder.Failure, b *spooler.Body) *responder.Refusal {
	var f *responder.Refusal
	if errors.As(x.Err, &f) && x.Ran == responder.NotRun {
		return f
	}
	f = targetFailed(x.Ran)
	if n := bodyRefusal(x, b); n != nil {
		f.Status, f.Reason, f.Message = n.Status, n.Reason, n.Message
		return f
	}
	f.Reason = x.Reason
	switch x.Reason {
	case responder.DeadlineExceeded:
		f.Status, f.Message = http.StatusGatewayTimeout, "the deadline passed"
	case responder.BadRequest:
		f.Status, f.Message = http.StatusBadRequest, "the request cannot be forwarded"
	case responder.TargetShed:
		f.Status, f.Message, f.RetryAfter = http.StatusServiceUnavailable, "the target has no room", shedRetry
	default:
	}
	return f
}

// bodyRefusal returns the refusal of a request that failed because the rest of its body is too large or did not arrive, or
// nil. The end of the caller's connection may end the context before the body is read.
func bodyRefusal(x *forwarder.Failure, b *spooler.Body) *responder.Refusal {
	switch {
	case x.Reason == responder.BadRequest:
		return b.Failed()
	case errors.Is(x.Err, context.Canceled) && !b.Complete():
		return notRun(http.StatusRequestTimeout, responder.BodyIncomplete, "the connection ended before the body")
	}
	return nil
}
