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

// start is the true time at which each run begins.
var start = time.Unix(1_000_000, 0)

const (
	tickEvery  = 250 * time.Millisecond
	readEvery  = 500 * time.Millisecond
	listEvery  = time.Second
	listLag    = tracker.DefaultListLag
	freshness  = attester.DefaultFreshness
	repeatTime = time.Second
	// largestDeadline is that of a request.
	largestDeadline = 10 * time.Second
)

// resources has targets in two regions with instances and one without, and both parts of a bucket.
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

// until holds the times at which faults end, by what they hit.
type until map[string]time.Time

// registration is a span of the true list.
type registration struct {
	entry    tracker.Entry
	from, to time.Time
}

// report is a change that its author reported.
type report struct {
	version uint64
	outcome attester.Outcome
	// lost is set once no instance that has the version is up and listed.
	lost bool
}

// world is the event loop with the model store, the lagging list and the network.
type world struct {
	now    time.Time
	rng    *rand.Rand
	steady bool
	seq    int
	queue  queue
	nodes  []*node
	starts uint64

	heads   assigner.Heads
	done    map[string]uint64
	list    []*registration
	faults  until
	loss    float64
	reports []report
	log     []string
	fail    string
	last    map[assigner.Resource]actor
	// successions counts how often a successor began to act.
	successions int
	// rule replaces the rule of removal, for comparisons.
	rule rule
	// unsucceeded turns succession off, for comparisons.
	unsucceeded bool
	// reportNothing hides whom instances hear.
	reportNothing bool
}

// node is one process.
type node struct {
	w        *world
	self     tracker.Instance
	offset   time.Duration
	dead     bool
	paused   time.Time
	tracker  *tracker.Tracker
	attester *attester.Attester
	assigner *assigner.Assigner
	heads    assigner.Heads
	waits    []wait
	revision uint64
	admitted time.Time
	writing  bool
	lastRead time.Time
	// storeRead is when a read of the store last succeeded, or the start.
	storeRead time.Time
	lastList  time.Time
	maximum   uint64
	// lag is the least part of the list lag in the readings of this process.
	lag float64
	// stale makes the list show this process the oldest state that it may.
	stale    bool
	schedule assigner.Schedule
	// assigned is when the newest change of an assignment was adopted.
	assigned time.Time
	// unheard holds what each peer last said that it does not hear.
	unheard map[string][]string
}

// wait is a change that the process follows, and whether it reported it as expired.
type wait struct {
	attester.WaitInForce
	expired bool
}

type message struct {
	contact  tracker.Contact
	version  uint64
	released uint64
}

func newWorld(seed uint64, steady bool) *world {
	return &world{
		now:    start,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		steady: steady,
		heads:  assigner.Heads{Version: 1, Scopes: map[string]assigner.Assignment{"a": {}, "b": {}, "c": {}, "": {}}},
		done:   map[string]uint64{},
		faults: until{},
		last:   map[assigner.Resource]actor{},
	}
}

func (w *world) logf(format string, a ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.3f ", w.now.Sub(start).Seconds())+fmt.Sprintf(format, a...))
}

func (w *world) at(t time.Time, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: t, seq: w.seq, run: f})
}

// run executes events until the true time end or the first broken invariant.
func (w *world) run(end time.Time) {
	for len(w.queue) > 0 && w.fail == "" && w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		w.check()
	}
	w.now = end
}

func (w *world) on(fault string) bool {
	return w.now.Before(w.faults[fault])
}

func (w *world) delay() time.Duration {
	switch {
	case w.steady:
		return 10 * time.Millisecond
	case w.rng.IntN(40) == 0:
		return time.Duration(w.rng.IntN(4000)) * time.Millisecond
	default:
		return time.Duration(1+w.rng.IntN(60)) * time.Millisecond
	}
}

func (w *world) drops() bool {
	return w.loss > 0 && w.rng.Float64() < w.loss
}

// cut reports whether messages from a to b are lost.
func (w *world) cut(a, b *node) bool {
	x, y := a.self.Name, b.self.Name
	if w.on("one_way "+x+" "+y) || w.on("apart "+a.self.Region+" "+b.self.Region) || w.on("apart "+b.self.Region+" "+a.self.Region) {
		return true
	}
	if x > y {
		x, y = y, x
	}
	return w.on("link "+x+" "+y) || a.self.Region != b.self.Region && (w.on("region "+a.self.Region) || w.on("region "+b.self.Region))
}

