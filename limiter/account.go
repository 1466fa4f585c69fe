package limiter

import (
	"math"
	"slices"
	"time"
)

const (
	// askInterval is the shortest time between two asks of an instance for the same part.
	askInterval = 50 * time.Millisecond
	// ahead is how much time of the recent demand a grant covers beyond a round trip.
	ahead = 100 * time.Millisecond
	// demandTime is the time constant of the average of the demand.
	demandTime = 3 * time.Second
	// aheadDemand is the least demand, in requests per second, for which tokens are asked for ahead of requests;
	// tokens asked for ahead of rarer requests mostly lapse.
	aheadDemand = 8
	// failureRetry is how long a part is not asked after a failure.
	failureRetry = 200 * time.Millisecond
	// unknownRoundTrip is assumed until an owner has answered.
	unknownRoundTrip = 10 * time.Millisecond
	// noOwnerRetry is the advice while no owner answers.
	noOwnerRetry = time.Second
	// waitShare is the part of the time until its deadline that a request may wait for a token, as a divisor.
	waitShare = 2
	// maxWait bounds the wait of requests with late deadlines.
	maxWait = 5 * time.Second
)

// account is the state of one client account at an entry instance.
type account struct {
	// grants are ordered by lapse.
	grants []grant
	sides  [2]side
	// waiting is ordered by until.
	waiting []waiter
	demand  demand
	seen    time.Time
}

type grant struct {
	tokens int
	part   int
	lapse  time.Time
}

type waiter struct {
	id           ID
	since, until time.Time
}

// side is what the instance knows of one part.
type side struct {
	// pending is the ask under way; its ID is 0 if there is none.
	pending Ask
	asked   time.Time
	// retry is when the part may have tokens again, or may answer again if failing.
	retry     time.Time
	failing   bool
	answered  time.Time
	roundTrip time.Duration
}

func (s *side) ask(now time.Time, k Ask) {
	s.pending, s.asked = k, now
}

func (s *side) answer(now time.Time, k Ask, r Reply) {
	s.pending = Ask{}
	s.failing, s.answered = false, now
	s.retry = time.Time{}
	if r.Tokens < k.Tokens {
		s.retry = now.Add(max(0, r.Retry))
	}
	d := now.Sub(k.Sent)
	if s.roundTrip == 0 {
		s.roundTrip = d
	}
	s.roundTrip += (d - s.roundTrip) / 4
}

func (s *side) fail(now time.Time) {
	s.pending = Ask{}
	s.failing = true
	s.retry = now.Add(failureRetry)
}

// ready is when the part may be asked next, if nothing is under way.
func (s *side) ready() time.Time {
	t := s.asked.Add(askInterval)
	if s.retry.After(t) {
		return s.retry
	}
	return t
}

func (s *side) askable(now time.Time) bool {
	return s.pending.ID == 0 && !now.Before(s.ready())
}

// late is when an ask under way is no longer expected to be answered soon.
func (s *side) late() time.Time {
	return s.pending.Sent.Add(2*s.expected() + unknownRoundTrip)
}

func (s *side) expected() time.Duration {
	if s.roundTrip == 0 {
		return unknownRoundTrip
	}
	return s.roundTrip
}

func (a *account) hold(n, part int, lapse time.Time) {
	i, _ := slices.BinarySearchFunc(a.grants, lapse, func(g grant, t time.Time) int { return g.lapse.Compare(t) })
	a.grants = slices.Insert(a.grants, i, grant{tokens: n, part: part, lapse: lapse})
}

// spend takes a token that has not lapsed.
func (a *account) spend(now time.Time) (time.Time, bool) {
	a.drop(now)
	if len(a.grants) == 0 {
		return time.Time{}, false
	}
	g := &a.grants[0]
	lapse := g.lapse
	g.tokens--
	if g.tokens == 0 {
		a.grants = a.grants[1:]
	}
	return lapse, true
}

func (a *account) drop(now time.Time) {
	for len(a.grants) > 0 && !now.Before(a.grants[0].lapse) {
		a.grants = a.grants[1:]
	}
}

func (a *account) held(now time.Time) int {
	a.drop(now)
	n := 0
	for _, g := range a.grants {
		n += g.tokens
	}
	return n
}

func (a *account) heldOf(part int) int {
	n := 0
	for _, g := range a.grants {
		if g.part == part {
			n += g.tokens
		}
	}
	return n
}

// wait puts a request behind those whose wait ends at the same time or earlier.
func (a *account) wait(w waiter) {
	i := len(a.waiting)
	for i > 0 && w.until.Before(a.waiting[i-1].until) {
		i--
	}
	a.waiting = slices.Insert(a.waiting, i, w)
}

