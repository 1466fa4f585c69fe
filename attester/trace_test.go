package attester_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/attester"
)

type traceEvent struct {
	AtMS     int64  `json:"at_ms"`
	Event    string `json:"event"`
	Instance string `json:"instance"`
	Peer     string `json:"peer"`
	ForMS    int64  `json:"for_ms"`
}

// outcome is an expected state; absent fields are not compared.
type outcome struct {
	AtMS     int64   `json:"at_ms"`
	Instance string  `json:"instance"`
	Fleet    *bool   `json:"fleet_proof"`
	Region   *bool   `json:"region_proof"`
	Newest   *bool   `json:"newest_version"`
	Target   string  `json:"target"`
	Owner    *string `json:"owner"`
	Epoch    *uint64 `json:"fleet_epoch"`
}

type trace struct {
	Guards    string       `json:"guards"`
	Instances []string     `json:"instances"`
	Events    []traceEvent `json:"events"`
	Outcomes  []outcome    `json:"outcomes"`
	Reports   []string     `json:"reports"`
}

func (w *simulation) replay(e traceEvent) {
	w.logf("%s %s %s for %d ms", e.Event, e.Instance, e.Peer, e.ForMS)
	end := w.now.Add(time.Duration(e.ForMS) * time.Millisecond)
	n := w.liveNode(e.Instance)
	switch e.Event {
	case "join":
		w.spawn(e.Instance, true)
	case "restart":
		w.kill(n)
		w.spawn(e.Instance, true)
	case "kill":
		w.kill(n)
	case "unlist":
		w.unregister(e.Instance)
	case "relist":
		w.register(n)
	case "pause":
		n.paused = end
	case "stale_list":
		n.oldestReadings = true
	case "fresh_list":
		n.oldestReadings = false
	case "change":
		n.execute(n.change)
	case "one_way", "apart":
		w.faults[e.Event+" "+e.Instance+" "+e.Peer] = end
	case "link":
		w.faults["link "+min(e.Instance, e.Peer)+" "+max(e.Instance, e.Peer)] = end
	default:
		w.faults[strings.TrimSpace(e.Event+" "+e.Instance)] = end
	}
}

func (w *simulation) owner(target string) string {
	for _, n := range w.nodes {
		for _, r := range resources {
			if r.Name == target && !n.dead && n.acts(r) {
				return n.self.Name
			}
		}
	}
	return ""
}

func equal[T comparable](t *testing.T, o outcome, what string, want *T, got T) {
	t.Helper()
	if want != nil && *want != got {
		t.Errorf("at %d ms %s%s: %s is %v, want %v", o.AtMS, o.Instance, o.Target, what, got, *want)
	}
}

func (w *simulation) compare(t *testing.T, o outcome) {
	equal(t, o, "owner", o.Owner, w.owner(o.Target))
	equal(t, o, "fleet epoch", o.Epoch, w.heads.Scopes[assigner.FleetScope].Epoch)
	n := w.liveNode(o.Instance)
	if n == nil {
		return
	}
	equal(t, o, "fleet proof", o.Fleet, n.attester.Valid(attester.Fleet, n.now()))
	equal(t, o, "region proof", o.Region, n.attester.Valid(attester.Region, n.now()))
	equal(t, o, "newest version", o.Newest, n.attester.Version() == w.heads.Version)
}

func (w *simulation) outcomes() []string {
	r := []string{}
	for _, x := range w.reports {
		r = append(r, []string{"pending", "expired", "confirmed"}[x.outcome])
	}
	return slices.Compact(r)
}

// Replays the traces testdata/*.json and compares the states with the expected outcomes. Each
// trace names the failure that it guards against. The invariants are checked after every event.
func TestTraces(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.json")
	if len(files) == 0 {
		t.Fatal("no traces")
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".json"), func(t *testing.T) {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			var x trace
			if err := json.Unmarshal(b, &x); err != nil {
				t.Fatal(err)
			}
			replayTrace(t, x)
		})
	}
}

func replayTrace(t *testing.T, x trace) {
	w := newSimulation(1, true)
	for _, n := range x.Instances {
		w.spawn(n, true)
	}
	end := start
	later := func(ms int64, f func()) {
		at := start.Add(time.Duration(ms) * time.Millisecond)
		w.at(at, f)
		if at.After(end) {
			end = at
		}
	}
	for _, e := range x.Events {
		later(e.AtMS, func() { w.replay(e) })
	}
	for _, o := range x.Outcomes {
		later(o.AtMS, func() { w.compare(t, o) })
	}
	w.run(end.Add(time.Millisecond))
	if w.fail != "" {
		t.Error(w.fail)
	}
	if got := w.outcomes(); !slices.Equal(got, x.Reports) {
		t.Errorf("reports %v, want %v", got, x.Reports)
	}
	if t.Failed() {
		t.Log("\n" + strings.Join(w.log, "\n"))
	}
}

// Guards against proofs that expire although all instances that they depend on reach each other:
// with the store down for an hour, and in a region that is cut off.
func TestLiveness(t *testing.T) {
	for _, c := range []struct {
		name  string
		scope attester.Scope
		hit   []string
		in    string
		last  time.Duration
	}{
		{"store down for an hour", attester.Fleet, []string{"store"}, "ab", time.Hour},
		{"region cut off", attester.Region, []string{"region b", "store b1", "store b2", "store b3"}, "b", 10 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(2, true)
			w.fleet(6)
			w.run(start.Add(20 * time.Second))
			for _, h := range c.hit {
				w.faults[h] = w.now.Add(c.last)
			}
			for s := time.Duration(0); s < c.last && !t.Failed(); s += time.Second {
				w.run(w.now.Add(time.Second))
				for _, n := range w.nodes {
					if strings.Contains(c.in, n.self.Region) && !n.attester.Valid(c.scope, n.now()) {
						t.Errorf("%s has no proof after %v", n.self.Name, s)
					}
				}
			}
			if w.fail != "" {
				t.Fatal(w.fail)
			}
		})
	}
}
