package handler

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/breaker"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/responder"
)

const (
	// probeTimeout bounds the look whether a target accepts connections after one broke.
	probeTimeout = 300 * time.Millisecond
	// strikesPassedOn is the number of strikes in one datagram, two for each crash.
	strikesPassedOn = 16
	// strikesFresh is how long a strike is passed on, and how long all that still matter are after a process was first
	// heard, which knows none.
	strikesFresh = 5 * time.Second
	// aloneRetryAfter is told to callers of a request of which another copy runs alone; most requests take less.
	aloneRetryAfter = time.Second
)

// strikes is a breaker for concurrent use.
type strikes struct {
	mu      sync.Mutex
	breaker *breaker.Breaker
	// any is true while there are strikes; otherwise no fingerprint is computed.
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
	k.any.Store(k.breaker.Len() > 0)
}

// judge returns how a request may run, by which of its fingerprints, and from when on a refused one may run alone.
func (k *strikes) judge(now time.Time, fs fingerprints) (breaker.Verdict, breaker.Fingerprint, time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.breaker.Judge(now, fs[:]...)
}

// record adds a strike.
func (k *strikes) record(now time.Time, s breaker.Strike) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.breaker.Strike(now, s)
	k.any.Store(true)
}

// checkCrash refuses a request that crashed targets before. One that may run alone runs if no other copy does.
func (s *Server) checkCrash(ctx context.Context, c *call) *responder.Refusal {
	if !s.strikes.any.Load() {
		return nil
	}
	now := s.clock()
	v, by, until := s.strikes.judge(now, c.fingerprints())
	d := aloneRetryAfter
	switch v {
	case breaker.Free:
		return nil
	case breaker.Refused:
		d = until.Sub(now)
	case breaker.Alone:
		c.alone = s.mayRunAlone(ctx, by)
		s.log.FingerprintTried(c.envelope.ID, c.accountName(), c.route.Name, c.alone)
		if c.alone {
			return nil
		}
	}
	s.log.FingerprintBlocked(c.accountName(), c.route.Name, d)
	f := unavailable(responder.CrashSuspect, "targets crashed that had the request")
	f.RetryAfter = d
	return f
}

// checkRetry is like checkCrash for a request whose connection to its last target broke.
func (s *Server) checkRetry(ctx context.Context, c *call, last *attempt) *responder.Refusal {
	if last == nil || last.next != nil || !last.broken() {
		return nil
	}
	return s.checkCrash(ctx, c)
}

// mayRunAlone asks the instance that decides about a fingerprint whether a copy may run alone here.
func (s *Server) mayRunAlone(ctx context.Context, f breaker.Fingerprint) bool {
	ms := []assigner.Member{{Name: s.settings.Name}}
	addresses := map[string]netip.Addr{}
	for _, m := range s.members.Alive(s.clock()) {
		ms = append(ms, assigner.Member{Name: m.Name})
		addresses[m.Name] = m.Address
	}
	m, _ := assigner.Owner(string(f[:]), ms)
	a, other := addresses[m.Name]
	if !other {
		return s.grantRun(f[:])
	}
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	select {
	case ok := <-s.gossip.AskToRun(a, f[:]):
		return ok
	case <-ctx.Done():
		return false
	}
}

// grantRun reports whether a copy of the request with a fingerprint may run alone at an instance.
func (s *Server) grantRun(fingerprint []byte) bool {
	if len(fingerprint) != len(breaker.Fingerprint{}) {
		return false
	}
	s.strikes.mu.Lock()
	defer s.strikes.mu.Unlock()
	return s.strikes.breaker.Grant(s.clock(), breaker.Fingerprint(fingerprint))
}

// fingerprints are those of a request and of its path with any query.
type fingerprints [2]breaker.Fingerprint

// fingerprints are computed once, since several steps of a request ask for them.
func (c *call) fingerprints() fingerprints {
	if !c.hasPrints {
		r := breaker.Request{
			Account: c.accountName(),
			Route:   c.route.Prefix,
			Method:  c.request.Method,
			Path:    c.request.URL.RequestURI(),
			Body:    c.body.Digest(),
		}
		c.prints, c.hasPrints = fingerprints{r.Fingerprint(), r.PathFingerprint()}, true
	}
	return c.prints
}

// survived clears the strikes of a request that a target has answered.
func (s *Server) survived(c *call) {
	if !s.strikes.any.Load() {
		return
	}
	fs := c.fingerprints()
	s.strikes.mu.Lock()
	cleared := s.strikes.breaker.Succeeded(s.clock(), fs[:]...)
	s.strikes.mu.Unlock()
	if len(cleared) == 0 {
		return
	}
	s.log.StrikesCleared(c.envelope.ID, c.accountName(), c.route.Name, len(cleared))
	s.gossip.Announce("")
}

// crashed records a strike against each fingerprint of a request if the target whose connection broke accepts no new one.
// A target that leaves ends its connections without a crash, and one that rests wants none.
func (s *Server) crashed(account, route string, t *cataloger.Target, fs fingerprints, k breaker.Strike) {
	if s.abstainer.Share(s.clock(), incarnation(t)) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if err := s.targets.Probe(ctx, t.Address); err == nil || errors.Is(err, forwarder.ErrDialTimeout) {
		return
	}
	k.Crash = t.Name + "/" + strconv.FormatInt(t.Started, 36)
	for i, f := range fs {
		k.ID = s.settings.Name + "/" + strconv.FormatInt(s.started, 36) + "/" + strconv.FormatUint(s.strikes.next.Add(1), 10)
		k.Fingerprint, k.Path = f, i > 0
		s.strikes.record(s.clock(), k)
	}
	s.log.StrikeRecorded(account, route, t.Name)
	s.gossip.Announce("")
}

// recentStrikes returns the strikes that others may not know yet, or not that they were cleared.
func (s *Server) recentStrikes(now time.Time) []gossiper.Strike {
	if !s.strikes.any.Load() {
		return nil
	}
	s.strikes.mu.Lock()
	defer s.strikes.mu.Unlock()
	since := now.Add(-strikesFresh)
	if now.Sub(s.strikes.newcomer) < strikesFresh {
		since = time.Time{}
	}
	var r []gossiper.Strike
	for _, k := range s.strikes.breaker.ChangedSince(now, since, strikesPassedOn) {
		age := now.Sub(k.At)
		r = append(r, gossiper.Strike{
			ID:              k.ID,
			Fingerprint:     k.Fingerprint[:],
			Cleared:         k.Cleared,
			AgeSeconds:      int64(age.Seconds()),
			AgeMilliseconds: age.Milliseconds(),
			RanMilliseconds: k.Ran.Milliseconds(),
			Crash:           k.Crash,
			Path:            k.Path,
		})
	}
	return r
}

// hearStrikes takes over the strikes that another instance counted.
func (s *Server) hearStrikes(now time.Time, ks []gossiper.Strike) {
	for _, k := range ks {
		if len(k.Fingerprint) != len(breaker.Fingerprint{}) || k.AgeSeconds < 0 || k.AgeMilliseconds < 0 || k.RanMilliseconds < 0 {
			continue
		}
		age := max(time.Duration(k.AgeSeconds)*time.Second, time.Duration(k.AgeMilliseconds)*time.Millisecond)
		s.strikes.record(now, breaker.Strike{
			ID:          k.ID,
			Fingerprint: breaker.Fingerprint(k.Fingerprint),
			Cleared:     k.Cleared,
			At:          now.Add(-age),
			Ran:         time.Duration(k.RanMilliseconds) * time.Millisecond,
			Crash:       k.Crash,
			Path:        k.Path,
		})
	}
}
