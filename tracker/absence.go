package tracker

import (
	"cmp"
	"slices"
	"time"
)

// absenceRetention is how long an absence is kept. A succession ends when the absence of the owner is deleted, so the
// retention exceeds the longest expected store outage.
const absenceRetention = 24 * time.Hour

// absence records an instance that left the peer set.
type absence struct {
	incarnation uint64
	// since is when the first reading without the instance arrived.
	since time.Time
	// stopped reports that the incarnation announced that it stopped.
	stopped bool
}

// Departure identifies an instance that no longer acts.
type Departure struct {
	Name string
	// Incarnation is the last incarnation that announced that it stopped; 0 means all incarnations.
	Incarnation uint64
}

// Departed returns, sorted by name, the instances that do not act and cannot act again before they have been listed for
// ListLag + ListAge or have exchanged a heartbeat with the local instance.
//
// An instance has departed if its incarnation announced that it stopped, or if no message of it arrived and no reading
// showed it for 2 ListLag + ListAge while readings were at most ListAge apart. It has then been unlisted for more than
// ListLag + ListAge without interruption, so its own readings show the absence or are more than ListAge apart. The
// instance may not notice a shorter absence: it can be listed again while its readings still show the earlier state.
func (t *Tracker) Departed() []Departure {
	var r []Departure
	for k, d := range t.absences.All() {
		switch {
		case d.stopped:
			r = append(r, Departure{Name: k, Incarnation: d.incarnation})
		case !t.newestReading.Before(latest(d.since, t.readingsSince).Add(t.c.ListLag + t.c.absenceTimeout())):
			r = append(r, Departure{Name: k})
		}
	}
	slices.SortFunc(r, func(a, b Departure) int { return cmp.Compare(a.Name, b.Name) })
	return r
}

// observeReading records when a reading was requested. The duration of an absence counts only while successive readings
// are requested at most ListAge apart.
func (t *Tracker) observeReading(requested, now time.Time) {
	if t.newestReading.IsZero() || requested.Sub(t.newestReading) > t.c.ListAge {
		t.readingsSince = now
	}
	t.newestReading = latest(t.newestReading, requested)
}

// endAbsence deletes the absence of an instance that is listed or heard. The record of a stopped incarnation stays.
func (t *Tracker) endAbsence(name string) {
	if d := t.absences.Get(name); d != nil && !d.stopped {
		t.absences.Delete(name)
	}
}

// ListedSince returns when the current run of readings that show the local instance began. Successive readings of a run
// were requested at most ListAge apart; between readings further apart the instance may have been unlisted.
func (t *Tracker) ListedSince() time.Time {
	return t.listedSince
}

// Settled reports whether the local instance may keep the resources that it owns: it is admitted and no newcomer.
func (t *Tracker) Settled(now time.Time) bool {
	return !t.Admitted().IsZero() && !t.Newcomer(now)
}
