package controller

import (
	"context"
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

// Leave announces that this instance leaves; peers stop naming it in answers and assignments.
func (c *Controller) Leave() {
	c.mu.Lock()
	c.tracker.Leave()
	c.mu.Unlock()
	c.kickTicks()
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
