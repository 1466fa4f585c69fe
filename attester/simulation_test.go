package attester_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/tracker"
)

// start is the simulated time at which each run begins.
var start = time.Unix(1_000_000, 0)

const (
	tickInterval  = 250 * time.Millisecond
	readInterval  = 500 * time.Millisecond
	listInterval  = time.Second
	listLag       = tracker.DefaultListLag
	freshness     = attester.DefaultFreshness
	retryInterval = time.Second
	// largestDeadline is the maximum running time of a request.
	largestDeadline = 10 * time.Second
)

// resources holds targets of three regions, an undivided bucket, and a part of a divided bucket. Region c has no
// instances unless a test starts some.
var resources = []assigner.Resource{
	{Name: "t1", Scope: "a"}, {Name: "t2", Scope: "a"},
	{Name: "t3", Scope: "b"}, {Name: "t4", Scope: "b"},
	{Name: "t5", Scope: "c"},
	{Name: "k1", Scope: assigner.FleetScope}, {Name: "k1", Scope: assigner.FleetScope, Part: 1},
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

// faultEnds holds the end time of each fault by its name.
type faultEnds map[string]time.Time

// registration is the period for which an entry is in the list.
type registration struct {
	entry    tracker.Entry
	from, to time.Time
}

// report is the outcome that an author reported for its change.
type report struct {
	version uint64
	outcome attester.Outcome
	// lost is set if at any time since the report no instance that has the version was up and listed.
	lost bool
}

// simulation is a discrete-event simulation of processes, the store, the list with its lag, and the network.
type simulation struct {
	now    time.Time
	rng    *rand.Rand
	steady bool
	seq    int
	queue  queue
	nodes  []*node
	starts uint64

	heads      assigner.Heads
	committed  map[string]uint64
	list       []*registration
	faults     faultEnds
	loss       float64
	reports    []report
	log        []string
	fail       string
	lastActors map[assigner.Resource]actor
	// successions counts how often a successor began to act.
	successions int
	// removalRule replaces the removals of each plan, for comparisons.
	removalRule removalRule
	// noSuccession disables succession, for comparisons.
	noSuccession bool
	// noReports makes every contact report all instances as unheard.
	noReports bool
}

// node is a simulated process of an instance.
type node struct {
	sim             *simulation
	self            tracker.Instance
	offset          time.Duration
	dead            bool
	paused          time.Time
	tracker         *tracker.Tracker
	attester        *attester.Attester
	assigner        *assigner.Assigner
	heads           assigner.Heads
	pendingChanges  []pendingChange
	syncedRevision  uint64
	syncedAdmission time.Time
	writing         bool
	lastRead        time.Time
	// storeRead is when a read of the store last succeeded, or when the process started.
	storeRead     time.Time
	lastList      time.Time
	newestVersion uint64
	// leastLag is the minimum lag of the entries in a reading of this process, as a fraction of the maximum.
	leastLag float64
	// oldestReadings makes every reading of this process show the oldest permitted state.
	oldestReadings bool
	schedule       assigner.Schedule
	// assigned is when the process adopted the newest change of an assignment.
	assigned time.Time
	// unheard holds the peers that each peer last reported as unheard.
	unheard map[string][]string
}

// pendingChange is a change whose author waits until it is in force.
type pendingChange struct {
	attester.WaitInForce
	// expired reports that the author reported the outcome Expired.
	expired bool
}

type message struct {
	contact  tracker.Contact
	version  uint64
	released uint64
}

func newSimulation(seed uint64, steady bool) *simulation {
	return &simulation{
		now:        start,
		rng:        rand.New(rand.NewPCG(seed, 1)),
		steady:     steady,
		heads:      assigner.Heads{Version: 1, Scopes: map[string]assigner.Assignment{"a": {}, "b": {}, "c": {}, "": {}}},
		committed:  map[string]uint64{},
		faults:     faultEnds{},
		lastActors: map[assigner.Resource]actor{},
	}
}

func (w *simulation) logf(format string, a ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.3f ", w.now.Sub(start).Seconds())+fmt.Sprintf(format, a...))
}

func (w *simulation) at(t time.Time, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: t, seq: w.seq, run: f})
}

