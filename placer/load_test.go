package placer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/placer"
	"celeryhead.dev/celeryhead/responder"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

const service = "map"

// load is a service with its callers.
type load struct {
	seed      uint64
	instances int
	targets   int
	slots     int
	// hot is the part of the requests that are for one object; the others are asked for evenly. A target knows the last keeps ones.
	hot            float64
	objects, keeps int
	strange, known time.Duration
	// perSecond is the rate at a time since the start.
	perSecond func(time.Duration) float64
	length    time.Duration
	objective time.Duration
	deadline  time.Duration
	// slow multiplies the work of a target at a time since the start.
	slow func(target int, at time.Duration) float64
	// fails makes a target answer an error of its own at once.
	fails func(target int, at time.Duration) bool
	// tell is how often instances tell each other what they have in flight; 0 for never.
	tell time.Duration
	// places and homes are the regions of targets and instances, in turn; none puts all of them in one region.
	places, homes []string
	// trip is the time between regions and back.
	trip time.Duration
	// returns tells whether a rejected caller comes back once, after the wait that it was told.
	returns bool
	// joins adds targets at a time since the start.
	joins   int
	joinsAt time.Duration
}

// result is what callers got.
type result struct {
	asked, inTime, late, rejected, failed, strange int
	// arrivals are the requests that each target had.
	arrivals map[string]int
}

func (r result) share() float64 { return float64(r.inTime) / float64(r.asked) }

// chooser places a request at an instance; it is the placer or a baseline.
type chooser interface {
	choose(now time.Time, instance int, w placer.Work) (*placer.Lease, *responder.Refusal)
	end(now time.Time, instance int, l *placer.Lease, o placer.Outcome, running, waiting int)
}

type job struct {
	instance int
	lease    *placer.Lease
	// asked is when the caller asked first, arrival when the instance placed the request.
	asked, arrival time.Time
	object         string
	returned       bool
	target         *simulated
	// way is the time to the target, and back.
	way time.Duration
	// running and waiting are what the target tells with its answer.
	running, waiting int
}

type simulated struct {
	index   int
	running int
	queue   []*job
	known   []string
}

// event is what happens to a job, or the arrival of a new one if step is nil.
type event struct {
	at   time.Time
	step func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// simulation plays a load in simulated time.
type simulation struct {
	load
	random  *rand.Rand
	pool    *cataloger.Pool
	targets map[string]*simulated
	events  events
	result  result
}

func (l load) pool(n int) *cataloger.Pool {
	p := &cataloger.Pool{Service: cataloger.Service{Name: service, ColdRate: 3}}
	for i := range n {
		p.Targets = append(p.Targets, &cataloger.Target{
			Name:    fmt.Sprintf("target-%03d", i),
			Service: service,
			Address: netip.MustParseAddrPort("127.0.0.1:80"),
			Region:  region(l.places, i),
			Slots:   l.slots,
		})
	}
	return p
}

// region returns the region of the i-th of several things that stand in regions in turn.
func region(rs []string, i int) string {
	if len(rs) == 0 {
		return "here"
	}
	return rs[i%len(rs)]
}

func (l load) route() *cataloger.Route {
	return &cataloger.Route{Name: "look", Prefix: "/look/", Idempotent: true, Objective: l.objective, Timeout: l.deadline, MaxTargets: 2}
}

func (l load) play(c chooser) result {
	s := &simulation{load: l, random: rand.New(rand.NewPCG(l.seed, 1)), pool: l.pool(l.targets), targets: map[string]*simulated{}}
	s.result.arrivals = map[string]int{}
	route := l.route()
	heap.Push(&s.events, event{at: start})
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		since := e.at.Sub(start)
		if l.joins > 0 && since >= l.joinsAt && len(s.pool.Targets) == l.targets {
			s.pool = l.pool(l.targets + l.joins)
		}
		if e.step != nil {
			e.step(e.at)
			continue
		}
		if since >= l.length {
			continue
		}
		s.arrive(e.at, route, c)
		heap.Push(&s.events, event{at: e.at.Add(time.Duration(s.random.ExpFloat64() / l.perSecond(since) * float64(time.Second)))})
	}
	return s.result
}

func (s *simulation) arrive(now time.Time, route *cataloger.Route, c chooser) {
	s.result.asked++
	s.place(now, &job{asked: now, object: s.object(), instance: s.random.IntN(s.instances)}, route, c)
}

// object draws what a request is about.
func (s *simulation) object() string {
	if s.hot > 0 && s.random.Float64() < s.hot {
		return "object-0"
	}
	return fmt.Sprintf("object-%d", s.random.IntN(s.objects))
}

// place has an instance place a request; a caller that is rejected comes back as the load says.
func (s *simulation) place(now time.Time, j *job, route *cataloger.Route, c chooser) {
	l, f := c.choose(now, j.instance, placer.Work{
		Route:     route,
		Service:   service,
		Object:    j.object,
		Objective: now.Add(s.objective),
		Deadline:  now.Add(s.deadline),
	})
	if f != nil {
		if j.returned || !s.returns {
			s.result.rejected++
			return
		}
		j.returned, j.instance = true, s.random.IntN(s.instances)
		heap.Push(&s.events, event{at: now.Add(f.RetryAfter), step: func(now time.Time) { s.place(now, j, route, c) }})
		return
	}
	j.lease, j.arrival = l, now
	if l.Target.Region != region(s.homes, j.instance) {
		j.way = s.trip / 2
	}
	t := s.targets[l.Target.Name]
	if t == nil {
		t = &simulated{}
		_, _ = fmt.Sscanf(l.Target.Name, "target-%d", &t.index)
		s.targets[l.Target.Name] = t
	}
	s.result.arrivals[l.Target.Name]++
	j.target = t
	heap.Push(&s.events, event{at: now.Add(j.way), step: func(now time.Time) { s.reach(now, j, c) }})
}

