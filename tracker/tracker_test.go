package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/tracker"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time {
	return start.Add(d)
}

func instance(name string, incarnation uint64) tracker.Instance {
	return tracker.Instance{Name: name, Incarnation: incarnation, Region: "almaty", FailureDomain: "almaty_1"}
}

func entries(names ...string) []tracker.Entry {
	var r []tracker.Entry
	for _, n := range names {
		r = append(r, tracker.Entry{Instance: instance(n, 0)})
	}
	return r
}

func newTracker(t testing.TB, name string) *tracker.Tracker {
	t.Helper()
	r, err := tracker.New(tracker.Config{Self: instance(name, 1), Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// exchange delivers a heartbeat from a to b and its answer, and reports whether both were accepted.
func exchange(a, b *tracker.Tracker, now time.Time) bool {
	c := a.Heartbeat(now)
	if !b.ObserveHeartbeat(now, c) {
		return false
	}
	return a.ObserveAnswer(now, now, b.Heartbeat(now))
}

// Guards against a local instance without an incarnation, which peers could not distinguish from an earlier one.
func TestNewNeedsIdentity(t *testing.T) {
	if _, err := tracker.New(tracker.Config{Self: tracker.Instance{Name: "a"}}); err == nil {
		t.Fatal("New accepted an instance without incarnation")
	}
}

// Guards against newcomers that act while the lag of the list may hide them from each other.
func TestNewcomersThatDoNotSeeEachOther(t *testing.T) {
	a := newTracker(t, "a")
	for s := time.Second; s < 14*time.Second; s += time.Second {
		a.ObserveList(at(s), at(s), entries("a"))
		if a.Acts(at(s)) || a.Own(at(s)) == tracker.Active {
			t.Fatalf("a newcomer acts after %v, before the list must show it to others", s)
		}
	}
	a.ObserveList(at(14*time.Second), at(14*time.Second), entries("a"))
	if !a.Acts(at(14 * time.Second)) {
		t.Fatal("the newcomer does not act after list_lag + list_age")
	}
}

// Guards against a newcomer that is admitted while a peer does not have it in its peer set, or
// because of a confirmation from before it was listed.
func TestNewcomerNeedsEveryPeer(t *testing.T) {
	n, x, y := newTracker(t, "n"), newTracker(t, "x"), newTracker(t, "y")
	exchange(n, x, at(0))
	n.ObserveList(at(0), at(time.Second), entries("n", "x"))
	for _, c := range []struct {
		at   time.Duration
		do   func(time.Time)
		want bool
	}{
		{time.Second, func(time.Time) {}, false},
		{2 * time.Second, func(t time.Time) { exchange(n, x, t) }, true},
		{3 * time.Second, func(t time.Time) { n.ObserveList(t, t, entries("n", "x", "y")) }, false},
		{4 * time.Second, func(t time.Time) { exchange(n, y, t) }, true},
	} {
		c.do(at(c.at))
		n.Tick(at(c.at))
		if got := !n.Admitted().IsZero(); got != c.want {
			t.Fatalf("after %v admitted: %v, want %v", c.at, got, c.want)
		}
	}
}

// Guards against the removal of a peer that may still act: readings may show it for list_lag
// after it left the list, and it acts for list_age after such a reading.
func TestPeerIsKeptWhileItMayAct(t *testing.T) {
	for _, c := range []struct {
		name   string
		absent []time.Duration
		want   bool
	}{
		{"one reading", []time.Duration{20 * time.Second}, true},
		{"readings over less than the hold", []time.Duration{20 * time.Second, 32 * time.Second}, true},
		{"readings over the hold", []time.Duration{20 * time.Second, 33 * time.Second}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newTracker(t, "a")
			a.ObserveList(at(0), at(0), entries("a", "b"))
			for _, d := range c.absent {
				a.ObserveList(at(d), at(d), entries("a"))
			}
			if got := len(a.Peers(at(time.Minute))) == 1; got != c.want {
				t.Fatalf("kept: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against accepting messages of stopped or superseded incarnations as evidence that the instance is alive.
func TestIncarnations(t *testing.T) {
	a := newTracker(t, "a")
	heard := func(i uint64, s tracker.State) string {
		ok := a.ObserveHeartbeat(at(0), tracker.Contact{From: instance("b", i), State: s})
		r := fmt.Sprint(ok)
		for _, p := range a.Peers(at(0)) {
			r += fmt.Sprint(" ", p.Incarnation)
		}
		return r
	}
	for _, c := range []struct {
		incarnation uint64
		state       tracker.State
		want        string
	}{
		{5, tracker.Active, "true 5"},
		{4, tracker.Active, "false 5"},
		{4, tracker.Gone, "false 5"},
		{6, tracker.Joining, "true 6"},
		{6, tracker.Gone, "false"},
		{6, tracker.Active, "false"},
		{7, tracker.Joining, "true 7"},
	} {
		if got := heard(c.incarnation, c.state); got != c.want {
			t.Fatalf("incarnation %d %v: %s, want %s", c.incarnation, c.state, got, c.want)
		}
	}
}

// Guards against removals during the first 1.5 s of silence, and against removals by an instance that was itself paused.
func TestSilence(t *testing.T) {
	a := newTracker(t, "a")
	a.ObserveList(at(0), at(0), entries("a", "b"))
	a.ObserveHeartbeat(at(0), tracker.Contact{From: instance("b", 1), State: tracker.Active})
	var suspected, removed time.Duration
	for s := time.Duration(0); removed == 0; s += 10 * time.Millisecond {
		p := a.Tick(at(s))
		if a.State(at(s), "b") == tracker.Suspected && suspected == 0 {
			suspected = s
		}
		if len(p.Remove) > 0 {
			removed = s
		}
	}
	if suspected != tracker.DefaultSuspicion || removed < suspected || removed > 2*time.Second {
		t.Fatalf("suspected after %v, removed after %v", suspected, removed)
	}
	if p := a.Tick(at(time.Hour)); len(p.Remove) > 0 {
		t.Fatal("an instance that was paused for an hour removes its peers at once")
	}
}

// Guards against reporting an instance as departed that may act, or that may be listed again without noticing its absence.
func TestDeparted(t *testing.T) {
	for _, c := range []struct {
		name string
		// until is the time of the last reading in seconds; readings from 20 s on do not show b.
		until int
		do    func(a *tracker.Tracker, second int) (skip bool)
		want  bool
	}{
		{"absent for list_lag + list_age", 34, nil, false},
		{"absent for 2 list_lag + list_age", 43, nil, true},
		{"heard meanwhile", 43, func(a *tracker.Tracker, s int) bool {
			return s == 25 && a.ObserveHeartbeat(at(25*time.Second), tracker.Contact{From: instance("b", 1), State: tracker.Active})
		}, false},
		{"heard since", 43, func(a *tracker.Tracker, s int) bool {
			return s == 43 && a.ObserveHeartbeat(at(43*time.Second), tracker.Contact{From: instance("b", 1), State: tracker.Active})
		}, false},
		{"no readings for longer than list_age", 43, func(_ *tracker.Tracker, s int) bool { return s > 24 && s < 29 }, false},
		{"stopped", 21, func(a *tracker.Tracker, _ int) bool {
			return a.ObserveHeartbeat(at(20*time.Second), tracker.Contact{From: instance("b", 1), State: tracker.Gone})
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newTracker(t, "a")
			for s := range 20 {
				a.ObserveList(at(time.Duration(s)*time.Second), at(time.Duration(s)*time.Second), entries("a", "b"))
			}
			for s := 20; s <= c.until; s++ {
				if c.do == nil || !c.do(a, s) {
					a.ObserveList(at(time.Duration(s)*time.Second), at(time.Duration(s)*time.Second), entries("a"))
				}
			}
			if got := len(a.Departed()) == 1; got != c.want {
				t.Fatalf("departed: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against an instance that measures the time since it was listed again from an outdated reading, which showed the
// state before it left the list.
func TestListingIsCountedFromItsStart(t *testing.T) {
	a := newTracker(t, "a")
	for s := range 50 {
		now := at(time.Duration(s) * time.Second)
		// Unlisted from 21 s to 40 s; the reading at 31 s shows the state before.
		if s < 21 || s == 31 || s >= 40 {
			a.ObserveList(now, now, entries("a"))
		} else {
			a.ObserveList(now, now, nil)
		}
		if s >= 40 && (a.Acts(now) || a.Settled(now)) {
			t.Fatalf("acts %d s after it was listed again", s-40)
		}
	}
}
