package abstainer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"celeryhead.dev/celeryhead/abstainer"
)

var (
	start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	oven  = abstainer.Incarnation{Name: "oven", Started: 5}
)

// listing returns a directory of one target.
func listing(i abstainer.Incarnation) func(string) (int64, bool) {
	return func(n string) (int64, bool) { return i.Started, n == i.Name }
}

func empty(string) (int64, bool) { return 0, false }

func TestLeaving(t *testing.T) {
	Convey("Given a target that says that it leaves", t, func() {
		a := abstainer.New(abstainer.Config{Instance: "here"})
		So(a.Share(start, oven), ShouldEqual, 1)
		So(a.Record(start, oven, abstainer.Notice{}), ShouldBeEmpty)
		So(a.Record(start, oven, abstainer.Notice{Leaving: true}), ShouldResemble, []abstainer.Event{{Incarnation: oven, Kind: abstainer.Leaving}})
		So(a.Record(start, oven, abstainer.Notice{Leaving: true}), ShouldBeEmpty)
		later := start.Add(30 * time.Minute)

		Convey("it gets nothing, however often it is listed, and also while it is not", func() {
			So(a.Tick(start, listing(oven)), ShouldBeEmpty)
			So(a.Tick(later, empty), ShouldBeEmpty)
			So(a.Tick(later.Add(time.Minute), listing(oven)), ShouldBeEmpty)
			So(a.Share(later.Add(time.Minute), oven), ShouldEqual, 0)
			leaving, rest := a.State(later, oven)
			So(leaving, ShouldBeTrue)
			So(rest, ShouldEqual, 0)
		})

		Convey("an answer that no longer says so takes nothing back", func() {
			a.Record(start, oven, abstainer.Notice{Rest: time.Second})
			So(a.Share(later, oven), ShouldEqual, 0)
		})

		Convey("an older incarnation in the directory ends nothing, a newer one does and gets requests", func() {
			older, newer := abstainer.Incarnation{Name: "oven", Started: 4}, abstainer.Incarnation{Name: "oven", Started: 6}
			So(a.Share(start, newer), ShouldEqual, 1)
			So(a.Tick(start.Add(time.Second), listing(older)), ShouldBeEmpty)
			So(a.Tick(start.Add(2*time.Second), listing(newer)), ShouldResemble, []abstainer.Event{{Incarnation: oven, Kind: abstainer.Leaving, Duration: 2 * time.Second}})
			So(a.Share(start.Add(2*time.Second), newer), ShouldEqual, 1)
		})

		Convey("it is forgotten an hour after it was listed last", func() {
			So(a.Tick(later, listing(oven)), ShouldBeEmpty)
			So(a.Tick(later.Add(time.Hour), empty), ShouldBeEmpty)
			So(a.Tick(later.Add(time.Hour+1), empty), ShouldHaveLength, 1)
			So(a.Share(later.Add(2*time.Hour), oven), ShouldEqual, 1)
		})
	})
}

