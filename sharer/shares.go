package sharer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/informer"
)

const (
	// inUse is how long after its last request an account counts as in use.
	inUse = 2 * time.Second
	// keepShare is the part of the tokens of an account in use that an instance keeps when it is asked.
	keepShare = 0.5
	// firstQuiet and lastQuiet bound the pause after asks for an account of which nobody had tokens.
	firstQuiet = 50 * time.Millisecond
	lastQuiet  = 800 * time.Millisecond
	// partTokens is the least size of a part; smaller parts would often be empty while others are full.
	partTokens = 4
	// aheadTime is the time for whose requests an instance without a token asks at once.
	aheadTime = 500 * time.Millisecond
	// longestWait is the longest wait that a caller is told; callers wait for a third of their time at most.
	longestWait = 2 * time.Second
	// rateLife is the time over which an instance averages its own requests of an account.
	rateLife = 2 * time.Second
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
	self string

	mu       sync.Mutex
	accounts map[string]*share
	// fleet is the number of instances.
	fleet int
	// until is when the parts end unless they are extended.
	until time.Time
}

type share struct {
	limit Limit
	// holders are the instances with a part.
	holders []string
	// held is true if this instance is one of them.
	held   bool
	tokens float64
	filled time.Time
	used   time.Time
	// rate is about how many requests a second this instance has.
	rate float64
	// quietTo is until when others are not asked, after asks that brought nothing; quiet is the length of that pause.
	quietTo time.Time
	quiet   time.Duration
	// due is when the caller comes back that was told the longest wait.
	due time.Time
}

// NewShares returns the shares of an instance without accounts.
func NewShares(self string) *Shares {
	return &Shares{self: self, accounts: map[string]*share{}}
}

// Adopt replaces the accounts and the instances among which they are divided; new parts start empty, because a former
// process of this instance may have used what they held.
func (s *Shares) Adopt(now time.Time, limits map[string]Limit, instances []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = len(instances)
	for n, l := range limits {
		a := s.accounts[n]
		if a == nil {
			a = &share{filled: now}
			s.accounts[n] = a
		}
		s.fill(a, now)
		a.limit = l
		a.holders = holders(n, instances, l.Burst)
		a.held = slices.Contains(a.holders, s.self)
		a.tokens = min(a.tokens, s.size(a))
	}
	for n := range s.accounts {
		if _, ok := limits[n]; !ok {
			delete(s.accounts, n)
		}
	}
}

// Holders returns the instances that have a part of an account.
func (s *Shares) Holders(account string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[account]; a != nil {
		return a.holders
	}
	return nil
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

// size is the largest number of tokens in a part.
func (s *Shares) size(a *share) float64 {
	if !a.held {
		return 0
	}
	return a.limit.Burst / float64(len(a.holders))
}

// fill adds what came since the last call, as far as the part had not ended; mu is held.
func (s *Shares) fill(a *share, now time.Time) {
	end := now
	if s.until.Before(end) {
		end = s.until
	}
	if d := end.Sub(a.filled); d > 0 && a.held {
		n := a.tokens + a.limit.Rate/float64(len(a.holders))*d.Seconds()
		// Tokens of others may exceed the part; they stay.
		a.tokens = max(a.tokens, min(s.size(a), n))
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
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	a.rate = a.rate*math.Exp(-float64(now.Sub(a.used))/float64(rateLife)) + 1/rateLife.Seconds()
	a.used = now
	return true
}

// Wait returns how long a request without a token should wait. The waits that one instance tells follow each other at its
// part of the account's rate, so that callers who were refused together do not come back together, to be refused again.
func (s *Shares) Wait(now time.Time, account string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[account]
	if a == nil || a.limit.Rate <= 0 {
		return 0
	}
	step := time.Duration(float64(max(s.fleet, 1)) / a.limit.Rate * float64(time.Second))
	if !a.due.After(now) {
		// Instances begin at different moments.
		a.due = now.Add(-time.Duration(rand.Int64N(int64(step) + 1))) //nolint:gosec // No secret.
	}
	a.due = a.due.Add(step)
	if last := now.Add(longestWait); a.due.After(last) {
		a.due = last
	}
	return max(a.due.Sub(now), time.Duration(float64(time.Second)/a.limit.Rate))
}

// Need returns how many tokens of an account to ask another instance for; 0 means that the others had none lately.
func (s *Shares) Need(now time.Time, account string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[account]
	if a == nil || now.Before(a.quietTo) {
		return 0
	}
	return 1 + int(a.rate*aheadTime.Seconds())
}

// Fruitless records that no instance that was asked had a token of an account.
func (s *Shares) Fruitless(now time.Time, account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[account]; a != nil {
		a.quiet = min(max(2*a.quiet, firstQuiet), lastQuiet)
		a.quietTo = now.Add(a.quiet)
	}
}

// Give takes up to the wanted tokens out of this instance's parts. Half of what an account in use holds stays here, but
// a whole token is given by whoever has one, since the other instance has a request that waits for it.
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
		v := int(a.tokens)
		if now.Sub(a.used) <= inUse && v > 1 {
			v = int(math.Ceil(a.tokens * (1 - keepShare)))
		}
		v = min(k, v)
		if v > 0 {
			a.tokens -= float64(v)
			g[n] = v
		}
	}
	return g
}

// Receive adds tokens that another instance gave.
func (s *Shares) Receive(now time.Time, given map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, k := range given {
		a := s.accounts[n]
		if a == nil || k <= 0 {
			continue
		}
		s.fill(a, now)
		a.tokens += float64(k)
		a.quiet, a.quietTo = 0, time.Time{}
	}
}

// Describe returns the accounts with a limit, by name.
func (s *Shares) Describe(now time.Time) []informer.Account {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := []informer.Account{}
	for n, a := range s.accounts {
		if a.limit.Rate <= 0 {
			continue
		}
		s.fill(a, now)
		r = append(r, informer.Account{Name: n, Rate: a.limit.Rate, Burst: a.limit.Burst, Parts: len(a.holders), Tokens: a.tokens})
	}
	slices.SortFunc(r, func(a, b informer.Account) int { return cmp.Compare(a.Name, b.Name) })
	return r
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
	a.tokens++
}
