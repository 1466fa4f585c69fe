package handler

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/responder"
)

const (
	// askWait bounds the wait of a request for tokens of another instance; the way between regions and back takes up to
	// 110 ms.
	askWait = 150 * time.Millisecond
)

// take takes a token of an account for a request, from this instance's share or from another's; the refusal tells when
// one will be there.
func (s *Server) take(ctx context.Context, account string) *responder.Refusal {
	if s.shares.Take(s.clock(), account) || s.borrow(ctx, account) {
		return nil
	}
	return &responder.Refusal{
		Status:     http.StatusTooManyRequests,
		Reason:     responder.RateExceeded,
		Ran:        responder.NotRun,
		Message:    "the account is over its rate",
		RetryAfter: s.shares.Wait(s.clock(), account),
	}
}

// borrow asks others for tokens, one after the other, and reports whether the request has one.
func (s *Server) borrow(ctx context.Context, account string) bool {
	c, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	for _, a := range s.lenders(account) {
		n := s.shares.Need(s.clock(), account)
		if n == 0 {
			return false
		}
		select {
		case <-s.gossip.Ask(a, map[string]int{account: n}):
		case <-c.Done():
			return false
		}
		if s.shares.Take(s.clock(), account) {
			return true
		}
	}
	s.shares.Fruitless(s.clock(), account)
	return false
}

// lenders returns the instances to ask for tokens of an account: those with a part of it, of each region one at random,
// the own region first.
func (s *Server) lenders(account string) []netip.Addr {
	hs := slices.Clone(s.shares.Holders(account))
	rand.Shuffle(len(hs), func(i, j int) { hs[i], hs[j] = hs[j], hs[i] }) //nolint:gosec // No secret.
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var r []netip.Addr
	seen := map[string]bool{}
	for _, n := range hs {
		g, ok := s.registered[n]
		if !ok || n == s.settings.Name || seen[g.Region] || !s.mayAnswer(g.Address, now) {
			continue
		}
		seen[g.Region] = true
		if g.Region == s.settings.Region {
			r = slices.Insert(r, 0, g.Address)
		} else {
			r = append(r, g.Address)
		}
	}
	return r
}

// mayAnswer reports whether an instance was heard lately, or could not have been heard because this one just started: after
// the restart of a whole fleet nobody knows who lives, and all parts are small.
func (s *Server) mayAnswer(a netip.Addr, now time.Time) bool {
	if d, heard := s.members.Silent(a, now); heard {
		return d <= gossiper.Silence
	}
	return now.Sub(s.begun) <= gossiper.Silence
}

// extendShares lets the shares fill while this instance may count as present.
func (s *Server) extendShares(now time.Time) {
	if s.mayFill(now) {
		s.shares.Extend(now, now.Add(shareLife))
	}
}

// shareLife is how long the shares fill after the last look whether they may; it spans several looks.
const shareLife = 1500 * time.Millisecond
