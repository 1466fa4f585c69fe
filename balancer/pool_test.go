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

// occupant is a work that occupies a slot until it ends, or until a time once nobody waits for it.
type occupant struct {
	deadline time.Time
	until    time.Time
}

// model follows what really runs on each target.
type model struct {
	t       *rapid.T
	p       *balancer.Pool
	now     time.Time
	targets []string
	owned   map[string]bool
	drained map[string]bool
	running map[balancer.ID]string
	works   map[balancer.ID]balancer.Work
	queued  map[balancer.ID]bool
	busy    map[string]map[int]occupant
	// foreign counts occupants that are not works of the pool, with negative keys.
	foreign int
}

func newModel(t *rapid.T) *model {
	return &model{
		t:       t,
		p:       balancer.New(balancer.Config{Name: "stock", ServiceTime: serviceTime, Reserve: 0.2, QueuePerSlot: 2, Grace: grace}),
		now:     epoch,
		targets: []string{"a", "b", "c", "d"},
		owned:   map[string]bool{}, drained: map[string]bool{},
		running: map[balancer.ID]string{}, works: map[balancer.ID]balancer.Work{}, queued: map[balancer.ID]bool{},
		busy: map[string]map[int]occupant{"a": {}, "b": {}, "c": {}, "d": {}},
	}
}

// occupied counts what runs on a target now, and forgets what has ended.
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
			m.t.Fatalf("work %d starts at %s, where %d works may run", s.ID, s.Target, m.occupied(s.Target))
		}
		if !m.owned[s.Target] || m.drained[s.Target] {
			m.t.Fatalf("work %d starts at %s, which is lost or draining", s.ID, s.Target)
		}
		if s.Work.Deadline.Sub(m.now) < serviceTime {
			m.t.Fatalf("work %d starts too late for its deadline", s.ID)
		}
		m.leaveQueue(s.ID)
		m.running[s.ID] = s.Target
		m.busy[s.Target][int(s.ID)] = occupant{deadline: s.Work.Deadline}
	}
	for _, r := range a.Refused {
		m.leaveQueue(r.ID)
		if r.Refusal.Ran != responder.NotRun {
			m.t.Fatalf("refusal of %d does not say that it did not run", r.ID)
		}
	}
	if n := m.p.Load(m.now).Queued; n != len(m.queued) {
		m.t.Fatalf("%d works queued, want %d", n, len(m.queued))
	}
}

func (m *model) leaveQueue(id balancer.ID) {
	if !m.queued[id] {
		m.t.Fatalf("work %d is reported twice", id)
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
	m.queued[id], m.works[id] = true, w
	m.apply(a)
	if w.Remote && m.queued[id] {
		m.t.Fatalf("remote work %d is queued", id)
	}
}

func (m *model) finish() {
	for id := balancer.ID(1); int(id) <= len(m.works); id++ {
		target, ok := m.running[id]
		if !ok || rapid.Bool().Draw(m.t, "skip") {
			continue
		}
		o := balancer.Outcome(rapid.IntRange(0, int(balancer.NotSent)).Draw(m.t, "outcome"))
		delete(m.running, id)
		until := m.now
		if o == balancer.Timeout || o == balancer.Broken || o == balancer.Canceled {
			until = m.works[id].Deadline.Add(grace)
		}
		m.busy[target][int(id)] = occupant{until: until}
		m.apply(m.p.Finish(m.now, id, o))
		m.apply(m.p.Finish(m.now, id, o))
		return
	}
}

// move lets a work reach no target.
func (m *model) move() {
	for id := balancer.ID(1); int(id) <= len(m.works); id++ {
		from, ok := m.running[id]
		if !ok || rapid.Bool().Draw(m.t, "skip") {
			continue
		}
		delete(m.running, id)
		delete(m.busy[from], int(id))
		target, moved, a := m.p.Move(m.now, id)
		if moved {
			// The work passes as queued, so that its start is checked like any other.
			m.queued[id] = true
			a.Starts = append([]balancer.Start{{ID: id, Work: m.works[id], Target: target}}, a.Starts...)
		}
		m.apply(a)
		return
	}
}

func (m *model) cancel() {
	for id := range m.queued {
		if !m.p.Cancel(id) {
			m.t.Fatalf("queued work %d is not found", id)
		}
		delete(m.queued, id)
		return
	}
}

// occupy puts works of another owner on a target, as many as that owner may start, and returns its report.
func (m *model) occupy(target string) []balancer.Residue {
	n := rapid.IntRange(0, slots-m.occupied(target)).Draw(m.t, "foreign")
	r := balancer.Residue{Target: target, Slots: n, Until: m.now}
	for range n {
		until := m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "until_ms")) * time.Millisecond)
		m.foreign--
		m.busy[target][m.foreign] = occupant{until: until}
		if until.After(r.Until) {
			r.Until = until
		}
	}
	if rapid.Bool().Draw(m.t, "unknown") {
		r.Slots, r.Until = balancer.AllSlots, m.now.Add(3*time.Second)
	}
	return []balancer.Residue{r}
}

// report lets the earlier owner of a target say late what it left running there.
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
	m.apply(m.p.Inherit(m.now, s, []balancer.Residue{r}))
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
	lost, a := m.p.Adopt(m.now, hs)
	m.apply(a)
	for _, r := range lost {
		m.checkResidue(r)
		delete(before, r.Target)
	}
	for s := range before {
		if !m.owned[s] {
			m.t.Fatalf("no residue for lost target %s", s)
		}
	}
}

func (m *model) checkResidue(r balancer.Residue) {
	if r.Slots < m.occupied(r.Target) {
		m.t.Fatalf("residue of %s has %d slots, but %d works run", r.Target, r.Slots, m.occupied(r.Target))
	}
	for _, o := range m.busy[r.Target] {
		if o.until.After(r.Until) || !o.deadline.IsZero() && o.deadline.Add(grace).After(r.Until) {
			m.t.Fatalf("residue of %s ends before a work", r.Target)
		}
	}
}

func (m *model) signal() {
	s := rapid.SampledFrom(m.targets).Draw(m.t, "target")
	m.apply(m.p.Observe(m.now, s, balancer.Signal{
		Healthy: rapid.Bool().Draw(m.t, "healthy"),
		Load:    rapid.Float64Range(0, 1).Draw(m.t, "load"),
	}))
}

func (m *model) tick() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(m.t, "ms")) * time.Millisecond)
	m.apply(m.p.Tick(m.now))
}

// Guards against more works in flight than slots, lost or doubled works, and starts at lost or draining targets.
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
