package breaker

import (
	"slices"
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// DefaultHold is the default of Config.Hold.
const DefaultHold = time.Second

// grantLife is how long a permission to run a copy alone lasts unless the copy succeeds; it exceeds the time that most requests
// take.
const grantLife = 5 * time.Second

// Pass is the permission for one copy of a request to run. It is returned with End.
type Pass struct {
	fingerprint Fingerprint
	exclusive   bool
}

// gate keeps the state that delays copies of requests that have not succeeded yet.
type gate struct {
	// exclusive holds the fingerprints with an exclusive copy running. The value is true if another copy has tried to start
	// since.
	exclusive map[Fingerprint]bool
	// succeeded holds the time of the last success of fingerprints whose other copies had to wait.
	succeeded *indexer.Table[Fingerprint, time.Time]
	// granted holds the times at which copies of fingerprints were permitted to run alone at any instance.
	granted map[Fingerprint]time.Time
}

func newGate() gate {
	return gate{
		exclusive: map[Fingerprint]bool{},
		succeeded: indexer.New[Fingerprint, time.Time](),
		granted:   map[Fingerprint]time.Time{},
	}
}

// Suspect reports whether the fingerprint has a strike within Window after which no copy has succeeded. The copies of a
// suspect run one at a time.
func (b *Breaker) Suspect(now time.Time, f Fingerprint) bool {
	r := b.records.Get(f)
	if r == nil {
		return false
	}
	return slices.ContainsFunc(r.strikes, func(s keptStrike) bool { return !s.Cleared && now.Sub(s.At) < b.config.Window })
}

// Start reports whether a copy that has waited for the given time may run now. The first copy of a fingerprint runs
// alone; the others wait until a copy has succeeded or, if the fingerprint is not suspect, for Hold.
func (b *Breaker) Start(now time.Time, f Fingerprint, waited time.Duration) (Pass, bool) {
	suspect := b.Suspect(now, f)
	if !suspect && (waited >= b.config.Hold || b.recentlySucceeded(now, f)) {
		return Pass{fingerprint: f}, true
	}
	if _, running := b.gate.exclusive[f]; running {
		b.gate.exclusive[f] = true
		return Pass{}, false
	}
	b.gate.exclusive[f] = false
	return Pass{fingerprint: f, exclusive: true}, true
}

// recentlySucceeded reports whether copies of the fingerprint may run concurrently because one succeeded within Window.
func (b *Breaker) recentlySucceeded(now time.Time, f Fingerprint) bool {
	t := b.gate.succeeded.Get(f)
	return t != nil && now.Sub(*t) < b.config.Window
}

// End records the end of a copy and takes its pass back. succeeded means that the copy ran and its target did not crash.
// End returns the strikes that this clears; the caller sends them to all peers.
func (b *Breaker) End(now time.Time, p Pass, succeeded bool) []Strike {
	if !p.exclusive {
		return nil
	}
	contended := b.gate.exclusive[p.fingerprint]
	delete(b.gate.exclusive, p.fingerprint)
	if !succeeded {
		return nil
	}
	if contended {
		b.recordSuccess(now, p.fingerprint)
	}
	return b.clearStrikes(now, p.fingerprint)
}

// Grant permits one copy of a fingerprint to run at any instance, and reports whether it did. All instances ask the same one,
// so that one copy runs in the fleet until it has succeeded, has crashed its target, or grantLife has passed.
func (b *Breaker) Grant(now time.Time, f Fingerprint) bool {
	if v, _ := b.judge(now, f); v == Refused || len(b.gate.granted) >= b.config.MaxFingerprints {
		return false
	}
	if at, ok := b.gate.granted[f]; ok && now.Sub(at) < grantLife {
		return false
	}
	b.gate.granted[f] = now
	return true
}

// Succeeded records that a request with some fingerprints ran and its target did not crash. It returns the strikes that this
// clears; the caller sends them to all peers.
func (b *Breaker) Succeeded(now time.Time, fs ...Fingerprint) []Strike {
	var c []Strike
	for _, f := range fs {
		c = append(c, b.clearStrikes(now, f)...)
	}
	return c
}

// recordSuccess stores the time of a success. Beyond MaxFingerprints it removes arbitrary other fingerprints.
func (b *Breaker) recordSuccess(now time.Time, f Fingerprint) {
	for o := range b.gate.succeeded.All() {
		if b.gate.succeeded.Len() < b.config.MaxFingerprints {
			break
		}
		b.gate.succeeded.Delete(o)
	}
	b.gate.succeeded.Put(f, now)
}

// clearStrikes marks the strikes of a fingerprint as cleared and returns those that were not.
func (b *Breaker) clearStrikes(now time.Time, f Fingerprint) []Strike {
	r := b.records.Get(f)
	if r == nil {
		return nil
	}
	var c []Strike
	for i := range r.strikes {
		if s := &r.strikes[i]; !s.Cleared {
			s.Cleared, s.changed = true, now
			c = append(c, s.Strike)
		}
	}
	delete(b.gate.granted, f)
	b.updateBlock(r)
	return c
}
