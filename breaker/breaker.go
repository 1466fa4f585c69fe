package breaker

import (
	"maps"
	"slices"
	"sort"
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// Defaults of Config.
const (
	DefaultThreshold       = 2
	DefaultPathThreshold   = 3
	DefaultWindow          = 10 * time.Minute
	DefaultBlockDuration   = 10 * time.Minute
	DefaultMaxFingerprints = 4096
)

// Trials of a blocked fingerprint.
const (
	// firstTrial is the time from the strike that reached the threshold to the first trial. Targets that crashed are back, and
	// the strike is known to all instances, within it.
	firstTrial = 15 * time.Second
	// trialBackoff multiplies the wait with each further strike, so that a request which crashes every target takes down two
	// more of them in the first ten minutes.
	trialBackoff = 8
)

// maxStrikesPerFingerprint limits the strikes kept per fingerprint. It exceeds DefaultThreshold so that strikes that a
// peer has not received yet can still be sent.
const maxStrikesPerFingerprint = 8

// Config configures a Breaker; zero fields take their defaults.
type Config struct {
	// Threshold is the number of successive strikes within Window that block a fingerprint; at most 8.
	Threshold int
	// PathThreshold is the same for the fingerprint of a path.
	PathThreshold int
	// Window is the time within which strikes count towards Threshold.
	Window time.Duration
	// BlockDuration is how long a fingerprint is blocked after the strike that reached Threshold, unless a copy succeeds in
	// a trial.
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
	// At is the time of the crash.
	At time.Time
	// Ran is how long the target had had the request by then.
	Ran time.Duration
	// Crash identifies the crash, so that several copies on one target are one piece of evidence. If it is empty, the strike is
	// a crash of its own.
	Crash string
	// Path is true if Fingerprint is that of a path with any query.
	Path bool
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

// Verdict says how copies of a request may run.
type Verdict int

// Verdicts.
const (
	// Free means that any number of copies may run.
	Free Verdict = iota
	// Alone means that one copy may run at a time in the fleet, since several targets crashed that had the request.
	Alone
	// Refused means that no copy may run.
	Refused
)

// keptStrike is a strike with the time at which this instance recorded or cleared it.
type keptStrike struct {
	Strike
	changed time.Time
}

// record holds the strikes of one fingerprint.
type record struct {
	// strikes is sorted by time, then by identifier.
	strikes []keptStrike
	// blockedUntil is the end of the block, and trialAt the time within it from which on a copy may run alone; zero if there
	// is none.
	blockedUntil, trialAt time.Time
}

// New returns a Breaker without strikes.
func New(c Config) *Breaker {
	if c.Threshold == 0 {
		c.Threshold = DefaultThreshold
	}
	if c.PathThreshold == 0 {
		c.PathThreshold = DefaultPathThreshold
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
	if i := slices.IndexFunc(r.strikes, func(o keptStrike) bool { return o.ID == s.ID }); i >= 0 {
		if !s.Cleared || r.strikes[i].Cleared {
			return false
		}
		r.strikes[i].Cleared, r.strikes[i].changed = true, now
		delete(b.gate.granted, s.Fingerprint)
		b.updateBlock(r)
		return true
	}
	b.gate.succeeded.Delete(s.Fingerprint)
	r.insert(keptStrike{Strike: s, changed: now})
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

// Judge returns how a request with some fingerprints may run, and for a refused one the time from which on a copy may run alone.
// The fingerprint that restricts it is the returned one.
func (b *Breaker) Judge(now time.Time, fs ...Fingerprint) (Verdict, Fingerprint, time.Time) {
	worst, by, until := Free, fs[0], time.Time{}
	for _, f := range fs {
		if v, u := b.judge(now, f); v > worst || v == Refused && u.After(until) {
			worst, by, until = v, f, u
		}
	}
	return worst, by, until
}

func (b *Breaker) judge(now time.Time, f Fingerprint) (Verdict, time.Time) {
	r := b.records.Get(f)
	switch {
	case r == nil:
		return Free, time.Time{}
	case now.Before(r.blockedUntil) && now.Before(r.trialAt):
		return Refused, r.trialAt
	case now.Before(r.blockedUntil), !r.path() && b.crashes(now, r) >= b.config.Threshold:
		return Alone, time.Time{}
	}
	return Free, time.Time{}
}

// crashes returns the number of crashes within Window after which no copy has succeeded.
func (b *Breaker) crashes(now time.Time, r *record) int {
	n := 0
	seen := map[string]bool{}
	for _, s := range r.strikes {
		if s.Cleared || now.Sub(s.At) >= b.config.Window || seen[s.Crash] {
			continue
		}
		seen[s.Crash] = s.Crash != ""
		n++
	}
	return n
}

// Strikes returns up to limit strikes that have not expired, those recorded or cleared last first.
func (b *Breaker) Strikes(now time.Time, limit int) []Strike {
	return b.ChangedSince(now, time.Time{}, limit)
}

// ChangedSince is like Strikes, without those that were recorded and cleared before a time.
func (b *Breaker) ChangedSince(now, since time.Time, limit int) []Strike {
	var all []keptStrike
	for _, r := range b.records.All() {
		for _, s := range r.strikes {
			if !b.expired(s.Strike, now) && !s.changed.Before(since) {
				all = append(all, s)
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool {
		if a, b := all[i].changed, all[j].changed; !a.Equal(b) {
			return a.After(b)
		}
		return all[i].At.After(all[j].At)
	})
	var l []Strike
	for _, s := range all[:min(limit, len(all))] {
		l = append(l, s.Strike)
	}
	return l
}

// Tick removes expired strikes and permissions.
func (b *Breaker) Tick(now time.Time) {
	for f, r := range b.records.All() {
		r.strikes = slices.DeleteFunc(r.strikes, func(s keptStrike) bool { return b.expired(s.Strike, now) })
		if len(r.strikes) == 0 {
			b.records.Delete(f)
		}
	}
	maps.DeleteFunc(b.gate.granted, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= grantLife })
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

// updateBlock recomputes the block of r: as many successive strikes within Window as the threshold block the fingerprint for
// BlockDuration after the last of them. The wait for the trial grows with the number of successive strikes.
func (b *Breaker) updateBlock(r *record) {
	l, threshold := r.successive(), b.config.Threshold
	if r.path() {
		threshold = b.config.PathThreshold
	}
	r.blockedUntil, r.trialAt = time.Time{}, time.Time{}
	n := 0
	for i, s := range l {
		if i > 0 && s.At.Sub(l[i-1].At) > b.config.Window {
			n = 0
		}
		n++
		if n < threshold || s.At.Sub(l[i-threshold+1].At) > b.config.Window {
			continue
		}
		r.blockedUntil = s.At.Add(b.config.BlockDuration)
		r.trialAt = s.At.Add(b.trialDelay(n - threshold))
	}
}

// trialDelay returns the time from the last strike to the trial after a number of failed trials; it never exceeds BlockDuration.
func (b *Breaker) trialDelay(failed int) time.Duration {
	d := firstTrial
	for ; failed > 0 && d < b.config.BlockDuration; failed-- {
		d *= trialBackoff
	}
	return min(d, b.config.BlockDuration)
}

// path reports whether the fingerprint is that of a path. Crashes of one moment do not restrict it: its requests are many.
func (r *record) path() bool {
	return len(r.strikes) > 0 && r.strikes[0].Path
}

// successive returns the uncleared strikes of which each began after the crash before it, for as many crashes as possible.
// Copies that were running at the same time prove no more than one of them: whatever ended their targets may have ended all
// of them at once.
func (r *record) successive() []Strike {
	var l []Strike
	seen := map[string]bool{}
	for _, s := range r.strikes {
		if s.Cleared || seen[s.Crash] || len(l) > 0 && s.At.Add(-s.Ran).Before(l[len(l)-1].At) {
			continue
		}
		seen[s.Crash] = s.Crash != ""
		l = append(l, s.Strike)
	}
	return l
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
func (r *record) insert(s keptStrike) {
	i := sort.Search(len(r.strikes), func(i int) bool {
		o := r.strikes[i]
		return o.At.After(s.At) || (o.At.Equal(s.At) && o.ID > s.ID)
	})
	r.strikes = slices.Insert(r.strikes, i, s)
}
