package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// origin says where a heads row came from, and which of the sources of what it names is asked first.
type origin struct {
	name string
	// peer is nil if the row did not come from a peer.
	peer messenger.Peer
	// text is the configuration, or nil if it has to be fetched.
	text []byte
}

func emptyHeads() recorder.Heads {
	return recorder.Heads{Assignments: map[string]recorder.Assignment{}, Shifts: map[string]recorder.ShiftStep{}}
}

// adopt applies a heads row that is newer than the present one, with all that it names, and ignores any other. After an
// error the present row stays in force.
func (c *Controller) adopt(ctx context.Context, r storer.Row, o origin) error {
	c.adopting.Lock()
	defer c.adopting.Unlock()
	old := c.view.Load()
	if r.Version <= old.Row.Version {
		return nil
	}
	h, err := recorder.DecodeHeads(r.Value)
	if err != nil {
		return err
	}
	if h.ConfigVersion < old.Heads.ConfigVersion {
		return merry.Errorf("heads version %d names configuration %d, older than %d", r.Version, h.ConfigVersion, old.Heads.ConfigVersion)
	}
	h, lists, err := c.withMembers(ctx, old, r.Version, h, o)
	if err != nil {
		return err
	}
	t, err := c.tree(ctx, old, h, o)
	if err != nil {
		return err
	}
	v, err := newView(old, r, h, t)
	if err != nil {
		c.config.Log.ConfigRejected(h.ConfigVersion, err)
		return err
	}
	v.Lists = lists
	c.apply(old, v)
	c.config.Log.HeadsAdopted(r.Version, o.name)
	if h.ConfigVersion != old.Heads.ConfigVersion {
		c.collector.Forget()
		c.config.Log.ConfigAdopted(h.ConfigVersion, o.name)
	}
	c.kickTicks()
	return nil
}

func (c *Controller) tree(ctx context.Context, old *View, h recorder.Heads, o origin) (*chunker.Tree, error) {
	if h.ConfigVersion == old.Heads.ConfigVersion {
		return old.Tree, nil
	}
	t, err := c.fetchText(ctx, h, o)
	if err != nil {
		return nil, merry.Prependf(err, "fetching configuration %d", h.ConfigVersion)
	}
	if recorder.Digest(t.Manifest.TextDigest) != h.ConfigDigest {
		err := merry.New("digest of the text differs from the heads row")
		c.config.Log.ConfigRejected(h.ConfigVersion, err)
		return nil, err
	}
	return t, nil
}

// apply stops work that the new view assigns elsewhere before it confirms the new version to anyone.
func (c *Controller) apply(old, v *View) {
	now := c.config.Clock()
	c.mu.Lock()
	if !maps.EqualFunc(old.Heads.Assignments, v.Heads.Assignments, sameEpoch) {
		c.assigned = now
	}
	c.tracker.ObserveAssignment(now, fleetMembers(v.Heads))
	c.assigner.SetDeadlines(deadlines(old, v))
	change, _ := c.assigner.Adopt(now, assignments(v.Row.Version, v.Heads))
	c.inherit(change, now)
	c.assigner.SetResources(now, v.resources())
	c.view.Store(v)
	c.mu.Unlock()
	c.config.Hooks.Reassign()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.assigner.Release(v.Row.Version)
	c.attester.Adopt(v.Row.Version)
	c.publish(c.config.Clock())
}

func fleetMembers(h recorder.Heads) map[string]bool {
	m := map[string]bool{}
	for _, i := range h.Assignments[assigner.FleetScope].Members {
		m[i.Name] = true
	}
	return m
}

func sameEpoch(a, b recorder.Assignment) bool {
	return a.Epoch == b.Epoch
}

// deadlines returns how long a request may run on each resource under either view.
func deadlines(views ...*View) map[assigner.Resource]time.Duration {
	r := map[assigner.Resource]time.Duration{}
	for _, v := range views {
		m := map[string]time.Duration{}
		for _, t := range v.Config.Routes {
			m[t.Pool] = max(m[t.Pool], t.Deadline)
		}
		for _, p := range v.Config.Pools {
			for _, t := range p.Targets {
				k := v.TargetResource(t.Name)
				r[k] = max(r[k], m[p.Name])
			}
		}
	}
	return r
}

// inherit remembers the work of earlier owners on targets that this instance lost before it used them; c.mu is held.
func (c *Controller) inherit(h assigner.Change, now time.Time) {
	c.inherited = slices.DeleteFunc(c.inherited, func(l assigner.Loss) bool { return !now.Before(l.Inherited.Until) })
	for _, l := range h.Lost {
		if now.Before(l.Inherited.Until) {
			c.inherited = append(c.inherited, l)
		}
	}
}
