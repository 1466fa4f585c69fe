package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/responder"
)

const headerIdempotencyKey = "Idempotency-Key"

// maxIdempotencyKey bounds the key that a caller chooses, in bytes.
const maxIdempotencyKey = 255

// settleTimeout bounds storing an outcome after the answer went out.
const settleTimeout = 10 * time.Second

// settlement stores how a request that must run at most once ended.
type settlement struct {
	deadline time.Time
	finish   func(context.Context, claimer.Outcome) error
	abandon  func(context.Context) error
}

// enterOnce serves a request that must run at most once.
func (s *Server) enterOnce(ctx context.Context, w http.ResponseWriter, c *call) *responder.Refusal {
	k := c.request.Header.Get(headerIdempotencyKey)
	if k == "" || len(k) > maxIdempotencyKey {
		return idempotencyKeyMissing()
	}
	q := claimer.Request{
		Account:       c.account.Name,
		Route:         c.route.Name,
		Key:           k,
		RequestDigest: requestDigest(c),
		Deadline:      c.deadline,
	}
	if claimer.IsTicket(k) {
		return s.enterTicket(ctx, w, c, q)
	}
	d, err := s.claims.Begin(ctx, q)
	if err != nil {
		return badRequest(err.Error())
	}
	return s.decide(ctx, w, c, d)
}

// decide answers a sending that must not run, or runs it.
func (s *Server) decide(ctx context.Context, w http.ResponseWriter, c *call, d claimer.Decision) *responder.Refusal {
	if f := d.Refusal(); f != nil {
		return f
	}
	switch {
	case d.Verdict == claimer.Stored:
		replay(w, d.Outcome)
		return nil
	case d.Ticket != nil:
		return s.runOnce(ctx, w, c, settlement{
			deadline: d.Ticket.Deadline(),
			finish:   func(_ context.Context, o claimer.Outcome) error { return s.tickets.Finish(d.Ticket, o) },
			abandon:  func(context.Context) error { return s.tickets.Abandon(d.Ticket) },
		})
	default:
		return s.runOnce(ctx, w, c, settlement{
			deadline: d.Claim.Deadline(),
			finish:   func(ctx context.Context, o claimer.Outcome) error { return s.claims.Finish(ctx, d.Claim, o) },
			abandon:  func(ctx context.Context) error { return s.claims.Abandon(ctx, d.Claim) },
		})
	}
}

// runOnce runs a claimed request to its end although its caller may leave, so that a resend finds the outcome.
func (s *Server) runOnce(ctx context.Context, w http.ResponseWriter, c *call, l settlement) *responder.Refusal {
	if l.deadline.Before(c.deadline) {
		c.deadline = l.deadline
	}
	x, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(c.deadline.Sub(s.clock())))
	defer cancel()
	a, f := s.forward(x, c)
	if f != nil {
		if f.Ran == responder.NotRun {
			s.settle(c, l.abandon)
		}
		return f
	}
	o, err := takeOutcome(a)
	if err != nil {
		_ = a.Body.Close()
		return targetFailed(responder.Unknown)
	}
	finish := func() { s.settle(c, func(ctx context.Context) error { return l.finish(ctx, o) }) }
	if len(o.Body) <= claimer.MaxBodyBytes {
		finish()
		a.Body = io.NopCloser(bytes.NewReader(o.Body))
	} else {
		// The claim keeps the status of a longer answer, once that has ended as a whole.
		a.Body = &endBody{ReadCloser: a.Body, head: bytes.NewReader(o.Body), end: finish}
	}
	s.copy(w, c, a)
	return nil
}

// takeOutcome reads an answer up to one byte more than is stored.
func takeOutcome(a *forwarder.Answer) (claimer.Outcome, error) {
	b, err := io.ReadAll(io.LimitReader(a.Body, claimer.MaxBodyBytes+1))
	if err != nil {
		return claimer.Outcome{}, err
	}
	return claimer.Outcome{Status: a.Status, Header: a.Header.Clone(), Body: b}, nil
}

// endBody reads a body again from its beginning and tells when it has ended as a whole.
type endBody struct {
	io.ReadCloser
	head *bytes.Reader
	end  func()
}

// Read returns the bytes that were read before, then the rest.
func (b *endBody) Read(p []byte) (int, error) {
	if b.head.Len() > 0 {
		return b.head.Read(p)
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.end != nil {
		b.end()
		b.end = nil
	}
	return n, err
}

// settle stores the end of a claim while the caller already has its answer.
func (s *Server) settle(c *call, f func(context.Context) error) {
	s.finishing.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			s.log.ClaimNotFinished(c.route.Name, err)
		}
	})
}

// claimFleet tells the claims of an instance who the claim owners are and carries messages to them.
type claimFleet struct {
	server *Server
	// last holds the owners of the view that was seen last.
	last atomic.Pointer[claimOwners]
}

type claimOwners struct {
	view  *controller.View
	names []string
}

// ClaimOwners returns the claim owners of the adopted fleet assignment.
func (f *claimFleet) ClaimOwners() []string {
	v := f.server.control.View()
	if l := f.last.Load(); l != nil && l.view == v {
		return l.names
	}
	var ms []assigner.Member
	for _, m := range v.Heads.Assignments[assigner.FleetScope].Members {
		ms = append(ms, assigner.Member(m))
	}
	l := &claimOwners{view: v, names: claimer.Owners(ms)}
	f.last.Store(l)
	return l.names
}

var errClaimOwnerUnknown = merry.Sentinel("address of the claim owner is not known")

// Claim sends claims to a claim owner.
func (f *claimFleet) Claim(ctx context.Context, owner string, m *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	i, ok := f.server.control.Instance(owner)
	if !ok {
		return nil, errClaimOwnerUnknown
	}
	return f.server.links.Peer(i).Claim(ctx, m)
}

// replay sends the stored answer of an earlier sending.
func replay(w http.ResponseWriter, o *claimer.Outcome) {
	h := w.Header()
	for k, v := range o.Header {
		h[k] = v
	}
	h.Set(headerReplayed, "true")
	w.WriteHeader(o.Status)
	// An error means that the caller has left; it can ask again.
	_, _ = w.Write(o.Body)
}

// headerReplayed marks an answer that belongs to an earlier sending of the same request.
const headerReplayed = "Idempotency-Replayed"
