package replicator

import (
	"maps"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/timer"
)

const (
	// backlog is how long after a suspension claims are read that arrived during it.
	backlog = 500 * time.Millisecond
	// claimLife is how long the claims of an origin are remembered.
	claimLife = time.Minute
)

// Claim states that a copy held all rows that the store had at a time. It keeps its origin when it is passed on, so that an
// instance never takes an older claim, delayed by others, for a newer one.
type Claim struct {
	// Origin identifies the process that the store answered.
	Origin string
	// Sequence increases with the claims of an origin.
	Sequence int64
	// Era and Content are the position of the newest row of the origin's copy.
	Era, Content uint64
	// AsOf is the time by the clock of this instance.
	AsOf time.Time
}

// freshness tracks up to when a copy is known to be complete. What was received before a suspension of the process proves
// nothing afterwards, although it may be read only then.
type freshness struct {
	suspensions timer.Suspensions

	mu sync.Mutex
	// own is the claim of this instance's own copy, from an answer of the store.
	own Claim
	// claims are the newest ones of other origins.
	claims map[string]Claim
}

// confirm records that the own copy, whose newest row has a position, was complete at a time.
func (f *freshness) confirm(origin string, p Position, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if asOf.After(f.own.AsOf) {
		f.own = Claim{Origin: origin, Sequence: asOf.UnixNano(), Era: p.Era, Content: p.Version, AsOf: asOf}
	}
}

// receive records a claim of another instance unless it is known already, whoever passed it on.
func (f *freshness) receive(now time.Time, c Claim) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k, ok := f.claims[c.Origin]; c.Origin == f.own.Origin || ok && k.Sequence >= c.Sequence {
		return
	}
	if f.claims == nil {
		f.claims = map[string]Claim{}
	}
	maps.DeleteFunc(f.claims, func(_ string, k Claim) bool { return now.Sub(k.AsOf) > claimLife })
	f.claims[c.Origin] = c
}

// newest returns the newest claim that holds for a copy whose newest row has a position; ok is false if there is none. A claim of
// an earlier era says nothing about the store after its restore, and one of a later era nothing about this copy.
func (f *freshness) newest(now time.Time, p Position) (best Claim, ok bool) {
	resumed := f.suspensions.Ended(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.own.Era == p.Era && f.own.AsOf.After(resumed) {
		best, ok = f.own, true
	}
	for _, c := range f.claims {
		if c.Era == p.Era && p.Version >= c.Content && c.AsOf.After(resumed.Add(backlog)) && c.AsOf.After(best.AsOf) {
			best, ok = c, true
		}
	}
	return best, ok
}
