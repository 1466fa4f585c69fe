package balancer_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"celeryhead.dev/celeryhead/balancer"
)

// trace is a sequence of events and expected results.
type trace struct {
	Events []traceEvent `toml:"events"`
}

type traceEvent struct {
	AtMS int64 `toml:"at_ms"`
	// Kind is adopt, submit, finish, serve (submit and succeed immediately), fail_at (run requests until count of them
	// failed at a target, while others succeed), signal, tick or expect.
	Kind           string                    `toml:"kind"`
	Count          int                       `toml:"count"`
	EveryMS        int64                     `toml:"every_ms"`
	Holdings       []traceHolding            `toml:"holdings"`
	Account        string                    `toml:"account"`
	DeadlineMS     int64                     `toml:"deadline_ms"`
	Target         string                    `toml:"target"`
	Outcome        string                    `toml:"outcome"`
	Healthy        bool                      `toml:"healthy"`
	Leaving        bool                      `toml:"leaving"`
	States         map[string]balancer.State `toml:"states"`
	RunningAt      map[string]int            `toml:"running_at"`
	StartedOf      map[string]int            `toml:"started_of"`
	StartedAtLeast map[string]int            `toml:"started_at_least"`
	Free           *int                      `toml:"free"`
	Queued         *int                      `toml:"queued"`
	Running        *int                      `toml:"running"`
	Refused        *int                      `toml:"refused"`
}

type traceHolding struct {
	Target         string `toml:"target"`
	Slots          int    `toml:"slots"`
	ResidueUntilMS int64  `toml:"residue_until_ms"`
}

var outcomes = map[string]balancer.Outcome{
	"success": balancer.Success, "shed": balancer.Shed, "failure": balancer.Failure,
	"connect_failure": balancer.ConnectFailure, "timeout": balancer.Timeout, "crash": balancer.Crash,
}

type replay struct {
	t       *testing.T
	p       *balancer.Pool
	now     time.Time
	running []balancer.Start
	refused int
	started map[string]int
}

// Guards against reactions to recorded incidents that differ from the expected results.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) != 6 {
		t.Fatalf("traces %v, %v", files, err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) { replayTrace(t, load(t, f)) })
	}
}

// load reads a trace and expands repeated events.
func load(t *testing.T, file string) []traceEvent {
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var c trace
	if err := toml.Unmarshal(b, &c); err != nil {
		t.Fatal(err)
	}
	var es []traceEvent
	for _, e := range c.Events {
		for range max(e.Count, 1) {
			es = append(es, e)
			e.AtMS += e.EveryMS
		}
	}
	slices.SortStableFunc(es, func(a, b traceEvent) int { return int(a.AtMS - b.AtMS) })
	return es
}

func replayTrace(t *testing.T, es []traceEvent) {
	r := &replay{t: t, p: balancer.New(balancer.Config{ServiceTime: serviceTime}), started: map[string]int{}}
	for _, e := range es {
		r.now = epoch.Add(time.Duration(e.AtMS) * time.Millisecond)
		r.apply(r.p.Tick(r.now))
		switch e.Kind {
		case "adopt":
			r.adopt(e)
		case "submit":
			_, a := r.p.Submit(r.now, r.request(e))
			r.apply(a)
		case "finish":
			r.finish(e.Target, outcomes[e.Outcome])
		case "serve":
			r.submitOne(e)
			r.finish("", balancer.Success)
		case "fail_at":
			for !r.failOne(e) {
			}
		case "signal":
			r.apply(r.p.ApplySignal(r.now, e.Target, balancer.Signal{Healthy: e.Healthy, Leaving: e.Leaving}))
		case "tick":
		case "expect":
			r.expect(e)
		default:
			t.Fatalf("unknown kind %q", e.Kind)
		}
	}
}

func (r *replay) request(e traceEvent) balancer.Work {
	return balancer.Work{Account: e.Account, Rate: 1, Deadline: r.now.Add(time.Duration(e.DeadlineMS) * time.Millisecond)}
}

func (r *replay) apply(a balancer.Actions) {
	r.running = append(r.running, a.Starts...)
	r.refused += len(a.Refused)
	for _, s := range a.Starts {
		r.started[s.Request.Account]++
	}
}

func (r *replay) adopt(e traceEvent) {
	var hs []balancer.Holding
	for _, h := range e.Holdings {
		m := balancer.Holding{Target: h.Target, Slots: h.Slots}
		if h.ResidueUntilMS > 0 {
			until := epoch.Add(time.Duration(h.ResidueUntilMS) * time.Millisecond)
			m.Residues = []balancer.Residue{{Slots: balancer.AllSlots, Until: until}}
		}
		hs = append(hs, m)
	}
	_, a := r.p.SetTargets(r.now, hs)
	r.apply(a)
}

// finish ends the oldest running request, at the given target if one is named.
func (r *replay) finish(target string, o balancer.Outcome) {
	for i, s := range r.running {
		if target == "" || s.Target == target {
			r.running = slices.Delete(r.running, i, i+1)
			r.apply(r.p.Finish(r.now, s.ID, o))
			return
		}
	}
}

// submitOne submits a request that must start immediately.
func (r *replay) submitOne(e traceEvent) {
	e.DeadlineMS = 1000
	_, a := r.p.Submit(r.now, r.request(e))
	if len(a.Starts) != 1 {
		r.t.Fatalf("%d ms: the request does not start", e.AtMS)
	}
	r.apply(a)
}

// failOne runs one request and reports whether it was sent to the target of e, where it fails.
func (r *replay) failOne(e traceEvent) bool {
	r.submitOne(e)
	s := r.running[len(r.running)-1]
	if s.Target == e.Target {
		r.finish(s.Target, outcomes[e.Outcome])
		return true
	}
	r.finish(s.Target, balancer.Success)
	return false
}

func (r *replay) expect(e traceEvent) {
	l := r.p.Load(r.now)
	for _, x := range []struct {
		name string
		want *int
		got  int
	}{{"free", e.Free, l.Free}, {"queued", e.Queued, l.Queued}, {"running", e.Running, len(r.running)}, {"refused", e.Refused, r.refused}} {
		if x.want != nil && *x.want != x.got {
			r.t.Errorf("%d ms: %d %s, want %d", e.AtMS, x.got, x.name, *x.want)
		}
	}
	for _, s := range r.p.Statuses(r.now) {
		if want, ok := e.States[s.Target]; ok && want != s.State {
			r.t.Errorf("%d ms: target %s is %s, want %s", e.AtMS, s.Target, s.State, want)
		}
		if want, ok := e.RunningAt[s.Target]; ok && want != s.Running {
			r.t.Errorf("%d ms: target %s runs %d, want %d", e.AtMS, s.Target, s.Running, want)
		}
	}
	for account, want := range e.StartedOf {
		if r.started[account] != want {
			r.t.Errorf("%d ms: %d requests of %s started, want %d", e.AtMS, r.started[account], account, want)
		}
	}
	for account, want := range e.StartedAtLeast {
		if r.started[account] < want {
			r.t.Errorf("%d ms: %d requests of %s started, want at least %d", e.AtMS, r.started[account], account, want)
		}
	}
}
