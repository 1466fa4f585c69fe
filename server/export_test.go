package server

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/timer"
)

// Parts of the request path that work alone.
var (
	Deadline  = deadline
	Outgoing  = outgoing
	RefusalOf = refusalOf
	Replay    = replay
)

// Rate is a counter of events.
type Rate = rate

// Count counts an event.
func (r *rate) Count(now time.Time) { r.count(now) }

// PerSecond returns the rate of the last whole window.
func (r *rate) PerSecond(now time.Time) float64 { return r.perSecond(now) }

// Body is what an instance took of a body.
type Body struct {
	Text   string
	Whole  bool
	Digest [sha256.Size]byte
	Err    error
}

// ReadBody takes the body of r, of at most limit bytes.
func ReadBody(limit int64, w http.ResponseWriter, r *http.Request) (Body, *responder.Refusal) {
	s := &Server{clock: timer.Now}
	s.settings.Limits.BodyBytes = limit
	b, f := s.readBody(w, r, timer.Now().Add(time.Minute))
	if f != nil {
		return Body{}, f
	}
	text, err := io.ReadAll(b.open())
	return Body{Text: string(text), Whole: b.whole(), Digest: b.digest(), Err: err}, nil
}

// CallersHandler returns the handler of the callers' listener.
func (s *Server) CallersHandler() http.Handler { return s.callersHandler() }

// PeersHandler returns the handler of the peers' listener.
func (s *Server) PeersHandler() http.Handler { return s.peersHandler() }

// SetLeaving begins a shutdown as far as callers see it.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// EnterTicket decides about a request with a ticket; passed says that another instance passed it on.
func (s *Server) EnterTicket(ticket string, passed bool) *responder.Refusal {
	return s.enterTicket(context.Background(), nil, &call{passed: passed}, claimer.Request{Account: "maker", Route: "order", Key: ticket})
}
