package tracker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Plan is what the daemon does after a tick.
type Plan struct {
	// Heartbeat holds the peers that are due for a heartbeat.
	Heartbeat []Instance
	// Remove holds the instances that should leave the assignments.
	Remove []Instance
	// Doubtful holds the suspected instances that stay in the assignments for now, because their jitter has not passed
	// or because only a link to them may have failed.
	Doubtful []Instance
}

// Tick returns the heartbeats and removals that are due at now.
func (t *Tracker) Tick(now time.Time) Plan {
	t.noticePause(now)
	t.admit(now)
	t.forget(now)
	t.unheard = t.findUnheard(now)
	var r Plan
	for _, p := range t.peers.All() {
		if !now.Before(p.sent.Add(t.c.Heartbeat)) {
			r.Heartbeat = append(r.Heartbeat, p.Instance)
		}
		s := t.silence(now, p)
		switch {
		case s >= t.c.Suspicion+t.jitter() && t.removable(now, p):
			r.Remove = append(r.Remove, p.Instance)
		case s >= t.c.Suspicion:
			r.Doubtful = append(r.Doubtful, p.Instance)
		}
	}
	return r
}

// noticePause restarts the measurement of silence after a pause of the own
// process, during which no peer could be heard.
func (t *Tracker) noticePause(now time.Time) {
	if !t.ticked.IsZero() && now.Sub(t.ticked) > 2*t.c.Heartbeat {
		t.resumed = now
	}
	t.ticked = now
}

func (t *Tracker) forget(now time.Time) {
	for k, d := range t.departed.All() {
		if now.Sub(d.at) > t.c.ListOutage+t.c.hold() {
			t.departed.Delete(k)
		}
	}
	for k, d := range t.absences.All() {
		if now.Sub(d.since) > absenceLife {
			t.absences.Delete(k)
		}
	}
}

func (t *Tracker) silence(now time.Time, p *peer) time.Duration {
	return now.Sub(latest(latest(p.since, p.heard), t.resumed))
}

// jitter spreads the removals over the observers. It is the same for all peers, so
// that instances which fall silent together leave with one write.
func (t *Tracker) jitter() time.Duration {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:], t.c.Seed)
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(t.c.Self.Name))
	return time.Duration(float64(t.c.Jitter) * float64(xxhash.Sum64(b[:])>>11) / (1 << 53))
}

func (t *Tracker) state(now time.Time, p *peer) State {
	switch {
	case t.silence(now, p) >= t.c.Suspicion:
		return Suspected
	case p.leaving || p.announced == Leaving:
		return Leaving
	case p.heard.IsZero():
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
			Heard:     p.heard,
			Confirmed: p.confirmed,
		})
	}
	return r
}

// Heartbeat returns the membership part of a heartbeat or of its answer.
func (t *Tracker) Heartbeat(now time.Time) Contact {
	return Contact{From: t.c.Self, State: t.Own(now), Acts: t.Acts(now), Unheard: t.unheard}
}

// Revision changes whenever Admitted, Newcomer or the members of the peer set do.
func (t *Tracker) Revision() uint64 {
	return t.revision
}

// State returns the membership state of the named instance.
func (t *Tracker) State(now time.Time, name string) State {
	if name == t.c.Self.Name {
		return t.Own(now)
	}
	if p := t.peers.Get(name); p != nil {
		return t.state(now, p)
	}
	return Gone
}

// Own returns the state that the own instance announces; it stays active without
// list readings, so that a failing list does not empty assignments and answers.
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

// Members returns the instances that assignments and look-up answers may name, the own one included.
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

// Newcomer reports whether the instance has been listed for less than ListLag +
// ListAge. A list reading in use elsewhere may not show it yet, so its heartbeat
// answers need not be asked for: it serves, but makes no changes and owns nothing.
func (t *Tracker) Newcomer(now time.Time) bool {
	return t.first.IsZero() || now.Before(t.first.Add(t.c.hold()))
}

// Acts reports whether the instance may make changes and take ownership: every
// usable list reading shows it, and its own reading shows every instance that may act.
func (t *Tracker) Acts(now time.Time) bool {
	return !t.Admitted().IsZero() && !t.Newcomer(now) && now.Before(t.listed.Add(t.c.ListAge))
}

// Admitted returns when the instance was admitted, or zero; only evidence requested since then counts for a proof.
func (t *Tracker) Admitted() time.Time {
	if t.superseded {
		return time.Time{}
	}
	return t.admitted
}

// ListedAt returns when the newest list reading that shows the own instance was requested.
func (t *Tracker) ListedAt() time.Time {
	return t.listed
}

// Departures reports whether a peer left the list without saying that it
// stopped; it may still hold a proof from a store read for ListOutage.
func (t *Tracker) Departures() bool {
	for _, d := range t.departed.All() {
		if !d.stopped {
			return true
		}
	}
	return false
}

// admit lets an instance hold proofs once it is no newcomer. A newcomer holds
// them only while every peer counts it: otherwise an author that does not see it
// yet could report a change as confirmed that the newcomer has not applied.
func (t *Tracker) admit(now time.Time) {
	ok := !t.first.IsZero() && (!t.Newcomer(now) || t.confirmed())
	switch {
	case !ok && !t.admitted.IsZero():
		t.admitted = time.Time{}
		t.revision++
	case ok && t.admitted.IsZero():
		t.admitted = now
		t.revision++
	}
}

func (t *Tracker) confirmed() bool {
	for _, p := range t.peers.All() {
		if !p.confirmed {
			return false
		}
	}
	return true
}
