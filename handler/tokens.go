package handler

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/sharer"
)

const (
	// askWait bounds the wait of a request for tokens of another instance; the way between regions and back takes up to
	// 110 ms.
	askWait = 150 * time.Millisecond
	// outageLimit is how long an instance fills its shares without the store and without most other instances; after
	// idleRowLife the others take its row away and divide the limits anew.
	outageLimit = idleRowLife / 2
	// maxOverRateWait bounds what callers over their rate are told to wait.
	maxOverRateWait = 2 * time.Second
)

// tokens takes tokens of accounts, asking other instances when this one's share runs low.
type tokens struct {
	shares *sharer.Shares

	mu sync.Mutex
	// asked holds the answers to the last asks for each account.
	asked map[string][]<-chan struct{}
	turn  int
}

// take takes a token of an account for a request; the refusal tells when one will be there.
func (s *Server) take(ctx context.Context, account string) *responder.Refusal {
	if s.tokens.shares.Take(s.clock(), account) {
		return nil
	}
	t := time.NewTimer(askWait)
	defer t.Stop()
	for _, c := range s.askForTokens(account) {
		select {
		case <-c:
		case <-t.C:
		case <-ctx.Done():
		}
		if s.tokens.shares.Take(s.clock(), account) {
			return nil
		}
	}
	return &responder.Refusal{
		Status:     http.StatusTooManyRequests,
		Reason:     responder.RateExceeded,
		Ran:        responder.NotRun,
		Message:    "the account is over its rate",
		RetryAfter: min(s.tokens.shares.Wait(s.clock(), account), maxOverRateWait),
	}
}

// askForTokens asks other instances for tokens of all accounts that run low, and returns the answers under way for one.
func (s *Server) askForTokens(account string) []<-chan struct{} {
	now := s.clock()
	s.tokens.mu.Lock()
	defer s.tokens.mu.Unlock()
	w := s.tokens.shares.Wanted(now)
	if len(w) == 0 {
		return s.tokens.asked[account]
	}
	s.tokens.turn++
	ms := s.members.Alive(now)
	asks := map[netip.Addr]map[string]int{}
	accounts := map[netip.Addr][]string{}
	for n, k := range w {
		s.tokens.asked[n] = nil
		for _, a := range s.lenders(n, ms) {
			if asks[a] == nil {
				asks[a] = map[string]int{}
			}
			asks[a][n] = k
			accounts[a] = append(accounts[a], n)
		}
	}
	for a, k := range asks {
		c := s.gossip.Ask(a, k)
		for _, n := range accounts[a] {
			s.tokens.asked[n] = append(s.tokens.asked[n], c)
		}
	}
	return s.tokens.asked[account]
}

// lenders returns the instances to ask for tokens of an account: in turn those with a part of it, the nearest first.
func (s *Server) lenders(account string, ms []gossiper.Member) []netip.Addr {
	var near, far []netip.Addr
	hs := s.tokens.shares.Holders(account)
	for _, m := range ms {
		switch {
		case !slices.Contains(hs, m.Name):
		case m.Region == s.settings.Region:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	var r []netip.Addr
	for _, as := range [][]netip.Addr{near, far} {
		if len(as) > 0 {
			r = append(r, as[s.tokens.turn%len(as)])
		}
	}
	return r
}

// extendShares lets the shares fill while this instance reaches the store or most of the instances that it lists.
func (s *Server) extendShares(now time.Time) {
	if c := s.rows.Contact(); !c.IsZero() && now.Sub(c) < outageLimit || 2*(len(s.members.Alive(now))+1) > len(s.instances()) {
		s.tokens.shares.Extend(now, now.Add(shareLife))
	}
}

// shareLife is how long the shares fill after the last look whether they may; it spans several looks.
const shareLife = 5 * time.Second
