package limiter

import (
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// HolderID names one incarnation of an entry instance.
type HolderID struct {
	Name        string
	Incarnation uint64
}

// Ask is a request for tokens of one part.
type Ask struct {
	// Part is the index of the share.
	Part int
	// Sequence numbers the asks of a holder to a part, from 1.
	Sequence uint64
	// Tokens may be 0 if the ask only reports.
	Tokens  int
	Reports []Report
}

// Report says what became of a grant; the counts are cumulative.
type Report struct {
	// Sequence is that of the ask that the grant answered.
	Sequence uint64
	Spent    int
	Returned int
	// Age is the time since the last of the spent tokens was spent.
	Age time.Duration
}

// Reply answers an Ask.
type Reply struct {
	Part     int
	Sequence uint64
	Tokens   int
	// RetryAfter is the time until another token may be there, if fewer tokens were granted than asked for.
	RetryAfter time.Duration
}

// PartConfig configures a Part.
type PartConfig struct {
	Share Share
	// Active is when this instance became the owner; it grants after the grants of an earlier owner have lapsed.
	Active time.Time
}

// Part is the owner's side of a share; it is not safe for concurrent use.
type Part struct {
	share  Share
	tokens int64
	rem    uint64
	// outstanding is the sum of what the grants still hold.
	outstanding int64
	// last is when tokens were last added.
	last time.Time
	// lost holds the spans of the last ownerLife in which the part was full and what its rate yielded was lost.
	lost []span
	// grants is in order of lapse, since all grants live equally long.
	grants *indexer.Table[grantKey, grant]
	// newest holds the last reply to an ask of each holder for tokens, for repeated asks.
	newest *indexer.Table[HolderID, answered]
}

type grantKey struct {
	holder   HolderID
	sequence uint64
}

type grant struct {
	size, spent, returned int
	lapses                time.Time
}

type span struct {
	from, to time.Time
}

type answered struct {
	reply Reply
	at    time.Time
}

// NewPart returns an empty part, which also fills only after the grants of an earlier owner have lapsed.
func NewPart(c PartConfig) *Part {
	return &Part{
		share:  c.Share,
		last:   c.Active.Add(ownerLife),
		grants: indexer.New[grantKey, grant](),
		newest: indexer.New[HolderID, answered](),
	}
}

// Grant applies the reports of an ask and grants what is there.
func (p *Part) Grant(now time.Time, h HolderID, a Ask) Reply {
	p.advance(now)
	for _, r := range a.Reports {
		p.report(now, grantKey{h, r.Sequence}, r)
	}
	if a.Tokens <= 0 {
		return Reply{Part: a.Part, Sequence: a.Sequence}
	}
	if n := p.newest.Get(h); n != nil && a.Sequence <= n.reply.Sequence {
		if a.Sequence == n.reply.Sequence {
			return n.reply
		}
		return Reply{Part: a.Part, Sequence: a.Sequence}
	}
	n := int(min(int64(a.Tokens), p.tokens/Token))
	r := Reply{Part: a.Part, Sequence: a.Sequence, Tokens: n}
	if n > 0 {
		p.tokens -= int64(n) * Token
		p.outstanding += int64(n) * Token
		p.grants.Put(grantKey{h, a.Sequence}, grant{size: n, lapses: now.Add(ownerLife)})
	}
	if n < a.Tokens {
		r.RetryAfter = p.wait(now)
	}
	p.newest.Put(h, answered{reply: r, at: now})
	return r
}

// Adjust changes the share; what is outstanding stays so.
func (p *Part) Adjust(now time.Time, s Share) {
	p.advance(now)
	p.share, p.lost = s, nil
	p.limit()
}

// Tick drops the grants that have lapsed and the replies that are too old to be asked for again.
func (p *Part) Tick(now time.Time) {
	p.advance(now)
	for h, a := range p.newest.All() {
		if now.Sub(a.at) > 2*ownerLife {
			p.newest.Delete(h)
		}
	}
}

// advance adds tokens up to now. A grant that lapses on the way makes room from then on.
func (p *Part) advance(now time.Time) {
	for k, g := range p.grants.All() {
		if g.lapses.After(now) {
			break
		}
		p.fill(g.lapses)
		p.outstanding -= g.held()
		p.grants.Delete(k)
	}
	p.fill(now)
}

func (p *Part) fill(now time.Time) {
	if !now.After(p.last) {
		return
	}
	n, rem := accrue(p.share.Rate, now.Sub(p.last), p.rem)
	if room := max(0, p.share.Burst-p.outstanding-p.tokens); n > room {
		p.lose(now, durationOf(p.share.Rate, n-room))
	}
	p.rem, p.last = rem, now
	p.tokens = min(n, p.share.Burst) + p.tokens
	p.limit()
}

// lose notes that the yield of the last d was lost.
func (p *Part) lose(now time.Time, d time.Duration) {
	for len(p.lost) > 0 && now.Sub(p.lost[0].to) > ownerLife {
		p.lost = p.lost[1:]
	}
	from := now.Add(-min(d, ownerLife))
	if n := len(p.lost); n > 0 && !from.After(p.lost[n-1].to) {
		p.lost[n-1].to = now
		return
	}
	p.lost = append(p.lost, span{from, now})
}

// regain returns up to most nanotokens of what was lost since then. Tokens that were spent at that time left room that
// the owner did not know of; each lost yield is regained at most once.
func (p *Part) regain(since time.Time, most int64) int64 {
	var got int64
	var left []span
	for _, s := range p.lost {
		low := s.from
		if since.After(low) {
			low = since
		}
		if got >= most || !low.Before(s.to) {
			left = append(left, s)
			continue
		}
		if low.After(s.from) {
			left = append(left, span{s.from, low})
		}
		n, _ := accrue(p.share.Rate, s.to.Sub(low), 0)
		if n > most-got {
			n = most - got
			left = append(left, span{low.Add(timeFor(p.share.Rate, n)), s.to})
		}
		got += n
	}
	p.lost = left
	return got
}

// limit keeps tokens and outstanding tokens together within the burst.
func (p *Part) limit() {
	if most := max(0, p.share.Burst-p.outstanding); p.tokens >= most {
		p.tokens, p.rem = most, 0
	}
}

// report takes over counts that are newer than the known ones.
func (p *Part) report(now time.Time, k grantKey, r Report) {
	g := p.grants.Get(k)
	if g == nil {
		return
	}
	before, known := g.held(), g.spent
	g.spent = max(g.spent, min(r.Spent, g.size-g.returned))
	back := max(0, min(r.Returned, g.size-g.spent)-g.returned)
	g.returned += back
	p.outstanding += g.held() - before
	p.tokens += int64(back) * Token
	if n := g.spent - known; n > 0 {
		// The holder's clock may run faster, which would make the age too large.
		p.tokens += p.regain(now.Add(-(r.Age - r.Age/driftShare)), int64(n)*Token)
	}
	p.limit()
}

// wait returns the time until a token may be there.
func (p *Part) wait(now time.Time) time.Duration {
	if p.tokens >= Token {
		return 0
	}
	start := max(0, p.last.Sub(now))
	if p.outstanding+Token > p.share.Burst {
		for _, g := range p.grants.All() {
			return g.lapses.Sub(now)
		}
	}
	return start + timeFor(p.share.Rate, Token-p.tokens)
}

// held returns the tokens that may still be spent, in nanotokens.
func (g *grant) held() int64 {
	return int64(g.size-g.spent-g.returned) * Token
}
