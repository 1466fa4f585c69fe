package handler

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"celeryhead.dev/celeryhead/admitter"
	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/meter"
	"celeryhead.dev/celeryhead/pipeliner"
	"celeryhead.dev/celeryhead/placer"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/spooler"
)

// call is one request on its way through the instance.
type call struct {
	envelope Envelope
	request  *http.Request
	catalog  *cataloger.Catalog
	route    *cataloger.Route
	// account is nil on routes that need no key.
	account *cataloger.Account
	key     authenticator.Digest
	service string
	// regions limits where the request runs; empty allows all.
	regions  []string
	body     *spooler.Body
	arrival  time.Time
	deadline time.Time
	// admitted is true while the request holds a token of its account.
	admitted bool
	// lease is that of the last target.
	lease *placer.Lease
	// tried are the targets that were tried; sent is the number of them that had a byte of the request, without those that
	// were not at their address any more.
	tried []string
	sent  int
	// mayHaveRun is true once a target may have run the request.
	mayHaveRun bool
	// prints are the fingerprints if hasPrints is true.
	prints    fingerprints
	hasPrints bool
	// alone is true if no other copy of the request may run meanwhile.
	alone bool
	// reserved is what the answer may take of the room for buffered answers without asking, in bytes.
	reserved int64
	// whole is true if the whole answer is buffered.
	whole bool
	// hedged is true while two targets have the request; it is nil if they may not.
	hedged *atomic.Bool
	status int
	// dropped is why the turn of a request that was started early never came.
	dropped pipeliner.Cause
	// signed is true if the answer has the signature of a target.
	signed bool
}

func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// enter serves a request of a caller.
func (s *Server) enter(w http.ResponseWriter, r *http.Request) {
	c, serve := &call{}, s.serve
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if e := takeOver(r); e != nil {
		c, serve = e.call, e.wait
		defer context.AfterFunc(ctx, e.cancel)()
	} else {
		c.arrival, c.envelope = s.clock(), s.protocol.Envelope(r)
	}
	var f *responder.Refusal
	defer func() { s.observe(c, f) }()
	keep := s.draining.giveUpAtEnd(ctx, cancel)
	defer keep()
	a, f := serve(w, r.WithContext(ctx), c)
	if !keep() {
		a, f = c.abandon(a, f)
	}
	spooler.CloseUnread(w, r, c.body)
	if f != nil {
		c.status = f.Status
		s.protocol.Refuse(w, f)
		return
	}
	c.signed = s.protocol.Signed(a.Header)
	// A panic of Copy closes the caller's connection; the line then tells no status.
	forwarder.Copy(w, a)
	c.status = a.Status
}

// abandon returns what the caller of a request is told that was given up, and had an answer or a refusal at that moment.
func (c *call) abandon(a *forwarder.Answer, f *responder.Refusal) (*forwarder.Answer, *responder.Refusal) {
	switch {
	case a != nil && c.whole, f != nil && f.Ran == responder.NotRun:
		return a, f
	case a != nil:
		// The rest cannot be had any more.
		_ = a.Body.Close()
	}
	return nil, targetFailed("the instance ended before the answer")
}

// serve returns the answer of a target, or why there is none.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, c *call) (*forwarder.Answer, *responder.Refusal) {
	if f := s.accept(w, r, c); f != nil {
		return nil, f
	}
	ctx := r.Context()
	if f := s.checkCrash(ctx, c); f != nil {
		return nil, f
	}
	if f := s.admit(ctx, c); f != nil {
		return nil, f
	}
	a, f := s.forward(ctx, c)
	if f != nil && f.Ran == responder.NotRun && c.admitted {
		s.shares.Return(s.clock(), c.account.Name)
	}
	return a, f
}

// accept finds route and account of a request and reads its body.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, c *call) *responder.Refusal {
	run := admitter.FromContext(r.Context())
	if run.Refused() {
		return errOverloaded
	}
	if s.draining.closed.Load() {
		return errLeaving
	}
	c.catalog = s.book.Catalog()
	if c.catalog.Version == 0 {
		f := unavailable(responder.Stale, "this instance knows no configuration yet; use another one")
		f.RetryAfter = staleRetryAfter
		return f
	}
	path := sentPath(r)
	var ok bool
	if c.route, ok = c.catalog.Find(r.Host, path); !ok {
		return s.deny(c, refusal(http.StatusNotFound, responder.NoRoute, "no route has this host and path"))
	}
	if r.Method == http.MethodConnect {
		return refusal(http.StatusBadRequest, responder.BadRequest, "CONNECT is not forwarded")
	}
	if f := s.authenticate(c); f != nil {
		return f
	}
	if c.account != nil {
		run.Trust()
	}
	c.regions = c.route.Regions
	if c.account != nil {
		c.regions = cataloger.Intersect(c.regions, c.account.Regions)
	}
	c.deadline = c.arrival.Add(c.route.Timeout)
	if d := c.arrival.Add(c.envelope.Left); c.envelope.Left > 0 && d.Before(c.deadline) {
		c.deadline = d
	}
	c.request = outgoing(r, path)
	var f *responder.Refusal
	c.body, f = spooler.Read(w, r, spooler.Limits{
		Left:    c.deadline.Sub(s.clock()),
		Bytes:   c.catalog.Limits.BodyBytes,
		Stop:    s.draining.ending,
		Reserve: run.Reserve,
	})
	if f != nil && f.Reason == responder.BodyTooLarge {
		return s.deny(c, f)
	}
	if f != nil {
		return f
	}
	c.request.ContentLength = c.body.Length
	c.service = s.splits.next(c.route)
	return nil
}

