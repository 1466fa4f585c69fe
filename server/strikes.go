package server

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/breaker"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/responder"
)

// strikesPerBeat bounds the strikes in a heartbeat, two for each crash, which reach instances that missed the notice.
const strikesPerBeat = 16

// strikeTimeout bounds telling one peer of a strike.
const strikeTimeout = time.Second

// strikes is a breaker for concurrent use.
type strikes struct {
	mu      sync.Mutex
	breaker *breaker.Breaker
	// changed is closed when a copy has ended or a strike arrived; nil while nobody waits.
	changed chan struct{}
}

// wake lets the copies that wait ask again; s.mu is held.
func (s *strikes) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// wait returns what is closed at the next change; s.mu is held.
func (s *strikes) wait() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// fingerprint needs the digest of the body. It is computed once, since each step of a request asks for it.
func (c *call) fingerprint() breaker.Fingerprint {
	return c.fingerprints()[0]
}

// fingerprints are those of the request and of its path with any query.
func (c *call) fingerprints() [2]breaker.Fingerprint {
	if !c.hasPrints {
		r := breaker.Request{
			Account: c.account.Name,
			Route:   c.route.Name,
			Method:  c.request.Method,
			Path:    c.request.URL.RequestURI(),
			Body:    breaker.BodyDigest(c.digest),
		}
		c.prints, c.hasPrints = [2]breaker.Fingerprint{r.Fingerprint(), r.PathFingerprint()}, true
	}
	return c.prints
}

// checkCrash refuses a request that crashed targets before.
func (s *Server) checkCrash(c *call) *responder.Refusal {
	now, fs := s.clock(), c.fingerprints()
	s.strikes.mu.Lock()
	v, _, until := s.strikes.breaker.Judge(now, fs[:]...)
	s.strikes.mu.Unlock()
	if v != breaker.Refused {
		return nil
	}
	return s.crashSuspect(c, until.Sub(now))
}

func (s *Server) crashSuspect(c *call, d time.Duration) *responder.Refusal {
	s.log.FingerprintBlocked(c.account.Name, c.route.Name, d)
	return &responder.Refusal{
		Status:     http.StatusUnprocessableEntity,
		Reason:     responder.CrashSuspect,
		Ran:        responder.NotRun,
		Message:    "targets crashed while they ran this request",
		RetryAfter: d,
	}
}

// start waits until a copy of a request may run on a target of this instance.
func (s *Server) start(ctx context.Context, c *call) *responder.Refusal {
	begun := s.clock()
	started, changed, f := s.tryStart(c, begun)
	if started || f != nil {
		return f
	}
	return s.await(ctx, c, begun, changed)
}

// await asks again at each change, and once when the copy has waited for the whole hold.
func (s *Server) await(ctx context.Context, c *call, begun time.Time, changed <-chan struct{}) *responder.Refusal {
	hold := time.NewTimer(breaker.DefaultHold)
	defer hold.Stop()
	for {
		select {
		case <-ctx.Done():
			return deadlineExceeded()
		case <-changed:
		case <-hold.C:
		}
		var started bool
		var f *responder.Refusal
		if started, changed, f = s.tryStart(c, begun); started || f != nil {
			return f
		}
	}
}

// tryStart reports whether the copy may run; if not, it returns what is closed at the next change, or a refusal.
func (s *Server) tryStart(c *call, begun time.Time) (bool, <-chan struct{}, *responder.Refusal) {
	now, fs := s.clock(), c.fingerprints()
	s.strikes.mu.Lock()
	defer s.strikes.mu.Unlock()
	b := s.strikes.breaker
	v, k, until := b.Judge(now, fs[:]...)
	if v == breaker.Refused {
		return false, nil, s.crashSuspect(c, until.Sub(now))
	}
	if v == breaker.Free {
		k = fs[0]
	}
	if (v == breaker.Alone || b.Suspect(now, k)) && !c.suspect {
		// The entry instance did not know the strike when it chose this one; it chooses again.
		return false, nil, noOwner()
	}
	var ok bool
	if c.pass, ok = b.Start(now, k, now.Sub(begun)); ok {
		return true, nil, nil
	}
	return false, s.strikes.wait(), nil
}

// end takes back what start gave; a copy that ended well clears the strikes of its fingerprint.
func (s *Server) end(c *call, o balancer.Outcome) {
	s.strikes.mu.Lock()
	cleared := s.strikes.breaker.End(s.clock(), c.pass, endedWell(o))
	if s.strikes.breaker.Len() > 0 && endedWell(o) {
		cleared = append(cleared, s.strikes.breaker.Succeeded(s.clock(), c.fingerprints()[1])...)
	}
	c.pass = breaker.Pass{}
	s.strikes.wake()
	s.strikes.mu.Unlock()
	for _, k := range cleared {
		s.tell(notice(s.clock(), k))
	}
}

// endedWell reports whether a target certainly survived a request; after a timeout, or when the caller gave up, it may
// still crash.
func endedWell(o balancer.Outcome) bool {
	return o == balancer.Success || o == balancer.Failure
}

