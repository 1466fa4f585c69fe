package balancer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/responder"
)

const (
	simDeadline = time.Second
	simWarmUp   = 2 * time.Second
	simLength   = 8 * time.Second
	// The targets of a dead owner return to service 5 s after its death, with all slots counted as busy for one more
	// deadline.
	simLengthAfterDeath = 16 * time.Second
	reportInterval      = 500 * time.Millisecond
	simReserve          = 0.1
	joinTime            = 5 * time.Second
	refusalTime         = 1600 * time.Millisecond
	refusalInterval     = time.Second
	// Waits of a request for an owner, as in package server.
	minWait = 25 * time.Millisecond
	maxWait = 400 * time.Millisecond
	// meanService is the mean of (*simulation).service.
	meanService = 43200 * time.Microsecond
	// targetBacklog is the number of requests beyond its slots that a target accepts if it does not shed.
	targetBacklog = 12
	simAccounts   = 8
)

// scenario is one deployment of docs/design.md, section 1.5, restricted to one pool.
type scenario struct {
	name    string
	targets int
	// hop and far are the one-way latencies within and between regions.
	hop, far time.Duration
	// link is the capacity of a link in bytes per second.
	link float64
	// load is the offered load as a fraction of capacity; noisy makes the first account send 5 times as much as each
	// other one.
	load  float64
	noisy bool
	// falseLoad makes the first target always report zero load; unhealthySignals makes all health endpoints fail.
	falseLoad, unhealthySignals bool
	// ownerDies kills the first instance at half of simLength.
	ownerDies bool
	// reserve is the fraction of slots that owners keep for their region; 0 means simReserve.
	reserve float64
	// regionJoins leaves the targets of the last region without an owner until joinTime.
	regionJoins bool
	// targetsRefuse makes targets refuse connections for refusalTime, a different one every refusalInterval.
	targetsRefuse bool
	// loadInResponses adds the owner's load to its responses, in addition to heartbeats.
	loadInResponses bool
	disabled        disabledRules
}

// disabledRules selects rules to turn off in a measurement.
type disabledRules struct {
	wait, move, freeRetry bool
}

func (s scenario) reserveOrDefault() float64 {
	if s.reserve > 0 {
		return s.reserve
	}
	return simReserve
}

func (s scenario) length() time.Duration {
	if s.ownerDies {
		return simLengthAfterDeath
	}
	return simLength
}

// event is a function scheduled for a time.
type event struct {
	at  time.Time
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

// request is a caller's request.
type request struct {
	account, entry int
	at             time.Time
	tries          int
	tried          []string
	wait           time.Duration
	done           bool
}

// simTarget runs requests in slots and queues or sheds the excess.
type simTarget struct {
	region, running int
	backlog         []func()
	reportedLoad    int
	// refusesUntil is the time until which the target refuses connections.
	refusesUntil time.Time
}

// policy decides where a request that arrived at an entry instance is sent.
type policy interface {
	send(r *request)
}

type simulation struct {
	scenario
	now     time.Time
	queue   events
	seq     int
	r       *rand.Rand
	targets []*simTarget
	// sheds makes targets shed requests beyond their slots instead of queueing them.
	sheds    bool
	dead     bool
	refusals int
	result   result
}

// result holds counts and latencies as observed by callers and targets.
type result struct {
	// latency is in microseconds, of served requests; all includes refused requests, counted with their whole deadline.
	latency, all                      *hdrhistogram.Histogram
	sent, served, refused, overshoots int
	// wasted counts requests that were sent to a target and shed or aborted there.
	wasted int
	// unreached counts requests refused because the last connection attempt failed.
	unreached   int
	busy, ticks int
	offered, ok [simAccounts]int
}

// regionOf returns the region of an instance; the regions have 3, 2 and 2 of the 7 instances.
func regionOf(instance int) int {
	return []int{0, 0, 0, 1, 1, 2, 2}[instance]
}

func newSimulation(s scenario, seed uint64) *simulation {
	m := &simulation{scenario: s, now: epoch, r: rand.New(rand.NewPCG(seed, 0))}
	m.result.latency, m.result.all = hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	for i := range s.targets {
		m.targets = append(m.targets, &simTarget{region: i % 3})
	}
	return m
}

func (m *simulation) after(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.queue, event{at: m.now.Add(d), seq: m.seq, f: f})
}

