package limiter

import (
	"math"
	"slices"
	"time"
)

const (
	// minFetchInterval is the minimum interval between two token requests to the same part.
	minFetchInterval = 50 * time.Millisecond
	// prefetchTime is how much of the expected demand, beyond one round trip, a token request covers.
	prefetchTime = 100 * time.Millisecond
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = 3 * time.Second
	// minPrefetchRate is the lowest demand, in requests per second, for which tokens are prefetched. At lower rates most
	// prefetched tokens expire unused.
	minPrefetchRate = 8
	// failureBackoff is the delay before a part is contacted again after a failed token request.
	failureBackoff = 200 * time.Millisecond
	// defaultRoundTrip is the round-trip estimate before the first reply.
	defaultRoundTrip = 10 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After of refusals while no owner replies.
	noOwnerRetryAfter = time.Second
	// waitDivisor sets how long a request may wait for a token: the time until its deadline divided by waitDivisor.
	waitDivisor = 2
	// maxWait caps the wait of requests with distant deadlines.
	maxWait = 5 * time.Second
)

// account is an entry instance's state for one client account.
type account struct {
	// grants is sorted by expiry.
	grants []grant
	parts  [2]partState
	// waiting is sorted by waitEnd.
	waiting  []waiter
	demand   demand
	lastTake time.Time
}

// grant is a number of tokens of one part that can be spent until expiry.
type grant struct {
	tokens int
	part   int
	expiry time.Time
}

// waiter is a request that waits for a token.
type waiter struct {
	id               RequestID
	arrival, waitEnd time.Time
}

// partState is an entry instance's view of one bucket part and its owner.
type partState struct {
	// pending is the unanswered token request; its ID is 0 if there is none.
	pending   Ask
	lastFetch time.Time
	// retryAt is when the part may have tokens again or, if failing, when to contact its owner again.
	retryAt   time.Time
	failing   bool
	lastReply time.Time
	roundTrip time.Duration
}

func (s *partState) fetchSent(now time.Time, k Ask) {
	s.pending, s.lastFetch = k, now
}

func (s *partState) replyReceived(now time.Time, k Ask, r Reply) {
	s.pending = Ask{}
	s.failing, s.lastReply = false, now
	s.retryAt = time.Time{}
	if r.Tokens < k.Tokens {
		s.retryAt = now.Add(max(0, r.Retry))
	}
	d := now.Sub(k.Sent)
	if s.roundTrip == 0 {
		s.roundTrip = d
	}
	s.roundTrip += (d - s.roundTrip) / 4
}

func (s *partState) fetchFailed(now time.Time) {
	s.pending = Ask{}
	s.failing = true
	s.retryAt = now.Add(failureBackoff)
}

// nextFetch returns the earliest time of the next token request if none is pending.
func (s *partState) nextFetch() time.Time {
	t := s.lastFetch.Add(minFetchInterval)
	if s.retryAt.After(t) {
		return s.retryAt
	}
	return t
}

func (s *partState) canFetch(now time.Time) bool {
	return s.pending.ID == 0 && !now.Before(s.nextFetch())
}

// replyDue returns the time after which the pending token request no longer counts as about to be answered.
func (s *partState) replyDue() time.Time {
	return s.pending.Sent.Add(2*s.expectedRoundTrip() + defaultRoundTrip)
}

// expectedRoundTrip returns the round-trip estimate.
func (s *partState) expectedRoundTrip() time.Duration {
	if s.roundTrip == 0 {
		return defaultRoundTrip
	}
	return s.roundTrip
}

// addGrant stores n tokens of a part.
func (a *account) addGrant(n, part int, expiry time.Time) {
	i, _ := slices.BinarySearchFunc(a.grants, expiry, func(g grant, t time.Time) int { return g.expiry.Compare(t) })
	a.grants = slices.Insert(a.grants, i, grant{tokens: n, part: part, expiry: expiry})
}

// spendToken takes the unexpired token that expires first and returns its expiry, or false if there is none.
func (a *account) spendToken(now time.Time) (time.Time, bool) {
	a.dropExpired(now)
	if len(a.grants) == 0 {
		return time.Time{}, false
	}
	g := &a.grants[0]
	expiry := g.expiry
	g.tokens--
	if g.tokens == 0 {
		a.grants = a.grants[1:]
	}
	return expiry, true
}

func (a *account) dropExpired(now time.Time) {
	for len(a.grants) > 0 && !now.Before(a.grants[0].expiry) {
		a.grants = a.grants[1:]
	}
}

// heldTokens returns the number of unexpired tokens.
func (a *account) heldTokens(now time.Time) int {
	a.dropExpired(now)
	n := 0
	for _, g := range a.grants {
		n += g.tokens
	}
	return n
}

// heldTokensOf returns the number of stored tokens of a part; expired grants must have been dropped.
func (a *account) heldTokensOf(part int) int {
	n := 0
	for _, g := range a.grants {
		if g.part == part {
			n += g.tokens
		}
	}
	return n
}

// enqueue inserts a request after those whose wait ends at the same time or earlier.
func (a *account) enqueue(w waiter) {
	i := len(a.waiting)
	for i > 0 && w.waitEnd.Before(a.waiting[i-1].waitEnd) {
		i--
	}
	a.waiting = slices.Insert(a.waiting, i, w)
}

// serveWaiting gives tokens to waiting requests in order and refuses those that cannot get one in time.
func (a *account) serveWaiting(now time.Time, act *Actions) {
	if len(a.waiting) == 0 {
		return
	}
	emptyUntil := a.emptyUntil(now)
	// The requests behind one that keeps waiting have later wait ends and keep waiting too. Stopping there keeps the cost
	// independent of the queue length, also for an overloaded account.
	n := 0
	for n < len(a.waiting) && a.resolve(now, a.waiting[n], emptyUntil, act) {
		n++
	}
	a.waiting = a.waiting[n:]
}