// serve gives tokens to waiting requests in their order and refuses those that can get none in time.
func (a *account) serve(now time.Time, act *Actions) {
	if len(a.waiting) == 0 {
		return
	}
	hopeless := a.emptyUntil(now)
	// One that stays is followed by those that stay, so that an overloaded account costs no more than others.
	n := 0
	for n < len(a.waiting) && a.settle(now, a.waiting[n], hopeless, act) {
		n++
	}
	a.waiting = a.waiting[n:]
}

// settle gives a token to a waiting request or refuses it, and reports false if it goes on waiting.
func (a *account) settle(now time.Time, w waiter, hopeless time.Time, act *Actions) bool {
	if now.Before(w.until) {
		if lapse, ok := a.spend(now); ok {
			act.Taken = append(act.Taken, Taken{ID: w.id, Lapse: lapse})
			return true
		}
		if hopeless.Before(w.until) {
			return false
		}
	}
	act.Refused = append(act.Refused, a.refuse(now, w))
	return true
}

// emptyUntil returns until when no part can give tokens, as far as is known.
func (a *account) emptyUntil(now time.Time) time.Time {
	t := a.sides[0].emptyUntil(now)
	if u := a.sides[1].emptyUntil(now); u.Before(t) {
		return u
	}
	return t
}

func (s *side) emptyUntil(now time.Time) time.Time {
	if s.pending.ID != 0 || !s.retry.After(now) {
		return now
	}
	return s.retry
}

func (a *account) refuse(now time.Time, w waiter) Refused {
	r := Refused{ID: w.id, NoOwner: true, RetryAfter: noOwnerRetry}
	for i := range a.sides {
		s := &a.sides[i]
		if s.failing || s.answered.Before(w.since) && !s.retry.After(now) {
			continue
		}
		wait := max(askInterval, s.retry.Sub(now))
		if r.NoOwner || wait < r.RetryAfter {
			r.RetryAfter = wait
		}
		r.NoOwner = false
	}
	return r
}

// asks returns what to ask for now.
func (a *account) asks(now time.Time) []Ask {
	held, coming := a.held(now), 0
	for i := range a.sides {
		s := &a.sides[i]
		if s.pending.ID != 0 && now.Before(s.late()) {
			coming += s.pending.Tokens
		}
	}
	if short := len(a.waiting) - held - coming; short > 0 {
		return a.askUrgently(now, short)
	}
	return a.askAhead(now, held+coming-len(a.waiting))
}

// askUrgently asks the nearest part that may have tokens, and beside it each failing part, to notice its return.
func (a *account) askUrgently(now time.Time, short int) []Ask {
	var asks []Ask
	best := -1
	for i := range a.sides {
		s := &a.sides[i]
		if s.askable(now) && (best < 0 || s.before(&a.sides[best])) {
			best = i
		}
	}
	for i := range a.sides {
		switch {
		case i == best:
			asks = append(asks, Ask{Part: i, Tokens: short + a.expect(now, &a.sides[i], ahead)})
		case a.sides[i].failing && a.sides[i].askable(now):
			asks = append(asks, Ask{Part: i, Tokens: 1})
		}
	}
	return asks
}

func (s *side) before(o *side) bool {
	if s.failing != o.failing {
		return o.failing
	}
	return s.expected() < o.expected()
}

// askAhead asks for tokens for requests to come; nobody waits for them, so the part asked longest ago is asked.
func (a *account) askAhead(now time.Time, have int) []Ask {
	best := -1
	for i := range a.sides {
		s := &a.sides[i]
		if s.askable(now) && !s.failing && (best < 0 || s.asked.Before(a.sides[best].asked)) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	s := &a.sides[best]
	if have > a.expect(now, s, askInterval) {
		return nil
	}
	n := a.expect(now, s, askInterval+ahead) - have
	if n <= 0 {
		return nil
	}
	return []Ask{{Part: best, Tokens: n}}
}

// expect returns the demand to expect during a round trip and d.
func (a *account) expect(now time.Time, s *side, d time.Duration) int {
	r := a.demand.rate(now)
	if r < aheadDemand {
		return 0
	}
	return int(r * min(s.expected()+d, GrantLife/2).Seconds())
}

// wake returns when something about the waiting requests changes by itself.
func (a *account) wake(now time.Time) time.Time {
	var t time.Time
	if len(a.waiting) == 0 {
		return t
	}
	t = a.waiting[0].until
	for i := range a.sides {
		s := &a.sides[i]
		n := s.ready()
		if s.pending.ID != 0 {
			n = s.late()
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
	value float64
	at    time.Time
}

func (d *demand) add(now time.Time, n float64) {
	d.value = d.rate(now) + n/demandTime.Seconds()
	d.at = now
}

func (d *demand) rate(now time.Time) float64 {
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}
