package server

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/spooler"
)

// Headers of a request that one instance forwards to another.
const (
	headerRoute   = internalPrefix + "Route"
	headerAccount = internalPrefix + "Account"
	headerKey     = internalPrefix + "Key-Digest"
	// headerConfig holds the version of the configuration by which the entry instance accepted the request.
	headerConfig = internalPrefix + "Config-Version"
	headerRegion = internalPrefix + "Region"
	headerURI    = internalPrefix + "Uri"
	// headerSuspect says that the entry instance knows a strike of the request.
	headerSuspect = internalPrefix + "Suspect"
	forwardPath   = "/forward"
	enterPath     = "/enter"
)

// run sends a request to a target that this instance owns.
func (s *Server) run(ctx context.Context, c *call) (*forwarder.Answer, *responder.Refusal) {
	p := s.pools.get(c.route.Pool)
	if p == nil {
		return nil, noOwner()
	}
	if f := s.start(ctx, c); f != nil {
		return nil, f
	}
	acquire, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.draining.ending, cancel)()
	l, err := p.Acquire(acquire, balancer.Work{
		Account:  c.account.Name,
		Rate:     c.account.Rate,
		Deadline: c.deadline,
		Remote:   c.region != s.self.Region,
	})
	if err != nil {
		s.end(c, balancer.NotSent)
		if s.draining.ending.Err() != nil {
			return nil, leaving()
		}
		return nil, unplaced(c, acquireRefusal(err))
	}
	a, f := s.send(ctx, c, l)
	return a, f
}

// unplaced lets a request with a strike wait and choose again when the targets here are gone, which it may have crashed.
func unplaced(c *call, f *responder.Refusal) *responder.Refusal {
	if c.suspect && f.Reason == responder.NoSlot {
		return noOwner()
	}
	return f
}

func acquireRefusal(err error) *responder.Refusal {
	var f *responder.Refusal
	if errors.As(err, &f) {
		return f
	}
	return deadlineExceeded()
}

// send runs a request on the target of a lease, or on another one of this instance if it does not reach that, and
// releases the lease when the answer has ended.
func (s *Server) send(ctx context.Context, c *call, l *balancer.Lease) (*forwarder.Answer, *responder.Refusal) {
	s.started.count(s.clock())
	for {
		t, ok := s.control.View().Address(l.Target)
		if !ok {
			s.release(c, l, balancer.NotSent)
			return nil, noOwner()
		}
		a, err := s.sendTarget(ctx, c, l.Target, t)
		if err != nil {
			if unreached(ctx, c, err) && l.Move() {
				continue
			}
			return nil, s.failed(ctx, c, l, t, err)
		}
		a.Body = &leasedBody{ReadCloser: a.Body, release: func(err error) { s.release(c, l, s.outcome(ctx, c, l.Target, t, a.Status, err)) }}
		return a, nil
	}
}

func (s *Server) sendTarget(ctx context.Context, c *call, target string, t netip.AddrPort) (*forwarder.Answer, error) {
	r := *c.request
	r.Body = c.body.Open()
	a, err := s.targets.Do(ctx, forwarder.Call{
		Address:  t,
		Request:  &r,
		Deadline: c.deadline,
		Once:     !c.route.Idempotent,
		Before: func() error {
			c.sent = s.clock()
			return s.admit(c, target)
		},
	})
	if err != nil {
		return nil, err
	}
	removeInternal(a.Header)
	return a, nil
}

// unreached reports whether a request that failed reached no target and can be sent again.
func unreached(ctx context.Context, c *call, err error) bool {
	var x *forwarder.Failure
	if !errors.As(err, &x) || ctx.Err() != nil || x.BodyRead && !c.body.Whole() {
		return false
	}
	return x.Ran == responder.NotRun && x.Reason == responder.TargetUnreachable
}

func (s *Server) release(c *call, l *balancer.Lease, o balancer.Outcome) {
	l.Release(o)
	s.end(c, o)
}

// admit is asked just before the first byte goes to a target: a proof, a key or a deadline may have lapsed since the request was accepted.
func (s *Server) admit(c *call, target string) error {
	now := s.clock()
	v := s.control.View()
	if !s.draining.maySend(now) {
		return leaving()
	}
	if !now.Before(c.deadline) {
		return deadlineExceeded()
	}
	if !s.control.Valid(s.control.Scope(v.TargetResource(target)), now) {
		return stale()
	}
	if c.route.Open {
		return nil
	}
	if !s.control.Valid(attester.Fleet, now) {
		return stale()
	}
	if !v.Keys.Valid(c.identity) {
		return keyInvalid()
	}
	return nil
}

// failed releases the lease of a request without an answer and returns what its caller is told.
func (s *Server) failed(ctx context.Context, c *call, l *balancer.Lease, t netip.AddrPort, err error) *responder.Refusal {
	s.release(c, l, s.outcome(ctx, c, l.Target, t, 0, err))
	var x *forwarder.Failure
	if !errors.As(err, &x) {
		return targetFailed(responder.Unknown)
	}
	if x.Ran == responder.Unknown {
		s.log.RequestFailed(c.route.Name, l.Target, err)
	}
	return refusalOf(x, c.body)
}

