package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/operator"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/steerer"
	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/timer"
	"celeryhead.dev/celeryhead/tracker"
)

// errCollision is the error of a write that came after another one.
var errCollision = merry.Sentinel("another write of the heads row was first")

const (
	proposalInterval = 100 * time.Millisecond
	shiftInterval    = time.Second
)

// proposalState remembers when an assignment is due and which shifts are held.
type proposalState struct {
	schedule assigner.Schedule
	held     map[string]steerer.Hold
	// written holds the lists of the newest write that had new ones, since its reply may be lost.
	written lists
	// rewritten is when this instance last wrote the row in another form.
	rewritten time.Time
}

// runProposals writes assignments that are due.
func (c *Controller) runProposals(ctx context.Context) {
	timer.Poll(ctx, proposalInterval, c.proposeAssignment)
}

// runShifts takes shift steps that are due, and writes the heads row again if its form does not suit the peers.
func (c *Controller) runShifts(ctx context.Context) {
	timer.Poll(ctx, shiftInterval, func(ctx context.Context) {
		c.advanceShifts(ctx)
		c.rewrite(ctx)
	})
}

func (c *Controller) proposeAssignment(ctx context.Context) {
	now := c.config.Clock()
	p, ok := c.dueProposal(now)
	if !ok {
		return
	}
	v := c.view.Load()
	if v.Row.Version != p.Base {
		return
	}
	h := v.Heads.Clone()
	if h.Assignments == nil {
		h.Assignments = map[string]recorder.Assignment{}
	}
	for n, a := range p.Scopes {
		s := make([]recorder.Member, 0, len(a.Members))
		for _, m := range a.Members {
			s = append(s, recorder.Member(m))
		}
		h.Assignments[n] = recorder.Assignment{Epoch: a.Epoch, Members: s}
	}
	if err := c.commitHeads(ctx, v, h); err != nil {
		c.config.Log.AssignmentFailed(scopes(p), err)
		return
	}
	for n, a := range p.Scopes {
		c.config.Log.AssignmentWritten(cmp.Or(n, "fleet"), a.Epoch, len(a.Members))
	}
}

func scopes(p assigner.Proposal) string {
	var s string
	for n := range p.Scopes {
		s += cmp.Or(n, "fleet") + " "
	}
	return s
}

// dueProposal returns the assignments to write, after a delay that differs between instances.
func (c *Controller) dueProposal(now time.Time) (assigner.Proposal, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tracker.Acts(now) || !c.mayPropose(now) {
		return assigner.Proposal{}, false
	}
	s := c.assignerStanding(now)
	p, ok := c.assigner.Next(s)
	return p, c.proposal.schedule.Due(now, c.assigned, c.assigner, s, p, ok)
}

// mayPropose reports whether the present assignment is known; a deployment without heads row has none.
func (c *Controller) mayPropose(now time.Time) bool {
	return c.blank || c.gate.Valid(attester.Fleet, now) || c.gate.Valid(attester.Region, now)
}

func (c *Controller) assignerStanding(now time.Time) assigner.Standing {
	s := assigner.Standing{Self: member(c.config.Self), Peered: []string{c.config.Self.Region}}
	for _, i := range c.tracker.Members(now) {
		s.Active = append(s.Active, member(i))
	}
	p := c.tracker.Tick(now)
	for _, i := range p.Doubtful {
		s.Doubtful = append(s.Doubtful, member(i))
	}
	for _, i := range c.tracker.Peers(now) {
		if i.State == tracker.Leaving {
			s.Leaving = append(s.Leaving, member(i.Instance))
		}
		if !slices.Contains(s.Peered, i.Region) {
			s.Peered = append(s.Peered, i.Region)
		}
	}
	return s
}

// commitHeads writes a heads row and the member lists that v lacks if v is still the newest, and adopts the row.
func (c *Controller) commitHeads(ctx context.Context, v *View, h recorder.Heads) error {
	h, all, err := c.form(v, h)
	if err != nil {
		return err
	}
	b, err := h.Encode()
	if err != nil {
		return err
	}
	w, err := listWrites(v, all)
	if err != nil {
		return err
	}
	c.keepWritten(v, all)
	x, cancel := context.WithTimeout(ctx, c.config.StoreTimeout)
	defer cancel()
	for _, ahead := range w[:len(w)-1] {
		if _, err = c.config.Store.Commit(x, storer.Txn{Writes: ahead}); err != nil {
			return err
		}
	}
	r, err := c.config.Store.Commit(x, storer.Txn{
		Checks: []storer.Check{{Key: recorder.HeadsKey, Version: v.Row.Version}},
		Writes: append(w[len(w)-1], storer.Write{Key: recorder.HeadsKey, Value: b}),
	})
	if err != nil {
		return err
	}
	if !r.Committed || len(r.Rows) == 0 {
		return errCollision
	}
	n := storer.ByKey(r.Rows)[recorder.HeadsKey].Version
	return c.adopt(x, storer.Row{Key: recorder.HeadsKey, Version: n, Value: b}, origin{name: "own write"})
}

