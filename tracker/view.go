package tracker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Plan holds the actions that are due after a tick.
type Plan struct {
	// Heartbeat holds the peers that are due for a heartbeat.
	Heartbeat []Instance
	// Remove holds the instances that are due for removal from the assignments.
	Remove []Instance
	// Doubtful holds the suspected instances that are not yet due for removal, because the jitter has not passed or only
	// a link to them may have failed.
	Doubtful []Instance
}

// Tick returns the heartbeats and removals that are due at now.
func (t *Tracker) Tick(now time.Time) Plan {
	t.detectPause(now)
	t.admit(now)
	t.expireRecords(now)
	t.unheard = t.findUnheard(now)
	var r Plan
	for _, p := range t.peers.All() {
		if !now.Before(p.sentAt.Add(t.c.Heartbeat)) {
			r.Heartbeat = append(r.Heartbeat, p.Instance)
		}
		s := t.silentFor(now, p)
		switch {
		case s >= t.c.Suspicion+t.jitter() && t.removable(now, p):
			r.Remove = append(r.Remove, p.Instance)
		case s >= t.c.Suspicion:
			r.Doubtful = append(r.Doubtful, p.Instance)
		}
	}
	return r
}

// detectPause restarts the measurement of silence after a pause of the local
// process, which received no messages meanwhile.
func (t *Tracker) detectPause(now time.Time) {
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > 2*t.c.Heartbeat {
		t.resumedAt = now
	}
	t.lastTick = now
}

// expireRecords deletes departures and absences whose retention has passed.
func (t *Tracker) expireRecords(now time.Time) {
	for k, d := range t.departed.All() {
		if now.Sub(d.at) > t.c.ListOutage+t.c.absenceTimeout() {
			t.departed.Delete(k)
		}
	}
	for k, d := range t.absences.All() {
		if now.Sub(d.since) > absenceRetention {
			t.absences.Delete(k)
		}
	}
}

// silentFor returns how long no message of a peer arrived.
func (t *Tracker) silentFor(now time.Time, p *peer) time.Duration {
	return now.Sub(latest(latest(p.addedAt, p.heardAt), t.resumedAt))
}

// jitter returns the delay of removals by the local instance, which spreads the writes
// of different observers. It is the same for all peers, so that instances which fall
// silent together are removed with one write.
func (t *Tracker) jitter() time.Duration {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:], t.c.Seed)
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(t.c.Self.Name))
	return time.Duration(float64(t.c.Jitter) * float64(xxhash.Sum64(b[:])>>11) / (1 << 53))
}

func (t *Tracker) state(now time.Time, p *peer) State {
	switch {
	case t.silentFor(now, p) >= t.c.Suspicion:
		return Suspected
	case p.leaving || p.announced == Leaving:
		return Leaving
	case p.heardAt.IsZero():
		return Joining
	default:
		return p.announced
	}
}

// Peers returns the peer set.
func (t *Tracker) Peers(now time.Time) []Peer {
	r := make([]Peer, 0, t.peers.Len())
	for _, p := range t.peers.All() {
		r = append(r, Peer{
			Instance:  p.Instance,
			Reasons:   p.reasons,
			State:     t.state(now, p),
			Heard:     p.heardAt,
			Confirmed: p.confirmed,
		})
	}
	return r
}

// Heartbeat returns the membership information to send in a heartbeat or its answer.
func (t *Tracker) Heartbeat(now time.Time) Contact {
	return Contact{From: t.c.Self, State: t.Own(now), Acts: t.Acts(now), Unheard: t.unheard}
}

// Revision returns a number that changes whenever Admitted, the members of the peer set or their incarnations change, or
// the local instance becomes unlisted. The end of the time as a newcomer alone does not change it.
func (t *Tracker) Revision() uint64 {
	return t.revision
}

// State returns the membership state of the named instance, Gone if it is unknown.
func (t *Tracker) State(now time.Time, name string) State {
	if name == t.c.Self.Name {
		return t.Own(now)
	}
	if p := t.peers.Get(name); p != nil {
		return t.state(now, p)
	}
	return Gone
}

// Own returns the state that the local instance announces. It remains Active without
// list readings, so that a list outage does not empty assignments and look-up answers.
func (t *Tracker) Own(now time.Time) State {
	switch {
	case t.leaving:
		return Leaving
	case !t.Admitted().IsZero() && !t.Newcomer(now):
		return Active
	default:
		return Joining
	}
}

// Members returns the active instances, which assignments and look-up answers may contain, including the local one.
func (t *Tracker) Members(now time.Time) []Instance {
	var r []Instance
	if t.Own(now) == Active {
		r = append(r, t.c.Self)
	}
	for _, p := range t.peers.All() {
		if t.state(now, p) == Active {
			r = append(r, p.Instance)
		}
	}
	return r
}

// HasPeer reports whether the peer set holds an instance of the region.
func (t *Tracker) HasPeer(region string) bool {
	for _, p := range t.peers.All() {
		if p.Region == region {
			return true
		}
	}
	return false
}

// Newcomer reports whether the local instance is unlisted or has been listed for less
// than ListLag + ListAge. The list readings of other instances may not show it yet, so
// their proofs may not depend on its answers. A newcomer serves requests, but makes no
// changes and owns nothing.
func (t *Tracker) Newcomer(now time.Time) bool {
	return t.firstListed.IsZero() || now.Before(t.firstListed.Add(t.c.absenceTimeout()))
}

// Acts reports whether the local instance may make changes and take ownership: every
// list reading in use shows it, and its own reading shows every instance that may act.
func (t *Tracker) Acts(now time.Time) bool {
	return !t.Admitted().IsZero() && !t.Newcomer(now) && now.Before(t.listedAt.Add(t.c.ListAge))
}

// Admitted returns when the local instance was admitted, or zero if it is not. Only evidence requested since then counts
// for a proof.
func (t *Tracker) Admitted() time.Time {
	if t.superseded {
		return time.Time{}
	}
	return t.admitted
}

// ListedAt returns when the newest list reading that shows the local instance was requested.
func (t *Tracker) ListedAt() time.Time {
	return t.listedAt
}

// Departures reports whether a peer left the peer set without announcing that it
// stopped. Such an instance may hold a proof from store reads for ListOutage.
func (t *Tracker) Departures() bool {
	for _, d := range t.departed.All() {
		if !d.stopped {
			return true
		}
	}
	return false
}

// admit updates the admission, without which the local instance has no proofs. A
// newcomer is admitted only while every peer has it in its peer set. Otherwise the
// author of a change, whose readings do not yet show the newcomer, could report the
// change as confirmed before the newcomer has applied it.
func (t *Tracker) admit(now time.Time) {
	ok := !t.firstListed.IsZero() && (!t.Newcomer(now) || t.confirmedByAllPeers())
	switch {
	case !ok && !t.admitted.IsZero():
		t.admitted = time.Time{}
		t.revision++
	case ok && t.admitted.IsZero():
		t.admitted = now
		t.revision++
	}
}

// confirmedByAllPeers reports whether every peer has the local incarnation in its peer set.
func (t *Tracker) confirmedByAllPeers() bool {
	for _, p := range t.peers.All() {
		if !p.confirmed {
			return false
		}
	}
	return true
}
