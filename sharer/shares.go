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
	// activeWindow is how long an account counts as in use after its last request.
	activeWindow = 2 * time.Second
	// retainedFraction is the fraction of the tokens of an account in use that an instance keeps when another one
	// requests tokens.
	retainedFraction = 0.5
	// minBackoff and maxBackoff bound the pause after token requests for an account of which no instance had tokens.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// minShareTokens is the smallest size of a share; smaller ones would often be empty while others are full.
	minShareTokens = 4
	// lookahead is the period whose expected requests an instance without a token covers with one token request.
	lookahead = 500 * time.Millisecond
	// TakeoverWait is the time from learning that an instance is gone to filling its shares, and from learning that this instance
	// is registered again to filling its own. Within it every instance has learned of the change or has stopped filling.
	TakeoverWait = 3500 * time.Millisecond
	// unspentLife is how long the tokens of shares that stopped filling may still be used. It ends before others fill them, and a
	// process that does not run for up to 3 s keeps its tokens.
	unspentLife = 2 * time.Second
	// maxRetryAfter is the longest retry delay sent to a caller; callers wait for at most a third of their time.
	maxRetryAfter = 2 * time.Second
	// rateAveragingTime is the time constant of an instance's average request rate for an account.
	rateAveragingTime = 2 * time.Second
)

// Limit is the fleet-wide allowance of an account.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Shares holds this instance's shares of the accounts' token buckets; it is safe for concurrent use.
type Shares struct {
	self string
	// begun is the start of this process; an earlier process of this instance had ended by then.
	begun time.Time

	mu       sync.Mutex
	accounts map[string]*share
	// limits and instances are those of the last call of Adopt.
	limits    map[string]Limit
	instances []Instance
	// presences tells since when instances are gone or back.
	presences map[string]presence
	// nextDivision is when the next wait of TakeoverWait ends; zero if there is none.
	nextDivision time.Time
	// fleetSize is the number of instances among which the accounts are divided.
	fleetSize int
	// validUntil is when the shares stop filling unless they are extended.
	validUntil time.Time
}

type share struct {
	limit Limit
	// holders are the instances with a share.
	holders []string
	// isHolder is true if this instance is one of them.
	isHolder   bool
	tokens     float64
	refilledAt time.Time
	lastUsed   time.Time
	// rate is this instance's approximate request rate per second.
	rate float64
	// backoffUntil is the end of the pause after token requests that yielded nothing, and backoff the length of that
	// pause.
	backoffUntil time.Time
	backoff      time.Duration
	// dropped is the end of the validity after which the tokens were dropped.
	dropped time.Time
	// nextRetryAt is when the last refused caller is due to retry; later refusals are scheduled after it.
	nextRetryAt time.Time
}

// NewShares returns the shares of an instance without accounts whose process began at the given time.
func NewShares(self string, begun time.Time) *Shares {
	return &Shares{self: self, begun: begun, accounts: map[string]*share{}, presences: map[string]presence{}}
}

// Adopt replaces the accounts and the instances among which they are divided. New shares start empty, because an
// earlier process of this instance may have spent their tokens; those of the first call have filled since the start of
// this process.
func (s *Shares) Adopt(now time.Time, limits map[string]Limit, instances []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	emptySince := now
	if len(s.instances) == 0 {
		emptySince = s.begun
	}
	s.limits, s.instances = limits, instances
	s.observe(now)
	for n := range s.accounts {
		if _, ok := limits[n]; !ok {
			delete(s.accounts, n)
		}
	}
	s.divide(now, emptySince)
}

// divide divides the accounts among the instances; new shares are empty at the time emptySince. mu is held.
func (s *Shares) divide(now, emptySince time.Time) {
	is, fills := s.present(now)
	s.fleetSize = len(is)
	for n, l := range s.limits {
		a := s.accounts[n]
		if a == nil {
			a = &share{refilledAt: emptySince}
			s.accounts[n] = a
		}
		s.refill(a, now)
		a.limit = l
		a.holders = selectHolders(n, is, l.Burst)
		a.isHolder = fills && slices.Contains(a.holders, s.self)
		a.tokens = min(a.tokens, s.capacity(a))
	}
}

// Holders returns the instances that have a share of an account.
func (s *Shares) Holders(account string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[account]; a != nil {
		return a.holders
	}
	return nil
}

