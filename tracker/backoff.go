package tracker

import (
	"slices"
	"time"
)

const (
	// maxRemovalBackoff is the backoff for a peer that is still silent when it returns to an assignment, because its
	// silence gives no new evidence of its death. The bound allows the removal of a dead instance that the list still
	// shows. It is also the maximum of the backoff that doubles, and the interval after which false removals are forgotten.
	maxRemovalBackoff = 10 * time.Minute
	// initialRemovalBackoff is the backoff after the second false removal; each further one doubles it.
	initialRemovalBackoff = 10 * time.Second
)

// removalBackoff delays the removal of a silent peer after earlier removals proved false.
type removalBackoff struct {
	// member reports that the newest assignment contains the peer.
	member bool
	// excluded reports that an assignment removed the peer, or the local instance while the peer was silent.
	excluded bool
	// falseRemovals counts the recent false removals, the last of which was detected at refutedAt.
	falseRemovals int
	refutedAt     time.Time
	// blockedUntil is the earliest time of the next removal.
	blockedUntil time.Time
}

// recordFalseRemoval records that a removal of the peer was false. The argument silent reports that no message of the
// peer has arrived yet.
func (d *removalBackoff) recordFalseRemoval(now time.Time, silent bool) {
	if now.Sub(d.refutedAt) > maxRemovalBackoff {
		d.falseRemovals = 0
	}
	d.falseRemovals++
	d.refutedAt = now
	d.blockedUntil = now.Add(d.duration())
	if silent {
		d.blockedUntil = now.Add(maxRemovalBackoff)
	}
}

// recordHeard shortens the backoff at the first message of the peer since its last false removal. The preceding message
// arrived at previous.
func (d *removalBackoff) recordHeard(now, previous time.Time) {
	if previous.Before(d.refutedAt) {
		d.blockedUntil = earliest(d.blockedUntil, now.Add(d.duration()))
	}
}

// duration returns the backoff, which doubles with each false removal. There is none after the first one, so that an
// instance that was paused once and then dies is removed in time.
func (d *removalBackoff) duration() time.Duration {
	if d.falseRemovals < 2 {
		return 0
	}
	h := initialRemovalBackoff
	for i := 2; i < d.falseRemovals && h < maxRemovalBackoff; i++ {
		h *= 2
	}
	return min(h, maxRemovalBackoff)
}

// ObserveAssignment records the members of the newest fleet assignment, by name.
//
// A peer that returns to the assignment after its removal was alive, because an
// instance that reaches it added it. If the local instance returns after its own
// removal, peers that were silent when it was removed may be alive behind a failed
// link. Both count as false removals.
func (t *Tracker) ObserveAssignment(now time.Time, members map[string]bool) {
	if len(members) == 0 {
		return
	}
	removed := t.assigned && !members[t.c.Self.Name]
	t.assigned = members[t.c.Self.Name]
	t.selfExcluded = removed || t.selfExcluded && !t.assigned
	for _, p := range t.peers.All() {
		d, silent := &p.backoff, t.silentFor(now, p) >= t.c.Suspicion
		d.excluded = d.excluded || d.member && !members[p.Name] || removed && silent
		d.member = members[p.Name]
		if d.excluded && d.member && t.assigned {
			d.excluded = false
			d.recordFalseRemoval(now, silent)
		}
	}
}

// removable reports whether a silent peer may be removed: no peer that is heard hears it, its removal backoff has passed,
// and the local instance is not itself excluded from the assignment.
func (t *Tracker) removable(now time.Time, p *peer) bool {
	return !t.selfExcluded && !now.Before(p.backoff.blockedUntil) && !t.heardByAnother(now, p.Name)
}

// heardByAnother reports whether a peer that was heard within Suspicion does not report the named instance as unheard.
func (t *Tracker) heardByAnother(now time.Time, name string) bool {
	for _, c := range t.peers.All() {
		recent := c.Name != name && !c.heardAt.IsZero() && now.Sub(c.heardAt) < t.c.Suspicion
		if recent && !slices.Contains(c.unheard, name) {
			return true
		}
	}
	return false
}

// findUnheard returns the names of the peers that were not heard for Suspicion minus
// one heartbeat interval. The report thus reaches the other instances before they
// suspect the peer.
func (t *Tracker) findUnheard(now time.Time) []string {
	var r []string
	for _, p := range t.peers.All() {
		if now.Sub(p.heardAt) >= t.c.Suspicion-t.c.Heartbeat {
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
