package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// source returns the text of a configuration version.
type source func(ctx context.Context, version uint64) ([]byte, error)

func emptyHeads() recorder.Heads {
	return recorder.Heads{Assignments: map[string]recorder.Assignment{}, Shifts: map[string]recorder.ShiftStep{}}
}

// adopt applies a heads row that is newer than the present one and ignores any other.
func (c *Controller) adopt(ctx context.Context, r storer.Row, from string, fetch source) error {
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
	t, err := c.text(ctx, old, h, fetch)
	if err != nil {
		return err
	}
	v, err := newView(old, r, h, t)
	if err != nil {
		c.config.Log.ConfigRejected(h.ConfigVersion, err)
		return err
	}
	c.apply(old, v)
	c.config.Log.HeadsAdopted(r.Version, from)
	if h.ConfigVersion != old.Heads.ConfigVersion {
		c.config.Log.ConfigAdopted(h.ConfigVersion, from)
	}
	c.kickTicks()
	return nil
}

func (c *Controller) text(ctx context.Context, old *View, h recorder.Heads, fetch source) ([]byte, error) {
	if h.ConfigVersion == old.Heads.ConfigVersion {
		return old.Text, nil
	}
	t, err := fetch(ctx, h.ConfigVersion)
	if err != nil {
		return nil, merry.Prependf(err, "fetching configuration %d", h.ConfigVersion)
	}
	if recorder.Digest(composer.Digest(t)) != h.ConfigDigest {
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

// fromStore reads configuration texts from the store.
func (c *Controller) fromStore(ctx context.Context, version uint64) ([]byte, error) {
	r, err := c.config.Store.Read(ctx, recorder.ConfigKey(version))
	if err != nil {
		return nil, err
	}
	if len(r) == 0 {
		return nil, merry.Errorf("configuration %d is not in the store", version)
	}
	return r[0].Value, nil
}

// adoptFromPeer fetches the heads row, and the configuration if it is new, from a peer that has a newer version.
func (c *Controller) adoptFromPeer(ctx context.Context, name string, p messenger.Peer) {
	x, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := p.FetchHeads(x, &messenger.FetchHeadsRequest{})
	if err == nil {
		err = c.adopt(x, storer.Row{Key: recorder.HeadsKey, Version: r.Version, Value: r.Value}, name, func(ctx context.Context, v uint64) ([]byte, error) {
			t, err := p.FetchConfiguration(ctx, &messenger.FetchConfigurationRequest{Version: v})
			if err != nil {
				return nil, err
			}
			return t.Text, nil
		})
	}
	if err != nil {
		c.config.Log.FetchFailed(name, err)
	}
}