// outcome classifies the end of a request for the balancer.
func (s *Server) outcome(ctx context.Context, c *call, target string, t netip.AddrPort, status int, err error) balancer.Outcome {
	if err == nil {
		if status >= http.StatusInternalServerError {
			return balancer.Failure
		}
		return balancer.Success
	}
	var x *forwarder.Failure
	if !errors.As(err, &x) {
		return balancer.Canceled
	}
	switch {
	case errors.Is(err, forwarder.ErrShed):
		return balancer.Shed
	case x.Ran == responder.NotRun && x.Reason == responder.TargetUnreachable:
		return balancer.ConnectFailure
	case x.Ran == responder.NotRun:
		return balancer.NotSent
	case !x.Broken && !c.body.Complete():
		return balancer.Canceled
	case ctx.Err() != nil && !x.Silent && !x.Broken && s.clock().Before(c.deadline):
		return balancer.Canceled
	case x.Broken:
		return s.broken(c, target, t)
	}
	return balancer.Timeout
}

// probeTimeout bounds the check whether a target accepts connections after one of them broke.
const probeTimeout = time.Second

// broken tells a target that crashed from one that only closed a connection.
func (s *Server) broken(c *call, target string, t netip.AddrPort) balancer.Outcome {
	at := s.clock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if s.targets.Probe(ctx, t) == nil {
		return balancer.Broken
	}
	s.log.StrikeRecorded(c.account.Name, c.route.Name, target)
	s.strike(c, at)
	return balancer.Crash
}

// leasedBody releases a lease when the answer has ended.
type leasedBody struct {
	io.ReadCloser
	once    sync.Once
	release func(error)
}

// Read returns the answer's bytes.
func (b *leasedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() { b.release(nil) })
	case err != nil:
		b.once.Do(func() { b.release(err) })
	}
	return n, err
}

// Close ends the answer.
func (b *leasedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(context.Canceled) })
	return err
}

func removeInternal(h http.Header) {
	for n := range h {
		if strings.HasPrefix(n, internalPrefix) {
			delete(h, n)
		}
	}
}

// fromPeer serves requests that other instances pass on.
func (s *Server) fromPeer(serve func(context.Context, http.ResponseWriter, *call) *responder.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		c, f := s.receive(w, r)
		if f == nil {
			ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(c.deadline.Sub(s.clock())))
			defer cancel()
			f = serve(ctx, w, c)
		}
		if f != nil {
			s.refuse(w, f)
		}
	}
}

// own serves a request because this instance owns targets of its pool.
func (s *Server) own(ctx context.Context, w http.ResponseWriter, c *call) *responder.Refusal {
	a, f := s.run(ctx, c)
	if f != nil {
		return f
	}
	s.copy(w, c, a)
	return nil
}

// unknownKey refuses a key that the entry instance accepted. One that an older configuration does not have may be new.
func unknownKey(v *controller.View, accepted uint64) *responder.Refusal {
	if v.Heads.ConfigVersion < accepted {
		return stale()
	}
	return keyInvalid()
}

// receive reads what the entry instance found out about a request.
func (s *Server) receive(w http.ResponseWriter, r *http.Request) (*call, *responder.Refusal) {
	v := s.control.View()
	h := r.Header
	c := &call{region: h.Get(headerRegion), suspect: h.Get(headerSuspect) != ""}
	var ok bool
	if c.route, ok = v.Routes.Named(h.Get(headerRoute)); !ok {
		return nil, stale()
	}
	var err error
	if n := h.Get(headerConfig); n != "" {
		// Instances of earlier releases do not send it.
		if c.configVersion, err = strconv.ParseUint(n, 10, 64); err != nil {
			return nil, badRequest("forwarded request with a malformed version of the configuration")
		}
	}
	if c.deadline, err = time.Parse(time.RFC3339Nano, h.Get(forwarder.HeaderDeadline)); err != nil {
		return nil, badRequest("forwarded request without a deadline")
	}
	if !c.route.Open {
		d, err := hex.DecodeString(h.Get(headerKey))
		if err != nil || len(d) != len(authenticator.Digest{}) {
			return nil, keyInvalid()
		}
		c.identity = authenticator.Identity{Account: h.Get(headerAccount), Digest: authenticator.Digest(d)}
		if !v.Keys.Valid(c.identity) {
			return nil, unknownKey(v, c.configVersion)
		}
		c.account = v.Accounts[c.identity.Account]
	}
	u, err := url.ParseRequestURI(h.Get(headerURI))
	if err != nil {
		return nil, badRequest("forwarded request without an address")
	}
	c.request = outgoing(r)
	c.request.URL = u
	var f *responder.Refusal
	if c.body, f = spooler.Read(w, r, s.bodyLimits(c.deadline)); f != nil {
		return nil, f
	}
	c.request.ContentLength = c.body.Length
	c.digest = c.body.Digest()
	return c, nil
}