// deliver runs f at the node after d, or when it resumes, unless its process has ended.
func (w *world) deliver(n *node, d time.Duration, f func()) {
	w.at(w.now.Add(d), func() { n.execute(f) })
}

func (n *node) execute(f func()) {
	switch {
	case n.dead:
	case n.w.now.Before(n.paused):
		n.w.at(n.paused, func() { n.execute(f) })
	default:
		f()
		if !n.dead {
			n.observe()
		}
	}
}

// observe lets an event take effect on ownership.
func (n *node) observe() {
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
	if !n.w.unsucceeded {
		s.StoreRead = n.storeRead
	}
	for _, d := range n.tracker.Departed() {
		s.Departed = append(s.Departed, assigner.Departure(d))
	}
	return s
}

func (n *node) now() time.Time {
	return n.w.now.Add(n.offset)
}

func (w *world) live(name string) *node {
	for _, n := range w.nodes {
		if n.self.Name == name && !n.dead {
			return n
		}
	}
	return nil
}

// spawn starts a process; a name belongs to one live process at a time.
func (w *world) spawn(name string, listed bool) *node {
	if n := w.live(name); n != nil {
		return n
	}
	w.starts++
	self := tracker.Instance{Name: name, Incarnation: w.starts, Region: name[:1], FailureDomain: name}
	n := &node{w: w, self: self, offset: time.Duration(w.rng.IntN(1e6)) * time.Second, attester: attester.New(attester.Config{Region: self.Region})}
	n.tracker, _ = tracker.New(tracker.Config{Self: self, Seed: w.starts})
	n.assigner = assigner.New(assigner.Config{Self: member(self), LargestDeadline: largestDeadline})
	n.assigner.SetResources(n.now(), resources)
	n.storeRead = n.now()
	if !w.steady {
		n.lag = []float64{0, 0, 0.98, w.rng.Float64()}[w.rng.IntN(4)]
	}
	w.nodes = append(w.nodes, n)
	if listed {
		w.register(n)
	}
	w.logf("start %s#%d", name, w.starts)
	w.deliver(n, time.Duration(w.rng.IntN(100))*time.Millisecond, n.tick)
	return n
}

func (w *world) register(n *node) {
	for _, r := range w.list {
		if r.entry.Name == n.self.Name && r.to.IsZero() {
			return
		}
	}
	e := tracker.Entry{Instance: n.self}
	e.Incarnation = 0
	w.list = append(w.list, &registration{entry: e, from: w.now})
}

func (w *world) unregister(name string) {
	for _, r := range w.list {
		if r.entry.Name == name && r.to.IsZero() {
			r.to = w.now
			w.logf("unlisted %s", name)
		}
	}
}

// wasListed reports whether a reading in use may show the name.
func (w *world) wasListed(name string) bool {
	since := w.now.Add(-listLag - tracker.DefaultListAge)
	return slices.ContainsFunc(w.list, func(r *registration) bool { return r.entry.Name == name && (r.to.IsZero() || r.to.After(since)) })
}

// listFor returns a reading; each entry shows an independent moment since from.
func (w *world) listFor(n *node, from time.Time) []tracker.Entry {
	var r []tracker.Entry
	for _, x := range w.list {
		t := w.shown(n, from)
		if !x.from.After(t) && (x.to.IsZero() || x.to.After(t)) {
			r = append(r, x.entry)
		}
	}
	return r
}

// shown returns the moment that an entry shows. Processes that always see the
// oldest state and others that see the newest disagree most.
func (w *world) shown(n *node, from time.Time) time.Time {
	span := w.now.Sub(from)
	switch {
	case n.stale:
		return from
	case w.steady || n.lag == 0 && w.rng.IntN(4) > 0:
		return w.now
	default:
		return from.Add(time.Duration(float64(span) * (1 - n.lag) * w.rng.Float64()))
	}
}

