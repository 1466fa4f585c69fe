package controller

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/collector"
	"celeryhead.dev/celeryhead/loader"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/steerer"
	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/timer"
	"celeryhead.dev/celeryhead/tracker"
)

// Lister reads the platform's list of instances.
type Lister interface {
	List(ctx context.Context) ([]tracker.Entry, error)
}

// Dialer returns the client for the peer service of an instance.
type Dialer interface {
	Peer(i tracker.Instance) messenger.Peer
}

// Hooks connect the controller to the request path.
type Hooks interface {
	// Reassign applies the present ownership; it returns when work on lost resources can no longer start.
	Reassign()
	// Fill adds loads, residues, rate and strikes to an outgoing heartbeat.
	Fill(b *messenger.Beat)
	// Receive takes the loads and strikes of a peer's heartbeat.
	Receive(b *messenger.Beat)
}

// Config configures a controller; all fields are required.
type Config struct {
	Self   tracker.Instance
	Timing loader.Timing
	Store  storer.Store
	// StoreTimeout bounds one store call.
	StoreTimeout time.Duration
	List         Lister
	Dialer       Dialer
	Hooks        Hooks
	Log          *logger.Logger
	Clock        timer.Clock
	Seed         uint64
}

// Controller keeps one instance informed; it is safe for concurrent use.
type Controller struct {
	config    Config
	gate      attester.Gate
	view      atomic.Pointer[View]
	live      atomic.Pointer[steerer.Fleet]
	collector *collector.Collector
	// adopting serializes adoptions, which may wait for a fetch.
	adopting sync.Mutex
	// fetching is held while a peer is asked for a newer version.
	fetching sync.Mutex
	kick     chan struct{}
	started  time.Time

	mu       sync.Mutex
	tracker  *tracker.Tracker
	attester *attester.Attester
	assigner *assigner.Assigner
	final    bool
	// blank is true if the last read of the store found no heads row.
	blank bool
	valid [scopeCount]bool
	// served is true once the instance has held a proof of the fleet scope.
	served  bool
	lapsed  [scopeCount]time.Time
	members map[string]tracker.State
	// known holds the peer set and the own instance as of revision and listed.
	known    map[string]tracker.Instance
	revision uint64
	listed   time.Time
	reports  map[string]report
	proposal proposalState
	// assigned is when the newest change of an assignment was adopted.
	assigned time.Time
	pending  map[string]bool
	// inherited is work of earlier owners on resources that this instance lost.
	inherited []assigner.Loss

	store, list outage
	// endings counts how often this instance gave up resources of lost owners; Hooks.Reassign has applied the first ones.
	endings, applied uint64
	// storeRead is when a read of the store last succeeded, or the start.
	storeRead time.Time
}

// report is what a peer said in its newest heartbeat.
type report struct {
	at            time.Time
	incarnation   uint64
	configVersion uint64
	headsVersion  uint64
	readsLists    bool
	rate          float64
	region        string
}

// New returns a controller; Run starts it.
func New(c Config) (*Controller, error) {
	t, err := tracker.New(tracker.Config{
		Self:      c.Self,
		ListLag:   c.Timing.ListLag,
		ListAge:   c.Timing.ListAge,
		Heartbeat: c.Timing.Heartbeat,
		Suspicion: c.Timing.Suspicion,
		Seed:      c.Seed,
	})
	if err != nil {
		return nil, merry.Prepend(err, "controller")
	}
	k := &Controller{
		config:    c,
		collector: collector.New(collector.Config{Wrong: c.Log.ContentWrong}),
		kick:      make(chan struct{}, 1),
		tracker:   t,
		attester: attester.New(attester.Config{
			Region:    c.Self.Region,
			Freshness: c.Timing.Freshness,
			ListLag:   c.Timing.ListLag,
			ListAge:   c.Timing.ListAge,
		}),
		assigner: assigner.New(assigner.Config{
			Self:      member(c.Self),
			Freshness: c.Timing.Freshness,
			ListLag:   c.Timing.ListLag,
			ListAge:   c.Timing.ListAge,
		}),
		members: map[string]tracker.State{},
		reports: map[string]report{},
		pending: map[string]bool{},
	}
	v, err := newView(nil, storer.Row{}, emptyHeads(), nil)
	if err != nil {
		return nil, merry.Prepend(err, "controller")
	}
	k.view.Store(v)
	k.live.Store(steerer.NewFleet(nil))
	k.started = c.Clock()
	k.storeRead = k.started
	for s := range k.lapsed {
		k.lapsed[s] = k.started
	}
	return k, nil
}