// run executes events until the simulated time end or the first violated invariant.
func (w *simulation) run(end time.Time) {
	for len(w.queue) > 0 && w.fail == "" && w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		w.check()
	}
	w.now = end
}

func (w *simulation) faultActive(fault string) bool {
	return w.now.Before(w.faults[fault])
}

func (w *simulation) delay() time.Duration {
	switch {
	case w.steady:
		return 10 * time.Millisecond
	case w.rng.IntN(40) == 0:
		return time.Duration(w.rng.IntN(4000)) * time.Millisecond
	default:
		return time.Duration(1+w.rng.IntN(60)) * time.Millisecond
	}
}

func (w *simulation) dropsMessage() bool {
	return w.loss > 0 && w.rng.Float64() < w.loss
}

// cut reports whether messages from a to b are lost.
func (w *simulation) cut(a, b *node) bool {
	x, y := a.self.Name, b.self.Name
	if w.faultActive("one_way "+x+" "+y) || w.faultActive("apart "+a.self.Region+" "+b.self.Region) || w.faultActive("apart "+b.self.Region+" "+a.self.Region) {
		return true
	}
	if x > y {
		x, y = y, x
	}
	return w.faultActive("link "+x+" "+y) || a.self.Region != b.self.Region && (w.faultActive("region "+a.self.Region) || w.faultActive("region "+b.self.Region))
}

// deliver runs f at the node after d, or once a pause of the node ends. It does nothing if the process is dead by then.
func (w *simulation) deliver(n *node, d time.Duration, f func()) {
	w.at(w.now.Add(d), func() { n.execute(f) })
}

func (n *node) execute(f func()) {
	switch {
	case n.dead:
	case n.sim.now.Before(n.paused):
		n.sim.at(n.paused, func() { n.execute(f) })
	default:
		f()
		if !n.dead {
			n.updateOwnership()
		}
	}
}

// updateOwnership passes the state after an event to the assigner.
func (n *node) updateOwnership() {
	n.assigner.Observe(n.now(), n.situation())
	n.assigner.Tick(n.now(), n.tracker.Settled(n.now()), n.tracker.Acts(n.now()))
}

func (n *node) situation() assigner.Situation {
	s := assigner.Situation{
		Settled:     n.tracker.Settled(n.now()),
		Acts:        n.tracker.Acts(n.now()),
		Region:      assigner.Proof{Expiry: n.attester.Expiry(attester.Region), Round: n.attester.Round(attester.Region)},
		Fleet:       assigner.Proof{Expiry: n.attester.Expiry(attester.FleetOwner), Round: n.attester.Round(attester.FleetOwner)},
		Listed:      n.tracker.ListedAt(),
		ListedSince: n.tracker.ListedSince(),
		Peer:        func(name string) bool { return n.tracker.State(n.now(), name) != tracker.Gone },
	}
	if !n.sim.noSuccession {
		s.StoreRead = n.storeRead
	}
	for _, d := range n.tracker.Departed() {
		s.Departed = append(s.Departed, assigner.Departure(d))
	}
	return s
}

func (n *node) now() time.Time {
	return n.sim.now.Add(n.offset)
}

func (w *simulation) liveNode(name string) *node {
	for _, n := range w.nodes {
		if n.self.Name == name && !n.dead {
			return n
		}
	}
	return nil
}

// spawn starts a process. If a live process has the name, it returns that process.
func (w *simulation) spawn(name string, listed bool) *node {
	if n := w.liveNode(name); n != nil {
		return n
	}
	w.starts++
	self := tracker.Instance{Name: name, Incarnation: w.starts, Region: name[:1], FailureDomain: name}
	n := &node{sim: w, self: self, offset: time.Duration(w.rng.IntN(1e6)) * time.Second, attester: attester.New(attester.Config{Region: self.Region})}
	n.tracker, _ = tracker.New(tracker.Config{Self: self, Seed: w.starts})
	n.assigner = assigner.New(assigner.Config{Self: member(self), LargestDeadline: largestDeadline})
	n.assigner.SetResources(n.now(), resources)
	n.storeRead = n.now()
	if !w.steady {
		n.leastLag = []float64{0, 0, 0.98, w.rng.Float64()}[w.rng.IntN(4)]
	}
	w.nodes = append(w.nodes, n)
	if listed {
		w.register(n)
	}
	w.logf("start %s#%d", name, w.starts)
	w.deliver(n, time.Duration(w.rng.IntN(100))*time.Millisecond, n.tick)
	return n
}