// authenticate finds the account whose key the request shows.
func (s *Server) authenticate(c *call) *responder.Refusal {
	if c.route.Open || !c.catalog.NeedsKeys() {
		return nil
	}
	if c.envelope.Key == "" {
		return s.deny(c, refusal(http.StatusUnauthorized, responder.KeyMissing, "this route needs a key"))
	}
	c.key = sha256.Sum256([]byte(c.envelope.Key))
	var ok bool
	if c.account, ok = c.catalog.Account(c.key); !ok {
		return s.deny(c, refusal(http.StatusUnauthorized, responder.KeyInvalid, "the key is not valid"))
	}
	return nil
}

// deny returns the refusal f of a request that the configuration does not allow. An instance that may have missed a change
// cannot know that and refuses the request for now, so that the caller tries another one.
func (s *Server) deny(c *call, f *responder.Refusal) *responder.Refusal {
	// The age is taken before the catalog is looked at again: a change in between means that the request's catalog is old.
	complete := s.rows.CompleteAsOf(s.configuration)
	fresh := !complete.IsZero() && s.clock().Sub(complete) <= denialAge && !s.rows.Doubtful(s.configuration)
	if fresh && !s.unreadable.Load() && s.book.Catalog().Version == c.catalog.Version {
		return f
	}
	x := unavailable(responder.Stale, f.Message+", but this instance may have missed a change of the configuration; use another one")
	x.RetryAfter = staleRetryAfter
	return x
}

// admit takes a token of the account.
func (s *Server) admit(ctx context.Context, c *call) *responder.Refusal {
	if c.account == nil {
		return nil
	}
	f := s.take(ctx, c.account.Name)
	c.admitted = f == nil && c.account.Rate > 0
	return f
}

// outgoing returns the request as it is forwarded; its path and query are those that the caller sent, byte by byte.
func outgoing(r *http.Request, path string) *http.Request {
	u := &url.URL{Opaque: path, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	// RequestURI puts a colon before an opaque path that begins with two slashes.
	if v := (&url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath}); strings.HasPrefix(path, "//") && v.EscapedPath() == path {
		u.Opaque, u.Path, u.RawPath = "", v.Path, v.RawPath
	}
	// The caller's Connection field must not remove what the system sets from here on.
	h := r.Header.Clone()
	forwarder.RemoveHopByHop(h)
	return &http.Request{Method: r.Method, URL: u, Host: r.Host, Header: h, ContentLength: r.ContentLength, Trailer: r.Trailer}
}

// sentPath returns the path as the caller sent it.
func sentPath(r *http.Request) string {
	if p, _, _ := strings.Cut(r.RequestURI, "?"); strings.HasPrefix(p, "/") {
		return p
	}
	return r.URL.EscapedPath()
}

// observe counts and logs a request.
func (s *Server) observe(c *call, f *responder.Refusal) {
	now := s.clock()
	e := logger.Ended{
		ID:       c.envelope.ID,
		Account:  c.accountName(),
		Object:   c.envelope.Object,
		Attempts: c.sent,
		Status:   c.status,
		Signed:   c.signed,
		Dropped:  string(c.dropped),
		Left:     c.envelope.Left,
		Duration: now.Sub(c.arrival),
	}
	if c.catalog != nil {
		e.ConfigVersion = c.catalog.Version
	}
	if c.route != nil {
		e.Route = c.route.Name
	}
	if c.lease != nil {
		e.Target, e.Wait, e.Run, e.Known = c.lease.Target.Name, c.lease.Wait, c.lease.Run, c.lease.Known
	}
	if f != nil {
		e.Reason, e.Ran, e.RetryAfter = string(f.Reason), string(f.Ran), f.RetryAfter
		if f.Reason == responder.RateExceeded {
			e.Rate, e.Burst = c.account.Rate, c.account.Burst
		}
	}
	s.log.RequestEnded(e)
	s.meter.Observe(meter.Request{Route: e.Route, Account: e.Account, Duration: e.Duration, Refusal: f, Admitted: c.admitted}, now)
}

// denialAge is the age of the configuration up to which a request may be refused because the configuration does not allow
// it. Instances that reach the store or a peer that does stay below it; the platform grants 2.5 s or more for a change.
const denialAge = 2500 * time.Millisecond

// staleRetryAfter is when an instance without a configuration is expected to know one.
const staleRetryAfter = 300 * time.Millisecond

// shedRetryAfter is told to callers whose request no target took; a slot is free again about then.
const shedRetryAfter = 200 * time.Millisecond

// refusal returns the refusal of a request that no target had.
func refusal(status int, r responder.Reason, message string) *responder.Refusal {
	return &responder.Refusal{Status: status, Reason: r, Ran: responder.NotRun, Message: message}
}

func unavailable(r responder.Reason, message string) *responder.Refusal {
	return refusal(http.StatusServiceUnavailable, r, message)
}
