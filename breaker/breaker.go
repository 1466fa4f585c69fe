package breaker

import (
	"slices"
	"sort"
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// Defaults of Config.
const (
	DefaultThreshold = 2
	DefaultWindow    = 10 * time.Minute
	DefaultBlock     = 10 * time.Minute
	DefaultMax       = 4096
)

// maxStrikes limits the strikes kept for one fingerprint; more than Threshold are kept so that each
// one that is still news to a peer can be told.
const maxStrikes = 8

// Config configures a Breaker; zero fields take their defaults.
type Config struct {
	// Threshold is the number of strikes within Window that block a fingerprint; at most 8.
	Threshold int
	Window    time.Duration
	Block     time.Duration
	// Max limits the fingerprints kept.
	Max int
	// Hold is how long a copy of a request without strikes waits for the first one to end.
	Hold time.Duration
}

// Strike says that a request crashed a target.
type Strike struct {
	// ID is chosen by the instance that saw the crash.
	ID          string
	Fingerprint Fingerprint
	At          time.Time
	// Cleared reports that a copy ended well after the strike. The strike does not count towards a block then: a request
	// that is sent often is in flight in many crashes that others cause.
	Cleared bool
}

// Breaker counts strikes; it is not safe for concurrent use.
type Breaker struct {
	config Config
	rows   *indexer.Table[Fingerprint, row]
	gate   gate
}

type row struct {
	// strikes are in order of time, then of identifier.
	strikes []Strike
	// until is the end of the block.
	until time.Time
}

// New returns a breaker without strikes.
func New(c Config) *Breaker {
	if c.Threshold == 0 {
		c.Threshold = DefaultThreshold
	}
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	if c.Block == 0 {
		c.Block = DefaultBlock
	}
	if c.Max == 0 {
		c.Max = DefaultMax
	}
	if c.Hold == 0 {
		c.Hold = DefaultHold
	}
	return &Breaker{config: c, rows: indexer.New[Fingerprint, row](), gate: newGate()}
}

// Strike records s and reports whether it was news, so that the caller passes it on to peers at most once.
// A time in the future, as a peer with another clock may state it, counts as now.
func (b *Breaker) Strike(now time.Time, s Strike) bool {
	if s.At.After(now) {
		s.At = now
	}
	if s.ID == "" || b.old(s, now) {
		return false
	}
	r := b.rows.Get(s.Fingerprint)
	if r == nil {
		if b.rows.Len() >= b.config.Max {
			b.evict(now)
		}
		r = b.rows.Put(s.Fingerprint, row{})
	}
	if i := slices.IndexFunc(r.strikes, func(o Strike) bool { return o.ID == s.ID }); i >= 0 {
		news := s.Cleared && !r.strikes[i].Cleared
		r.strikes[i].Cleared = r.strikes[i].Cleared || s.Cleared
		b.block(r)
		return news
	}
	b.gate.trusted.Delete(s.Fingerprint)
	r.insert(s)
	b.block(r)
	if len(r.strikes) > maxStrikes {
		r.strikes = slices.Delete(r.strikes, 0, 1)
	}
	return true
}

// Blocked reports until when the fingerprint is refused, or zero if it is not.
func (b *Breaker) Blocked(now time.Time, f Fingerprint) time.Time {
	r := b.rows.Get(f)
	if r == nil || !now.Before(r.until) {
		return time.Time{}
	}
	return r.until
}

// Strikes returns the strikes that may still matter to a peer, at most limit of them, the newest first.
func (b *Breaker) Strikes(now time.Time, limit int) []Strike {
	var all []Strike
	for _, r := range b.rows.All() {
		for _, s := range r.strikes {
			if !b.old(s, now) {
				all = append(all, s)
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.After(all[j].At) })
	return all[:min(limit, len(all))]
}

// Tick drops what no longer matters.
func (b *Breaker) Tick(now time.Time) {
	for f, r := range b.rows.All() {
		r.strikes = slices.DeleteFunc(r.strikes, func(s Strike) bool { return b.old(s, now) })
		if len(r.strikes) == 0 {
			b.rows.Delete(f)
		}
	}
}

// Len returns the number of fingerprints kept.
func (b *Breaker) Len() int {
	return b.rows.Len()
}

// old reports whether the strike can no longer cause a block that lasts: it is kept for Window to pair with a later
// strike and for Block, which it may have started itself. A peer's repetition after that must not count as new.
func (b *Breaker) old(s Strike, now time.Time) bool {
	return now.Sub(s.At) >= b.config.Window+b.config.Block
}

// block sets the end of the block of r by every Threshold strikes within Window after which no copy ended well.
func (b *Breaker) block(r *row) {
	var l []Strike
	for _, s := range r.strikes {
		if !s.Cleared {
			l = append(l, s)
		}
	}
	r.until = time.Time{}
	for i := b.config.Threshold - 1; i < len(l); i++ {
		first, last := l[i-b.config.Threshold+1].At, l[i].At
		if last.Sub(first) > b.config.Window {
			continue
		}
		if u := last.Add(b.config.Block); u.After(r.until) {
			r.until = u
		}
	}
}

// evict drops the fingerprint whose newest strike is oldest, one that is not blocked if there is any.
func (b *Breaker) evict(now time.Time) {
	var worst Fingerprint
	var found *row
	for f, r := range b.rows.All() {
		if found == nil || r.lessThan(found, now) {
			worst, found = f, r
		}
	}
	b.rows.Delete(worst)
}

func (r *row) lessThan(o *row, now time.Time) bool {
	if a, b := now.Before(r.until), now.Before(o.until); a != b {
		return b
	}
	return r.newest().Before(o.newest())
}

func (r *row) newest() time.Time {
	if len(r.strikes) == 0 {
		return time.Time{}
	}
	return r.strikes[len(r.strikes)-1].At
}

// insert keeps the order of time, then of identifier, which is the same on every instance.
func (r *row) insert(s Strike) {
	i := sort.Search(len(r.strikes), func(i int) bool {
		o := r.strikes[i]
		return o.At.After(s.At) || (o.At.Equal(s.At) && o.ID > s.ID)
	})
	r.strikes = slices.Insert(r.strikes, i, s)
}
