package sharer

import (
	"math"
	"sync"
	"time"
)

const (
	// lowShare is the part of its burst below which an instance asks others for tokens of an account in use.
	lowShare = 0.5
	// inUse is how long after its last request an account counts as in use.
	inUse = 2 * time.Second
	// keepShare is the part of its tokens that an instance keeps when it is asked.
	keepShare = 0.5
)

// Limit is the allowance of an account over all instances together.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Shares holds this instance's parts of the accounts' buckets; it is safe for concurrent use.
type Shares struct {
	mu       sync.Mutex
	accounts map[string]*share
	parts    int
	// until is when the parts end unless they are extended.
	until time.Time
}

type share struct {
	limit  Limit
	tokens float64
	filled time.Time
	used   time.Time
	// wants counts the requests that found no token since the last ask.
	wants int
}

// NewShares returns shares without accounts.
func NewShares() *Shares {
	return &Shares{accounts: map[string]*share{}, parts: 1}
}

// Adopt replaces the accounts and the number of parts; new parts start empty, because a former process of this
// instance may have used what they held.
func (s *Shares) Adopt(now time.Time, limits map[string]Limit, parts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		s.fill(a, now)
	}
	s.parts = max(parts, 1)
	for n, l := range limits {
		a := s.accounts[n]
		if a == nil {
			a = &share{filled: now}
			s.accounts[n] = a
		}
		a.limit = l
		a.tokens = min(a.tokens, s.size(a))
	}
	for n := range s.accounts {
		if _, ok := limits[n]; !ok {
			delete(s.accounts, n)
		}
	}
}

// Extend lets the parts fill until a time; an instance that others may have given up stops filling its parts.
func (s *Shares) Extend(now, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.until) {
		for _, a := range s.accounts {
			s.fill(a, now)
		}
	}
	s.until = until
}

// size is the largest number of tokens in a part; a part holds at least one, or no request would ever pass.
func (s *Shares) size(a *share) float64 {
	return max(a.limit.Burst/float64(s.parts), 1)
}

// fill adds what came since the last call, as far as the part had not ended; mu is held.
func (s *Shares) fill(a *share, now time.Time) {
	end := now
	if s.until.Before(end) {
		end = s.until
	}
	if d := end.Sub(a.filled); d > 0 {
		a.tokens = min(s.size(a), a.tokens+a.limit.Rate/float64(s.parts)*d.Seconds())
	}
	a.filled = now
}

// Take takes a token of an account; an unknown account has none.
func (s *Shares) Take(now time.Time, account string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[account]
	if a == nil {
		return false
	}
	if a.limit.Rate <= 0 {
		return true
	}
	s.fill(a, now)
	a.used = now
	if a.tokens < 1 {
		a.wants++
		return false
	}
	a.tokens--
	return true
}

// Wait returns how long until the part of an account has a token by itself.
func (s *Shares) Wait(now time.Time, account string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[account]
	if a == nil || a.limit.Rate <= 0 {
		return 0
	}
	s.fill(a, now)
	if a.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - a.tokens) * float64(s.parts) / a.limit.Rate * float64(time.Second))
}

// Wanted returns the tokens to ask others for: what the parts in use have room for, of accounts that run low.
func (s *Shares) Wanted(now time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := map[string]int{}
	for n, a := range s.accounts {
		if a.limit.Rate <= 0 || now.Sub(a.used) > inUse {
			continue
		}
		s.fill(a, now)
		if a.tokens >= s.size(a)*lowShare {
			continue
		}
		if k := int(s.size(a) - a.tokens); k > 0 {
			w[n] = k
		}
		a.wants = 0
	}
	return w
}

// Short returns the accounts of which a request found no token since the last call of Wanted.
func (s *Shares) Short() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		if a.wants > 0 {
			return true
		}
	}
	return false
}

// Give takes up to the wanted tokens out of this instance's parts, which keep a part of what they hold.
func (s *Shares) Give(now time.Time, wanted map[string]int) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := map[string]int{}
	for n, k := range wanted {
		a := s.accounts[n]
		if a == nil || a.limit.Rate <= 0 {
			continue
		}
		s.fill(a, now)
		v := min(k, int(math.Floor(a.tokens*(1-keepShare))))
		if now.Sub(a.used) > inUse {
			v = min(k, int(math.Floor(a.tokens)))
		}
		if v > 0 {
			a.tokens -= float64(v)
			g[n] = v
		}
	}
	return g
}

// Receive adds tokens that another instance gave; what does not fit into a part is dropped.
func (s *Shares) Receive(now time.Time, given map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, k := range given {
		a := s.accounts[n]
		if a == nil || k <= 0 {
			continue
		}
		s.fill(a, now)
		a.tokens = min(s.size(a), a.tokens+float64(k))
	}
}

// Return gives back the token of a request that did not run.
func (s *Shares) Return(now time.Time, account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[account]
	if a == nil || a.limit.Rate <= 0 {
		return
	}
	s.fill(a, now)
	a.tokens = min(s.size(a), a.tokens+1)
}
