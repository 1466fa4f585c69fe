package handler

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"celeryhead.dev/celeryhead/breaker"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/responder"
)

const (
	// probeTimeout bounds the look whether a target accepts connections after one broke.
	probeTimeout = 300 * time.Millisecond
	// strikesPassedOn is the number of strikes in one datagram.
	strikesPassedOn = 8
	// strikesFresh is how long a strike is passed on, and how long all that still matter are after a process was first
	// heard, which knows none.
	strikesFresh = 5 * time.Second
	// crashRetryAfter is what callers of a blocked request are told; the block lasts much longer.
	crashRetryAfter = 5 * time.Second
)

// strikes refuses requests that crashed targets before.
type strikes struct {
	mu      sync.Mutex
	breaker *breaker.Breaker
	// any is true once there was a strike; until then no fingerprint is computed.
	any  atomic.Bool
	next atomic.Uint64
	// newcomer is when a process was heard for the first time; mu guards it.
	newcomer time.Time
}

// greet has the strikes that still matter passed on again, since a new process was heard.
func (k *strikes) greet(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newcomer = now
}

// tick drops what no longer matters.
func (k *strikes) tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.breaker.Tick(now)
}

// blocked refuses a request that crashed too many targets.
func (s *Server) blocked(c *call) *responder.Refusal {
	if !s.strikes.any.Load() {
		return nil
	}
	p := c.fingerprint()
	s.strikes.mu.Lock()
	u := s.strikes.breaker.Blocked(s.clock(), p)
	s.strikes.mu.Unlock()
	if u.IsZero() {
		return nil
	}
	s.log.FingerprintBlocked(c.accountName(), c.route.Name)
	f := unavailable(responder.CrashSuspect, "the request crashed several targets")
	f.RetryAfter = crashRetryAfter
	return f
}

func (c *call) fingerprint() breaker.Fingerprint {
	return breaker.Request{
		Account: c.accountName(),
		Route:   c.route.Prefix,
		Method:  c.request.Method,
		Path:    c.request.URL.RequestURI(),
		Body:    c.body.Digest(),
	}.Fingerprint()
}

// crashed reports whether a target whose connection broke accepts no new one, and counts a strike if so.
// A target that leaves ends its connections without a crash, and one that rests wants none.
func (s *Server) crashed(c *call, t *cataloger.Target) bool {
	if s.abstainer.Share(s.clock(), incarnation(t)) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if err := s.targets.Probe(ctx, t.Address); err == nil || errors.Is(err, forwarder.ErrDialTimeout) {
		return false
	}
	now := s.clock()
	k := breaker.Strike{
		ID:          s.settings.Name + "/" + strconv.FormatInt(s.started, 36) + "/" + strconv.FormatUint(s.strikes.next.Add(1), 10),
		Fingerprint: c.fingerprint(),
		At:          now,
	}
	s.strikes.any.Store(true)
	s.strikes.mu.Lock()
	s.strikes.breaker.Strike(now, k)
	s.strikes.mu.Unlock()
	s.log.StrikeRecorded(c.accountName(), c.route.Name, t.Name)
	s.gossip.Announce("")
	return true
}

// recentStrikes returns the strikes that others may not know yet.
func (s *Server) recentStrikes(now time.Time) []gossiper.Strike {
	if !s.strikes.any.Load() {
		return nil
	}
	s.strikes.mu.Lock()
	defer s.strikes.mu.Unlock()
	var r []gossiper.Strike
	greeted := now.Sub(s.strikes.newcomer) < strikesFresh
	for _, k := range s.strikes.breaker.Strikes(now, strikesPassedOn) {
		if greeted || now.Sub(k.At) < strikesFresh {
			r = append(r, gossiper.Strike{ID: k.ID, Fingerprint: k.Fingerprint[:], Cleared: k.Cleared, AgeSeconds: int64(now.Sub(k.At).Seconds())})
		}
	}
	return r
}

// hearStrikes takes over the strikes that another instance counted.
func (s *Server) hearStrikes(now time.Time, ks []gossiper.Strike) {
	if len(ks) == 0 {
		return
	}
	s.strikes.any.Store(true)
	s.strikes.mu.Lock()
	defer s.strikes.mu.Unlock()
	for _, k := range ks {
		if len(k.Fingerprint) != len(breaker.Fingerprint{}) || k.AgeSeconds < 0 {
			continue
		}
		s.strikes.breaker.Strike(now, breaker.Strike{
			ID:          k.ID,
			Fingerprint: breaker.Fingerprint(k.Fingerprint),
			Cleared:     k.Cleared,
			At:          now.Add(-time.Duration(k.AgeSeconds) * time.Second),
		})
	}
}
