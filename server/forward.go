package server

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/responder"
)

// Pauses before a request asks again for an owner; they double from the first to the last.
const (
	firstOwnerPause = 25 * time.Millisecond
	lastOwnerPause  = 400 * time.Millisecond
)

// forward has a request run through an owner of its pool; a request that may have run is never sent again. While
// the targets of a pool change their owners a request waits for one within its deadline, because no load is the cause.
func (s *Server) forward(ctx context.Context, c *call) (*forwarder.Answer, *responder.Refusal) {
	for pause := firstOwnerPause; ; pause = min(2*pause, lastOwnerPause) {
		if !s.draining.maySend(s.clock()) {
			return nil, leaving()
		}
		a, f := s.forwardOnce(ctx, c)
		if f == nil || !s.choosers.waits(c, f, s.clock()) || !c.body.Whole() {
			return a, f
		}
		if c.deadline.Sub(s.clock()) < 2*pause || !sleep(ctx, pause) {
			return nil, f
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// forwardOnce offers a request to one owner, and to others as far as the retry policy allows.
func (s *Server) forwardOnce(ctx context.Context, c *call) (*forwarder.Answer, *responder.Refusal) {
	var tried []string
	last := noOwner()
	for {
		o, ok := s.choose(c, tried)
		if !ok {
			return nil, last
		}
		a, f := s.sendTo(ctx, c, o)
		if f == nil || f.Ran != responder.NotRun || !mayRetry(f) || !c.body.Whole() || ctx.Err() != nil {
			return a, f
		}
		last = f
		tried = append(tried, o.name)
		if !s.choosers.retry(c, f, s.clock(), tried) {
			return nil, last
		}
		s.meter.Retry()
	}
}

// mayRetry reports whether another owner may have what this one lacked.
func mayRetry(f *responder.Refusal) bool {
	switch f.Reason {
	case responder.NoSlot, responder.NoOwner, responder.TargetShed, responder.TargetUnreachable, responder.Stale, responder.Leaving:
		return true
	default:
		return false
	}
}

type owner struct {
	name    string
	address netip.AddrPort
}

func (s *Server) sendTo(ctx context.Context, c *call, o owner) (*forwarder.Answer, *responder.Refusal) {
	if o.name == s.self.Name {
		return s.run(ctx, c)
	}
	return s.hop(ctx, c, o, forwardPath)
}

// hop sends a request to another instance.
func (s *Server) hop(ctx context.Context, c *call, o owner, path string) (*forwarder.Answer, *responder.Refusal) {
	r := *c.request
	r.Header = c.request.Header.Clone()
	r.Header.Set(headerURI, c.request.URL.RequestURI())
	r.Header.Set(headerRoute, c.route.Name)
	r.Header.Set(headerConfig, strconv.FormatUint(c.configVersion, 10))
	r.Header.Set(headerRegion, c.region)
	if c.suspect {
		r.Header.Set(headerSuspect, "1")
	}
	if !c.route.Open {
		r.Header.Set(headerAccount, c.account.Name)
		r.Header.Set(headerKey, hex.EncodeToString(c.identity.Digest[:]))
	}
	u := *c.request.URL
	u.Path, u.RawPath, u.RawQuery = path, "", ""
	r.URL = &u
	r.Body = c.body.Open()
	a, err := s.peers.Do(ctx, forwarder.Call{Address: o.address, Request: &r, Deadline: c.deadline})
	if err != nil {
		return nil, s.hopFailed(c, o, err)
	}
	if f := refusalIn(a); f != nil {
		_ = a.Body.Close()
		return nil, f
	}
	return a, nil
}

func (s *Server) hopFailed(c *call, o owner, err error) *responder.Refusal {
	var x *forwarder.Failure
	if !errors.As(err, &x) {
		return targetFailed(responder.Unknown)
	}
	if f := shedRefusal(x); f != nil {
		return f
	}
	if x.Ran == responder.Unknown {
		s.log.RequestFailed(c.route.Name, o.name, err)
	}
	f := refusalOf(x, c.body)
	if x.Ran == responder.NotRun && f.Reason == responder.TargetUnreachable {
		return noOwner()
	}
	return f
}

// shedRefusal returns the owner's own refusal when it refused a request as not run.
func shedRefusal(x *forwarder.Failure) *responder.Refusal {
	if x.Ran != responder.NotRun || x.Header.Get(responder.HeaderReason) == "" {
		return nil
	}
	return refusalFrom(http.StatusServiceUnavailable, x.Header)
}

// refusalIn returns the refusal of an owner; answers of targets have no such headers, because owners remove them.
func refusalIn(a *forwarder.Answer) *responder.Refusal {
	if a.Header.Get(responder.HeaderRan) == "" {
		return nil
	}
	return refusalFrom(a.Status, a.Header)
}

func refusalFrom(status int, h http.Header) *responder.Refusal {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil {
		n = 0
	}
	ran := responder.Unknown
	if h.Get(responder.HeaderRan) == string(responder.NotRun) {
		ran = responder.NotRun
	}
	return &responder.Refusal{
		Status:     status,
		Reason:     responder.Reason(h.Get(responder.HeaderReason)),
		Ran:        ran,
		Message:    "refused by the owner of the pool",
		RetryAfter: time.Duration(n) * time.Second,
	}
}
