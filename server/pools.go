package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/messenger"
)

// maxTargetConnections bounds the connections of this instance to one target; each of its slots needs one.
const maxTargetConnections = 16

// pools holds the owner side of every pool and what other owners report.
type pools struct {
	server *Server

	// applying serializes Reassign.
	applying sync.Mutex

	mu    sync.Mutex
	pools map[string]*ownedPool
}

// ownedPool is the part of a pool that this instance owns.
type ownedPool struct {
	*balancer.Dispatcher
	name string
	// config and holding belong to Reassign.
	config  composer.Pool
	holding map[string]balancer.Holding
	states  map[string]targetState
	stop    context.CancelFunc
}

func newPools(s *Server) *pools {
	return &pools{server: s, pools: map[string]*ownedPool{}}
}

func (p *pools) get(name string) *ownedPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools[name]
}

func (p *pools) all() []*ownedPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := make([]*ownedPool, 0, len(p.pools))
	for _, o := range p.pools {
		r = append(r, o)
	}
	return r
}

// run ends with ctx; dispatchers run from their creation.
func (p *pools) run(ctx context.Context) {
	<-ctx.Done()
	for _, o := range p.all() {
		o.stop()
	}
}

// Reassign gives each pool the targets that this instance owns now; work on lost targets can no longer start when it returns.
func (p *pools) Reassign() {
	p.applying.Lock()
	defer p.applying.Unlock()
	v := p.server.control.View()
	now := p.server.clock()
	owned := 0
	changed := false
	for _, c := range v.Config.Pools {
		o := p.ensure(c)
		h := p.holdings(v, c, now)
		owned += len(h)
		if o.adopt(h) {
			changed = true
		}
	}
	for _, o := range p.all() {
		if _, ok := v.Pools[o.name]; !ok && o.adopt(nil) {
			changed = true
		}
		p.noteStates(o, now)
	}
	if changed {
		p.server.log.TargetsChanged(owned)
	}
	p.server.reassignBuckets(v, now)
	p.server.choosers.reassign(v, now)
}

// ensure returns the pool with its present configuration.
func (p *pools) ensure(c composer.Pool) *ownedPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.pools[c.Name]
	k := balancer.Config{Name: c.Name, ServiceTime: c.ServiceTime, Reserve: c.Reserve}
	if ok {
		if o.config.ServiceTime != c.ServiceTime || o.config.Reserve != c.Reserve {
			o.Configure(k)
		}
		o.config = c
		return o
	}
	ctx, cancel := context.WithCancel(context.Background())
	o = &ownedPool{Dispatcher: balancer.NewDispatcher(k, p.server.clock), name: c.Name, config: c, stop: cancel}
	go o.Run(ctx)
	p.pools[c.Name] = o
	return o
}

func (p *pools) holdings(v *controller.View, c composer.Pool, now time.Time) []balancer.Holding {
	var r []balancer.Holding
	for _, t := range c.Targets {
		k := v.TargetResource(t.Name)
		if !p.server.control.Owns(k) {
			continue
		}
		r = append(r, balancer.Holding{
			Target:      t.Name,
			Slots:       t.Slots,
			Connections: min(t.Connections, maxTargetConnections),
			Draining:    drained(v.Config, t),
			Residues:    residues(t.Name, p.server.control.Residue(k, now)),
		})
	}
	return r
}

func residues(target string, r assigner.Residue) []balancer.Residue {
	switch {
	case r.Unknown:
		return []balancer.Residue{{Target: target, Slots: balancer.AllSlots, Until: r.Until}}
	case r.Slots > 0:
		return []balancer.Residue{{Target: target, Slots: r.Slots, Until: r.Until}}
	}
	return nil
}

func drained(c composer.Config, t composer.Target) bool {
	for _, d := range c.Drains {
		if d.Kind == composer.DrainTarget && d.Of == t.Name || d.Kind == composer.DrainFailureDomain && d.Of == t.FailureDomain {
			return true
		}
	}
	return false
}

// adopt applies the holdings if they differ from the present ones.
func (o *ownedPool) adopt(hs []balancer.Holding) bool {
	m := make(map[string]balancer.Holding, len(hs))
	same := len(hs) == len(o.holding)
	for _, h := range hs {
		m[h.Target] = h
		b, ok := o.holding[h.Target]
		same = same && ok && b.Slots == h.Slots && b.Connections == h.Connections && b.Draining == h.Draining
	}
	if same {
		o.inherit(m)
		return false
	}
	o.holding = m
	o.Adopt(hs)
	return true
}

// inherit applies residues that an earlier owner reported after this instance took over.
func (o *ownedPool) inherit(m map[string]balancer.Holding) {
	for n, h := range m {
		if !slices.Equal(o.holding[n].Residues, h.Residues) {
			o.Inherit(n, h.Residues)
		}
	}
	o.holding = m
}

// targetState is what was last logged of a target.
type targetState struct {
	state balancer.State
	// drainStart is when the target was first seen to leave; zero once the end of its last request was recorded.
	drainStart time.Time
}

// noteStates logs changes of the targets' states and measures how long leaving targets take.
func (p *pools) noteStates(o *ownedPool, now time.Time) {
	m := make(map[string]targetState, len(o.states))
	for _, s := range o.Statuses() {
		k := o.states[s.Target]
		if k.state != s.State {
			p.server.log.TargetState(s.Target, string(s.State))
			k = targetState{state: s.State}
			if s.State == balancer.Draining {
				k.drainStart = now
			}
		}
		if !k.drainStart.IsZero() && s.Running == 0 {
			p.server.meter.TargetDrained(o.name, now.Sub(k.drainStart))
			k.drainStart = time.Time{}
		}
		m[s.Target] = k
	}
	o.states = m
}

// busy reports whether work runs or waits on a target.
func (p *pools) busy() bool {
	for _, o := range p.all() {
		for _, s := range o.Statuses() {
			if s.Running > 0 {
				return true
			}
		}
		if o.Load().Queued > 0 {
			return true
		}
	}
	return false
}

// Fill adds loads, residues, strikes and the rate to a heartbeat.
func (p *pools) Fill(b *messenger.Beat) {
	now := p.server.clock()
	b.Strikes = p.server.notices(now)
	b.Rate = p.server.started.perSecond(now)
	p.server.reportBuckets(b, now)
	for _, o := range p.all() {
		l := o.Load()
		// A pool without slots is reported too, so that requests do not go to an owner that waits for an earlier one.
		b.Loads = append(b.Loads, &messenger.PoolLoad{
			Pool:   o.name,
			Slots:  uint32(l.Slots),  //nolint:gosec // Counts of slots are small.
			Free:   uint32(l.Free),   //nolint:gosec // Counts of slots are small.
			Queued: uint32(l.Queued), //nolint:gosec // Queues are bounded.
		})
		for _, r := range o.Residues() {
			b.Residues = append(b.Residues, &messenger.Residue{
				Target:      r.Target,
				Slots:       uint32(r.Slots), //nolint:gosec // Counts of slots are small.
				RemainingMs: r.Until.Sub(now).Milliseconds() + 1,
			})
		}
	}
}

// Receive takes a peer's loads and strikes.
func (p *pools) Receive(b *messenger.Beat) {
	p.server.choosers.report(b, p.server.clock())
	for _, n := range b.Strikes {
		p.server.recordStrike(n)
	}
}