func member(i tracker.Instance) assigner.Member {
	return assigner.Member{Name: i.Name, Incarnation: i.Incarnation, Region: i.Region, FailureDomain: i.FailureDomain}
}

// Run exchanges heartbeats and reads store and list until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var g sync.WaitGroup
	for _, f := range []func(context.Context){c.runTicks, c.runStore, c.runList, c.runProposals, c.runShifts} {
		g.Go(func() { f(ctx) })
	}
	g.Wait()
}

// View returns the newest adopted view.
func (c *Controller) View() *View {
	return c.view.Load()
}

// Live returns the instances that look-up answers may name.
func (c *Controller) Live() *steerer.Fleet {
	return c.live.Load()
}

// Valid reports whether the instance holds a proof of freshness in the scope at now.
func (c *Controller) Valid(s attester.Scope, now time.Time) bool {
	return c.gate.Valid(s, now)
}

// MayAct reports whether this instance owns the resource, has waited for earlier owners and holds the proof that ownership needs.
func (c *Controller) MayAct(r assigner.Resource, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Valid(c.scope(r), now) && c.assigner.MayAct(r)
}

// Owns reports whether this instance owns the resource and has waited for earlier owners, whatever its proof.
func (c *Controller) Owns(r assigner.Resource) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.assigner.MayAct(r)
}

// scope returns the proof that ownership of a resource needs; c.mu is held.
func (c *Controller) scope(r assigner.Resource) attester.Scope {
	if c.assigner.NeedsFleet(r.Scope) {
		return attester.FleetOwner
	}
	return attester.Region
}

// Scope returns the proof that work on the resource needs.
func (c *Controller) Scope(r assigner.Resource) attester.Scope {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scope(r)
}

// Residue returns the work of earlier owners that may still run at now.
func (c *Controller) Residue(r assigner.Resource, now time.Time) assigner.Residue {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.assigner.Residue(r, now)
}

// Owner returns the instance that owns the resource, with its addresses if they are known.
func (c *Controller) Owner(r assigner.Resource) (tracker.Instance, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.assigner.Owner(r)
	if !ok {
		return tracker.Instance{}, false
	}
	return c.instance(m.Name)
}

// Instance returns a known instance by name.
func (c *Controller) Instance(name string) (tracker.Instance, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instance(name)
}

func (c *Controller) instance(name string) (tracker.Instance, bool) {
	i, ok := c.known[name]
	return i, ok
}

// Suspected reports whether an instance is not heard at present.
func (c *Controller) Suspected(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.tracker.State(c.config.Clock(), name)
	return s == tracker.Suspected || s == tracker.Gone
}

// Leave announces that this instance leaves; peers stop naming it in answers and assignments.
func (c *Controller) Leave() {
	c.mu.Lock()
	c.tracker.Leave()
	c.mu.Unlock()
	c.kickTicks()
}

// Assigned reports whether an assignment names this incarnation.
func (c *Controller) Assigned() bool {
	for _, a := range c.View().Heads.Assignments {
		if slices.Contains(a.Members, recorder.Member(member(c.config.Self))) {
			return true
		}
	}
	return false
}

// Stop tells peers that this incarnation has stopped; it must not send or grant anything afterwards.
func (c *Controller) Stop(ctx context.Context) {
	c.mu.Lock()
	c.final = true
	l := c.others()
	c.mu.Unlock()
	var g sync.WaitGroup
	for _, i := range l {
		g.Go(func() { c.beat(ctx, i) })
	}
	g.Wait()
}

func (c *Controller) kickTicks() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// publish makes the present state visible to the request path; c.mu is held.
func (c *Controller) publish(now time.Time) {
	c.syncMembership(now)
	if c.assigner.Observe(now, c.situation(now)) {
		c.endings++
	}
	// A leaving instance keeps what it owns until it has adopted an assignment without it, so that nobody waits for the next owner.
	c.assigner.Tick(now, c.tracker.Settled(now), c.tracker.Acts(now))
	c.gate.Publish(c.attester)
	for s := range scopeNames {
		c.noteProof(s, now)
	}
}

// reassign applies the present ownership to the request path.
func (c *Controller) reassign() {
	c.mu.Lock()
	n := c.endings
	c.mu.Unlock()
	c.config.Hooks.Reassign()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied = max(c.applied, n)
}

