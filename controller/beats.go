package controller

import (
	"context"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/tracker"
)

// ErrSuperseded is the error of a message from an incarnation that was replaced or has stopped.
var ErrSuperseded = merry.Sentinel("sender was replaced or has stopped")

// stateStopped announces the last heartbeat of an incarnation.
const stateStopped = "stopped"

// beat sends one heartbeat and records its answer.
func (c *Controller) beat(ctx context.Context, i tracker.Instance) {
	c.mu.Lock()
	if c.pending[i.Name] {
		c.mu.Unlock()
		return
	}
	c.pending[i.Name] = true
	sent := c.config.Clock()
	c.tracker.ObserveSent(sent, i.Name)
	b := c.message(c.tracker.Heartbeat(sent), sent)
	c.mu.Unlock()
	c.config.Hooks.Fill(b)
	x, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	p := c.config.Dialer.Peer(i)
	a, err := p.Heartbeat(x, b)
	c.mu.Lock()
	delete(c.pending, i.Name)
	c.mu.Unlock()
	if err != nil {
		return
	}
	c.receive(a, sent)
	if a.HeadsVersion > c.view.Load().Row.Version {
		c.adoptFromPeer(ctx, a.GetFrom().GetName(), p)
	}
}

// receive records the answer to a heartbeat that was sent at sent. What it proves of a newer version counts once that
// is adopted; that the peer was heard counts at once, since a fetch may take longer than the suspicion.
func (c *Controller) receive(a *messenger.Beat, sent time.Time) {
	now := c.config.Clock()
	k := contact(a)
	c.mu.Lock()
	if c.tracker.ObserveAnswer(sent, now, k) {
		c.syncMembership(now)
		c.attester.RecordAnswer(sent, attester.Answer{
			Name:        k.From.Name,
			Incarnation: k.From.Incarnation,
			Version:     a.HeadsVersion,
			Acts:        k.Acts,
		})
		c.noteReport(a, now)
	}
	c.publish(now)
	c.mu.Unlock()
	c.config.Hooks.Receive(a)
}

// Heartbeat answers a peer's heartbeat.
func (c *Controller) Heartbeat(ctx context.Context, b *messenger.Beat) (*messenger.Beat, error) {
	now := c.config.Clock()
	k := contact(b)
	c.mu.Lock()
	if !c.tracker.ObserveHeartbeat(now, k) {
		c.mu.Unlock()
		c.config.Log.PeerRefused("heartbeat of " + k.From.Name + ": " + ErrSuperseded.Error())
		return nil, ErrSuperseded
	}
	c.syncMembership(now)
	c.attester.RecordVersion(k.From.Name, k.From.Incarnation, b.HeadsVersion, k.State == tracker.Gone)
	c.noteReport(b, now)
	c.publish(now)
	a := c.message(c.tracker.Heartbeat(now), now)
	ended := c.applied < c.endings
	c.mu.Unlock()
	if ended {
		// The sender may be the lost owner, which acts again once it has this answer.
		c.reassign()
	}
	if b.HeadsVersion > a.HeadsVersion {
		go c.adoptFromPeer(context.WithoutCancel(ctx), k.From.Name, c.config.Dialer.Peer(k.From))
	}
	c.config.Hooks.Receive(b)
	c.config.Hooks.Fill(a)
	return a, nil
}

// noteReport records versions, load and released work of a peer; c.mu is held.
func (c *Controller) noteReport(b *messenger.Beat, now time.Time) {
	f := instance(b.GetFrom())
	c.reports[f.Name] = report{
		at: now, incarnation: f.Incarnation, configVersion: b.ConfigVersion, headsVersion: b.HeadsVersion, readsLists: b.ReadsLists,
		rate: b.Rate, region: f.Region,
	}
	r := make(map[assigner.Resource]assigner.Residue, len(b.Residues))
	for _, d := range b.Residues {
		k := c.view.Load().TargetResource(d.Target)
		r[k] = merge(r[k], assigner.Residue{Slots: int(d.Slots), Until: now.Add(time.Duration(d.RemainingMs) * time.Millisecond)})
	}
	for _, d := range b.Buckets {
		r[bucketResource(d.Account, int(d.Part))] = assigner.Residue{
			// The new owner starts without a report after that time.
			Until:  now.Add(c.config.Timing.Freshness),
			Bucket: assigner.Bucket{Known: true, Rate: d.Rate, Burst: d.Burst, Tokens: d.Tokens, Outstanding: d.Outstanding},
		}
	}
	c.assigner.ObserveRelease(now, member(f), b.ReleasedVersion, r)
}