func TestRest(t *testing.T) {
	Convey("Given a target that wants nothing for 2 s", t, func() {
		a := abstainer.New(abstainer.Config{Instance: "here"})
		So(a.Record(start, oven, abstainer.Notice{Rest: 2 * time.Second}), ShouldResemble,
			[]abstainer.Event{{Incarnation: oven, Kind: abstainer.Resting, Duration: 2 * time.Second}})
		_, left := a.State(start, oven)
		So(left, ShouldBeBetweenOrEqual, 2*time.Second, 2500*time.Millisecond)
		end := start.Add(left)

		Convey("it gets nothing until then, and requests return by degrees", func() {
			So(a.Share(end.Add(-1), oven), ShouldEqual, 0)
			So(a.Share(end, oven), ShouldBeBetween, 0, 0.01)
			So(a.Share(end.Add(500*time.Millisecond), oven), ShouldAlmostEqual, 0.5, 0.01)
			So(a.Share(end.Add(time.Second), oven), ShouldEqual, 1)
		})

		Convey("a shorter rest does not end it sooner, a longer one extends it without a further report", func() {
			So(a.Record(start.Add(time.Second), oven, abstainer.Notice{Rest: 100 * time.Millisecond}), ShouldBeEmpty)
			So(a.Share(end.Add(-1), oven), ShouldEqual, 0)
			So(a.Record(start.Add(time.Second), oven, abstainer.Notice{Rest: 9 * time.Second}), ShouldBeEmpty)
			So(a.Share(start.Add(10*time.Second-1), oven), ShouldEqual, 0)
		})

		Convey("its end is reported once, and another rest may begin", func() {
			So(a.Tick(end.Add(-1), listing(oven)), ShouldBeEmpty)
			So(a.Tick(end, listing(oven)), ShouldResemble, []abstainer.Event{{Incarnation: oven, Kind: abstainer.Resting, Duration: left}})
			So(a.Tick(end.Add(10*time.Millisecond), listing(oven)), ShouldBeEmpty)
			So(a.Record(end.Add(20*time.Millisecond), oven, abstainer.Notice{Rest: time.Second}), ShouldHaveLength, 1)
			So(a.Tick(end.Add(time.Minute), listing(oven)), ShouldHaveLength, 1)
			So(a.Tick(end.Add(2*time.Minute), listing(oven)), ShouldBeEmpty)
			So(a.Share(end.Add(2*time.Minute), oven), ShouldEqual, 1)
		})

		Convey("a new incarnation starts without it", func() {
			newer := abstainer.Incarnation{Name: "oven", Started: 6}
			So(a.Share(start, newer), ShouldEqual, 1)
			So(a.Tick(start.Add(time.Second), listing(newer)), ShouldHaveLength, 1)
		})
	})
	Convey("A rest without end lasts MaxRest", t, func() {
		a := abstainer.New(abstainer.Config{})
		a.Record(start, oven, abstainer.Notice{Rest: 1 << 62})
		So(a.Share(start.Add(abstainer.MaxRest-1), oven), ShouldEqual, 0)
		So(a.Share(start.Add(abstainer.MaxRest+2*time.Second), oven), ShouldEqual, 1)
	})
	Convey("A rest of no time, or of less, is none", t, func() {
		a := abstainer.New(abstainer.Config{})
		So(a.Record(start, oven, abstainer.Notice{Rest: -time.Second}), ShouldBeEmpty)
		So(a.Share(start, oven), ShouldEqual, 1)
	})
}

// Guards against a fleet that returns to a target at the same moment.
func TestInstancesReturnOneAfterTheOther(t *testing.T) {
	ends := map[time.Duration]bool{}
	for i := range 34 {
		a := abstainer.New(abstainer.Config{Instance: fmt.Sprint("entry-", i)})
		a.Record(start, oven, abstainer.Notice{Rest: 4 * time.Second})
		_, d := a.State(start, oven)
		ends[d.Truncate(100*time.Millisecond)] = true
	}
	if len(ends) < 4 {
		t.Errorf("34 instances return within %d tenths of a second", len(ends))
	}
}

// Guards against any course of answers and listings after which a target gets requests that it did not want.
func TestNoNoticeIsIgnored(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		a := abstainer.New(abstainer.Config{Instance: "here"})
		left, until := map[abstainer.Incarnation]bool{}, map[abstainer.Incarnation]time.Time{}
		now, newest := start, int64(1)
		for range 300 {
			now = now.Add(time.Duration(r.Int64N(int64(time.Second))))
			i := abstainer.Incarnation{Name: "oven", Started: newest}
			switch r.IntN(6) {
			case 0:
				n := abstainer.Notice{Leaving: r.IntN(20) == 0, Rest: time.Duration(r.Int64N(int64(4*time.Second))) - time.Second}
				a.Record(now, i, n)
				left[i] = left[i] || n.Leaving
				if e := now.Add(n.Rest); e.After(until[i]) {
					until[i] = e
				}
			case 1:
				if r.IntN(20) == 0 {
					newest++
				}
			case 2:
				a.Tick(now, empty)
			case 3:
				a.Tick(now, listing(abstainer.Incarnation{Name: "oven", Started: newest - int64(r.IntN(2))}))
			default:
				share, quiet := a.Share(now, i), left[i] || now.Before(until[i])
				if quiet && share > 0 || !quiet && !until[i].IsZero() && now.Sub(until[i]) > 2*time.Second && share < 1 {
					t.Fatalf("seed %d: share %v of %+v; it leaves %t, rests until %v, now %v", seed, share, i, left[i], until[i], now)
				}
			}
		}
	}
}