// resolve gives a token to a waiting request or refuses it. It returns false if the request keeps waiting.
func (a *account) resolve(now time.Time, w waiter, emptyUntil time.Time, act *Actions) bool {
	if now.Before(w.waitEnd) {
		if expiry, ok := a.spendToken(now); ok {
			act.Admitted = append(act.Admitted, Admitted{ID: w.id, Expiry: expiry})
			return true
		}
		if emptyUntil.Before(w.waitEnd) {
			return false
		}
	}
	act.Refused = append(act.Refused, a.refused(now, w))
	return true
}

// emptyUntil returns the time until which, as far as is known, no part can grant tokens; it is now if one may.
func (a *account) emptyUntil(now time.Time) time.Time {
	t := a.parts[0].emptyUntil(now)
	if u := a.parts[1].emptyUntil(now); u.Before(t) {
		return u
	}
	return t
}

func (s *partState) emptyUntil(now time.Time) time.Time {
	if s.pending.ID != 0 || !s.retryAt.After(now) {
		return now
	}
	return s.retryAt
}

// refused returns the refusal of a waiting request. NoOwner is false if a part that is not failing has replied since the
// request arrived, or has reported that it has no tokens until later.
func (a *account) refused(now time.Time, w waiter) Refused {
	r := Refused{ID: w.id, NoOwner: true, RetryAfter: noOwnerRetryAfter}
	for i := range a.parts {
		s := &a.parts[i]
		if s.failing || s.lastReply.Before(w.arrival) && !s.retryAt.After(now) {
			continue
		}
		wait := max(minFetchInterval, s.retryAt.Sub(now))
		if r.NoOwner || wait < r.RetryAfter {
			r.RetryAfter = wait
		}
		r.NoOwner = false
	}
	return r
}

// fetches returns the token requests to send now.
func (a *account) fetches(now time.Time) []Ask {
	held, expected := a.heldTokens(now), 0
	for i := range a.parts {
		s := &a.parts[i]
		if s.pending.ID != 0 && now.Before(s.replyDue()) {
			expected += s.pending.Tokens
		}
	}
	if missing := len(a.waiting) - held - expected; missing > 0 {
		return a.fetchForWaiting(now, missing)
	}
	return a.prefetch(now, held+expected-len(a.waiting))
}

// fetchForWaiting requests tokens from the part with the shortest round trip of those that may have some. It also sends a
// request for one token to each failing part, to detect when its owner replies again.
func (a *account) fetchForWaiting(now time.Time, missing int) []Ask {
	var asks []Ask
	best := -1
	for i := range a.parts {
		s := &a.parts[i]
		if s.canFetch(now) && (best < 0 || s.preferredOver(&a.parts[best])) {
			best = i
		}
	}
	for i := range a.parts {
		switch {
		case i == best:
			asks = append(asks, Ask{Part: i, Tokens: missing + a.expectedDemand(now, &a.parts[i], prefetchTime)})
		case a.parts[i].failing && a.parts[i].canFetch(now):
			asks = append(asks, Ask{Part: i, Tokens: 1})
		}
	}
	return asks
}

// preferredOver orders working parts before failing ones, then by round trip.
func (s *partState) preferredOver(o *partState) bool {
	if s.failing != o.failing {
		return o.failing
	}
	return s.expectedRoundTrip() < o.expectedRoundTrip()
}

// prefetch requests tokens for expected requests. No request waits for these tokens, so the round trip does not matter
// and the part with the least recent token request is chosen.
func (a *account) prefetch(now time.Time, have int) []Ask {
	best := -1
	for i := range a.parts {
		s := &a.parts[i]
		if s.canFetch(now) && !s.failing && (best < 0 || s.lastFetch.Before(a.parts[best].lastFetch)) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	s := &a.parts[best]
	if have > a.expectedDemand(now, s, minFetchInterval) {
		return nil
	}
	n := a.expectedDemand(now, s, minFetchInterval+prefetchTime) - have
	if n <= 0 {
		return nil
	}
	return []Ask{{Part: best, Tokens: n}}
}

// expectedDemand returns the number of requests to expect during a round trip to s plus d, or 0 if the demand is too low
// to prefetch for. The time is capped at half of GrantTTL, so that the tokens can be spent before they expire.
func (a *account) expectedDemand(now time.Time, s *partState, d time.Duration) int {
	r := a.demand.rate(now)
	if r < minPrefetchRate {
		return 0
	}
	return int(r * min(s.expectedRoundTrip()+d, GrantTTL/2).Seconds())
}

// wakeTime returns when the waiting requests next need attention without an external event: a wait ends, a part may be
// contacted again, or a reply is overdue. It is zero if no request waits.
func (a *account) wakeTime(now time.Time) time.Time {
	var t time.Time
	if len(a.waiting) == 0 {
		return t
	}
	t = a.waiting[0].waitEnd
	for i := range a.parts {
		s := &a.parts[i]
		n := s.nextFetch()
		if s.pending.ID != 0 {
			n = s.replyDue()
		}
		if n.After(now) {
			t = earlier(t, n)
		}
	}
	return t
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// demand is an exponentially weighted average of requests per second.
type demand struct {
	value   float64
	updated time.Time
}

func (d *demand) add(now time.Time, n float64) {
	d.value = d.rate(now) + n/demandTimeConstant.Seconds()
	d.updated = now
}

func (d *demand) rate(now time.Time) float64 {
	return d.value * math.Exp(-now.Sub(d.updated).Seconds()/demandTimeConstant.Seconds())
}
