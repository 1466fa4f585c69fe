package handler

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/sharer"
)

const (
	// askPause is the shortest time between asks to others for tokens.
	askPause = 50 * time.Millisecond
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

	mu    sync.Mutex
	asked time.Time
	// answer is closed once the last ask was answered.
	answer <-chan struct{}
	// fruitless is true if the last answer brought no token that was wanted.
	next int
}

// take takes a token of an account for a request; the refusal tells when one will be there.
func (s *Server) take(ctx context.Context, account string) *responder.Refusal {
	if s.tokens.shares.Take(s.clock(), account) {
		return nil
	}
	if c := s.askForTokens(); c != nil {
		t := time.NewTimer(askWait)
		defer t.Stop()
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

// askForTokens asks another instance for tokens of all accounts that run low; nil means that nobody is asked now.
func (s *Server) askForTokens() <-chan struct{} {
	now := s.clock()
	s.tokens.mu.Lock()
	defer s.tokens.mu.Unlock()
	if now.Sub(s.tokens.asked) < askPause {
		return s.tokens.answer
	}
	ms := s.members.Alive(now)
	if len(ms) == 0 {
		return nil
	}
	w := s.tokens.shares.Wanted(now)
	if len(w) == 0 {
		return nil
	}
	s.tokens.asked = now
	s.tokens.answer = s.gossip.Ask(s.pickLender(ms).Address, w)
	return s.tokens.answer
}

// pickLender takes the instances in turn, so that a request that asks again asks another one.
func (s *Server) pickLender(ms []gossiper.Member) gossiper.Member {
	if s.tokens.next == 0 {
		s.tokens.next = rand.IntN(len(ms)) //nolint:gosec // No secret.
	}
	s.tokens.next++
	return ms[s.tokens.next%len(ms)]
}

// extendShares lets the shares fill while this instance reaches the store or most of the instances that it lists.
func (s *Server) extendShares(now time.Time) {
	if c := s.rows.Contact(); !c.IsZero() && now.Sub(c) < outageLimit || 2*(len(s.members.Alive(now))+1) > s.instances() {
		s.tokens.shares.Extend(now, now.Add(shareLife))
	}
}

// shareLife is how long the shares fill after the last look whether they may; it spans several looks.
const shareLife = 5 * time.Second
