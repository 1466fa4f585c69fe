package balancer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/responder"
)

const (
	serviceTime  = 20 * time.Millisecond
	grace        = 100 * time.Millisecond
	slots        = 3
	eventsPerRun = 200
)

var epoch = time.Unix(1_800_000_000, 0)

// occupant is a request that occupies a slot until it ends, or until a known time if nobody waits for it.
type occupant struct {
	deadline time.Time
	until    time.Time
}

// model tracks the requests that actually run on each target.
type model struct {
	t        *rapid.T
	p        *balancer.Pool
	now      time.Time
	targets  []string
	owned    map[string]bool
	drained  map[string]bool
	running  map[balancer.ID]string
	requests map[balancer.ID]balancer.Work
	queued   map[balancer.ID]bool
	busy     map[string]map[int]occupant
	// lastForeignKey is the last key of an occupant that is not a request of the pool; such keys are negative.
	lastForeignKey int
}

func newModel(t *rapid.T) *model {
	return &model{
		t:       t,
		p:       balancer.New(balancer.Config{Name: "stock", ServiceTime: serviceTime, Reserve: 0.2, QueuePerSlot: 2, Grace: grace}),
		now:     epoch,
		targets: []string{"a", "b", "c", "d"},
		owned:   map[string]bool{}, drained: map[string]bool{},
		running: map[balancer.ID]string{}, requests: map[balancer.ID]balancer.Work{}, queued: map[balancer.ID]bool{},
		busy: map[string]map[int]occupant{"a": {}, "b": {}, "c": {}, "d": {}},
	}
}

// occupied returns the number of requests running on a target and removes those that have ended.
func (m *model) occupied(target string) int {
	for k, o := range m.busy[target] {
		if !o.until.IsZero() && !o.until.After(m.now) {
			delete(m.busy[target], k)
		}
	}
	return len(m.busy[target])
}

func (m *model) apply(a balancer.Actions) {
	for _, s := range a.Starts {
		if m.occupied(s.Target) >= slots {
			m.t.Fatalf("request %d starts at %s, where %d requests may run", s.ID, s.Target, m.occupied(s.Target))
		}
		if !m.owned[s.Target] || m.drained[s.Target] {
			m.t.Fatalf("request %d starts at %s, which is lost or draining", s.ID, s.Target)
		}
		if s.Request.Deadline.Sub(m.now) < serviceTime {
			m.t.Fatalf("request %d starts too late for its deadline", s.ID)
		}
		m.leaveQueue(s.ID)
		m.running[s.ID] = s.Target
		m.busy[s.Target][int(s.ID)] = occupant{deadline: s.Request.Deadline}
	}
	for _, r := range a.Refused {
		m.leaveQueue(r.ID)
		if r.Refusal.Ran != responder.NotRun {
			m.t.Fatalf("refusal of request %d is not marked as not run", r.ID)
		}
	}
	if n := m.p.Load(m.now).Queued; n != len(m.queued) {
		m.t.Fatalf("%d requests queued, want %d", n, len(m.queued))
	}
}

func (m *model) leaveQueue(id balancer.ID) {
	if !m.queued[id] {
		m.t.Fatalf("request %d is reported twice", id)
	}
	delete(m.queued, id)
}

func (m *model) submit() {
	w := balancer.Work{
		Account:  rapid.SampledFrom([]string{"kiln", "loom", "mill"}).Draw(m.t, "account"),
		Rate:     rapid.SampledFrom([]float64{0, 1, 10, 500}).Draw(m.t, "rate"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-10, 2000).Draw(m.t, "deadline_ms")) * time.Millisecond),
		Remote:   rapid.IntRange(0, 4).Draw(m.t, "remote") == 0,
	}
	id, a := m.p.Submit(m.now, w)
	m.queued[id], m.requests[id] = true, w
	m.apply(a)
	if w.Remote && m.queued[id] {
		m.t.Fatalf("remote request %d is queued", id)
	}
}

func (m *model) finish() {
	for id := balancer.ID(1); int(id) <= len(m.requests); id++ {
		target, ok := m.running[id]
		if !ok || rapid.Bool().Draw(m.t, "skip") {
			continue
		}
		o := balancer.Outcome(rapid.IntRange(0, int(balancer.NotSent)).Draw(m.t, "outcome"))
		delete(m.running, id)
		until := m.now
		if o == balancer.Timeout || o == balancer.Broken || o == balancer.Canceled {
			until = m.requests[id].Deadline.Add(grace)
		}
		m.busy[target][int(id)] = occupant{until: until}
		m.apply(m.p.Finish(m.now, id, o))
		m.apply(m.p.Finish(m.now, id, o))
		return
	}
}