// every runs f now and then once per period d.
func (m *simulation) every(d time.Duration, f func()) {
	f()
	m.after(d, func() { m.every(d, f) })
}

// service draws a service time: 20 to 60 ms, and five times that for one request in 50.
func (m *simulation) service() time.Duration {
	d := time.Duration(20_000+m.r.IntN(40_001)) * time.Microsecond
	if m.r.IntN(50) == 0 {
		d *= 5
	}
	return d
}

func (m *simulation) run(p policy) result {
	rate := m.load * float64(m.scenario.targets*slots) / meanService.Seconds()
	m.arrive(p, rate)
	m.every(10*time.Millisecond, m.sample)
	m.every(reportInterval, m.report)
	end := epoch.Add(m.length())
	for m.queue.Len() > 0 && m.queue[0].at.Before(end) {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.f()
	}
	return m.result
}

func (m *simulation) arrive(p policy, rate float64) {
	m.after(time.Duration(m.r.ExpFloat64()/rate*float64(time.Second)), func() {
		m.arrive(p, rate)
		// Half of a region's requests or more arrive at its first instance.
		region := m.r.IntN(m.scenario.targets) % 3
		entry := []int{0, 3, 5}[region]
		if m.r.IntN(2) == 0 {
			entry += 1 + m.r.IntN([]int{2, 1, 1}[region])
		}
		r := &request{account: m.account(), entry: entry, at: m.now}
		if m.dead && entry == 0 {
			// Callers fall back to the next instance in their lookup response.
			r.entry = 1
		}
		if m.counts(r) {
			m.result.sent++
			m.result.offered[r.account]++
		}
		p.send(r)
	})
}

func (m *simulation) account() int {
	if !m.noisy {
		return m.r.IntN(simAccounts)
	}
	return max(0, m.r.IntN(simAccounts+4)-4)
}

func (m *simulation) counts(r *request) bool {
	return r.at.Sub(epoch) >= simWarmUp && r.at.Sub(epoch) < m.length()-simDeadline
}

func (m *simulation) sample() {
	if m.now.Sub(epoch) < simWarmUp {
		return
	}
	for _, t := range m.targets {
		m.result.busy += min(t.running, slots)
	}
	m.result.ticks += len(m.targets) * slots
}

func (m *simulation) report() {
	for i, t := range m.targets {
		t.reportedLoad = t.running + len(t.backlog)
		if m.falseLoad && i == 0 {
			t.reportedLoad = 0
		}
	}
}

// served records a complete response to a request.
func (m *simulation) served(r *request) {
	if r.done {
		return
	}
	r.done = true
	if !m.counts(r) {
		return
	}
	d := m.now.Sub(r.at)
	if d > simDeadline {
		m.refuse()
		return
	}
	m.result.served++
	m.result.ok[r.account]++
	_ = m.result.latency.RecordValue(d.Microseconds())
	_ = m.result.all.RecordValue(d.Microseconds())
}

func (m *simulation) refused(r *request) {
	if !r.done && m.counts(r) {
		m.refuse()
	}
	r.done = true
}

func (m *simulation) refuse() {
	m.result.refused++
	_ = m.result.all.RecordValue(simDeadline.Microseconds())
}

// refuseNext makes the next target refuse connections; successive targets are far apart. Requests running there
// continue.
func (m *simulation) refuseNext() {
	m.refusals++
	m.targets[m.refusals*5%len(m.targets)].refusesUntil = m.now.Add(refusalTime)
}