func (w *simulation) register(n *node) {
	for _, r := range w.list {
		if r.entry.Name == n.self.Name && r.to.IsZero() {
			return
		}
	}
	e := tracker.Entry{Instance: n.self}
	e.Incarnation = 0
	w.list = append(w.list, &registration{entry: e, from: w.now})
}

func (w *simulation) unregister(name string) {
	for _, r := range w.list {
		if r.entry.Name == name && r.to.IsZero() {
			r.to = w.now
			w.logf("unlisted %s", name)
		}
	}
}

// wasListed reports whether a reading that is still in use may show the name.
func (w *simulation) wasListed(name string) bool {
	since := w.now.Add(-listLag - tracker.DefaultListAge)
	return slices.ContainsFunc(w.list, func(r *registration) bool { return r.entry.Name == name && (r.to.IsZero() || r.to.After(since)) })
}

// listFor returns a list reading for the process. Each entry shows the state at an independent time since from.
func (w *simulation) listFor(n *node, from time.Time) []tracker.Entry {
	var r []tracker.Entry
	for _, x := range w.list {
		t := w.readingTime(n, from)
		if !x.from.After(t) && (x.to.IsZero() || x.to.After(t)) {
			r = append(r, x.entry)
		}
	}
	return r
}

// readingTime returns the time whose state an entry of a reading shows. Some processes
// always see the oldest state and others the newest, which maximizes their disagreement.
func (w *simulation) readingTime(n *node, from time.Time) time.Time {
	span := w.now.Sub(from)
	switch {
	case n.oldestReadings:
		return from
	case w.steady || n.leastLag == 0 && w.rng.IntN(4) > 0:
		return w.now
	default:
		return from.Add(time.Duration(float64(span) * (1 - n.leastLag) * w.rng.Float64()))
	}
}

func (w *simulation) kill(n *node) {
	n.dead = true
	w.logf("kill %s#%d", n.self.Name, n.self.Incarnation)
}

func member(i tracker.Instance) assigner.Member {
	return assigner.Member{Name: i.Name, Incarnation: i.Incarnation, Region: i.Region, FailureDomain: i.FailureDomain}
}

func members(is []tracker.Instance) []assigner.Member {
	var r []assigner.Member
	for _, i := range is {
		r = append(r, member(i))
	}
	return r
}

// sync passes the membership from the tracker to the attester.
func (n *node) sync() {
	m := attester.Membership{Admitted: n.tracker.Admitted(), Listed: n.tracker.ListedAt(), Newcomer: n.tracker.Newcomer(n.now())}
	if !m.Admitted.Equal(n.syncedAdmission) {
		n.sim.logf("%s#%d admitted %v", n.self.Name, n.self.Incarnation, !m.Admitted.IsZero())
	}
	n.syncedRevision, n.syncedAdmission = n.tracker.Revision(), m.Admitted
	for _, p := range n.tracker.Peers(n.now()) {
		m.Peers = append(m.Peers, attester.Peer{Name: p.Name, Incarnation: p.Incarnation, Region: p.Region})
	}
	n.attester.SetMembership(m)
}

func (n *node) membershipChanged() bool {
	return n.syncedRevision != n.tracker.Revision()
}

func (n *node) tick() {
	p := n.tracker.Tick(n.now())
	n.sync()
	for _, i := range p.Heartbeat {
		n.heartbeat(i)
	}
	if n.now().Sub(n.lastRead) >= readInterval {
		n.lastRead = n.now()
		n.read()
	}
	if n.now().Sub(n.lastList) >= listInterval {
		n.lastList = n.now()
		n.readList()
	}
	n.propose(p)
	n.poll()
	n.sim.deliver(n, tickInterval, n.tick)
}

func (n *node) message(c tracker.Contact) message {
	return message{contact: c, version: n.attester.Version(), released: n.assigner.Released(n.now())}
}