// move lets a request fail to connect to its target.
func (m *model) move() {
	for id := balancer.ID(1); int(id) <= len(m.requests); id++ {
		from, ok := m.running[id]
		if !ok || rapid.Bool().Draw(m.t, "skip") {
			continue
		}
		delete(m.running, id)
		delete(m.busy[from], int(id))
		target, moved, a := m.p.Failover(m.now, id)
		if moved {
			// The request is put back among the queued ones, so that apply checks its start like any other.
			m.queued[id] = true
			a.Starts = append([]balancer.Start{{ID: id, Request: m.requests[id], Target: target}}, a.Starts...)
		}
		m.apply(a)
		return
	}
}

func (m *model) cancel() {
	for id := range m.queued {
		if !m.p.Cancel(id) {
			m.t.Fatalf("queued request %d is not found", id)
		}
		delete(m.queued, id)
		return
	}
}

// occupy adds requests of another owner to a target, at most as many as that owner may start, and returns its report.
func (m *model) occupy(target string) []balancer.Residue {
	n := rapid.IntRange(0, slots-m.occupied(target)).Draw(m.t, "foreign")
	r := balancer.Residue{Target: target, Slots: n, Until: m.now}
	for range n {
		until := m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "until_ms")) * time.Millisecond)
		m.lastForeignKey--
		m.busy[target][m.lastForeignKey] = occupant{until: until}
		if until.After(r.Until) {
			r.Until = until
		}
	}
	if rapid.Bool().Draw(m.t, "unknown") {
		r.Slots, r.Until = balancer.AllSlots, m.now.Add(3*time.Second)
	}
	return []balancer.Residue{r}
}

// report delivers a late report of the earlier owner of a target about its requests there.
func (m *model) report() {
	s := rapid.SampledFrom(m.targets).Draw(m.t, "target")
	if !m.owned[s] {
		return
	}
	m.occupied(s)
	r := balancer.Residue{Target: s, Until: m.now}
	for k, o := range m.busy[s] {
		if k < 0 {
			r.Slots++
		}
		if k < 0 && o.until.After(r.Until) {
			r.Until = o.until
		}
	}
	m.apply(m.p.SetOutstanding(m.now, s, []balancer.Residue{r}))
}

func (m *model) adopt() {
	var hs []balancer.Holding
	before := m.owned
	m.owned = map[string]bool{}
	for _, s := range m.targets {
		if rapid.Bool().Draw(m.t, "lose "+s) {
			continue
		}
		m.owned[s] = true
		m.drained[s] = rapid.IntRange(0, 4).Draw(m.t, "drain") == 0
		h := balancer.Holding{Target: s, Slots: slots, Connections: 330, Draining: m.drained[s]}
		if !before[s] {
			h.Residues = m.occupy(s)
		}
		hs = append(hs, h)
	}
	lost, a := m.p.SetTargets(m.now, hs)
	m.apply(a)
	for _, r := range lost {
		m.checkResidue(r)
		delete(before, r.Target)
	}
	for s := range before {
		if !m.owned[s] {
			m.t.Fatalf("no outstanding requests reported for lost target %s", s)
		}
	}
}

func (m *model) checkResidue(r balancer.Residue) {
	if r.Slots < m.occupied(r.Target) {
		m.t.Fatalf("%s has %d outstanding slots reported, but %d requests run", r.Target, r.Slots, m.occupied(r.Target))
	}
	for _, o := range m.busy[r.Target] {
		if o.until.After(r.Until) || !o.deadline.IsZero() && o.deadline.Add(grace).After(r.Until) {
			m.t.Fatalf("the outstanding slots of %s end before a request", r.Target)
		}
	}
}

func (m *model) signal() {
	s := rapid.SampledFrom(m.targets).Draw(m.t, "target")
	m.apply(m.p.ApplySignal(m.now, s, balancer.Signal{
		Healthy: rapid.Bool().Draw(m.t, "healthy"),
		Load:    rapid.Float64Range(0, 1).Draw(m.t, "load"),
	}))
}

func (m *model) tick() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(m.t, "ms")) * time.Millisecond)
	m.apply(m.p.Tick(m.now))
}

// Guards against exceeding a target's slots, losing or duplicating requests, and starting requests on lost or draining
// targets.
func TestNeverMoreInFlightThanSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.adopt()
		events := []func(){m.submit, m.submit, m.submit, m.finish, m.finish, m.tick, m.signal, m.cancel, m.adopt, m.report, m.move}
		weights := []int{0, 1, 2, 0, 1, 2, 3, 4, 3, 4, 5, 5, 6, 7, 8, 9, 10}
		for range eventsPerRun {
			events[rapid.SampledFrom(weights).Draw(t, "event")]()
		}
	})
}