// deliver simulates the arrival of a request at a target and calls reply when it ends there.
func (m *simulation) deliver(i int, r *request, reply func(balancer.Outcome)) {
	t := m.targets[i]
	if t.refusesUntil.After(m.now) {
		reply(balancer.ConnectFailure)
		return
	}
	if t.running+len(t.backlog) >= slots {
		m.result.overshoots++
	}
	start := func() {
		t.running++
		m.after(m.service(), func() {
			t.running--
			reply(balancer.Success)
			m.next(t)
		})
	}
	switch {
	case t.running < slots:
		start()
	case m.sheds || len(t.backlog) >= targetBacklog:
		m.result.wasted++
		reply(balancer.Shed)
	default:
		t.backlog = append(t.backlog, func() {
			if m.now.Sub(r.at) > simDeadline {
				m.result.wasted++
				reply(balancer.Timeout)
				m.next(t)
				return
			}
			start()
		})
	}
}

func (m *simulation) next(t *simTarget) {
	if len(t.backlog) == 0 || t.running >= slots {
		return
	}
	f := t.backlog[0]
	t.backlog = t.backlog[1:]
	f()
}

// independentPolicy lets each entry instance choose a target in its region by the last reported load.
type independentPolicy struct {
	*simulation
	// choices is the number of targets compared; 0 compares all.
	choices int
	retries balancer.Bucket
	retry   bool
}

func (p *independentPolicy) send(r *request) {
	p.retries.Add(0.1)
	p.try(r)
}

func (p *independentPolicy) try(r *request) {
	best := -1
	for n := 0; n < p.choices || p.choices == 0 && n < len(p.targets); n++ {
		i := n
		if p.choices > 0 {
			i = p.r.IntN(len(p.targets))
		}
		switch t := p.targets[i]; {
		case t.region != regionOf(r.entry):
			if p.choices > 0 {
				n--
			}
		case best < 0 || t.reportedLoad < p.targets[best].reportedLoad:
			best = i
		}
	}
	if p.unhealthySignals && p.now.Sub(epoch) > simWarmUp {
		// All health endpoints fail, and an instance that relies on them finds no target.
		p.refused(r)
		return
	}
	p.after(p.hop, func() {
		p.deliver(best, r, func(o balancer.Outcome) { p.after(p.hop, func() { p.end(r, o) }) })
	})
}

func (p *independentPolicy) end(r *request, o balancer.Outcome) {
	if o == balancer.Success {
		p.served(r)
		return
	}
	r.tries++
	if p.retry && r.tries <= 2 && p.now.Sub(r.at) < simDeadline && p.retries.Take(p.now, 1) {
		p.try(r)
		return
	}
	p.refused(r)
}

// ownerPolicy simulates this package: one pool per owner. If leased is set, the slots are divided among all instances
// and requests are not forwarded.
type ownerPolicy struct {
	*simulation
	leased  bool
	pools   []*balancer.Pool
	chooser []*balancer.Chooser
	pending []map[balancer.ID]*pending
}

type pending struct {
	r     *request
	reply func(balancer.Outcome, balancer.Load)
}

func newOwnerPolicy(m *simulation, leased bool) *ownerPolicy {
	p := &ownerPolicy{simulation: m, leased: leased}
	for i := range 7 {
		c := balancer.NewChooser(balancer.ChooserConfig{Name: fmt.Sprint(i), Region: fmt.Sprint(regionOf(i)), Seed: uint64(i)})
		p.chooser = append(p.chooser, c)
		p.setOwners(c)
		for r := range 3 {
			c.Link(m.now, fmt.Sprint(r), m.link, 2)
		}
		p.pools = append(p.pools, balancer.New(balancer.Config{ServiceTime: meanService, Reserve: m.reserveOrDefault()}))
		p.pending = append(p.pending, map[balancer.ID]*pending{})
		p.adopt(i)
	}
	m.every(10*time.Millisecond, p.tick)
	m.every(reportInterval, p.heartbeat)
	if m.ownerDies {
		m.after(simLength/2, p.kill)
	}
	if m.regionJoins {
		m.after(joinTime, p.activateLastRegion)
	}
	if m.targetsRefuse {
		m.every(refusalInterval, m.refuseNext)
	}
	return p
}

