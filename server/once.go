package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/responder"
)

const headerIdempotencyKey = "Idempotency-Key"

// maxIdempotencyKey bounds the key that a caller chooses, in bytes.
const maxIdempotencyKey = 255

// settleTimeout bounds storing an outcome after the answer went out.
const settleTimeout = 10 * time.Second

// enterOnce serves a request that must run at most once.
func (s *Server) enterOnce(ctx context.Context, w http.ResponseWriter, c *call) {
	k := c.request.Header.Get(headerIdempotencyKey)
	if k == "" || len(k) > maxIdempotencyKey {
		s.refuse(w, &responder.Refusal{
			Status:  http.StatusBadRequest,
			Reason:  responder.IdempotencyKeyMissing,
			Ran:     responder.NotRun,
			Message: "this route needs an Idempotency-Key of at most 255 bytes",
		})
		return
	}
	d, err := s.claims.Begin(ctx, claimer.Request{
		Account:       c.account.Name,
		Route:         c.route.Name,
		Key:           k,
		RequestDigest: requestDigest(c),
		Deadline:      c.deadline,
	})
	if err != nil {
		s.refuse(w, badRequest(err.Error()))
		return
	}
	if f := d.Refusal(); f != nil {
		s.refuse(w, f)
		return
	}
	if d.Verdict == claimer.Stored {
		replay(w, d.Outcome)
		return
	}
	s.runClaimed(ctx, w, c, d.Claim)
}

// runClaimed runs a claimed request to its end although its caller may leave, so that a resend finds the outcome.
func (s *Server) runClaimed(ctx context.Context, w http.ResponseWriter, c *call, l *claimer.Claim) {
	if l.Deadline().Before(c.deadline) {
		c.deadline = l.Deadline()
	}
	x, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(c.deadline.Sub(s.clock())))
	defer cancel()
	a, f := s.forward(x, c)
	if f != nil {
		if f.Ran == responder.NotRun {
			s.settle(c, func(ctx context.Context) error { return s.claims.Abandon(ctx, l) })
		}
		s.refuse(w, f)
		return
	}
	o, err := takeOutcome(a)
	if err != nil {
		_ = a.Body.Close()
		s.refuse(w, targetFailed(responder.Unknown))
		return
	}
	if a.Body != http.NoBody {
		// A longer answer is stored without its body once it has ended.
		a.Body = &endBody{ReadCloser: a.Body, head: bytes.NewReader(o.Body), end: func() {
			s.settle(c, func(ctx context.Context) error {
				return s.claims.Finish(ctx, l, claimer.Outcome{Status: o.Status, Header: o.Header, Body: make([]byte, claimer.MaxBodyBytes+1)})
			})
		}}
		s.copy(w, c, a)
		return
	}
	s.settle(c, func(ctx context.Context) error { return s.claims.Finish(ctx, l, o) })
	a.Body = io.NopCloser(bytes.NewReader(o.Body))
	s.copy(w, c, a)
}

// takeOutcome reads an answer up to the size that is stored; the answer's body is http.NoBody afterwards if it was read whole.
func takeOutcome(a *forwarder.Answer) (claimer.Outcome, error) {
	b, err := io.ReadAll(io.LimitReader(a.Body, claimer.MaxBodyBytes+1))
	if err != nil {
		return claimer.Outcome{}, err
	}
	o := claimer.Outcome{Status: a.Status, Header: a.Header.Clone(), Body: b}
	if len(b) <= claimer.MaxBodyBytes {
		_ = a.Body.Close()
		a.Body = http.NoBody
	}
	return o, nil
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
