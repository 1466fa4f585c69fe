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

// removalRule returns a plan with other removals.
type removalRule func(n *node, p tracker.Plan) tracker.Plan

// recordUnheard stores the unheard peers that a contact reports. With noReports set it replaces them by all instances,
// so that no instance is known to be heard by another.
func (n *node) recordUnheard(c *tracker.Contact) {
	if n.unheard == nil {
		n.unheard = map[string][]string{}
	}
	n.unheard[c.From.Name] = c.Unheard
	if n.sim.noReports {
		c.Unheard = nil
		for _, o := range n.sim.nodes {
			c.Unheard = append(c.Unheard, o.self.Name)
		}
	}
}

// reclassify divides the suspected peers of a plan anew: it removes those that are silent for the suspicion time and a
// jitter and for which due returns true.
func reclassify(n *node, p tracker.Plan, due func(name string) bool) tracker.Plan {
	r := tracker.Plan{Heartbeat: p.Heartbeat}
	for _, i := range slices.Concat(p.Remove, p.Doubtful) {
		jitter := time.Duration(n.self.Incarnation*131%500) * time.Millisecond
		if n.silentFor(i.Name) >= tracker.DefaultSuspicion+jitter && due(i.Name) {
			r.Remove = append(r.Remove, i)
			continue
		}
		r.Doubtful = append(r.Doubtful, i)
	}
	return r
}

func (n *node) silentFor(name string) time.Duration {
	for _, p := range n.tracker.Peers(n.now()) {
		if p.Name == name {
			return n.now().Sub(p.Heard)
		}
	}
	return 0
}

// bySilence is the earlier rule: an instance removes every peer that it does not hear.
func bySilence(n *node, p tracker.Plan) tracker.Plan {
	return reclassify(n, p, func(string) bool { return true })
}

// byMajority removes a peer if a majority of the instances that are heard, including the local one, does not hear it.
func byMajority(n *node, p tracker.Plan) tracker.Plan {
	return reclassify(n, p, func(name string) bool {
		all, unheard := 1, 1
		for c, u := range n.unheard {
			if c == name || n.silentFor(c) >= tracker.DefaultSuspicion {
				continue
			}
			all++
			if slices.Contains(u, name) {
				unheard++
			}
		}
		return 2*unheard > all
	})
}

// cutLinks cuts links, each given as two instance names in alphabetical order.
func cutLinks(links ...string) func(*simulation, time.Time) {
	return func(w *simulation, end time.Time) {
		for _, l := range links {
			w.faults["link "+l] = end
		}
	}
}

func startFault(fault string) func(*simulation, time.Time) {
	return func(w *simulation, end time.Time) { w.faults[fault] = end }
}

func flapFault(fault string) func(*simulation, time.Time) {
	return func(w *simulation, end time.Time) {
		for t := w.now; t.Before(end); t = t.Add(7 * time.Second) {
			w.at(t, func() { w.faults[fault] = t.Add(4 * time.Second) })
		}
	}
}

func killA2(w *simulation, _ time.Time) {
	w.kill(w.liveNode("a2"))
	w.at(w.now.Add(4*time.Second), func() { w.unregister("a2") })
}

// linkFaults lists faults that start at once and last for the whole run. The field epochs bounds the number of changes of
// the assignments of the fleet and the regions.
var linkFaults = []struct {
	name   string
	epochs uint64
	start  func(w *simulation, end time.Time)
}{
	// One removal from the fleet and one from the region.
	{"instance dead", 2, killA2},
	// The removals and the returns.
	{"instance paused for 8 s", 4, func(w *simulation, _ time.Time) { w.liveNode("a2").paused = w.now.Add(8 * time.Second) }},
	{"one link cut, in a region", 0, cutLinks("a1 a2")},
	{"one link cut, between regions", 0, cutLinks("a1 b1")},
	{"one way cut", 0, startFault("one_way a1 a2")},
	{"instance loses 4 of 6 peers", 0, cutLinks("a1 a2", "a2 b1", "a2 b2", "a2 c1")},
	{"two of three regions apart", 0, startFault("apart a b")},
	// A dead region cannot be distinguished from one that reaches only the store. One cycle of removal and return takes
	// three writes of the fleet: a removal, a second one by either side because the last heartbeats differ by up to
	// 500 ms, and the return.
	{"region apart from all others", 3, startFault("region a")},
	{"link flaps, 4 s down, 3 s up", 0, flapFault("link a1 a2")},
	// The removal backoff after the first two cycles is 10, 20, 40, 80 and 160 s: at most six cycles in 300 s.
	{"region flaps, 4 s down, 3 s up", 18, flapFault("region a")},
}

// impact is the measured effect of a fault.
type impact struct {
	// epochs is the number of changes of assignments.
	epochs uint64
	// unowned is the time without an acting owner, summed over all resources.
	unowned time.Duration
	// proofless is the total time without a fleet proof of the instance for which it is longest.
	proofless time.Duration
	// removed is the time from the start of the fault to the first commit of an assignment.
	removed time.Duration
}