// setOwners passes the instances that currently own targets to c.
func (p *ownerPolicy) setOwners(c *balancer.Chooser) {
	var os []balancer.Owner
	for j := range 7 {
		if p.dead && j == 0 || p.awaitsTargets(j) {
			continue
		}
		os = append(os, balancer.Owner{Name: fmt.Sprint(j), Region: fmt.Sprint(regionOf(j))})
	}
	c.Adopt(os)
}

// awaitsTargets reports whether instance i does not own its targets yet.
func (p *ownerPolicy) awaitsTargets(i int) bool {
	return p.regionJoins && regionOf(i) == 2 && p.now.Sub(epoch) < joinTime
}

// activateLastRegion gives the instances of the last region their targets.
func (p *ownerPolicy) activateLastRegion() {
	for i, c := range p.chooser {
		p.setOwners(c)
		if regionOf(i) == 2 {
			p.adopt(i)
		}
	}
}

// adopt assigns instance i its targets.
func (p *ownerPolicy) adopt(i int) {
	var hs []balancer.Holding
	for j, t := range p.targets {
		n := p.heldSlots(i, j, t)
		if n == 0 {
			continue
		}
		h := balancer.Holding{Target: fmt.Sprint(j), Slots: n}
		if p.dead && t.region == 0 {
			// Requests of the dead owner may run until their deadline, counted from the last time at which it may have
			// started one.
			h.Residues = []balancer.Residue{{Slots: balancer.AllSlots, Until: p.now.Add(simDeadline)}}
		}
		hs = append(hs, h)
	}
	_, a := p.pools[i].SetTargets(p.now, hs)
	p.apply(i, a)
}

// heldSlots is the number of slots of target j that instance i holds.
func (p *ownerPolicy) heldSlots(i, j int, t *simTarget) int {
	if regionOf(i) != t.region || p.awaitsTargets(i) {
		return 0
	}
	first, n := []int{0, 3, 5}[t.region], []int{3, 2, 2}[t.region]
	if !p.leased {
		owner := first + j/3%n
		if p.dead && owner == 0 {
			owner = 1 + j/9%2
		}
		if owner == i {
			return slots
		}
		return 0
	}
	m := 0
	for s := range slots {
		if first+(j/3*slots+s)%n == i {
			m++
		}
	}
	return m
}

func (p *ownerPolicy) tick() {
	for i := range p.pools {
		if !p.dead || i != 0 {
			p.apply(i, p.pools[i].Tick(p.now))
		}
	}
	for i, pool := range p.pools {
		for j := 0; p.unhealthySignals && p.now.Sub(epoch) > simWarmUp && j < len(p.targets); j++ {
			p.apply(i, pool.ApplySignal(p.now, fmt.Sprint(j), balancer.Signal{}))
		}
		if p.falseLoad {
			p.apply(i, pool.ApplySignal(p.now, "0", balancer.Signal{Healthy: true}))
		}
	}
}

func (p *ownerPolicy) heartbeat() {
	for i, c := range p.chooser {
		for j, pool := range p.pools {
			if i != j {
				c.Report(p.now, fmt.Sprint(j), pool.Load(p.now))
			}
		}
	}
}

// kill stops instance 0. The others detect it after 1.5 s and take over its targets 5 s after its death.
func (p *ownerPolicy) kill() {
	p.dead = true
	for _, w := range p.pending[0] {
		p.refused(w.r)
	}
	p.after(1500*time.Millisecond, func() {
		for _, c := range p.chooser {
			p.setOwners(c)
		}
	})
	p.after(5*time.Second, func() {
		p.adopt(1)
		p.adopt(2)
	})
}

func (p *ownerPolicy) send(r *request) {
	p.chooser[r.entry].Attempt()
	p.forward(r)
}