// situation returns what ownership depends on; c.mu is held.
func (c *Controller) situation(now time.Time) assigner.Situation {
	s := assigner.Situation{
		Settled:     c.tracker.Settled(now),
		Acts:        c.tracker.Acts(now),
		Region:      assigner.Proof{Expiry: c.attester.Expiry(attester.Region), Round: c.attester.Round(attester.Region)},
		Fleet:       assigner.Proof{Expiry: c.attester.Expiry(attester.FleetOwner), Round: c.attester.Round(attester.FleetOwner)},
		Listed:      c.tracker.ListedAt(),
		ListedSince: c.tracker.ListedSince(),
		StoreRead:   c.storeRead,
		Peer:        func(name string) bool { return c.tracker.State(now, name) != tracker.Gone },
	}
	if !c.store.down {
		return s
	}
	for _, d := range c.tracker.Departed() {
		s.Departed = append(s.Departed, assigner.Departure(d))
	}
	return s
}

// syncMembership passes the peer set on when it has changed, because that takes time in proportion to its size.
func (c *Controller) syncMembership(now time.Time) {
	r, l := c.tracker.Revision(), c.tracker.ListedAt()
	if c.known != nil && r == c.revision && l.Equal(c.listed) {
		return
	}
	c.revision, c.listed = r, l
	ps := c.tracker.Peers(now)
	c.attester.SetMembership(c.membership(now, ps))
	c.known = make(map[string]tracker.Instance, len(ps)+1)
	for _, p := range ps {
		c.known[p.Name] = p.Instance
	}
	c.known[c.config.Self.Name] = c.config.Self
}

func (c *Controller) membership(now time.Time, ps []tracker.Peer) attester.Membership {
	m := attester.Membership{Admitted: c.tracker.Admitted(), Listed: c.tracker.ListedAt(), Newcomer: c.tracker.Newcomer(now)}
	for _, p := range ps {
		m.Peers = append(m.Peers, attester.Peer{Name: p.Name, Incarnation: p.Incarnation, Region: p.Region})
	}
	return m
}

func (c *Controller) publishLive(now time.Time) {
	m := c.tracker.Members(now)
	l := make([]steerer.Instance, 0, len(m))
	for _, i := range m {
		l = append(l, steerer.Instance{Name: i.Name, Region: i.Region, FailureDomain: i.FailureDomain, Address: i.Caller})
	}
	c.live.Store(steerer.NewFleet(l))
	c.noteMembers(now)
}

func (c *Controller) noteMembers(now time.Time) {
	seen := map[string]bool{}
	for _, p := range c.tracker.Peers(now) {
		seen[p.Name] = true
		if c.members[p.Name] != p.State || len(c.members) == 0 {
			c.config.Log.MemberChanged(p.Name, p.State.String())
		}
		c.members[p.Name] = p.State
	}
	for n := range c.members {
		if !seen[n] {
			delete(c.members, n)
			delete(c.reports, n)
			c.config.Log.MemberChanged(n, tracker.Gone.String())
		}
	}
}

func (c *Controller) noteProof(s attester.Scope, now time.Time) {
	v := c.gate.Valid(s, now)
	if v == c.valid[s] {
		return
	}
	c.valid[s] = v
	c.served = c.served || v && s == attester.Fleet
	n := scopeNames[s]
	if v {
		c.config.Log.ProofRegained(n, now.Sub(c.lapsed[s]))
		return
	}
	c.lapsed[s] = now
	c.config.Log.ProofLost(n)
}

// scopeNames are the scopes whose proofs are logged.
var scopeNames = map[attester.Scope]string{attester.Fleet: "fleet", attester.Region: "region", attester.FleetOwner: "fleet_owner"}

const scopeCount = attester.FleetOwner + 1

// Own returns the state that this instance announces.
func (c *Controller) Own() tracker.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Own(c.config.Clock())
}

// ReportedVersion returns the configuration version in a peer's newest heartbeat.
func (c *Controller) ReportedVersion(name string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports[name].configVersion
}

// ProofAge returns the age of the proof in a scope, or since the start if there has been none.
func (c *Controller) ProofAge(s attester.Scope, now time.Time) time.Duration {
	e := c.gate.Expiry(s)
	if e.IsZero() {
		return now.Sub(c.started)
	}
	return now.Sub(e.Add(-c.config.Timing.Freshness))
}