// reach begins a request that has come to its target, or lets it wait.
func (s *simulation) reach(now time.Time, j *job, c chooser) {
	if j.target.running < s.slots {
		s.begin(now, j, c)
		return
	}
	j.target.queue = append(j.target.queue, j)
}

func (s *simulation) begin(now time.Time, j *job, c chooser) {
	j.target.running++
	w := s.strange
	s.result.strange++
	if slices.Contains(j.target.known, j.object) {
		w = s.known
		s.result.strange--
	}
	if s.slow != nil {
		w = time.Duration(float64(w) * s.slow(j.target.index, now.Sub(start)))
	}
	if s.fails != nil && s.fails(j.target.index, now.Sub(start)) {
		w = time.Millisecond
	}
	w = time.Duration(float64(w) * (0.85 + 0.3*s.random.Float64()))
	heap.Push(&s.events, event{at: now.Add(w), step: func(now time.Time) { s.finish(now, j, c) }})
}

// finish ends the work on a request; its answer is on its way.
func (s *simulation) finish(now time.Time, j *job, c chooser) {
	t := j.target
	t.running--
	// A target knows an object once it has ended a request for it.
	t.known = append(slices.DeleteFunc(t.known, func(k string) bool { return k == j.object }), j.object)
	t.known = t.known[max(0, len(t.known)-s.keeps):]
	j.running, j.waiting = t.running, len(t.queue)
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		s.begin(now, next, c)
	}
	heap.Push(&s.events, event{at: now.Add(j.way), step: func(now time.Time) { s.answer(now, j, c) }})
}

// answer hands the answer to the caller.
func (s *simulation) answer(now time.Time, j *job, c chooser) {
	t := j.target
	o := placer.Answered
	switch d := now.Sub(j.asked); {
	case s.fails != nil && s.fails(t.index, now.Sub(start)):
		o = placer.Failed
		s.result.failed++
	case d > s.deadline:
		o = placer.Silent
		s.result.failed++
	case d > s.objective:
		s.result.late++
	default:
		s.result.inTime++
	}
	c.end(now, j.instance, j.lease, o, j.running, j.waiting)
}

// placers places by the package.
type placers struct {
	pool func() *cataloger.Pool
	each []*placer.Placer
}

type openGate struct{}

func (openGate) Sends(string) bool                    { return true }
func (openGate) Take(time.Time, string, float64) bool { return true }

// playPlacer plays a load with a placer at each instance.
func (l load) playPlacer() result {
	p := &placers{}
	for i := range l.instances {
		home := region(l.homes, i)
		trip := func(r string) time.Duration {
			if r == home {
				return 0
			}
			return l.trip
		}
		p.each = append(p.each, placer.New(placer.Config{Region: home, Trip: trip, Cold: openGate{}}))
	}
	before, after := l.pool(l.targets), l.pool(l.targets+l.joins)
	var now time.Time
	p.pool = func() *cataloger.Pool {
		if l.joins > 0 && now.Sub(start) >= l.joinsAt {
			return after
		}
		return before
	}
	return l.play(&timed{placers: p, now: &now, tell: l.tell})
}

// timed keeps the time by which the pool is chosen.
type timed struct {
	*placers
	now *time.Time
	// tell is how often instances tell each other what they have in flight; 0 for never.
	tell time.Duration
	told time.Time
}

func (t *timed) choose(now time.Time, i int, w placer.Work) (*placer.Lease, *responder.Refusal) {
	if t.tell > 0 && now.Sub(t.told) >= t.tell {
		t.told = now
		for j, q := range t.each {
			m := q.InFlight()
			for k, o := range t.each {
				if k != j {
					o.Heard(now, fmt.Sprint(j), m)
				}
			}
		}
	}
	*t.now = now
	return t.each[i].Choose(now, t.pool(), w)
}

func (t *timed) end(now time.Time, i int, l *placer.Lease, o placer.Outcome, running, waiting int) {
	t.each[i].Told(now, l, placer.Load{Running: running, Waiting: waiting, Slots: l.Target.Slots})
	t.each[i].End(now, l, o)
}

// leastBusy is a baseline: the target with the fewest requests of the own instance, drawn at random among equals.
type leastBusy struct {
	pool     *cataloger.Pool
	inFlight []map[string]int
	random   *rand.Rand
}

func (l load) playLeastBusy() result {
	b := &leastBusy{pool: l.pool(l.targets), random: rand.New(rand.NewPCG(l.seed, 2))}
	for range l.instances {
		b.inFlight = append(b.inFlight, map[string]int{})
	}
	return l.play(b)
}

func (b *leastBusy) choose(_ time.Time, i int, _ placer.Work) (*placer.Lease, *responder.Refusal) {
	best, least := 0, 1<<30
	for _, k := range b.random.Perm(len(b.pool.Targets)) {
		if n := b.inFlight[i][b.pool.Targets[k].Name]; n < least {
			best, least = k, n
		}
	}
	t := b.pool.Targets[best]
	b.inFlight[i][t.Name]++
	return &placer.Lease{Target: t}, nil
}

func (b *leastBusy) end(_ time.Time, i int, l *placer.Lease, _ placer.Outcome, _, _ int) {
	b.inFlight[i][l.Target.Name]--
}