func (p *ownerPolicy) forward(r *request) {
	c := p.chooser[r.entry]
	c.Report(p.now, fmt.Sprint(r.entry), p.pools[r.entry].Load(p.now))
	o, ok := c.Choose(p.now, 4096, r.tried...)
	if p.leased {
		o, ok = balancer.Owner{Name: fmt.Sprint(r.entry)}, len(r.tried) == 0
	}
	if !ok {
		p.refuse(r, &responder.Refusal{Reason: responder.NoSlot, Ran: responder.NotRun})
		return
	}
	var i int
	_, _ = fmt.Sscan(o.Name, &i)
	d := p.distance(r.entry, i)
	r.tried = append(r.tried, o.Name)
	p.after(d, func() {
		p.submit(i, r, func(x balancer.Outcome, l balancer.Load) {
			p.after(d, func() {
				if p.loadInResponses {
					c.Report(p.now, o.Name, l)
				}
				p.end(r, x)
			})
		})
	})
}

func (p *ownerPolicy) distance(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case regionOf(a) == regionOf(b):
		return p.hop
	}
	return p.far
}

func (p *ownerPolicy) end(r *request, o balancer.Outcome) {
	if o == balancer.Success {
		p.served(r)
		return
	}
	r.tries++
	x := &responder.Refusal{Reason: responder.NoSlot, Ran: responder.NotRun}
	if o == balancer.ConnectFailure && !p.disabled.freeRetry {
		x.Reason = responder.TargetUnreachable
	}
	if !r.done && p.chooser[r.entry].Retry(p.now, x, r.at.Add(simDeadline), r.tried...) {
		p.forward(r)
		return
	}
	if o == balancer.ConnectFailure && p.counts(r) {
		p.result.unreached++
	}
	p.refuse(r, x)
}

// refuse makes a request wait and retry within its deadline while no owner of its region serves.
func (p *ownerPolicy) refuse(r *request, x *responder.Refusal) {
	r.wait = min(max(minWait, 2*r.wait), maxWait)
	waits := !p.disabled.wait && p.chooser[r.entry].Waits(p.now, x)
	if r.done || !waits || r.at.Add(simDeadline).Sub(p.now) < 2*r.wait {
		p.refused(r)
		return
	}
	p.after(r.wait, func() {
		r.tries, r.tried = 0, nil
		p.send(r)
	})
}

func (p *ownerPolicy) submit(i int, r *request, reply func(balancer.Outcome, balancer.Load)) {
	if p.dead && i == 0 {
		// The connection is refused, so the request has not run.
		reply(balancer.NotSent, balancer.Load{})
		return
	}
	id, a := p.pools[i].Submit(p.now, balancer.Work{
		Account: fmt.Sprint(r.account), Rate: 1,
		Deadline: r.at.Add(simDeadline), Remote: regionOf(i) != regionOf(r.entry),
	})
	p.pending[i][id] = &pending{r: r, reply: reply}
	p.apply(i, a)
}

func (p *ownerPolicy) apply(i int, a balancer.Actions) {
	for _, s := range a.Starts {
		p.sendTarget(i, s.ID, s.Target)
	}
	for _, r := range a.Refused {
		w := p.pending[i][r.ID]
		delete(p.pending[i], r.ID)
		w.reply(balancer.NotSent, p.pools[i].Load(p.now))
	}
}

func (p *ownerPolicy) sendTarget(i int, id balancer.ID, target string) {
	var j int
	_, _ = fmt.Sscan(target, &j)
	p.after(p.hop, func() {
		p.deliver(j, p.pending[i][id].r, func(o balancer.Outcome) { p.after(p.hop, func() { p.finish(i, id, o) }) })
	})
}

func (p *ownerPolicy) finish(i int, id balancer.ID, o balancer.Outcome) {
	if p.dead && i == 0 {
		return
	}
	if o == balancer.ConnectFailure && !p.disabled.move {
		t, ok, a := p.pools[i].Failover(p.now, id)
		p.apply(i, a)
		if ok {
			p.sendTarget(i, id, t)
			return
		}
	}
	w := p.pending[i][id]
	delete(p.pending[i], id)
	p.apply(i, p.pools[i].Finish(p.now, id, o))
	w.reply(o, p.pools[i].Load(p.now))
}