// merge returns what two residues of one target occupy together.
func merge(a, b assigner.Residue) assigner.Residue {
	if b.Until.After(a.Until) {
		a.Until = b.Until
	}
	a.Slots += b.Slots
	a.Unknown = a.Unknown || b.Unknown
	return a
}

// addInherited reports work of earlier owners on targets that this instance lost before it used them; c.mu is held.
func (c *Controller) addInherited(b *messenger.Beat, now time.Time) {
	for _, l := range c.inherited {
		t, ok := targetOf(l.Resource)
		if !ok || !now.Before(l.Inherited.Until) {
			continue
		}
		n := l.Inherited.Slots
		if l.Inherited.Unknown {
			n = balancer.AllSlots
		}
		b.Residues = append(b.Residues, &messenger.Residue{
			Target:      t,
			Slots:       uint32(n), //nolint:gosec // Counts of slots are small.
			RemainingMs: l.Inherited.Until.Sub(now).Milliseconds() + 1,
		})
	}
}

// message returns the heartbeat that carries a contact; c.mu is held.
func (c *Controller) message(k tracker.Contact, now time.Time) *messenger.Beat {
	s := k.State.String()
	switch {
	case c.final:
		s = stateStopped
	case !c.served && k.State == tracker.Active:
		// Until its first proof an instance would refuse the requests of callers that are sent to it.
		s = tracker.Joining.String()
	}
	b := &messenger.Beat{
		From:            Member(c.config.Self),
		HeadsVersion:    c.attester.Version(),
		ConfigVersion:   c.view.Load().Heads.ConfigVersion,
		Acts:            k.Acts,
		ReleasedVersion: c.assigner.Released(now),
		Unheard:         k.Unheard,
		ReadsLists:      true,
	}
	b.From.State = s
	c.addInherited(b, now)
	return b
}

// Member returns an instance in the form of the messages, without a state.
func Member(i tracker.Instance) *messenger.Member {
	return &messenger.Member{
		Name:          i.Name,
		Incarnation:   i.Incarnation,
		Region:        i.Region,
		FailureDomain: i.FailureDomain,
		CallerAddress: i.Caller.String(),
		PeerAddress:   i.Peer.String(),
	}
}

func instance(m *messenger.Member) tracker.Instance {
	i := tracker.Instance{Name: m.GetName(), Incarnation: m.GetIncarnation(), Region: m.GetRegion(), FailureDomain: m.GetFailureDomain()}
	// An address that does not parse stays invalid and is not dialed.
	i.Caller, _ = netip.ParseAddrPort(m.GetCallerAddress())
	i.Peer, _ = netip.ParseAddrPort(m.GetPeerAddress())
	return i
}

func contact(b *messenger.Beat) tracker.Contact {
	return tracker.Contact{From: instance(b.GetFrom()), State: state(b.GetFrom().GetState()), Acts: b.Acts, Unheard: b.Unheard}
}

func state(s string) tracker.State {
	for _, v := range []tracker.State{tracker.Joining, tracker.Active, tracker.Leaving} {
		if v.String() == s {
			return v
		}
	}
	return tracker.Gone
}

// FetchHeads returns the heads row that this instance applies.
func (c *Controller) FetchHeads() *messenger.HeadsRow {
	r := c.view.Load().Row
	return &messenger.HeadsRow{Version: r.Version, Value: r.Value}
}

// FetchConfiguration returns the text of the configuration that this instance applies, or nil if it is another version.
func (c *Controller) FetchConfiguration(version uint64) *messenger.ConfigurationText {
	v := c.view.Load()
	if v.Heads.ConfigVersion != version {
		return nil
	}
	return &messenger.ConfigurationText{Version: version, Text: v.Text}
}