// keepWritten keeps the lists of a write until the next one that has new ones.
func (c *Controller) keepWritten(v *View, all lists) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for d := range all {
		if v.Lists[d] == nil {
			c.proposal.written = all
			return
		}
	}
}

// Publish adopts a committed change and waits until it is in force on every instance.
func (c *Controller) Publish(ctx context.Context, m operator.Commit) ([]string, error) {
	if err := c.adopt(ctx, m.Heads, origin{name: "operator", text: m.Text}); err != nil {
		return nil, err
	}
	start := c.config.Clock()
	w := attester.WaitInForce{Version: m.Heads.Version, Learned: start}
	t := time.NewTicker(inForceInterval)
	defer t.Stop()
	for {
		now := c.config.Clock()
		c.mu.Lock()
		o, missing := c.attester.InForce(w, c.standing(now), now)
		c.mu.Unlock()
		switch o {
		case attester.Confirmed:
			c.config.Log.ChangeInForce(m.ConfigVersion, now.Sub(start), 0)
			return nil, nil
		case attester.Expired:
			c.config.Log.ChangeInForce(m.ConfigVersion, now.Sub(start), len(missing))
			return missing, nil
		case attester.Pending:
		}
		select {
		case <-ctx.Done():
			return missing, ctx.Err()
		case <-t.C:
		}
	}
}

const inForceInterval = 10 * time.Millisecond

// advanceShifts takes the steps of the shifts that this instance owns.
func (c *Controller) advanceShifts(ctx context.Context) {
	v := c.view.Load()
	for _, s := range v.Config.Shifts {
		now := c.config.Clock()
		if !c.MayAct(ShiftResource(s.Name), now) {
			continue
		}
		p := v.Heads.Shifts[s.Name]
		h := v.Steering.Next(s.Name, steerer.Progress{Steps: int(p.Step), At: p.Time}, c.Loads(now), now)
		c.noteHold(s.Name, h)
		if h != steerer.Advance {
			continue
		}
		n := v.Heads.Clone()
		if n.Shifts == nil {
			n.Shifts = map[string]recorder.ShiftStep{}
		}
		n.Shifts[s.Name] = recorder.ShiftStep{Step: p.Step + 1, Time: now}
		if err := c.commitHeads(ctx, v, n); err == nil {
			c.config.Log.ShiftStepped(s.Name, int(p.Step)+1)
		}
		return
	}
}

func (c *Controller) noteHold(name string, h steerer.Hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proposal.held == nil {
		c.proposal.held = map[string]steerer.Hold{}
	}
	o := c.proposal.held[name]
	c.proposal.held[name] = h
	switch h {
	case steerer.Advance, steerer.Finished, steerer.NotStarted, steerer.StepInterval:
		return
	default:
	}
	if o != h {
		c.config.Log.ShiftHeld(name, string(h))
	}
}

// Held returns why a shift that this instance owns does not advance.
func (c *Controller) Held(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return string(c.proposal.held[name])
}

// Loads returns the load of each region as its instances reported it.
func (c *Controller) Loads(now time.Time) map[string]steerer.Load {
	var b messenger.Beat
	c.config.Hooks.Fill(&b)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := map[string]steerer.Load{}
	for _, i := range c.tracker.Members(now) {
		l, ok := m[i.Region]
		if !ok {
			l.At = now
		}
		l.Expected++
		r, ok := c.reports[i.Name]
		if i.Name == c.config.Self.Name {
			r, ok = report{at: now, rate: b.Rate}, true
		}
		if ok {
			l.Instances++
			l.Rate += r.rate
			l.At = earlier(l.At, r.at)
		}
		m[i.Region] = l
	}
	return m
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Peers returns the peers as they are seen from here.
func (c *Controller) Peers() []tracker.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Peers(c.config.Clock())
}
