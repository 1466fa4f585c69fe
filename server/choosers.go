package server

import (
	"slices"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/tracker"
)

// megabit is one Mbit/s in bytes per second.
const megabit = 1e6 / 8

// answerBytes is the size that an answer is expected to have when a request goes to another region.
const answerBytes = 8 << 10

// choosers pick the owner to which a request goes, for each pool and region of preference.
type choosers struct {
	server *Server

	mu sync.Mutex
	m  map[chooserKey]*balancer.Chooser
	// instances holds the owners that are known, with their addresses.
	instances map[string]tracker.Instance
}

type chooserKey struct {
	pool, region string
}

func newChoosers(s *Server) *choosers {
	return &choosers{server: s, m: map[chooserKey]*balancer.Chooser{}, instances: map[string]tracker.Instance{}}
}

// reassign applies the present owners of every pool.
func (c *choosers) reassign(v *controller.View, now time.Time) {
	owners := map[string][]balancer.Owner{}
	instances := map[string]tracker.Instance{}
	for _, p := range v.Config.Pools {
		seen := map[string]bool{}
		for _, t := range p.Targets {
			i, ok := c.server.control.Owner(v.TargetResource(t.Name))
			if !ok || seen[i.Name] {
				continue
			}
			seen[i.Name] = true
			instances[i.Name] = i
			owners[p.Name] = append(owners[p.Name], balancer.Owner{Name: i.Name, Region: i.Region, Suspect: c.server.control.Suspected(i.Name)})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = instances
	for _, p := range v.Config.Pools {
		for _, r := range v.Config.Regions {
			c.get(p.Name, r.Name).Adopt(owners[p.Name])
		}
		c.link(v, p.Name, now)
	}
}

// link shares the links of the own region among its instances.
func (c *choosers) link(v *controller.View, pool string, now time.Time) {
	n := c.server.control.Live().In(c.server.self.Region)
	for _, l := range v.Config.Links {
		if l.From == c.server.self.Region {
			c.get(pool, l.From).Link(now, l.To, l.Megabits*megabit, max(n, 1))
		}
	}
}

// get returns the chooser of a pool that prefers a region; c.mu is held.
func (c *choosers) get(pool, region string) *balancer.Chooser {
	key := chooserKey{pool, region}
	h, ok := c.m[key]
	if !ok {
		k := balancer.ChooserConfig{Region: region, Seed: c.server.self.Incarnation}
		if region == c.server.self.Region {
			// A chooser prefers the instance it is named after; one that serves for another region prefers that region.
			k.Name = c.server.self.Name
		}
		h = balancer.NewChooser(k)
		c.m[key] = h
	}
	return h
}

// report records the loads in a heartbeat.
func (c *choosers) report(b *messenger.Beat, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range b.Loads {
		for k, h := range c.m {
			if k.pool == l.Pool {
				h.Report(now, b.GetFrom().GetName(), balancer.Load{Slots: int(l.Slots), Free: int(l.Free), Queued: int(l.Queued)})
			}
		}
	}
}

// choose picks an owner that was not tried.
func (c *choosers) choose(k *call, now time.Time, tried []string) (owner, bool) {
	var own balancer.Load
	if p := c.server.pools.get(k.route.Pool); p != nil {
		own = p.Load()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.get(k.route.Pool, k.region)
	h.Report(now, c.server.self.Name, own)
	if len(tried) == 0 {
		h.Attempt()
	}
	o, ok := h.Choose(now, k.body.Buffered()+answerBytes, c.excluded(k, tried)...)
	if !ok {
		return owner{}, false
	}
	return owner{name: o.Name, address: c.server.links.address(c.instances[o.Name])}, true
}

// excluded returns the owners that were tried and those in the region to avoid; c.mu is held.
func (c *choosers) excluded(k *call, tried []string) []string {
	if k.avoid == "" {
		return tried
	}
	r := slices.Clone(tried)
	for n, i := range c.instances {
		if i.Region == k.avoid {
			r = append(r, n)
		}
	}
	return r
}

// serving returns the owners of the pool that are heard and have slots.
func (c *choosers) serving(k *call, now time.Time) []string {
	var own balancer.Load
	if p := c.server.pools.get(k.route.Pool); p != nil {
		own = p.Load()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.get(k.route.Pool, k.region)
	h.Report(now, c.server.self.Name, own)
	return h.Serving(now)
}

// waits reports whether a refused request waits for an owner. A request that prefers another region than that of this
// instance, or whose region has no target of the pool, depends on slots of other regions in any case.
func (c *choosers) waits(k *call, f *responder.Refusal, now time.Time) bool {
	if f.Reason != responder.NoOwner && (k.region != c.server.self.Region || !c.targetsIn(k.route.Pool, k.region)) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.get(k.route.Pool, k.region).Waits(now, f)
}

// targetsIn reports whether the pool has targets in the region.
func (c *choosers) targetsIn(pool, region string) bool {
	v := c.server.control.View()
	return slices.ContainsFunc(v.Pools[pool].Targets, func(t composer.Target) bool { return v.TargetRegions[t.Name] == region })
}

// retry reports whether a request that the owners tried have refused may go to another one.
func (c *choosers) retry(k *call, f *responder.Refusal, now time.Time, tried []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.get(k.route.Pool, k.region).Retry(now, f, k.deadline, tried...)
}
