package controller

import (
	"slices"
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/tracker"
)

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

// Assigned reports whether an assignment names this incarnation.
func (c *Controller) Assigned() bool {
	for _, a := range c.View().Heads.Assignments {
		if slices.Contains(a.Members, recorder.Member(member(c.config.Self))) {
			return true
		}
	}
	return false
}
