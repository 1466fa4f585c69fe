package attester_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const horizon = 110 * time.Second

type fault struct {
	at, last    time.Duration
	kind        string
	x, y        int
	combination int
}

var faultKinds = []string{
	"kill", "kill", "restart", "restart", "pause", "pause", "link", "link", "region", "region", "store", "store_one",
	"store_one", "list_one", "replies", "join", "join", "join_outage", "unlist", "loss", "change", "change", "change", "change", "stop",
	"hide", "hide", "hide", "hide", "hide", "hide", "hide", "hide", "hide",
}

func drawFault(t *rapid.T) fault {
	return fault{
		at:          time.Duration(rapid.IntRange(0, 90_000).Draw(t, "at_ms")) * time.Millisecond,
		last:        time.Duration(rapid.IntRange(100, 40_000).Draw(t, "for_ms")) * time.Millisecond,
		kind:        rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		x:           rapid.IntRange(0, 9).Draw(t, "x"),
		y:           rapid.IntRange(0, 9).Draw(t, "y"),
		combination: rapid.IntRange(0, 1<<len(hidingFaults)-1).Draw(t, "hides"),
	}
}

// pickNode returns the live process at index i modulo their number. If there is none, it starts one.
func (w *simulation) pickNode(i int) *node {
	var r []*node
	for _, n := range w.nodes {
		if !n.dead {
			r = append(r, n)
		}
	}
	if len(r) == 0 {
		return w.spawn("a9", true)
	}
	return r[i%len(r)]
}

func (w *simulation) inject(f fault) {
	n, m := w.pickNode(f.x), w.pickNode(f.y)
	end := w.now.Add(f.last)
	w.logf("fault %s %s %s for %v", f.kind, n.self.Name, m.self.Name, f.last)
	switch f.kind {
	case "kill":
		w.kill(n)
		w.at(w.now.Add(f.last/4), func() { w.unregister(n.self.Name) })
	case "restart":
		w.kill(n)
		w.at(w.now.Add(f.last/10), func() { w.spawn(n.self.Name, true) })
	case "stop":
		w.stop(n)
	case "pause":
		n.paused = end
	case "link":
		x, y := min(n.self.Name, m.self.Name), max(n.self.Name, m.self.Name)
		w.faults["link "+x+" "+y] = end
	case "region":
		w.faults["region "+n.self.Region] = end
	case "store":
		w.faults["store"] = end
	case "store_one":
		w.faults["store "+n.self.Name] = end
		w.faults["store "+m.self.Name] = end
	case "list_one":
		w.faults["list "+n.self.Name] = end
	case "replies":
		w.faults["replies "+n.self.Name] = end
	case "join", "join_outage":
		name := fmt.Sprintf("%s%d", m.self.Region, 100+w.starts)
		if f.kind == "join_outage" {
			w.faults["store "+name] = end
		}
		w.spawn(name, true)
	case "unlist":
		w.unregister(n.self.Name)
	case "loss":
		w.loss = 0.3
		w.at(end, func() { w.loss = 0 })
	case "hide":
		w.injectHiddenChange(f)
	case "change":
		n.execute(n.change)
	}
}

// hidingFaults lists the faults that can hide a change of an author from another process, the victim.
var hidingFaults = []string{
	"author joins", "victim joins", "author unlisted", "victim unlisted", "link", "victim store", "victim list", "author list", "others cut", "author dies",
}

// injectHiddenChange applies a combination of hidingFaults to an author, which changes the configuration
// every second, and a victim. Faults that are drawn independently would rarely coincide.
func (w *simulation) injectHiddenChange(f fault) {
	a, v := w.pickNode(f.x), w.pickNode(f.y)
	on := map[string]bool{}
	for i, h := range hidingFaults {
		on[h] = f.combination&(1<<i) != 0
	}
	if on["author joins"] {
		a = w.spawn(fmt.Sprintf("a%d", 100+w.starts), true)
	}
	if on["victim joins"] {
		v = w.spawn(fmt.Sprintf("b%d", 100+w.starts), true)
	}
	w.logf("hide %v author %s victim %s for %v", on, a.self.Name, v.self.Name, f.last)
	// A newcomer first has time to read the list and a copy of the heads row.
	w.at(w.now.Add(f.last/8), func() { w.startHidingFaults(a, v, on, w.now.Add(f.last)) })
	for d := time.Duration(0); d < f.last; d += time.Second {
		w.at(w.now.Add(d), func() { a.execute(a.change) })
	}
	if on["author dies"] {
		w.at(w.now.Add(f.last/2), func() { w.kill(a) })
		w.at(w.now.Add(f.last/2), func() { w.unregister(a.self.Name) })
	}
}

func (w *simulation) startHidingFaults(a, v *node, on map[string]bool, end time.Time) {
	if on["author unlisted"] {
		w.unregister(a.self.Name)
	}
	if on["victim unlisted"] {
		w.unregister(v.self.Name)
	}
	for h, k := range map[string]string{"victim store": "store " + v.self.Name, "victim list": "list " + v.self.Name, "author list": "list " + a.self.Name} {
		if on[h] {
			w.faults[k] = end
		}
	}
	for _, n := range w.nodes {
		if on["link"] && n == v || on["others cut"] && n != a {
			w.faults["link "+min(n.self.Name, a.self.Name)+" "+max(n.self.Name, a.self.Name)] = end
		}
	}
}

// stop ends a process gracefully: it announces to every peer that its incarnation stopped.
func (w *simulation) stop(n *node) {
	c := n.tracker.Heartbeat(n.now())
	c.State = 4
	m := n.message(c)
	for _, i := range n.tracker.Peers(n.now()) {
		if p := w.liveNode(i.Name); p != nil && !w.cut(n, p) {
			w.deliver(p, w.delay(), func() { p.receive(n, m) })
		}
	}
	w.kill(n)
	w.at(w.now.Add(time.Second), func() { w.unregister(n.self.Name) })
}

func (w *simulation) fleet(n int) {
	for i := range n {
		w.spawn([]string{"a1", "b1", "a2", "b2", "a3", "b3", "b4"}[i], true)
	}
}

// Guards against two owners of a resource, against a valid proof for an older version
// after a change was reported, and against decreasing versions. The invariants are
// checked after every event of a run with arbitrary faults.
func TestInvariantsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newSimulation(seed, rapid.IntRange(0, 3).Draw(t, "steady") == 0)
		w.fleet(rapid.IntRange(1, 6).Draw(t, "instances"))
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			f := drawFault(t)
			w.at(start.Add(f.at), func() { w.inject(f) })
		}
		w.run(start.Add(horizon))
		if w.fail != "" {
			t.Fatalf("%s\n%s", w.fail, strings.Join(w.log, "\n"))
		}
	})
}