func (n *node) heartbeat(to tracker.Instance) {
	w := n.sim
	n.tracker.ObserveSent(n.now(), to.Name)
	sent := n.now()
	m := n.message(n.tracker.Heartbeat(sent))
	p := w.liveNode(to.Name)
	if p == nil || w.cut(n, p) || w.dropsMessage() {
		return
	}
	w.deliver(p, w.delay(), func() {
		if !p.receive(n, m) {
			return
		}
		a := p.message(p.tracker.Heartbeat(p.now()))
		if !w.cut(p, n) && !w.dropsMessage() {
			w.deliver(n, w.delay(), func() { n.receiveAnswer(p, sent, a) })
		}
	})
}

func (n *node) receive(from *node, m message) bool {
	n.recordUnheard(&m.contact)
	ok := n.tracker.ObserveHeartbeat(n.now(), m.contact)
	i := m.contact.From
	n.attester.RecordVersion(i.Name, i.Incarnation, m.version, m.contact.State == tracker.Gone)
	if n.membershipChanged() {
		n.sync()
	}
	if m.version > n.attester.Version() {
		n.fetch(from)
	}
	return ok
}

func (n *node) receiveAnswer(from *node, sent time.Time, m message) {
	n.recordUnheard(&m.contact)
	i := m.contact.From
	if !n.tracker.ObserveAnswer(sent, n.now(), m.contact) {
		return
	}
	if n.membershipChanged() {
		n.sync()
	}
	n.attester.RecordAnswer(sent, attester.Answer{Name: i.Name, Incarnation: i.Incarnation, Version: m.version, Acts: m.contact.Acts})
	n.assigner.ObserveRelease(n.now(), member(i), m.released, nil)
	if m.version > n.attester.Version() {
		n.fetch(from)
	}
}

// fetch requests the heads row that the peer applies, and adopts it.
func (n *node) fetch(p *node) {
	w := n.sim
	if w.cut(n, p) || w.dropsMessage() {
		return
	}
	w.deliver(p, w.delay(), func() {
		h := p.heads
		if !w.cut(p, n) && !w.dropsMessage() {
			w.deliver(n, w.delay(), func() { n.adopt(h) })
		}
	})
}

func (n *node) adopt(h assigner.Heads) {
	if h.Version <= n.attester.Version() {
		return
	}
	if scopesText(n.heads) != scopesText(h) {
		n.assigned = n.now()
	}
	n.heads = h
	n.tracker.ObserveAssignment(n.now(), memberNames(h.Scopes[assigner.FleetScope].Members))
	n.assigner.Adopt(n.now(), h)
	n.attester.Adopt(h.Version)
	n.assigner.Release(h.Version)
	n.sim.logf("%s#%d adopts %d", n.self.Name, n.self.Incarnation, h.Version)
}

func memberNames(ms []assigner.Member) map[string]bool {
	r := map[string]bool{}
	for _, m := range ms {
		r[m.Name] = true
	}
	return r
}

func (w *simulation) storeDown(n *node) bool {
	return w.faultActive("store") || w.faultActive("store "+n.self.Name)
}

func (n *node) read() {
	w := n.sim
	if w.storeDown(n) || w.dropsMessage() {
		return
	}
	sent := n.now()
	w.at(w.now.Add(w.delay()), func() {
		h := w.heads
		if w.storeDown(n) || w.dropsMessage() {
			return
		}
		w.deliver(n, w.delay(), func() {
			n.adopt(h)
			n.storeRead = n.now()
			n.attester.RecordRead(sent, h.Version)
		})
	})
}

func (n *node) readList() {
	w := n.sim
	if w.faultActive("list "+n.self.Name) || w.dropsMessage() {
		return
	}
	requested, from := n.now(), w.now.Add(-listLag)
	d := w.delay()
	w.at(w.now.Add(d), func() {
		es := w.listFor(n, from)
		n.execute(func() {
			n.tracker.ObserveList(requested, n.now(), es)
			n.sync()
		})
	})
}

