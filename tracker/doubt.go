package tracker

import (
	"slices"
	"time"
)

const (
	// doubtLimit is how long an instance that came back unheard is not removed again. Nothing new is learned while
	// it stays silent; the bound covers a list that goes on showing a dead instance.
	doubtLimit = 10 * time.Minute
	// doubtFirst is how long the doubt lasts after the second false removal within doubtLimit; each further one doubles it.
	doubtFirst = 10 * time.Second
)

// doubt remembers that the silence of a peer was no sign of its death.
type doubt struct {
	// member reports that the newest assignment names the peer.
	member bool
	// parted reports that the peer, or the own instance while the peer was silent, was left out of an assignment.
	parted bool
	// returns counts the false removals, the last of which was noticed at at.
	returns int
	at      time.Time
	until   time.Time
}

// refute records a false removal of a peer that is silent or heard again.
func (d *doubt) refute(now time.Time, silent bool) {
	if now.Sub(d.at) > doubtLimit {
		d.returns = 0
	}
	d.returns++
	d.at = now
	d.until = now.Add(d.hold())
	if silent {
		d.until = now.Add(doubtLimit)
	}
}

// hear shortens the doubt when the peer is heard for the first time since it was refuted.
func (d *doubt) hear(now, heard time.Time) {
	if heard.Before(d.at) {
		d.until = earliest(d.until, now.Add(d.hold()))
	}
}

// hold grows with the false removals. The first one leaves none, so that an instance which was
// paused once and then dies is removed in time.
func (d *doubt) hold() time.Duration {
	if d.returns < 2 {
		return 0
	}
	h := doubtFirst
	for i := 2; i < d.returns && h < doubtLimit; i++ {
		h *= 2
	}
	return min(h, doubtLimit)
}

// ObserveAssignment records the members, by name, of the newest fleet assignment.
//
// A peer that was left out and came back was alive: an instance that reaches it
// added it. If the own instance comes back itself, those that were silent when it
// was left out may be alive beyond a failed link.
func (t *Tracker) ObserveAssignment(now time.Time, members map[string]bool) {
	if len(members) == 0 {
		return
	}
	out := t.assigned && !members[t.c.Self.Name]
	t.assigned = members[t.c.Self.Name]
	t.leftOut = out || t.leftOut && !t.assigned
	for _, p := range t.peers.All() {
		d, silent := &p.doubt, t.silence(now, p) >= t.c.Suspicion
		d.parted = d.parted || d.member && !members[p.Name] || out && silent
		d.member = members[p.Name]
		if d.parted && d.member && t.assigned {
			d.parted = false
			d.refute(now, silent)
		}
	}
}

// removable reports whether the silence of a peer may be its death: no instance that is heard hears the peer, its
// last removal was not refuted, and the own instance was not left out itself.
func (t *Tracker) removable(now time.Time, p *peer) bool {
	return !t.leftOut && !now.Before(p.doubt.until) && !t.vouched(now, p.Name)
}

func (t *Tracker) vouched(now time.Time, name string) bool {
	for _, c := range t.peers.All() {
		recent := c.Name != name && !c.heard.IsZero() && now.Sub(c.heard) < t.c.Suspicion
		if recent && !slices.Contains(c.unheard, name) {
			return true
		}
	}
	return false
}

// findUnheard returns the peers that were not heard for two heartbeats. The report
// starts one heartbeat before Suspicion, so that it has reached the others by then.
func (t *Tracker) findUnheard(now time.Time) []string {
	var r []string
	for _, p := range t.peers.All() {
		if now.Sub(p.heard) >= t.c.Suspicion-t.c.Heartbeat {
			r = append(r, p.Name)
		}
	}
	return r
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
