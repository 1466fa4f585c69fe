package breaker

import (
	"slices"
	"sort"
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// Defaults of Config.
const (
	DefaultThreshold       = 2
	DefaultWindow          = 10 * time.Minute
	DefaultBlockDuration   = 10 * time.Minute
	DefaultMaxFingerprints = 4096
)

// maxStrikesPerFingerprint limits the strikes kept per fingerprint. It exceeds DefaultThreshold so that strikes that a
// peer has not received yet can still be sent.
const maxStrikesPerFingerprint = 8

// Config configures a Breaker; zero fields take their defaults.
type Config struct {
	// Threshold is the number of strikes within Window that block a fingerprint; at most 8.
	Threshold int
	// Window is the time within which strikes count towards Threshold.
	Window time.Duration
	// BlockDuration is how long a fingerprint is blocked after the strike that reached Threshold.
	BlockDuration time.Duration
	// MaxFingerprints limits the fingerprints kept in memory.
	MaxFingerprints int
	// Hold is how long a copy of a request without strikes waits for the first copy to end.
	Hold time.Duration
}

// Strike records that a request crashed a target.
type Strike struct {
	// ID is a unique identifier chosen by the instance that observed the crash.
	ID          string
	Fingerprint Fingerprint
	At          time.Time
	// Cleared is true if a copy of the request succeeded after the strike. The strike then does not count towards a block,
	// because a frequent request is often in flight when another request crashes the target.
	Cleared bool
}

// Breaker keeps strikes and derives which requests to block or run one at a time. It is not safe for concurrent use.
type Breaker struct {
	config  Config
	records *indexer.Table[Fingerprint, record]
	gate    gate
}

// record holds the strikes of one fingerprint.
type record struct {
	// strikes is sorted by time, then by identifier.
	strikes []Strike
	// blockedUntil is the end of the block; zero if there is none.
	blockedUntil time.Time
}

// New returns a Breaker without strikes.
func New(c Config) *Breaker {
	if c.Threshold == 0 {
		c.Threshold = DefaultThreshold
	}
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	if c.BlockDuration == 0 {
		c.BlockDuration = DefaultBlockDuration
	}
	if c.MaxFingerprints == 0 {
		c.MaxFingerprints = DefaultMaxFingerprints
	}
	if c.Hold == 0 {
		c.Hold = DefaultHold
	}
	return &Breaker{config: c, records: indexer.New[Fingerprint, record](), gate: newGate()}
}

// Strike records s and reports whether it changed anything, so that the caller forwards each strike to peers at most once.
// A time in the future, as a peer with a different clock may send it, is replaced by now.
func (b *Breaker) Strike(now time.Time, s Strike) bool {
	if s.At.After(now) {
		s.At = now
	}
	if s.ID == "" || b.expired(s, now) {
		return false
	}
	r := b.records.Get(s.Fingerprint)
	if r == nil {
		if b.records.Len() >= b.config.MaxFingerprints {
			b.evict(now)
		}
		r = b.records.Put(s.Fingerprint, record{})
	}
	if i := slices.IndexFunc(r.strikes, func(o Strike) bool { return o.ID == s.ID }); i >= 0 {
		changed := s.Cleared && !r.strikes[i].Cleared
		r.strikes[i].Cleared = r.strikes[i].Cleared || s.Cleared
		b.updateBlock(r)
		return changed
	}
	b.gate.succeeded.Delete(s.Fingerprint)
	r.insert(s)
	b.updateBlock(r)
	if len(r.strikes) > maxStrikesPerFingerprint {
		r.strikes = slices.Delete(r.strikes, 0, 1)
	}
	return true
}

// Blocked returns the end of the block of a fingerprint, or zero if it is not blocked.
func (b *Breaker) Blocked(now time.Time, f Fingerprint) time.Time {
	r := b.records.Get(f)
	if r == nil || !now.Before(r.blockedUntil) {
		return time.Time{}
	}
	return r.blockedUntil
}

// Strikes returns up to limit strikes that have not expired, newest first.
func (b *Breaker) Strikes(now time.Time, limit int) []Strike {
	var all []Strike
	for _, r := range b.records.All() {
		for _, s := range r.strikes {
			if !b.expired(s, now) {
				all = append(all, s)
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.After(all[j].At) })
	return all[:min(limit, len(all))]
}

// Tick removes expired strikes.
func (b *Breaker) Tick(now time.Time) {
	for f, r := range b.records.All() {
		r.strikes = slices.DeleteFunc(r.strikes, func(s Strike) bool { return b.expired(s, now) })
		if len(r.strikes) == 0 {
			b.records.Delete(f)
		}
	}
}

// Len returns the number of fingerprints that have strikes.
func (b *Breaker) Len() int {
	return b.records.Len()
}

// expired reports whether the strike can no longer contribute to a block that is still in force: a later strike can count
// with it for Window, and the resulting block lasts for BlockDuration. A repetition received after that is ignored.
func (b *Breaker) expired(s Strike, now time.Time) bool {
	return now.Sub(s.At) >= b.config.Window+b.config.BlockDuration
}

// updateBlock recomputes the end of the block of r from its uncleared strikes: each Threshold consecutive ones within
// Window block the fingerprint for BlockDuration after the last of them.
func (b *Breaker) updateBlock(r *record) {
	var l []Strike
	for _, s := range r.strikes {
		if !s.Cleared {
			l = append(l, s)
		}
	}
	r.blockedUntil = time.Time{}
	for i := b.config.Threshold - 1; i < len(l); i++ {
		first, last := l[i-b.config.Threshold+1].At, l[i].At
		if last.Sub(first) > b.config.Window {
			continue
		}
		if u := last.Add(b.config.BlockDuration); u.After(r.blockedUntil) {
			r.blockedUntil = u
		}
	}
}

// evict removes the fingerprint with the oldest last strike, preferring those that are not blocked.
func (b *Breaker) evict(now time.Time) {
	var oldest Fingerprint
	var found *record
	for f, r := range b.records.All() {
		if found == nil || r.evictedBefore(found, now) {
			oldest, found = f, r
		}
	}
	b.records.Delete(oldest)
}

// evictedBefore orders records for eviction.
func (r *record) evictedBefore(o *record, now time.Time) bool {
	if a, b := now.Before(r.blockedUntil), now.Before(o.blockedUntil); a != b {
		return b
	}
	return r.lastStrike().Before(o.lastStrike())
}

func (r *record) lastStrike() time.Time {
	if len(r.strikes) == 0 {
		return time.Time{}
	}
	return r.strikes[len(r.strikes)-1].At
}

// insert adds a strike in the order of time, then of identifier, which is the same on every instance.
func (r *record) insert(s Strike) {
	i := sort.Search(len(r.strikes), func(i int) bool {
		o := r.strikes[i]
		return o.At.After(s.At) || (o.At.Equal(s.At) && o.ID > s.ID)
	})
	r.strikes = slices.Insert(r.strikes, i, s)
}