// commit writes the heads row if base is still its version. It repeats the request with the same operation id until a
// reply arrives.
func (n *node) commit(op string, base uint64, change func(*assigner.Heads), learned func(assigner.Heads, bool)) {
	w := n.sim
	settled := false
	retry := func() {
		if !settled {
			n.commit(op, base, change, learned)
		}
	}
	w.deliver(n, retryInterval, retry)
	if w.storeDown(n) || w.faultActive("writes "+n.self.Name) || w.dropsMessage() {
		return
	}
	w.at(w.now.Add(w.delay()), func() {
		v, ok := w.committed[op]
		if !ok && w.heads.Version == base {
			w.write(op, change)
			v, ok = w.heads.Version, true
		}
		h := w.heads
		h.Version = max(v, 1)
		if w.storeDown(n) || w.dropsMessage() || w.faultActive("replies "+n.self.Name) {
			return
		}
		// The reply carries the version that this operation wrote, or version 1 if it wrote none.
		w.deliver(n, w.delay(), func() {
			if settled {
				return
			}
			settled = true
			learned(h, ok && w.heads.Version >= v)
		})
	})
}

func (w *simulation) write(op string, change func(*assigner.Heads)) {
	h := assigner.Heads{Version: w.heads.Version + 1, Scopes: map[string]assigner.Assignment{}}
	for k, v := range w.heads.Scopes {
		h.Scopes[k] = v
	}
	change(&h)
	w.heads = h
	w.committed[op] = h.Version
	w.logf("store commits %d %s %v", h.Version, op, scopesText(h))
}

func scopesText(h assigner.Heads) string {
	var b strings.Builder
	for _, k := range []string{"", "a", "b", "c"} {
		a := h.Scopes[k]
		fmt.Fprintf(&b, "%q:%d[", k, a.Epoch)
		for _, m := range a.Members {
			fmt.Fprintf(&b, " %s#%d", m.Name, m.Incarnation)
		}
		b.WriteString(" ] ")
	}
	return b.String()
}

func (n *node) propose(p tracker.Plan) {
	now := n.now()
	if n.writing || !n.tracker.Acts(now) || n.sim.storeDown(n) {
		return
	}
	if n.sim.removalRule != nil {
		p = n.sim.removalRule(n, p)
	}
	s := assigner.Standing{Self: member(n.self), Active: members(n.tracker.Members(now)), Doubtful: members(p.Doubtful)}
	s.Peered = append(s.Peered, n.self.Region)
	for _, x := range n.tracker.Peers(now) {
		s.Peered = append(s.Peered, x.Region)
		if x.State == tracker.Leaving {
			s.Leaving = append(s.Leaving, member(x.Instance))
		}
	}
	q, ok := n.assigner.Next(s)
	if !n.schedule.Due(now, n.assigned, n.assigner, s, q, ok) || !n.attester.Valid(attester.Fleet, now) {
		return
	}
	n.writing = true
	n.sim.starts++
	op := fmt.Sprintf("assign by %s#%d op %d", n.self.Name, n.self.Incarnation, n.sim.starts)
	n.commit(op, q.Base, func(h *assigner.Heads) {
		for k, v := range q.Scopes {
			h.Scopes[k] = v
		}
	}, func(assigner.Heads, bool) { n.writing = false })
}

// change commits a new configuration and waits until it is in force.
func (n *node) change() {
	now := n.now()
	if !n.tracker.Acts(now) || !n.attester.Valid(attester.Fleet, now) {
		return
	}
	n.sim.starts++
	op := fmt.Sprintf("change by %s#%d op %d", n.self.Name, n.self.Incarnation, n.sim.starts)
	n.commit(op, n.attester.Version(), func(*assigner.Heads) {}, func(h assigner.Heads, ok bool) {
		if !ok {
			return
		}
		// The newest row may already contain a later write. The author adopts its own version or a newer one.
		if n.attester.Version() < h.Version {
			n.adopt(n.sim.newestHeads(h))
		}
		n.pendingChanges = append(n.pendingChanges, pendingChange{WaitInForce: attester.WaitInForce{Version: h.Version, Learned: n.now()}})
	})
}

// newestHeads returns the newest row of the store, which the author reads with the reply.
func (w *simulation) newestHeads(assigner.Heads) assigner.Heads {
	return w.heads
}

func (n *node) poll() {
	s := attester.Standing{Acts: n.tracker.Acts(n.now()), Departures: n.tracker.Departures()}
	for i := range n.pendingChanges {
		n.pollOne(&n.pendingChanges[i], s)
	}
	n.pendingChanges = slices.DeleteFunc(n.pendingChanges, func(x pendingChange) bool { return x.Version == 0 })
}

