package server

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/breaker"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/meter"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/router"
	"celeryhead.dev/celeryhead/spooler"
)

// internalPrefix begins the headers that only the system itself sets.
const internalPrefix = "Celeryhead-"

// call is one request on its way through an instance.
type call struct {
	request  *http.Request
	route    composer.Route
	account  composer.Account
	identity authenticator.Identity
	// configVersion is the version of the configuration by which the entry instance accepted the request.
	configVersion uint64
	deadline      time.Time
	// region is where the request entered, or its home region if a shift is at its cap.
	region string
	// caller is the address of the caller.
	caller netip.Addr
	// admitted is true once the request has taken a token of its account.
	admitted bool
	body     *spooler.Body
	digest   [32]byte
	// prints are the fingerprints if hasPrints is true.
	prints    [2]breaker.Fingerprint
	hasPrints bool
	// avoid is the region to which a shift moves the request's block, if the request has no token of the shift: it must
	// not get there beyond the cap when its own region is full.
	avoid string
	// suspect is true if the request had a strike when its owner was chosen, against the fingerprint suspected.
	suspect   bool
	suspected breaker.Fingerprint
	// pass is held while the request runs on a target of this instance.
	pass breaker.Pass
	// sent is when the last target of this instance got the request.
	sent time.Time
	// passed is true if another instance accepted the request and passed it on because of its ticket.
	passed bool
}

// enter serves a request of a caller.
func (s *Server) enter(w http.ResponseWriter, r *http.Request) {
	start := s.clock()
	c, f := s.accept(w, r)
	defer func() { s.observe(c, f, start) }()
	if f == nil {
		f = s.serve(r.Context(), w, c)
	}
	if f != nil {
		spooler.CloseUnread(w, r, c.body)
		s.refuse(w, f)
	}
}

// serve answers an accepted request or returns why it is refused.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, c *call) *responder.Refusal {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(c.deadline.Sub(s.clock())))
	defer cancel()
	if f := s.checkCrash(c); f != nil {
		return f
	}
	if f := s.allow(ctx, c); f != nil {
		return f
	}
	s.place(ctx, c)
	if !c.route.Idempotent {
		return s.enterOnce(ctx, w, c)
	}
	a, f := s.forward(ctx, c)
	if f != nil {
		return f
	}
	s.copy(w, c, a)
	return nil
}

// observe counts a request; c is as far as the request came.
func (s *Server) observe(c *call, f *responder.Refusal, start time.Time) {
	now := s.clock()
	s.meter.Observe(meter.Request{
		Route:    c.route.Name,
		Account:  c.account.Name,
		Duration: now.Sub(start),
		Refusal:  f,
		Admitted: c.admitted,
	}, now)
}

// copy sends the answer to the caller; a broken answer breaks the caller's connection.
func (s *Server) copy(w http.ResponseWriter, c *call, a *forwarder.Answer) {
	whole := false
	defer func() {
		if !whole {
			s.log.AnswerAborted(c.route.Name, errAborted)
		}
	}()
	spooler.CloseUnread(w, c.request, c.body)
	forwarder.Copy(w, a)
	whole = true
}

var errAborted = errors.New("the answer or the caller's connection broke off")

// accept checks a request up to the point where it may use its allowance; the call is never nil.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*call, *responder.Refusal) {
	now := s.clock()
	c := &call{region: s.self.Region}
	if s.draining.closed.Load() {
		return c, leaving()
	}
	if err := router.CheckPath(r.URL); err != nil {
		return c, badRequest(err.Error())
	}
	if r.Method == http.MethodConnect || len(r.Header["Upgrade"]) > 0 {
		return c, badRequest("CONNECT and Upgrade are not forwarded")
	}
	// The proof is checked before the view is taken, so that it holds for that one.
	fresh := s.control.Valid(attester.Fleet, now)
	v := s.control.View()
	c.configVersion = v.Heads.ConfigVersion
	if c.configVersion == 0 {
		return c, stale()
	}
	t, found, allowed := v.Routes.Find(r.Method, r.URL.Path)
	switch {
	case !allowed && !fresh:
		return c, stale()
	case !allowed:
		return c, noRoute(found)
	}
	c.route = t
	var f *responder.Refusal
	if c.deadline, f = deadline(r, t, now); f != nil {
		return c, f
	}
	if f := authenticate(v, c, r, fresh); f != nil {
		return c, f
	}
	if p, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		c.caller = p.Addr()
	}
	c.request = outgoing(r)
	if err := authenticator.Strip(c.request.Header, c.request.URL); err != nil {
		return c, badRequest(err.Error())
	}
	if c.body, f = spooler.Read(w, r, s.bodyLimits(c.deadline)); f != nil {
		return c, f
	}
	c.request.ContentLength = c.body.Length
	c.digest = c.body.Digest()
	return c, nil
}

// deadline returns the earlier one of the route's and the caller's own.
func deadline(r *http.Request, t composer.Route, now time.Time) (time.Time, *responder.Refusal) {
	d := now.Add(t.Deadline)
	h := r.Header.Get(forwarder.HeaderDeadline)
	if h == "" {
		return d, nil
	}
	p, err := time.Parse(time.RFC3339Nano, h)
	if err != nil {
		return d, badRequest(forwarder.HeaderDeadline + " is not an RFC 3339 time")
	}
	if !p.After(now) {
		return d, notRun(http.StatusGatewayTimeout, responder.DeadlineExceeded, "the deadline had passed on arrival")
	}
	if p.Before(d) {
		d = p
	}
	return d, nil
}

// authenticate finds the client account of a request to a keyed route; fresh is true if v is proved to be the newest view.
func authenticate(v *controller.View, c *call, r *http.Request, fresh bool) *responder.Refusal {
	if c.route.Open {
		return nil
	}
	if !fresh {
		return stale()
	}
	k, err := authenticator.Extract(r)
	if err != nil {
		return badRequest(err.Error())
	}
	if k == "" {
		return keyMissing()
	}
	i, ok := v.Keys.Check(k)
	if !ok {
		return keyInvalid()
	}
	c.identity, c.account = i, v.Accounts[i.Account]
	return nil
}

// outgoing returns the request as it is forwarded, without headers that only the system sets.
func outgoing(r *http.Request) *http.Request {
	u := *r.URL
	o := &http.Request{
		Method:        r.Method,
		URL:           &u,
		Host:          r.Host,
		Header:        r.Header.Clone(),
		ContentLength: r.ContentLength,
		Trailer:       r.Trailer,
	}
	for n := range o.Header {
		if strings.HasPrefix(n, internalPrefix) {
			delete(o.Header, n)
		}
	}
	// The caller's Connection field must not remove what the system sets from here on.
	forwarder.RemoveHopByHop(o.Header)
	return o
}

func (s *Server) bodyLimits(deadline time.Time) spooler.Limits {
	return spooler.Limits{Left: deadline.Sub(s.clock()), Bytes: s.settings.Limits.BodyBytes, Stop: s.draining.ending}
}
