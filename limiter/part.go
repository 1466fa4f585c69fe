package limiter

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// maxRetry is the longest time after which a part advises to ask again.
const maxRetry = time.Hour

// Request is what a holder says to the owner of a part.
type Request struct {
	Holder      string
	Incarnation uint64
	// Ask numbers the requests of an incarnation; it rises, also over accounts and parts.
	Ask    uint64
	Tokens int
	// Held is how many tokens of earlier asks for this part may still be spent; the others were spent or given up.
	Held int
}

// Part is one part of the bucket of a client account, at its owner.
type Part struct {
	limit  Limit
	tokens int64
	// carry is what has flowed in beyond tokens, in billionths of a nanotoken.
	carry int64
	// at is up to when the part has been filled; it lies ahead after a takeover.
	at          time.Time
	outstanding int64
	// grants are ordered by lapse.
	grants []outstanding
}

type outstanding struct {
	holder      string
	incarnation uint64
	ask         uint64
	tokens      int64
	lapse       time.Time
}

// NewPart returns an empty part that starts to fill GrantLife after now, when no grant of an earlier owner can be
// spent any more; the earlier owner must have stopped by now.
func NewPart(now time.Time, l Limit) *Part {
	return &Part{limit: l, at: now.Add(GrantLife)}
}

// State is what the owner of a part hands over to the next one, in nanotokens.
type State struct {
	// Limit is the limit under which the part was kept.
	Limit Limit
	// Tokens may be granted.
	Tokens int64
	// Outstanding tokens were granted and may still be spent.
	Outstanding int64
}

// ResumePart returns a part that goes on from the state in which its earlier owner stopped; it starts like NewPart if
// the limit differs.
func ResumePart(now time.Time, l Limit, s State) *Part {
	if s.Limit != l || s.Tokens < 0 || s.Outstanding < 0 {
		return NewPart(now, l)
	}
	p := &Part{limit: l, at: now, tokens: min(s.Tokens, max(0, l.Burst-s.Outstanding))}
	if s.Outstanding > 0 {
		// The grants were made before now, so they lapse at the holders by then.
		p.lend(now, Request{}, s.Outstanding)
	}
	return p
}

// State returns what to hand over; false while grants of an earlier owner may be outstanding, whose number is unknown.
func (p *Part) State(now time.Time) (State, bool) {
	p.advance(now)
	if now.Before(p.at) {
		return State{}, false
	}
	return State{Limit: p.limit, Tokens: p.tokens, Outstanding: p.outstanding}, true
}

// SetLimit changes rate and burst from now on; it adds no token, and takes those beyond the burst.
func (p *Part) SetLimit(now time.Time, l Limit) {
	p.advance(now)
	p.limit = l
	p.tokens = min(p.tokens, max(0, l.Burst-p.outstanding))
}

// Grant takes up to q.Tokens tokens and returns how many; if they are fewer, it also returns the time until another one
// may be there.
func (p *Part) Grant(now time.Time, q Request) (int, time.Duration) {
	p.advance(now)
	p.settle(q)
	g := max(0, min(int64(q.Tokens), p.tokens/nano))
	if g > 0 {
		p.tokens -= g * nano
		p.lend(now, q, g*nano)
	}
	if g >= int64(q.Tokens) {
		return int(g), 0
	}
	return int(g), p.retry(now)
}

// lend records tokens as outstanding until they have lapsed at the holder, which counts from an earlier time.
func (p *Part) lend(now time.Time, q Request, t int64) {
	if now.Before(p.at) {
		now = p.at
	}
	p.outstanding += t
	p.grants = append(p.grants, outstanding{
		holder: q.Holder, incarnation: q.Incarnation, ask: q.Ask,
		tokens: t,
		lapse:  now.Add(GrantLife),
	})
}

// settle forgets grants of earlier asks of the holder but for the tokens that it still holds. Those may be of any of the
// grants; counting them in the grants that lapse last is never too little. What the holder said stays true when its
// message arrives late or twice.
func (p *Part) settle(q Request) {
	held := int64(max(0, q.Held)) * nano
	for i := len(p.grants) - 1; i >= 0; i-- {
		g := &p.grants[i]
		if g.holder != q.Holder || g.incarnation != q.Incarnation || g.ask >= q.Ask {
			continue
		}
		spent := max(0, g.tokens-held)
		held -= g.tokens - spent
		g.tokens -= spent
		p.outstanding -= spent
	}
	p.grants = slices.DeleteFunc(p.grants, func(g outstanding) bool { return g.tokens == 0 })
}

// advance fills the part up to now; what would exceed the burst together with the outstanding tokens is lost.
func (p *Part) advance(now time.Time) {
	for len(p.grants) > 0 && !p.grants[0].lapse.After(now) {
		p.fill(p.grants[0].lapse)
		p.outstanding -= p.grants[0].tokens
		p.grants = p.grants[1:]
	}
	p.fill(now)
}

func (p *Part) fill(to time.Time) {
	d := to.Sub(p.at)
	if d <= 0 {
		return
	}
	p.at = to
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

// inflow returns the nanotokens that flow in during d, and the remainder in billionths of one.
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

// retry returns the time from now until the part holds a whole token if nothing else is granted.
func (p *Part) retry(now time.Time) time.Duration {
	q := *p
	for q.limit.Burst-q.outstanding < nano && len(q.grants) > 0 {
		q.advance(q.grants[0].lapse)
	}
	if q.limit.Burst-q.outstanding < nano || q.limit.Rate <= 0 {
		return maxRetry
	}
	w := q.at.Sub(now)
	if need := nano - q.tokens; need > 0 {
		w += time.Duration((need*nano - q.carry + q.limit.Rate - 1) / q.limit.Rate)
	}
	return min(w, maxRetry)
}
