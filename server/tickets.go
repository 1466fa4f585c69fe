package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/tracker"
)

// ticketAnswer is the answer to a request for a ticket.
type ticketAnswer struct {
	Ticket           string  `json:"ticket"`
	ExpiresInSeconds float64 `json:"expires_in_seconds"`
}

// ticketLife is how long a ticket can be used.
const ticketLife = 2 * time.Minute

// issueTicket gives a caller an Idempotency-Key that works without the store.
func (s *Server) issueTicket(w http.ResponseWriter, r *http.Request) {
	now := s.clock()
	fresh := s.control.Valid(attester.Fleet, now)
	c := &call{}
	if f := authenticate(s.control.View(), c, r, fresh); f != nil {
		s.refuse(w, f)
		return
	}
	if s.leaving.Load() {
		s.refuse(w, leaving())
		return
	}
	t, err := s.tickets.Issue(c.account.Name, now)
	if err != nil {
		s.refuse(w, badRequest(err.Error()))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(ticketAnswer{Ticket: t, ExpiresInSeconds: ticketLife.Seconds()})
}

// enterTicket serves a request with a ticket at the incarnation that issued it.
func (s *Server) enterTicket(ctx context.Context, w http.ResponseWriter, c *call, q claimer.Request) *responder.Refusal {
	l, err := claimer.Locate(q.Key)
	if err != nil {
		return claimer.Decision{Verdict: claimer.Invalid}.Refusal()
	}
	self := claimer.Location{Instance: s.self.Name, Incarnation: s.self.Incarnation}
	i, known := s.control.Instance(l.Instance)
	switch l.Place(self, known) {
	case claimer.Here:
		return s.decide(ctx, w, c, s.tickets.Begin(q, s.clock()))
	case claimer.Elsewhere:
		return s.passTicket(ctx, w, c, i)
	default:
		return outcomeUnknown()
	}
}

// passTicket has the issuing instance decide. If it does not answer, an earlier sending may have run there.
func (s *Server) passTicket(ctx context.Context, w http.ResponseWriter, c *call, i tracker.Instance) *responder.Refusal {
	if c.passed {
		return outcomeUnknown()
	}
	a, f := s.hop(ctx, c, owner{name: i.Name, address: s.links.address(i)}, enterPath)
	if f != nil {
		if f.Reason == responder.NoOwner {
			f = outcomeUnknown()
		}
		return f
	}
	s.copy(w, c, a)
	return nil
}

// enterPassed serves a request with a ticket that another instance accepted.
func (s *Server) enterPassed(ctx context.Context, w http.ResponseWriter, c *call) *responder.Refusal {
	c.passed = true
	return s.enterOnce(ctx, w, c)
}
