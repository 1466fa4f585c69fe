package limiter

import (
	"math"
	"slices"
	"time"
)

// Defaults of HolderConfig.
const (
	// DefaultInterval is the shortest time between two asks to a part.
	DefaultInterval = 50 * time.Millisecond
	// DefaultReportAfter is how long spent tokens stay unreported while nothing is asked for.
	DefaultReportAfter = 100 * time.Millisecond
	// DefaultPatience is the longest RetryAfter for which requests should wait rather than be refused.
	DefaultPatience = 200 * time.Millisecond
	// DefaultReach is the time of demand that a grant covers beyond the round trip.
	DefaultReach = 50 * time.Millisecond
)

// demandMemory is the time constant of the estimate of demand.
const demandMemory = 250 * time.Millisecond

// maxAsk limits the tokens of an ask.
const maxAsk = 1 << 20

// unreachableFor is how long a part that did not answer is not asked again.
const unreachableFor = 500 * time.Millisecond

// HolderConfig configures a Holder; zero fields take their defaults.
type HolderConfig struct {
	// Rate is that of the account, in tokens per second.
	Rate float64
	// Order lists the indexes of the parts, the one to ask first in front.
	Order       []int
	Interval    time.Duration
	ReportAfter time.Duration
	Patience    time.Duration
	Reach       time.Duration
	// KeepUnspent turns off the return of tokens that will not be spent before they lapse.
	KeepUnspent bool
}

// Holder is the entry instance's side of an account; it is not safe for concurrent use.
type Holder struct {
	config HolderConfig
	parts  []source
	// demand is the decaying number of requests in the last demandMemory, at the time noted.
	demand float64
	noted  time.Time
}

// source is what a holder knows of one part.
type source struct {
	part     int
	sequence uint64
	// grants is in order of sending.
	grants []held
	// pending holds the asks for tokens without answer.
	pending []pending
	// asked is when the last ask for tokens was sent.
	asked time.Time
	// empty is the time until which asking gains nothing.
	empty     time.Time
	roundTrip time.Duration
}

type pending struct {
	ask  Ask
	sent time.Time
}

type held struct {
	sequence              uint64
	size, spent, returned int
	lapses, lastSpent     time.Time
	// changed is when the first tokens were spent or returned that no ask has reported, or zero.
	changed time.Time
}

// NewHolder returns a holder without tokens.
func NewHolder(c HolderConfig) *Holder {
	setDefault(&c.Interval, DefaultInterval)
	setDefault(&c.ReportAfter, DefaultReportAfter)
	setDefault(&c.Patience, DefaultPatience)
	setDefault(&c.Reach, DefaultReach)
	h := &Holder{config: c}
	for _, p := range c.Order {
		h.parts = append(h.parts, source{part: p})
	}
	return h
}

// Take notes a new request and spends a token for it if there is one.
func (h *Holder) Take(now time.Time) bool {
	h.demand = h.decayed(now) + 1
	h.noted = now
	return h.Spend(now)
}

// Spend spends a token, for a request that has waited, if there is one that has not lapsed.
func (h *Holder) Spend(now time.Time) bool {
	var best *held
	for i := range h.parts {
		for j := range h.parts[i].grants {
			g := &h.parts[i].grants[j]
			if g.left(now) > 0 && (best == nil || g.lapses.Before(best.lapses)) {
				best = g
			}
		}
	}
	if best == nil {
		return false
	}
	best.spent++
	best.lastSpent = now
	best.change(now)
	return true
}

// Next returns what to ask for now, if anything, while that many requests wait. The caller sends it at once and
// passes the outcome to Answer or Fail; it calls Next again until it returns false.
func (h *Holder) Next(now time.Time, waiting int) (Ask, bool) {
	h.prune(now)
	need := h.need(now, waiting)
	for i := range h.parts {
		s := &h.parts[i]
		if need > 0 && !now.Before(s.empty) && now.Sub(s.asked) >= h.config.Interval {
			s.asked = now
			a := s.ask(now, need)
			s.pending = append(s.pending, pending{ask: a, sent: now})
			return a, true
		}
		if !h.config.KeepUnspent {
			h.giveBack(s, now)
		}
		if s.unreported(now.Add(-h.config.ReportAfter)) {
			// Nothing waits for the answer; if the ask is lost, the owner counts the tokens until they lapse.
			return s.ask(now, 0), true
		}
	}
	return Ask{}, false
}

// Answer takes over a grant; an answer to an ask that was given up is ignored.
func (h *Holder) Answer(now time.Time, r Reply) {
	s, p, ok := h.settle(r.Part, r.Sequence)
	if !ok {
		return
	}
	s.roundTrip = (3*s.roundTrip + now.Sub(p.sent)) / 4
	if r.Tokens > 0 {
		s.grants = append(s.grants, held{sequence: r.Sequence, size: r.Tokens, lapses: p.sent.Add(GrantLife)})
	}
	if r.Tokens < p.ask.Tokens {
		s.empty = now.Add(r.RetryAfter)
	}
}

