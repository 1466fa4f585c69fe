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

// lossFaults lists the ways in which an instance can be lost during a store outage, and can return.
var lossFaults = []string{
	"paused", "list", "unlisted", "links", "one link", "dies", "restarts", "store returns to it first", "store returns to another first",
	"links stay cut", "list stays out", "not listed again", "next paused", "next unlisted",
}

// injectLoss applies a combination of lossFaults: an instance is lost in a store outage, and returns after f.last. Faults
// that are drawn independently would rarely coincide.
func (w *simulation) injectLoss(f fault) {
	x, y := w.pickNode(f.x), w.pickNode(f.y)
	on := map[string]bool{}
	for i, v := range lossFaults {
		on[v] = f.combination&(1<<i) != 0
	}
	back, end := w.now.Add(f.last), w.now.Add(f.last+30*time.Second)
	w.logf("loss %v instance %s other %s for %v", on, x.self.Name, y.self.Name, f.last)
	for _, n := range w.nodes {
		last := end
		if n == x && on["store returns to it first"] || n == y && on["store returns to another first"] {
			last = back
		}
		w.faults["store "+n.self.Name] = last
	}
	w.startLossFaults(x, on, back, end)
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

// startLossFaults starts the faults of the lost instance x, which end at back, or at end if the combination says so.
func (w *simulation) startLossFaults(x *node, on map[string]bool, back, end time.Time) {
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

// Guards against two owners of a resource when a lost owner is succeeded in a store outage and returns in any way, and
// against an owner that does not account for requests of a successor.
func TestSuccessionUnderFaults(t *testing.T) {
	t.Parallel()
	successions := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 3).Draw(t, "steady") == 0)
		w.fleet(rapid.IntRange(2, 6).Draw(t, "instances"))
		for at := 25 * time.Second; at < 140*time.Second; at += 75 * time.Second {
			f := drawFault(t)
			f.last = time.Duration(rapid.IntRange(13_500, 45_000).Draw(t, "away_ms")) * time.Millisecond
			f.combination = rapid.IntRange(0, 1<<len(lossFaults)-1).Draw(t, "vanishing")
			w.at(start.Add(at), func() { w.injectLoss(f) })
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
		t.Error("no succession took place in any run")
	}
	t.Logf("%d successions", successions)
}

// successionLimit is the maximum time from when an instance leaves the list until its successors act: list_lag until no
// reading shows it, 2 list_lag + list_age, the interval of readings, the wait of a new owner, and two ticks.
const successionLimit = listLag + 2*listLag + tracker.DefaultListAge + listInterval + freshness + 2*tickInterval

// lossCases lists sets of instances of newLinkSimulation that die in a store outage; a region never loses all of its own.
var lossCases = [][]string{{"a1"}, {"b1"}, {"c2"}, {"a1", "a2"}, {"a3", "b2", "c1"}, {"a1", "a3", "b1", "c2"}}

// killUnlisted kills an instance and removes it from the list.
func (w *simulation) killUnlisted(name string) {
	w.kill(w.liveNode(name))
	w.unregister(name)
}

func (w *simulation) unowned() []assigner.Resource {
	return slices.DeleteFunc(slices.Clone(resources), func(r assigner.Resource) bool {
		return slices.ContainsFunc(w.nodes, func(n *node) bool { return !n.dead && n.acts(r) })
	})
}

// Guards against resources that stay without an acting owner after their owner is lost in a store outage, including the
// case that every reading shows the oldest permitted state.
func TestSuccessionIsInTime(t *testing.T) {
	t.Parallel()
	for _, names := range lossCases {
		for _, stale := range []bool{false, true} {
			t.Run(fmt.Sprint(names, stale), func(t *testing.T) {
				w := newLinkSimulation(3)
				for _, n := range w.nodes {
					n.oldestReadings = stale
				}
				w.faults["store"] = w.now.Add(time.Hour)
				w.run(w.now.Add(time.Second))
				for _, n := range names {
					w.killUnlisted(n)
				}
				w.run(w.now.Add(successionLimit))
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

// BenchmarkStoreOutage measures the time without an acting owner during a store outage of an hour in which instances die
// one after the other; docs/measurements.d/membership.md holds the table.
func BenchmarkStoreOutage(b *testing.B) {
	for _, names := range lossCases {
		for _, before := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/before=%v", strings.Join(names, "_"), before), func(b *testing.B) {
				for b.Loop() {
					w := newLinkSimulation(3)
					w.noSuccession = before
					w.faults["store"] = w.now.Add(time.Hour)
					for i, n := range names {
						at := w.now.Add(time.Duration(i+1) * 10 * time.Minute)
						w.at(at, func() { w.kill(w.liveNode(n)) })
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