func (w *world) kill(n *node) {
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

// sync passes the membership on when it changed.
func (n *node) sync() {
	m := attester.Membership{Admitted: n.tracker.Admitted(), Listed: n.tracker.ListedAt(), Newcomer: n.tracker.Newcomer(n.now())}
	if !m.Admitted.Equal(n.admitted) {
		n.w.logf("%s#%d admitted %v", n.self.Name, n.self.Incarnation, !m.Admitted.IsZero())
	}
	n.revision, n.admitted = n.tracker.Revision(), m.Admitted
	for _, p := range n.tracker.Peers(n.now()) {
		m.Peers = append(m.Peers, attester.Peer{Name: p.Name, Incarnation: p.Incarnation, Region: p.Region})
	}
	n.attester.SetMembership(m)
}

func (n *node) changed() bool {
	return n.revision != n.tracker.Revision()
}

func (n *node) tick() {
	p := n.tracker.Tick(n.now())
	n.sync()
	for _, i := range p.Heartbeat {
		n.heartbeat(i)
	}
	if n.now().Sub(n.lastRead) >= readEvery {
		n.lastRead = n.now()
		n.read()
	}
	if n.now().Sub(n.lastList) >= listEvery {
		n.lastList = n.now()
		n.readList()
	}
	n.propose(p)
	n.poll()
	n.w.deliver(n, tickEvery, n.tick)
}

func (n *node) message(c tracker.Contact) message {
	return message{contact: c, version: n.attester.Version(), released: n.assigner.Released(n.now())}
}

func (n *node) heartbeat(to tracker.Instance) {
	w := n.w
	n.tracker.ObserveSent(n.now(), to.Name)
	sent := n.now()
	m := n.message(n.tracker.Heartbeat(sent))
	p := w.live(to.Name)
	if p == nil || w.cut(n, p) || w.drops() {
		return
	}
	w.deliver(p, w.delay(), func() {
		if !p.receive(n, m) {
			return
		}
		a := p.message(p.tracker.Heartbeat(p.now()))
		if !w.cut(p, n) && !w.drops() {
			w.deliver(n, w.delay(), func() { n.answered(p, sent, a) })
		}
	})
}

func (n *node) receive(from *node, m message) bool {
	n.noteUnheard(&m.contact)
	ok := n.tracker.ObserveHeartbeat(n.now(), m.contact)
	i := m.contact.From
	n.attester.RecordVersion(i.Name, i.Incarnation, m.version, m.contact.State == tracker.Gone)
	if n.changed() {
		n.sync()
	}
	if m.version > n.attester.Version() {
		n.fetch(from)
	}
	return ok
}

func (n *node) answered(from *node, sent time.Time, m message) {
	n.noteUnheard(&m.contact)
	i := m.contact.From
	if !n.tracker.ObserveAnswer(sent, n.now(), m.contact) {
		return
	}
	if n.changed() {
		n.sync()
	}
	n.attester.RecordAnswer(sent, attester.Answer{Name: i.Name, Incarnation: i.Incarnation, Version: m.version, Acts: m.contact.Acts})
	n.assigner.ObserveRelease(n.now(), member(i), m.released, nil)
	if m.version > n.attester.Version() {
		n.fetch(from)
	}
}

// fetch asks a peer for the row it applies.
func (n *node) fetch(p *node) {
	w := n.w
	if w.cut(n, p) || w.drops() {
		return
	}
	w.deliver(p, w.delay(), func() {
		h := p.heads
		if !w.cut(p, n) && !w.drops() {
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
	n.tracker.ObserveAssignment(n.now(), names(h.Scopes[assigner.FleetScope].Members))
	n.assigner.Adopt(n.now(), h)
	n.attester.Adopt(h.Version)
	n.assigner.Release(h.Version)
	n.w.logf("%s#%d adopts %d", n.self.Name, n.self.Incarnation, h.Version)
}

func names(ms []assigner.Member) map[string]bool {
	r := map[string]bool{}
	for _, m := range ms {
		r[m.Name] = true
	}
	return r
}

func (w *world) storeDown(n *node) bool {
	return w.on("store") || w.on("store "+n.self.Name)
}

func (n *node) read() {
	w := n.w
	if w.storeDown(n) || w.drops() {
		return
	}
	sent := n.now()
	w.at(w.now.Add(w.delay()), func() {
		h := w.heads
		if w.storeDown(n) || w.drops() {
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
	w := n.w
	if w.on("list "+n.self.Name) || w.drops() {
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

// commit writes conditionally; a lost reply is repeated with the same operation id.
func (n *node) commit(op string, base uint64, change func(*assigner.Heads), learned func(assigner.Heads, bool)) {
	w := n.w
	settled := false
	retry := func() {
		if !settled {
			n.commit(op, base, change, learned)
		}
	}
	w.deliver(n, repeatTime, retry)
	if w.storeDown(n) || w.on("writes "+n.self.Name) || w.drops() {
		return
	}
	w.at(w.now.Add(w.delay()), func() {
		v, ok := w.done[op]
		if !ok && w.heads.Version == base {
			w.write(op, change)
			v, ok = w.heads.Version, true
		}
		h := w.heads
		h.Version = max(v, 1)
		if w.storeDown(n) || w.drops() || w.on("replies "+n.self.Name) {
			return
		}
		// Only the row that this operation wrote is adopted from its reply.
		w.deliver(n, w.delay(), func() {
			if settled {
				return
			}
			settled = true
			learned(h, ok && w.heads.Version >= v)
		})
	})
}

func (w *world) write(op string, change func(*assigner.Heads)) {
	h := assigner.Heads{Version: w.heads.Version + 1, Scopes: map[string]assigner.Assignment{}}
	for k, v := range w.heads.Scopes {
		h.Scopes[k] = v
	}
	change(&h)
	w.heads = h
	w.done[op] = h.Version
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
	if n.writing || !n.tracker.Acts(now) || n.w.storeDown(n) {
		return
	}
	if n.w.rule != nil {
		p = n.w.rule(n, p)
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
	n.w.starts++
	op := fmt.Sprintf("assign by %s#%d op %d", n.self.Name, n.self.Incarnation, n.w.starts)
	n.commit(op, q.Base, func(h *assigner.Heads) {
		for k, v := range q.Scopes {
			h.Scopes[k] = v
		}
	}, func(assigner.Heads, bool) { n.writing = false })
}

// change commits a new configuration and follows it until it is in force.
func (n *node) change() {
	now := n.now()
	if !n.tracker.Acts(now) || !n.attester.Valid(attester.Fleet, now) {
		return
	}
	n.w.starts++
	op := fmt.Sprintf("change by %s#%d op %d", n.self.Name, n.self.Incarnation, n.w.starts)
	n.commit(op, n.attester.Version(), func(*assigner.Heads) {}, func(h assigner.Heads, ok bool) {
		if !ok {
			return
		}
		// A later write may already be in h; the author adopts its own version or a newer one.
		if n.attester.Version() < h.Version {
			n.adopt(n.w.headsOf(h))
		}
		n.waits = append(n.waits, wait{WaitInForce: attester.WaitInForce{Version: h.Version, Learned: n.now()}})
	})
}

// headsOf returns the newest row, which the author reads with its reply.
func (w *world) headsOf(assigner.Heads) assigner.Heads {
	return w.heads
}

func (n *node) poll() {
	s := attester.Standing{Acts: n.tracker.Acts(n.now()), Departures: n.tracker.Departures()}
	for i := range n.waits {
		n.pollOne(&n.waits[i], s)
	}
	n.waits = slices.DeleteFunc(n.waits, func(x wait) bool { return x.Version == 0 })
}

func (n *node) pollOne(x *wait, s attester.Standing) {
	o, missing := n.attester.InForce(x.WaitInForce, s, n.now())
	if o == attester.Pending || o == attester.Expired && x.expired {
		return
	}
	n.w.logf("%s#%d reports %d outcome %d missing %v", n.self.Name, n.self.Incarnation, x.Version, o, missing)
	n.w.reports = append(n.w.reports, report{version: x.Version, outcome: o})
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

// actor is who acted on a resource last, whether as the successor of a lost owner, and when.
type actor struct {
	node *node
	// version is what the process applied when it was a successor or not.
	version   uint64
	successor bool
	at        time.Time
}

// successor reports whether the process is not the owner of the resource in the assignment that it applies.
func (n *node) successor(r assigner.Resource) bool {
	m := n.heads.Scopes[r.Scope].Members
	if len(m) == 0 {
		m = n.heads.Scopes[assigner.FleetScope].Members
	}
	o, _ := assigner.PartOwner(r.Name, r.Part, m)
	return o.Name != n.self.Name
}

// checkActor fails if two processes act on a resource, or if one acts after a successor, or as one, without counting
// the requests of the other.
func (w *world) checkActor(r assigner.Resource) {
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
	l := w.last[r]
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
	w.last[r] = l
}

// check evaluates the invariants at the true time.
func (w *world) check() {
	for _, r := range resources {
		w.checkActor(r)
	}
	w.checkReports()
	for _, n := range w.nodes {
		if n.attester.Version() < n.maximum || n.assigner.Version() != n.attester.Version() {
			w.fail = fmt.Sprintf("%s#%d went back from %d to %d", n.self.Name, n.self.Incarnation, n.maximum, n.attester.Version())
			w.logf("%s", w.fail)
		}
		n.maximum = n.attester.Version()
	}
}

func (w *world) checkReports() {
	for i := range w.reports {
		r := &w.reports[i]
		held := false
		for _, n := range w.nodes {
			held = held || !n.dead && !n.admitted.IsZero() && n.attester.Version() >= r.version && w.wasListed(n.self.Name)
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