func (n *node) pollOne(x *pendingChange, s attester.Standing) {
	o, missing := n.attester.InForce(x.WaitInForce, s, n.now())
	if o == attester.Pending || o == attester.Expired && x.expired {
		return
	}
	n.sim.logf("%s#%d reports %d outcome %d missing %v", n.self.Name, n.self.Incarnation, x.Version, o, missing)
	n.sim.reports = append(n.sim.reports, report{version: x.Version, outcome: o})
	x.expired = true
	if o == attester.Confirmed {
		x.Version = 0
	}
}

func (n *node) acts(r assigner.Resource) bool {
	s := attester.Region
	if n.assigner.NeedsFleet(r.Scope) {
		s = attester.FleetOwner
	}
	return n.assigner.MayAct(r) && n.attester.Valid(s, n.now())
}

// actor is the process that last acted on a resource.
type actor struct {
	node *node
	// version is the heads version that the process applied.
	version uint64
	// successor reports that the process acted as the successor of a lost owner.
	successor bool
	// at is when the process last acted.
	at time.Time
}

// successor reports whether the assignment that the process applies names another owner of the resource, so that the
// process can act only as a successor.
func (n *node) successor(r assigner.Resource) bool {
	m := n.heads.Scopes[r.Scope].Members
	if len(m) == 0 {
		m = n.heads.Scopes[assigner.FleetScope].Members
	}
	o, _ := assigner.PartOwner(r.Name, r.Part, m)
	return o.Name != n.self.Name
}

// checkActor fails the run if two processes act on a resource. It also fails if a process acts as a successor, or after
// one, without accounting for requests of the process that acted before.
func (w *simulation) checkActor(r assigner.Resource) {
	var owner *node
	for _, n := range w.nodes {
		if n.dead || !n.acts(r) {
			continue
		}
		if owner != nil {
			w.fail = fmt.Sprintf("%s and %s#%d both act on %v", owner.self.Name, n.self.Name, n.self.Incarnation, r)
			w.logf("%s", w.fail)
			return
		}
		owner = n
	}
	if owner == nil {
		return
	}
	l := w.lastActors[r]
	if l.node != owner {
		l.successor = l.successor || owner.successor(r)
		if l.node != nil && l.successor && w.now.Sub(l.at) < largestDeadline && !owner.assigner.Residue(r, owner.now()).Unknown {
			w.fail = fmt.Sprintf("%s acts on %v as if no request of %s ran", owner.self.Name, r, l.node.self.Name)
			w.logf("%s", w.fail)
		}
	}
	if v := owner.heads.Version; l.node != owner || l.version != v {
		l = actor{node: owner, version: v, successor: owner.successor(r)}
		if l.successor {
			w.successions++
			w.logf("%s#%d succeeds in %v", owner.self.Name, owner.self.Incarnation, r)
		}
	}
	l.at = w.now
	w.lastActors[r] = l
}

// check verifies the invariants at the current simulated time.
func (w *simulation) check() {
	for _, r := range resources {
		w.checkActor(r)
	}
	w.checkReports()
	for _, n := range w.nodes {
		if n.attester.Version() < n.newestVersion || n.assigner.Version() != n.attester.Version() {
			w.fail = fmt.Sprintf("%s#%d: version decreased from %d to %d", n.self.Name, n.self.Incarnation, n.newestVersion, n.attester.Version())
			w.logf("%s", w.fail)
		}
		n.newestVersion = n.attester.Version()
	}
}

func (w *simulation) checkReports() {
	for i := range w.reports {
		r := &w.reports[i]
		held := false
		for _, n := range w.nodes {
			held = held || !n.dead && !n.syncedAdmission.IsZero() && n.attester.Version() >= r.version && w.wasListed(n.self.Name)
		}
		r.lost = r.lost || !held
		if r.outcome == attester.Expired && r.lost {
			continue
		}
		for _, n := range w.nodes {
			if n.dead || n.attester.Version() >= r.version || !n.attester.Valid(attester.Fleet, n.now()) {
				continue
			}
			w.fail = fmt.Sprintf("%s#%d holds a fleet proof with version %d after %d was reported (outcome %d)", n.self.Name, n.self.Incarnation, n.attester.Version(), r.version, r.outcome)
			w.logf("%s", w.fail)
			return
		}
	}
}
