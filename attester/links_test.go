package attester_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/tracker"
)

// rule replaces the removals of a plan.
type rule func(n *node, p tracker.Plan) tracker.Plan

// noteUnheard keeps what a peer said; with the rule damped nobody reports whom it hears.
func (n *node) noteUnheard(c *tracker.Contact) {
	if n.unheard == nil {
		n.unheard = map[string][]string{}
	}
	n.unheard[c.From.Name] = c.Unheard
	if n.w.reportNothing {
		c.Unheard = nil
		for _, o := range n.w.nodes {
			c.Unheard = append(c.Unheard, o.self.Name)
		}
	}
}

// divide sorts the suspected peers of a plan anew: those due after a jitter are removed.
func divide(n *node, p tracker.Plan, due func(name string) bool) tracker.Plan {
	r := tracker.Plan{Heartbeat: p.Heartbeat}
	for _, i := range slices.Concat(p.Remove, p.Doubtful) {
		jitter := time.Duration(n.self.Incarnation*131%500) * time.Millisecond
		if n.silence(i.Name) >= tracker.DefaultSuspicion+jitter && due(i.Name) {
			r.Remove = append(r.Remove, i)
			continue
		}
		r.Doubtful = append(r.Doubtful, i)
	}
	return r
}

func (n *node) silence(name string) time.Duration {
	for _, p := range n.tracker.Peers(n.now()) {
		if p.Name == name {
			return n.now().Sub(p.Heard)
		}
	}
	return 0
}

// bySilence is the rule before this one: whoever does not hear a peer removes it.
func bySilence(n *node, p tracker.Plan) tracker.Plan {
	return divide(n, p, func(string) bool { return true })
}

// byMajority removes a peer that most of the instances that are heard do not hear.
func byMajority(n *node, p tracker.Plan) tracker.Plan {
	return divide(n, p, func(name string) bool {
		all, deaf := 1, 1
		for c, u := range n.unheard {
			if c == name || n.silence(c) >= tracker.DefaultSuspicion {
				continue
			}
			all++
			if slices.Contains(u, name) {
				deaf++
			}
		}
		return 2*deaf > all
	})
}

// cutAll cuts links, written as two names in order.
func cutAll(links ...string) func(*world, time.Time) {
	return func(w *world, end time.Time) {
		for _, l := range links {
			w.faults["link "+l] = end
		}
	}
}

func during(fault string) func(*world, time.Time) {
	return func(w *world, end time.Time) { w.faults[fault] = end }
}

func flap(fault string) func(*world, time.Time) {
	return func(w *world, end time.Time) {
		for t := w.now; t.Before(end); t = t.Add(7 * time.Second) {
			w.at(t, func() { w.faults[fault] = t.Add(4 * time.Second) })
		}
	}
}

func killA2(w *world, _ time.Time) {
	w.kill(w.live("a2"))
	w.at(w.now.Add(4*time.Second), func() { w.unregister("a2") })
}

// linkFaults start at once and last for the run; epochs bounds the changes of the fleet's and the regions' assignments.
var linkFaults = []struct {
	name   string
	epochs uint64
	start  func(w *world, end time.Time)
}{
	// Removed from fleet and region.
	{"instance dead", 2, killA2},
	// Removed and added again.
	{"instance paused for 8 s", 4, func(w *world, _ time.Time) { w.live("a2").paused = w.now.Add(8 * time.Second) }},
	{"one link cut, in a region", 0, cutAll("a1 a2")},
	{"one link cut, between regions", 0, cutAll("a1 b1")},
	{"one way cut", 0, during("one_way a1 a2")},
	{"instance loses 4 of 6 peers", 0, cutAll("a1 a2", "a2 b1", "a2 b2", "a2 c1")},
	{"two of three regions apart", 0, during("apart a b")},
	// Nothing tells a dead region from one that only the store reaches. A round takes three writes of the fleet: a
	// removal, one more by either side since last heartbeats differ by up to 500 ms, and the return.
	{"region apart from all others", 3, during("region a")},
	{"link flaps, 4 s down, 3 s up", 0, flap("link a1 a2")},
	// After the first two rounds doubts of 10, 20, 40, 80 and 160 s: at most six rounds in 300 s.
	{"region flaps, 4 s down, 3 s up", 18, flap("region a")},
}

// effect is what a fault cost.
type effect struct {
	epochs uint64
	// unowned adds up the time without an acting owner over all resources.
	unowned time.Duration
	// proofless is the longest time without a fleet proof that one instance had in all.
	proofless time.Duration
	// removed is when the store committed the first change.
	removed time.Duration
}

const (
	linkWarm   = 30 * time.Second
	linkRun    = 5 * time.Minute
	linkSample = 100 * time.Millisecond
	// removalLimit is the suspicion and the jitter of the design, one tick and the write.
	removalLimit = tracker.DefaultSuspicion + tracker.DefaultJitter + tickEvery + 50*time.Millisecond
)

func linkWorld(seed uint64) *world {
	w := newWorld(seed, true)
	for _, n := range []string{"a1", "a2", "a3", "b1", "b2", "c1", "c2"} {
		w.spawn(n, true)
	}
	w.run(start.Add(linkWarm))
	return w
}

