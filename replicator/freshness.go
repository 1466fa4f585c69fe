package replicator

import (
	"sync"
	"time"
)

// suspension is the pause between two beats from which the process counts as suspended; a starved one misses beats too.
const suspension = time.Second

// freshness tracks up to when a copy is known to be complete. What was heard before a suspension of the process proves
// nothing afterwards, although it may be read only then.
type freshness struct {
	mu sync.Mutex
	// asOf is the latest time at which the store is known to have had nothing newer than the copy.
	asOf time.Time
	// claimed is the latest such time of a peer's copy, whose newest row has the version content.
	claimed time.Time
	content uint64
	// last is the last beat, resumed the end of the last suspension.
	last, resumed time.Time
}

// beat is called at short intervals, so that a suspension is noticed.
func (f *freshness) beat(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.suspended(now) {
		f.resumed = now
	}
	f.last = now
}

func (f *freshness) suspended(now time.Time) bool {
	return !f.last.IsZero() && now.Sub(f.last) > suspension
}

// confirm records that the copy was complete at a time.
func (f *freshness) confirm(asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

// claim records that a peer's copy, whose newest row has the version content, was complete at a time.
func (f *freshness) claim(content uint64, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if asOf.After(f.claimed) {
		f.claimed, f.content = asOf, content
	}
}

// completeAsOf returns the latest time at which a copy with the given newest version was complete, or zero if that is
// not known.
func (f *freshness) completeAsOf(now time.Time, content uint64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if content >= f.content && f.claimed.After(f.asOf) {
		f.asOf = f.claimed
	}
	if f.suspended(now) || !f.asOf.After(f.resumed) {
		return time.Time{}
	}
	return f.asOf
}
