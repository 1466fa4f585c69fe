package attester_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/tracker"
)

// vanishings are the ways in which an instance can be lost in a store outage, and can return.
var vanishings = []string{
	"paused", "list", "unlisted", "links", "one link", "dies", "restarts", "store returns to it first", "store returns to another first",
	"links stay cut", "list stays out", "not listed again", "next paused", "next unlisted",
}

// vanish takes an instance off the others' sight in a store outage for f.last and lets it return; chosen apart, the
// faults would seldom meet.
func (w *world) vanish(f fault) {
	x, y := w.pick(f.x), w.pick(f.y)
	on := map[string]bool{}
	for i, v := range vanishings {
		on[v] = f.hides&(1<<i) != 0
	}
	back, end := w.now.Add(f.last), w.now.Add(f.last+30*time.Second)
	w.logf("vanish %v instance %s other %s for %v", on, x.self.Name, y.self.Name, f.last)
	for _, n := range w.nodes {
		last := end
		if n == x && on["store returns to it first"] || n == y && on["store returns to another first"] {
			last = back
		}
		w.faults["store "+n.self.Name] = last
	}
	w.lose(x, on, back, end)
	if on["next paused"] {
		w.at(back.Add(-5*time.Second), func() { y.paused = back.Add(time.Second) })
	}
	if on["next unlisted"] {
		w.at(w.now.Add(f.last/2), func() { w.unregister(y.self.Name) })
	}
	w.at(back, func() {
		if !on["not listed again"] && !x.dead {
			w.register(x)
		}
		if on["restarts"] {
			w.spawn(x.self.Name, true)
		}
	})
}

// lose starts the faults of one instance.
func (w *world) lose(x *node, on map[string]bool, back, end time.Time) {
	pick := func(long string) time.Time {
		if on[long] {
			return end
		}
		return back
	}
	if on["paused"] {
		x.paused = back
	}
	if on["list"] {
		w.faults["list "+x.self.Name] = pick("list stays out")
	}
	if on["unlisted"] {
		w.unregister(x.self.Name)
	}
	if on["dies"] || on["restarts"] {
		w.kill(x)
	}
	for i, n := range w.nodes {
		if n != x && (on["links"] || on["one link"] && i%2 == 0) {
			w.faults["link "+min(n.self.Name, x.self.Name)+" "+max(n.self.Name, x.self.Name)] = pick("links stay cut")
		}
	}
}

// Guards against two owners when lost owners are succeeded in a store outage, and return in any way, and against owners
// that do not count the requests of a successor.
func TestSuccessionUnderFaults(t *testing.T) {
	t.Parallel()
	successions := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 3).Draw(t, "steady") == 0)
		w.fleet(rapid.IntRange(2, 6).Draw(t, "instances"))
		for at := 25 * time.Second; at < 140*time.Second; at += 75 * time.Second {
			f := drawFault(t)
			f.last = time.Duration(rapid.IntRange(13_500, 45_000).Draw(t, "away_ms")) * time.Millisecond
			f.hides = rapid.IntRange(0, 1<<len(vanishings)-1).Draw(t, "vanishing")
			w.at(start.Add(at), func() { w.vanish(f) })
		}
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			f := drawFault(t)
			w.at(start.Add(f.at), func() { w.inject(f) })
		}
		w.run(start.Add(180 * time.Second))
		successions += w.successions
		if w.fail != "" {
			t.Fatalf("%s\n%s", w.fail, strings.Join(w.log, "\n"))
		}
	})
	if successions == 0 {
		t.Error("no run had a succession")
	}
	t.Logf("%d successions", successions)
}

// succeededWithin is the time from when an instance left the list until its successors act: the lag until readings lack
// it, 2 list_lag + list_age, an interval of readings, the wait of a new owner and a tick.
const succeededWithin = listLag + 2*listLag + tracker.DefaultListAge + listEvery + freshness + 2*tickEvery

// lossesOf are instances of linkWorld that die in a store outage, never all of a region.
var lossesOf = [][]string{{"a1"}, {"b1"}, {"c2"}, {"a1", "a2"}, {"a3", "b2", "c1"}, {"a1", "a3", "b1", "c2"}}

func (w *world) bury(name string) {
	w.kill(w.live(name))
	w.unregister(name)
}

func (w *world) unowned() []assigner.Resource {
	return slices.DeleteFunc(slices.Clone(resources), func(r assigner.Resource) bool {
		return slices.ContainsFunc(w.nodes, func(n *node) bool { return !n.dead && n.acts(r) })
	})
}

// Guards against resources of lost owners that stay without an acting owner for a store outage, also when readings show
// the oldest state that they may.
func TestSuccessionIsInTime(t *testing.T) {
	t.Parallel()
	for _, names := range lossesOf {
		for _, stale := range []bool{false, true} {
			t.Run(fmt.Sprint(names, stale), func(t *testing.T) {
				w := linkWorld(3)
				for _, n := range w.nodes {
					n.stale = stale
				}
				w.faults["store"] = w.now.Add(time.Hour)
				w.run(w.now.Add(time.Second))
				for _, n := range names {
					w.bury(n)
				}
				w.run(w.now.Add(succeededWithin))
				for range 600 {
					w.run(w.now.Add(time.Second))
					if u := w.unowned(); w.fail != "" || len(u) > 0 {
						t.Fatalf("%s no owner of %v\n%s", w.fail, u, strings.Join(w.log, "\n"))
					}
				}
			})
		}
	}
}

// BenchmarkStoreOutage measures the time without an acting owner over an hour without the store, in which the instances
// die one after the other; the table is in docs/measurements.d/membership.md.
func BenchmarkStoreOutage(b *testing.B) {
	for _, names := range lossesOf {
		for _, before := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/before=%v", strings.Join(names, "_"), before), func(b *testing.B) {
				for b.Loop() {
					w := linkWorld(3)
					w.unsucceeded = before
					w.faults["store"] = w.now.Add(time.Hour)
					for i, n := range names {
						at := w.now.Add(time.Duration(i+1) * 10 * time.Minute)
						w.at(at, func() { w.kill(w.live(n)) })
						w.at(at.Add(4*time.Second), func() { w.unregister(n) })
					}
					unowned := 0
					for range int(time.Hour / time.Second) {
						w.run(w.now.Add(time.Second))
						unowned += len(w.unowned())
					}
					b.ReportMetric(100-100*float64(unowned)/time.Hour.Seconds()/float64(len(resources)), "%-owned")
					b.ReportMetric(float64(unowned), "s-unowned")
				}
			})
		}
	}
}
