package controller

import (
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/steerer"
	"celeryhead.dev/celeryhead/tracker"
)

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