// Fail gives an ask up. Should it have been granted after all, the next ask returns the grant.
func (h *Holder) Fail(now time.Time, a Ask) {
	s, p, ok := h.settle(a.Part, a.Sequence)
	if !ok {
		return
	}
	lost := held{sequence: a.Sequence, size: a.Tokens, returned: a.Tokens, lapses: p.sent.Add(GrantLife)}
	lost.change(now)
	s.grants = append(s.grants, lost)
	s.empty = now.Add(unreachableFor)
}

// settle takes an ask from those without answer.
func (h *Holder) settle(part int, sequence uint64) (*source, pending, bool) {
	for i := range h.parts {
		s := &h.parts[i]
		if s.part != part {
			continue
		}
		for j, p := range s.pending {
			if p.ask.Sequence == sequence {
				s.pending = slices.Delete(s.pending, j, j+1)
				return s, p, true
			}
		}
	}
	return nil, pending{}, false
}

// Hopeless reports whether the newest of the requests that wait should be refused, and after what time its caller may
// send it again. The caller asks again with one request less until the answer is false.
func (h *Holder) Hopeless(now time.Time, waiting int) (time.Duration, bool) {
	if h.asked() >= waiting {
		return 0, false
	}
	wait := time.Duration(math.MaxInt64)
	for i := range h.parts {
		wait = min(wait, max(0, h.parts[i].empty.Sub(now)))
	}
	if h.config.Rate > 0 && len(h.parts) > 0 {
		wait += time.Duration(float64(waiting-1) / h.config.Rate * float64(time.Second))
	}
	return wait, wait > h.config.Patience
}

// Tokens returns the number of tokens in hand.
func (h *Holder) Tokens(now time.Time) int {
	n := 0
	for i := range h.parts {
		for j := range h.parts[i].grants {
			n += h.parts[i].grants[j].left(now)
		}
	}
	return n
}

// asked returns the number of tokens in asks without answer.
func (h *Holder) asked() int {
	n := 0
	for i := range h.parts {
		for _, p := range h.parts[i].pending {
			n += p.ask.Tokens
		}
	}
	return n
}

// need returns the number of tokens to ask for: what waits and what is likely to come until the next grant can be there.
func (h *Holder) need(now time.Time, waiting int) int {
	rate := h.decayed(now) / demandMemory.Seconds()
	trip := time.Duration(0)
	for i := range h.parts {
		trip = max(trip, h.parts[i].roundTrip)
	}
	inHand := h.Tokens(now) + h.asked()
	low := waiting + int(rate*trip.Seconds())
	if inHand >= low && waiting <= inHand {
		return 0
	}
	full := waiting + int(rate*(trip+h.config.Reach).Seconds())
	return min(max(0, full-inHand), maxAsk)
}

// giveBack returns the tokens of grants that lapse before a new grant could replace them, if demand will not use them.
func (h *Holder) giveBack(s *source, now time.Time) {
	spare := h.Tokens(now) - int(math.Round(h.decayed(now)/demandMemory.Seconds()*(s.roundTrip+h.config.Reach).Seconds()))
	for i := range s.grants {
		g := &s.grants[i]
		soon := g.lapses.Sub(now) < GrantLife/2
		if n := min(g.left(now), spare); n > 0 && soon {
			g.returned += n
			spare -= n
			// Waiting for the report would let the grant lapse at the owner.
			g.changed = now.Add(-h.config.ReportAfter)
		}
	}
}

// prune drops the grants that have lapsed.
func (h *Holder) prune(now time.Time) {
	for i := range h.parts {
		s := &h.parts[i]
		s.grants = slices.DeleteFunc(s.grants, func(g held) bool { return !now.Before(g.lapses) })
	}
}

func (h *Holder) decayed(now time.Time) float64 {
	return h.demand * math.Exp(-now.Sub(h.noted).Seconds()/demandMemory.Seconds())
}

// ask makes an ask with all changes that have not been reported.
func (s *source) ask(now time.Time, tokens int) Ask {
	s.sequence++
	a := Ask{Part: s.part, Sequence: s.sequence, Tokens: tokens}
	for i := range s.grants {
		g := &s.grants[i]
		if g.changed.IsZero() {
			continue
		}
		a.Reports = append(a.Reports, Report{Sequence: g.sequence, Spent: g.spent, Returned: g.returned, Age: now.Sub(g.lastSpent)})
		g.changed = time.Time{}
	}
	return a
}

// unreported reports whether a change before t has not been reported.
func (s *source) unreported(t time.Time) bool {
	return slices.ContainsFunc(s.grants, func(g held) bool { return !g.changed.IsZero() && !g.changed.After(t) })
}

func (g *held) left(now time.Time) int {
	if !now.Before(g.lapses) {
		return 0
	}
	return g.size - g.spent - g.returned
}

func (g *held) change(now time.Time) {
	if g.changed.IsZero() {
		g.changed = now
	}
}

func setDefault(p *time.Duration, d time.Duration) {
	if *p == 0 {
		*p = d
	}
}
