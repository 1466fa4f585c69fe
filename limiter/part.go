package limiter

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// maxRetryAfter caps the retry time that a part returns.
const maxRetryAfter = time.Hour

// Request is a token request as the owner of a part receives it.
type Request struct {
	Holder      string
	Incarnation uint64
	// Ask is the number of the token request; it increases within an incarnation, across accounts and parts.
	Ask    uint64
	Tokens int
	// Held is the number of tokens from earlier requests to this part that the holder can still spend; the others were
	// spent or discarded.
	Held int
}

// Part is the owner's state of one part of an account's token bucket.
type Part struct {
	limit Limit
	// tokens can be granted; in nanotokens.
	tokens int64
	// carry is the fraction of a nanotoken refilled beyond tokens, in billionths.
	carry int64
	// filledTo is the time up to which the part has been refilled. After a takeover without handed-over state it lies in
	// the future.
	filledTo time.Time
	// outstanding is the number of nanotokens in grants.
	outstanding int64
	// grants is sorted by expiry.
	grants []outstandingGrant
}

// outstandingGrant is a grant whose tokens the holder may still spend.
type outstandingGrant struct {
	holder      string
	incarnation uint64
	fetchID     uint64
	tokens      int64
	expiry      time.Time
}

// NewPart returns an empty part that starts to refill GrantTTL after now, when all grants of the previous owner have
// expired. The previous owner must have stopped granting by now.
func NewPart(now time.Time, l Limit) *Part {
	return &Part{limit: l, filledTo: now.Add(GrantTTL)}
}

// State is the state of a part that its owner hands over to the next one; amounts are in nanotokens.
type State struct {
	// Limit is the limit that the part was kept under.
	Limit Limit
	// Tokens can be granted.
	Tokens int64
	// Outstanding is the amount that was granted and may still be spent.
	Outstanding int64
}

// ResumePart returns a part that continues from the state of its previous owner. If the limit differs or the state is
// invalid, it returns NewPart(now, l).
func ResumePart(now time.Time, l Limit, s State) *Part {
	if s.Limit != l || s.Tokens < 0 || s.Outstanding < 0 {
		return NewPart(now, l)
	}
	p := &Part{limit: l, filledTo: now, tokens: min(s.Tokens, max(0, l.Burst-s.Outstanding))}
	if s.Outstanding > 0 {
		// These grants were made before now, so they expire at their holders by now + GrantTTL.
		p.recordGrant(now, Request{}, s.Outstanding)
	}
	return p
}

// State returns the state to hand over. It returns false while an unknown number of tokens granted by an earlier owner
// may be outstanding.
func (p *Part) State(now time.Time) (State, bool) {
	p.advance(now)
	if now.Before(p.filledTo) {
		return State{}, false
	}
	return State{Limit: p.limit, Tokens: p.tokens, Outstanding: p.outstanding}, true
}

// SetLimit changes the rate and burst as of now. It adds no tokens, and removes those that exceed the new burst.
func (p *Part) SetLimit(now time.Time, l Limit) {
	p.advance(now)
	p.limit = l
	p.tokens = min(p.tokens, max(0, l.Burst-p.outstanding))
}

// Grant grants up to q.Tokens tokens and returns their number. If it is less than q.Tokens, Grant also returns the time
// until the next token may be available.
func (p *Part) Grant(now time.Time, q Request) (int, time.Duration) {
	p.advance(now)
	p.reconcile(q)
	g := max(0, min(int64(q.Tokens), p.tokens/nano))
	if g > 0 {
		p.tokens -= g * nano
		p.recordGrant(now, q, g*nano)
	}
	if g >= int64(q.Tokens) {
		return int(g), 0
	}
	return int(g), p.retryAfter(now)
}

// recordGrant counts t nanotokens as outstanding for GrantTTL from now. They expire earlier at the holder, which counts
// from when it sent the request.
func (p *Part) recordGrant(now time.Time, q Request, t int64) {
	if now.Before(p.filledTo) {
		now = p.filledTo
	}
	p.outstanding += t
	p.grants = append(p.grants, outstandingGrant{
		holder: q.Holder, incarnation: q.Incarnation, fetchID: q.Ask,
		tokens: t,
		expiry: now.Add(GrantTTL),
	})
}

// reconcile removes tokens that the holder no longer holds from the grants of its earlier requests. The tokens that it
// still holds may be from any of these grants; attributing them to those that expire last never counts too few as
// outstanding. A late or duplicate request does no harm, because it only covers grants of requests before it.
func (p *Part) reconcile(q Request) {
	held := int64(max(0, q.Held)) * nano
	for i := len(p.grants) - 1; i >= 0; i-- {
		g := &p.grants[i]
		if g.holder != q.Holder || g.incarnation != q.Incarnation || g.fetchID >= q.Ask {
			continue
		}
		returned := max(0, g.tokens-held)
		held -= g.tokens - returned
		g.tokens -= returned
		p.outstanding -= returned
	}
	p.grants = slices.DeleteFunc(p.grants, func(g outstandingGrant) bool { return g.tokens == 0 })
}

// advance refills the part up to now and expires grants. Refill that would raise tokens + outstanding above the burst is
// discarded.
func (p *Part) advance(now time.Time) {
	for len(p.grants) > 0 && !p.grants[0].expiry.After(now) {
		p.fill(p.grants[0].expiry)
		p.outstanding -= p.grants[0].tokens
		p.grants = p.grants[1:]
	}
	p.fill(now)
}

// fill refills the part up to the given time; outstanding must not change in between.
func (p *Part) fill(to time.Time) {
	d := to.Sub(p.filledTo)
	if d <= 0 {
		return
	}
	p.filledTo = to
	room := p.limit.Burst - p.outstanding - p.tokens
	n, carry := inflow(p.limit.Rate, d, p.carry)
	if n >= room {
		p.tokens += max(0, room)
		p.carry = 0
		return
	}
	p.tokens += n
	p.carry = carry
}

// inflow returns the nanotokens refilled during d and the remainder in billionths of a nanotoken, given the remainder so
// far. It saturates at math.MaxInt64.
func inflow(rate int64, d time.Duration, carry int64) (int64, int64) {
	hi, lo := bits.Mul64(uint64(max(0, rate)), uint64(max(0, d)))
	lo, c := bits.Add64(lo, uint64(max(0, carry)), 0)
	hi += c
	if hi >= nano {
		return math.MaxInt64, 0
	}
	n, rest := bits.Div64(hi, lo, nano)
	if n > math.MaxInt64 || rest >= nano {
		return math.MaxInt64, 0
	}
	return int64(n), int64(rest)
}

// retryAfter returns the time from now until the part has a whole token if nothing else is granted, at most
// maxRetryAfter.
func (p *Part) retryAfter(now time.Time) time.Duration {
	q := *p
	for q.limit.Burst-q.outstanding < nano && len(q.grants) > 0 {
		q.advance(q.grants[0].expiry)
	}
	if q.limit.Burst-q.outstanding < nano || q.limit.Rate <= 0 {
		return maxRetryAfter
	}
	w := q.filledTo.Sub(now)
	if need := nano - q.tokens; need > 0 {
		w += time.Duration((need*nano - q.carry + q.limit.Rate - 1) / q.limit.Rate)
	}
	return min(w, maxRetryAfter)
}