// markSuspect notes whether the request has a strike now, and against which fingerprint.
func (s *Server) markSuspect(c *call) {
	now, fs := s.clock(), c.fingerprints()
	s.strikes.mu.Lock()
	defer s.strikes.mu.Unlock()
	v, by, _ := s.strikes.breaker.Judge(now, fs[:]...)
	if v == breaker.Free {
		by = fs[0]
	}
	c.suspect, c.suspected = v != breaker.Free || s.strikes.breaker.Suspect(now, by), by
}

// choose returns the owner that gets a request. The copies of one with a strike meet at one instance.
func (s *Server) choose(c *call, tried []string) (owner, bool) {
	now := s.clock()
	s.markSuspect(c)
	if !c.suspect {
		return s.choosers.choose(c, now, tried)
	}
	serving := s.choosers.serving(c, now)
	os := s.owners(c.route.Pool)
	if ready := slices.DeleteFunc(slices.Clone(os), func(o owned) bool { return !slices.Contains(serving, o.name) }); len(ready) > 0 {
		os = ready
	}
	os = slices.DeleteFunc(os, func(o owned) bool { return slices.Contains(tried, o.name) })
	return meeting(c.suspected, os)
}

// owned is an owner with the number of targets that it has in a pool.
type owned struct {
	owner
	targets int
}

func (s *Server) owners(pool string) []owned {
	v := s.control.View()
	var os []owned
	for _, t := range v.Pools[pool].Targets {
		i, ok := s.control.Owner(v.TargetResource(t.Name))
		if !ok {
			continue
		}
		k := slices.IndexFunc(os, func(o owned) bool { return o.name == i.Name })
		if k < 0 {
			k = len(os)
			os = append(os, owned{owner: owner{name: i.Name, address: s.links.address(i)}})
		}
		os[k].targets++
	}
	return os
}

// meeting returns the owner with the most targets, since a crash takes one of them away, and among equals the first in
// rendezvous order of the fingerprint.
func meeting(f breaker.Fingerprint, os []owned) (owner, bool) {
	most := 0
	for _, o := range os {
		most = max(most, o.targets)
	}
	var ms []assigner.Member
	for _, o := range os {
		if o.targets == most {
			ms = append(ms, assigner.Member{Name: o.name})
		}
	}
	m, ok := assigner.Owner(string(f[:]), ms)
	if !ok {
		return owner{}, false
	}
	return os[slices.IndexFunc(os, func(o owned) bool { return o.name == m.Name })].owner, true
}

// strike records that a request crashed a target at a time, and tells all peers.
func (s *Server) strike(c *call, at time.Time) {
	for i, f := range c.fingerprints() {
		n := &messenger.StrikeNotice{
			Id: rand.Text(), Fingerprint: f[:], Path: i > 0, AgeMs: s.clock().Sub(at).Milliseconds(), RanMs: at.Sub(c.sent).Milliseconds(),
		}
		s.recordStrike(n)
		s.tell(n)
	}
}

// tell sends a strike to all peers.
func (s *Server) tell(n *messenger.StrikeNotice) {
	for _, p := range s.control.Peers() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), strikeTimeout)
			defer cancel()
			// A peer that misses the notice finds the strike in a heartbeat.
			_, _ = s.links.Peer(p.Instance).Strike(ctx, n)
		}()
	}
}

func (s *Server) recordStrike(n *messenger.StrikeNotice) {
	if len(n.Fingerprint) != len(breaker.Fingerprint{}) {
		return
	}
	now := s.clock()
	s.strikes.mu.Lock()
	defer s.strikes.mu.Unlock()
	defer s.strikes.wake()
	s.strikes.breaker.Strike(now, breaker.Strike{
		ID:          n.Id,
		Fingerprint: breaker.Fingerprint(n.Fingerprint),
		At:          now.Add(-time.Duration(n.AgeMs) * time.Millisecond),
		Ran:         time.Duration(max(n.RanMs, 0)) * time.Millisecond,
		Path:        n.Path,
		Cleared:     n.Cleared,
	})
}

// notices returns the newest strikes for a heartbeat.
func (s *Server) notices(now time.Time) []*messenger.StrikeNotice {
	s.strikes.mu.Lock()
	defer s.strikes.mu.Unlock()
	s.strikes.breaker.Tick(now)
	var r []*messenger.StrikeNotice
	for _, k := range s.strikes.breaker.Strikes(now, strikesPerBeat) {
		r = append(r, notice(now, k))
	}
	return r
}

// notice returns a strike as peers are told of it.
func notice(now time.Time, k breaker.Strike) *messenger.StrikeNotice {
	return &messenger.StrikeNotice{
		Id: k.ID, Fingerprint: k.Fingerprint[:], AgeMs: now.Sub(k.At).Milliseconds(), RanMs: k.Ran.Milliseconds(), Path: k.Path, Cleared: k.Cleared,
	}
}

// Strike records a request that crashed a target.
func (p *peerService) Strike(_ context.Context, n *messenger.StrikeNotice) (*messenger.Empty, error) {
	p.server.recordStrike(n)
	return &messenger.Empty{}, nil
}