const (
	linkWarmUp        = 30 * time.Second
	linkFaultDuration = 5 * time.Minute
	sampleInterval    = 100 * time.Millisecond
	// removalLimit is the maximum time to a removal: the suspicion and the jitter of the design, one tick and the write.
	removalLimit = tracker.DefaultSuspicion + tracker.DefaultJitter + tickInterval + 50*time.Millisecond
)

func newLinkSimulation(seed uint64) *simulation {
	w := newSimulation(seed, true)
	for _, n := range []string{"a1", "a2", "a3", "b1", "b2", "c1", "c2"} {
		w.spawn(n, true)
	}
	w.run(start.Add(linkWarmUp))
	return w
}

func epochs(h assigner.Heads) (n uint64) {
	for _, a := range h.Scopes {
		n += a.Epoch
	}
	return n
}

// measure runs the simulation for d and returns the impact of the faults.
func (w *simulation) measure(d time.Duration) impact {
	var e impact
	base, from := epochs(w.heads), w.now
	proofless := map[string]time.Duration{}
	for w.now.Before(from.Add(d)) && w.fail == "" {
		w.run(w.now.Add(sampleInterval))
		if epochs(w.heads) > base && e.removed == 0 {
			e.removed = w.now.Sub(from)
		}
		for _, r := range resources {
			if w.owner(r.Name) == "" {
				e.unowned += sampleInterval
			}
		}
		for _, n := range w.nodes {
			if !n.dead && !n.attester.Valid(attester.Fleet, n.now()) {
				proofless[n.self.Name] += sampleInterval
				e.proofless = max(e.proofless, proofless[n.self.Name])
			}
		}
	}
	e.epochs = epochs(w.heads) - base
	return e
}

// Guards against assignments that change repeatedly during a link fault.
func TestLinkFaults(t *testing.T) {
	for _, f := range linkFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			w := newLinkSimulation(3)
			f.start(w, w.now.Add(linkFaultDuration))
			if e := w.measure(linkFaultDuration); w.fail != "" || e.epochs > f.epochs {
				t.Errorf("%s; %d epochs, want at most %d\n%s", w.fail, e.epochs, f.epochs, strings.Join(w.log, "\n"))
			}
		})
	}
}

// Guards against a dead instance that stays in the assignments during a link fault, or when another instance dies at the
// same time.
func TestDeadInstanceIsRemovedInTime(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"", "link a1 a3", "link a1 b1", "one_way a3 a1", "apart b c", "apart a b"} {
		for seed := range uint64(10) {
			w := newLinkSimulation(seed)
			w.faults[fault] = w.now.Add(linkFaultDuration)
			// The times of death are spread over the heartbeat interval of 500 ms.
			w.run(w.now.Add(10*time.Second + time.Duration(seed)*47*time.Millisecond))
			killA2(w, time.Time{})
			if seed%2 == 1 {
				w.kill(w.liveNode("a3"))
			}
			w.run(w.now.Add(removalLimit))
			m := memberNames(w.heads.Scopes[assigner.FleetScope].Members)
			if w.fail != "" || m["a2"] || m["a3"] != (seed%2 == 0) {
				t.Errorf("%q seed %d: %s members %v after %v", fault, seed, w.fail, m, removalLimit)
			}
		}
	}
}

// Guards against two owners of a resource under arbitrary link faults, against any change of an assignment while one
// instance reaches all others, and against an unbounded number of changes while none does.
func TestRandomLinkFaults(t *testing.T) {
	const span = 80 * time.Second
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newLinkSimulation(rapid.Uint64().Draw(t, "seed"))
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
		// An instance is removed at once, 3 s after its return, and then after a backoff of 10, 20 and 40 s, thus at most
		// four times in 80 s. Each removal and each return changes the fleet and a region.
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

// BenchmarkRemovalRules compares the removal rules; docs/measurements.d/links.md holds the table.
func BenchmarkRemovalRules(b *testing.B) {
	for _, f := range linkFaults {
		for _, r := range []struct {
			name          string
			rule          removalRule
			reportNothing bool
		}{{"silence", bySilence, false}, {"majority", byMajority, false}, {"damped", nil, true}, {"vouched", nil, false}} {
			b.Run(f.name+"/"+r.name, func(b *testing.B) {
				for b.Loop() {
					w := newLinkSimulation(3)
					w.removalRule, w.noReports = r.rule, r.reportNothing
					f.start(w, w.now.Add(linkFaultDuration))
					e := w.measure(linkFaultDuration)
					b.ReportMetric(float64(e.epochs), "epochs")
					b.ReportMetric(e.unowned.Seconds(), "s-unowned")
					b.ReportMetric(e.proofless.Seconds(), "s-proofless")
					b.ReportMetric(e.removed.Seconds(), "s-removed")
				}
			})
		}
	}
}