// Extend lets the shares fill until the given time, and takes over shares whose wait has ended. An instance that others may
// consider gone stops filling its shares.
func (s *Shares) Extend(now, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.validUntil.IsZero() && !now.Before(s.validUntil) {
		for _, a := range s.accounts {
			s.refill(a, now)
		}
	}
	s.validUntil = until
	if !s.nextDivision.IsZero() && !now.Before(s.nextDivision) {
		s.divide(now, now)
	}
}

// capacity returns the number of tokens up to which a share fills.
func (s *Shares) capacity(a *share) float64 {
	if !a.isHolder {
		return 0
	}
	return a.limit.Burst / float64(len(a.holders))
}

// refill adds the tokens earned since the last call while the share was valid; mu is held. Time counts for the first
// division among instances if it is not known yet. Some time after the end of its validity a share is emptied once; tokens that
// other instances give later are theirs.
func (s *Shares) refill(a *share, now time.Time) {
	if len(a.holders) == 0 {
		return
	}
	if !s.validUntil.IsZero() && now.Sub(s.validUntil) > unspentLife && !a.dropped.Equal(s.validUntil) {
		a.tokens, a.dropped, a.refilledAt = 0, s.validUntil, now
		return
	}
	end := now
	if s.validUntil.Before(end) {
		end = s.validUntil
	}
	if d := end.Sub(a.refilledAt); d > 0 && a.isHolder {
		n := a.tokens + a.limit.Rate/float64(len(a.holders))*d.Seconds()
		// Tokens received from other instances may exceed the capacity; they are kept.
		a.tokens = max(a.tokens, min(s.capacity(a), n))
	}
	a.refilledAt = now
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
	s.refill(a, now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	a.rate = a.rate*math.Exp(-float64(now.Sub(a.lastUsed))/float64(rateAveragingTime)) + 1/rateAveragingTime.Seconds()
	a.lastUsed = now
	return true
}

// Wait returns the retry delay for a request without a token. An instance spaces its retry delays according to its
// part of the account's rate, so that callers that were refused together do not retry together and get refused again.
func (s *Shares) Wait(now time.Time, account string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[account]
	if a == nil || a.limit.Rate <= 0 {
		return 0
	}
	step := time.Duration(float64(max(s.fleetSize, 1)) / a.limit.Rate * float64(time.Second))
	if !a.nextRetryAt.After(now) {
		// A random offset spreads the schedules of the instances.
		a.nextRetryAt = now.Add(-time.Duration(rand.Int64N(int64(step) + 1))) //nolint:gosec // No secret.
	}
	a.nextRetryAt = a.nextRetryAt.Add(step)
	if last := now.Add(maxRetryAfter); a.nextRetryAt.After(last) {
		a.nextRetryAt = last
	}
	earned := time.Duration(float64(time.Second) / a.limit.Rate)
	return min(max(a.nextRetryAt.Sub(now), earned), maxRetryAfter)
}

// Need returns the number of tokens of an account to request from another instance; it is 0 while backing off after
// requests that yielded nothing.
func (s *Shares) Need(now time.Time, account string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[account]
	if a == nil || now.Before(a.backoffUntil) {
		return 0
	}
	return 1 + int(a.rate*lookahead.Seconds())
}

// Fruitless starts or extends the backoff after no other instance had a token of an account.
func (s *Shares) Fruitless(now time.Time, account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[account]; a != nil {
		a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
		a.backoffUntil = now.Add(a.backoff)
	}
}

// Give removes up to the wanted number of tokens from this instance's shares. For an account in use half of the
// tokens stay here, but a single whole token is always given away, since the other instance has a request waiting for
// it.
func (s *Shares) Give(now time.Time, wanted map[string]int) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := map[string]int{}
	for n, k := range wanted {
		a := s.accounts[n]
		if a == nil || a.limit.Rate <= 0 {
			continue
		}
		s.refill(a, now)
		v := int(a.tokens)
		if now.Sub(a.lastUsed) <= activeWindow && v > 1 {
			v = int(math.Ceil(a.tokens * (1 - retainedFraction)))
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
		s.refill(a, now)
		a.tokens += float64(k)
		a.backoff, a.backoffUntil = 0, time.Time{}
	}
}

// Describe returns the accounts with a limit, sorted by name.
func (s *Shares) Describe(now time.Time) []informer.Account {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := []informer.Account{}
	for n, a := range s.accounts {
		if a.limit.Rate <= 0 {
			continue
		}
		s.refill(a, now)
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
	s.refill(a, now)
	a.tokens++
}
