package tracker

import (
	"cmp"
	"slices"
	"time"
)

// absenceLife bounds how long an instance that left the peer set is remembered. A successor gives up after that time,
// so it is longer than an outage of the store may last.
const absenceLife = 24 * time.Hour

// absence is an instance that is not in the peer set any more.
type absence struct {
	incarnation uint64
	// since is when the first of the readings without the instance arrived.
	since time.Time
	// stopped is true if the incarnation said that it stopped.
	stopped bool
}

// Departure is an instance that no longer acts.
type Departure struct {
	Name string
	// Incarnation is the last one that said that it stopped; 0 stands for all incarnations.
	Incarnation uint64
}

// Departed returns, by name, the instances that do not act at now and cannot act again without being listed for ListLag +
// ListAge or hearing from this instance.
//
// An instance qualifies when this incarnation said that it stopped, or when it was neither heard nor shown by any
// reading for 2 ListLag + ListAge, while readings were at most ListAge apart. By then it has been off the list for
// longer than ListLag + ListAge without a break, so its own readings show the gap, or were more than ListAge apart. A
// shorter absence may be hidden from it: it can be listed again while readings still show the time before.
func (t *Tracker) Departed() []Departure {
	var r []Departure
	for k, d := range t.absences.All() {
		switch {
		case d.stopped:
			r = append(r, Departure{Name: k, Incarnation: d.incarnation})
		case !t.read.Before(latest(d.since, t.unbroken).Add(t.c.ListLag + t.c.hold())):
			r = append(r, Departure{Name: k})
		}
	}
	slices.SortFunc(r, func(a, b Departure) int { return cmp.Compare(a.Name, b.Name) })
	return r
}

// observeReading records when a reading was requested; absences count only while readings are at most ListAge apart.
func (t *Tracker) observeReading(requested, now time.Time) {
	if t.read.IsZero() || requested.Sub(t.read) > t.c.ListAge {
		t.unbroken = now
	}
	t.read = latest(t.read, requested)
}

// appear ends the absence of an instance that is listed or heard; one that stopped stays known by its incarnation.
func (t *Tracker) appear(name string) {
	if d := t.absences.Get(name); d != nil && !d.stopped {
		t.absences.Delete(name)
	}
}

// ListedSince returns when the present run of own listings began: readings that show the own instance, requested at
// most ListAge apart. Between two readings that are further apart it may have been off the list.
func (t *Tracker) ListedSince() time.Time {
	return t.shown
}

// Settled reports whether the instance may keep what it owns: it is admitted and no newcomer.
func (t *Tracker) Settled(now time.Time) bool {
	return !t.Admitted().IsZero() && !t.Newcomer(now)
}
