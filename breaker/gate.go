package breaker

import (
	"slices"
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// DefaultHold is how long a copy waits for the first one to end, before there is a strike.
const DefaultHold = time.Second

// Pass lets one copy of a request run; End takes it back.
type Pass struct {
	fingerprint Fingerprint
	alone       bool
}

// gate holds back copies of requests that are not known to end well.
type gate struct {
	// alone holds the fingerprints of which a single copy runs, and whether another one asked meanwhile.
	alone map[Fingerprint]bool
	// trusted holds when a fingerprint whose copies meet was found to end well.
	trusted *indexer.Table[Fingerprint, time.Time]
}

func newGate() gate {
	return gate{alone: map[Fingerprint]bool{}, trusted: indexer.New[Fingerprint, time.Time]()}
}

// Suspect reports whether the fingerprint has a strike after which no copy ended well; its copies run one at a time.
func (b *Breaker) Suspect(now time.Time, f Fingerprint) bool {
	r := b.rows.Get(f)
	if r == nil {
		return false
	}
	return slices.ContainsFunc(r.strikes, func(s Strike) bool { return !s.Cleared && now.Sub(s.At) < b.config.Window })
}

// Start reports whether a copy that has waited for a time may run now. The first copy of a fingerprint runs alone;
// the others wait until one ended well, or for Hold if the fingerprint has no strike.
func (b *Breaker) Start(now time.Time, f Fingerprint, waited time.Duration) (Pass, bool) {
	suspect := b.Suspect(now, f)
	if !suspect && (waited >= b.config.Hold || b.trusts(now, f)) {
		return Pass{fingerprint: f}, true
	}
	if _, busy := b.gate.alone[f]; busy {
		b.gate.alone[f] = true
		return Pass{}, false
	}
	b.gate.alone[f] = false
	return Pass{fingerprint: f, alone: true}, true
}

func (b *Breaker) trusts(now time.Time, f Fingerprint) bool {
	t := b.gate.trusted.Get(f)
	return t != nil && now.Sub(*t) < b.config.Window
}

// End records the end of a copy; well means that it ran and its target did not crash. It returns the strikes that this
// clears, to be told to all peers.
func (b *Breaker) End(now time.Time, p Pass, well bool) []Strike {
	if !p.alone {
		return nil
	}
	met := b.gate.alone[p.fingerprint]
	delete(b.gate.alone, p.fingerprint)
	if !well {
		return nil
	}
	if met {
		b.trust(now, p.fingerprint)
	}
	return b.clear(p.fingerprint)
}

func (b *Breaker) trust(now time.Time, f Fingerprint) {
	for o := range b.gate.trusted.All() {
		if b.gate.trusted.Len() < b.config.Max {
			break
		}
		b.gate.trusted.Delete(o)
	}
	b.gate.trusted.Put(f, now)
}

func (b *Breaker) clear(f Fingerprint) []Strike {
	r := b.rows.Get(f)
	if r == nil {
		return nil
	}
	var c []Strike
	for i := range r.strikes {
		if s := &r.strikes[i]; !s.Cleared {
			s.Cleared = true
			c = append(c, *s)
		}
	}
	b.block(r)
	return c
}
