package server

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/breaker"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/responder"
)

// strikesPerBeat bounds the strikes in a heartbeat, which reach instances that missed the notice.
const strikesPerBeat = 8

// strikeTimeout bounds telling one peer of a strike.
const strikeTimeout = time.Second

// strikes is a breaker for concurrent use.
type strikes struct {
	mu      sync.Mutex
	breaker *breaker.Breaker
}

func fingerprint(c *call) breaker.Fingerprint {
	return breaker.Request{
		Account: c.account.Name,
		Route:   c.route.Name,
		Method:  c.request.Method,
		Path:    c.request.URL.RequestURI(),
		Body:    breaker.BodyDigest(c.digest),
	}.Fingerprint()
}

// checkCrash refuses a request that crashed targets before.
func (s *Server) checkCrash(c *call) *responder.Refusal {
	now := s.clock()
	s.strikes.mu.Lock()
	t := s.strikes.breaker.Blocked(now, fingerprint(c))
	s.strikes.mu.Unlock()
	if t.IsZero() {
		return nil
	}
	s.log.FingerprintBlocked(c.account.Name, c.route.Name)
	return &responder.Refusal{
		Status:     http.StatusUnprocessableEntity,
		Reason:     responder.CrashSuspect,
		Ran:        responder.NotRun,
		Message:    "targets crashed while they ran this request",
		RetryAfter: t.Sub(now),
	}
}

// strike records that a request crashed a target, and tells all peers.
func (s *Server) strike(c *call) {
	n := &messenger.StrikeNotice{Id: rand.Text()}
	f := fingerprint(c)
	n.Fingerprint = f[:]
	s.recordStrike(n)
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
	s.strikes.breaker.Strike(now, breaker.Strike{
		ID:          n.Id,
		Fingerprint: breaker.Fingerprint(n.Fingerprint),
		At:          now.Add(-time.Duration(n.AgeMs) * time.Millisecond),
	})
}

// notices returns the newest strikes for a heartbeat.
func (s *Server) notices(now time.Time) []*messenger.StrikeNotice {
	s.strikes.mu.Lock()
	defer s.strikes.mu.Unlock()
	s.strikes.breaker.Tick(now)
	var r []*messenger.StrikeNotice
	for _, k := range s.strikes.breaker.Strikes(now, strikesPerBeat) {
		r = append(r, &messenger.StrikeNotice{Id: k.ID, Fingerprint: k.Fingerprint[:], AgeMs: now.Sub(k.At).Milliseconds()})
	}
	return r
}

// Strike records a request that crashed a target.
func (p *peerService) Strike(_ context.Context, n *messenger.StrikeNotice) (*messenger.Empty, error) {
	p.server.recordStrike(n)
	return &messenger.Empty{}, nil
}