func epochs(h assigner.Heads) (n uint64) {
	for _, a := range h.Scopes {
		n += a.Epoch
	}
	return n
}

// observe runs the world for d and measures.
func (w *world) observe(d time.Duration) effect {
	var e effect
	base, from := epochs(w.heads), w.now
	proofless := map[string]time.Duration{}
	for w.now.Before(from.Add(d)) && w.fail == "" {
		w.run(w.now.Add(linkSample))
		if epochs(w.heads) > base && e.removed == 0 {
			e.removed = w.now.Sub(from)
		}
		for _, r := range resources {
			if w.owner(r.Name) == "" {
				e.unowned += linkSample
			}
		}
		for _, n := range w.nodes {
			if !n.dead && !n.attester.Valid(attester.Fleet, n.now()) {
				proofless[n.self.Name] += linkSample
				e.proofless = max(e.proofless, proofless[n.self.Name])
			}
		}
	}
	e.epochs = epochs(w.heads) - base
	return e
}

// Guards against assignments that change again and again while a link fault lasts.
func TestLinkFaults(t *testing.T) {
	for _, f := range linkFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			w := linkWorld(3)
			f.start(w, w.now.Add(linkRun))
			if e := w.observe(linkRun); w.fail != "" || e.epochs > f.epochs {
				t.Errorf("%s; %d epochs, want at most %d\n%s", w.fail, e.epochs, f.epochs, strings.Join(w.log, "\n"))
			}
		})
	}
}

// Guards against link faults, and deaths at the same time, that keep a dead instance in the assignments.
func TestDeadInstanceIsRemovedInTime(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"", "link a1 a3", "link a1 b1", "one_way a3 a1", "apart b c", "apart a b"} {
		for seed := range uint64(10) {
			w := linkWorld(seed)
			w.faults[fault] = w.now.Add(linkRun)
			// Heartbeats are 500 ms apart; the times of death spread over that.
			w.run(w.now.Add(10*time.Second + time.Duration(seed)*47*time.Millisecond))
			killA2(w, time.Time{})
			if seed%2 == 1 {
				w.kill(w.live("a3"))
			}
			w.run(w.now.Add(removalLimit))
			m := names(w.heads.Scopes[assigner.FleetScope].Members)
			if w.fail != "" || m["a2"] || m["a3"] != (seed%2 == 0) {
				t.Errorf("%q seed %d: %s members %v after %v", fault, seed, w.fail, m, removalLimit)
			}
		}
	}
}

// Guards against two owners under arbitrary link faults, against any change while one instance reaches all, and
// against changes without bound while none does.
func TestRandomLinkFaults(t *testing.T) {
	const span = 80 * time.Second
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := linkWorld(rapid.Uint64().Draw(t, "seed"))
		hub := rapid.Bool().Draw(t, "hub")
		for range rapid.IntRange(1, 30).Draw(t, "faults") {
			f := drawFault(t)
			x, y := w.nodes[f.x%len(w.nodes)].self.Name, w.nodes[f.y%len(w.nodes)].self.Name
			if x == y || hub && (x == "c2" || y == "c2") {
				continue
			}
			k := rapid.SampledFrom([]string{"link " + min(x, y) + " " + max(x, y), "one_way " + x + " " + y}).Draw(t, "fault")
			w.at(w.now.Add(f.at), func() { w.faults[k] = w.now.Add(f.last) })
		}
		// An instance is removed at once, 3 s after its return and then after doubts of 10, 20 and 40 s, so at most
		// four times in 80 s; each removal and return changes the fleet and a region.
		limit := uint64(len(w.nodes) * 4 * 2 * 2)
		if hub {
			limit = 0
		}
		base := epochs(w.heads)
		w.run(w.now.Add(span))
		if n := epochs(w.heads) - base; w.fail != "" || n > limit {
			t.Fatalf("%s; %d epochs, want at most %d\n%s", w.fail, n, limit, strings.Join(w.log, "\n"))
		}
	})
}

// BenchmarkRemovalRules compares the rules in one run; the table is in docs/measurements.d/links.md.
func BenchmarkRemovalRules(b *testing.B) {
	for _, f := range linkFaults {
		for _, r := range []struct {
			name          string
			rule          rule
			reportNothing bool
		}{{"silence", bySilence, false}, {"majority", byMajority, false}, {"damped", nil, true}, {"vouched", nil, false}} {
			b.Run(f.name+"/"+r.name, func(b *testing.B) {
				for b.Loop() {
					w := linkWorld(3)
					w.rule, w.reportNothing = r.rule, r.reportNothing
					f.start(w, w.now.Add(linkRun))
					e := w.observe(linkRun)
					b.ReportMetric(float64(e.epochs), "epochs")
					b.ReportMetric(e.unowned.Seconds(), "s-unowned")
					b.ReportMetric(e.proofless.Seconds(), "s-proofless")
					b.ReportMetric(e.removed.Seconds(), "s-removed")
				}
			})
		}
	}
}
