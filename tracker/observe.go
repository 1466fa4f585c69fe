package tracker

import (
	"slices"
	"time"
)

// ObserveList records a list reading that was requested at requested and arrived at now.
func (t *Tracker) ObserveList(requested, now time.Time, entries []Entry) {
	t.observeReading(requested, now)
	t.observeSelf(requested, now, entries)
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.Name] = true
		if e.Name != t.c.Self.Name {
			t.observeEntry(requested, now, e)
		}
	}
	for k, p := range t.peers.All() {
		if !seen[k] {
			t.observeAbsence(requested, now, p)
		}
	}
	t.admit(now)
}

func (t *Tracker) observeSelf(requested, now time.Time, entries []Entry) {
	i := slices.IndexFunc(entries, func(e Entry) bool { return e.Name == t.c.Self.Name })
	if i >= 0 {
		t.observeOwnEntry(requested, now, entries[i])
		return
	}
	// A reading requested less than ListLag after the first listing may still show the state before the registration.
	if t.firstListed.IsZero() || requested.Before(t.firstListed.Add(t.c.ListLag)) {
		t.listingMissed = true
		return
	}
	t.resetListing()
}

// resetListing discards the listing of the local instance, which becomes a newcomer once it is listed again.
func (t *Tracker) resetListing() {
	t.firstListed, t.listedAt, t.listedSince, t.admitted = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	for _, p := range t.peers.All() {
		p.confirmed = false
	}
	t.revision++
}

// observeOwnEntry records a reading that shows the local instance. It accepts an entry
// of an earlier incarnation too, because peers then have the name in their peer sets.
func (t *Tracker) observeOwnEntry(requested, now time.Time, e Entry) {
	if e.Incarnation > t.c.Self.Incarnation {
		t.markSuperseded()
		return
	}
	apart := requested.Sub(t.listedAt) > t.c.ListAge
	// The first listing may come from a reading that still showed the state before the instance left the list.
	if apart && t.listingMissed && !t.firstListed.IsZero() {
		t.resetListing()
	}
	if t.firstListed.IsZero() {
		t.firstListed = now
	}
	if apart {
		t.listedSince = now
	}
	t.listingMissed = false
	t.listedAt = latest(t.listedAt, requested)
}

// markSuperseded records that a later incarnation of the local name exists.
func (t *Tracker) markSuperseded() {
	t.superseded = true
	t.revision++
}

func (t *Tracker) observeEntry(requested, now time.Time, e Entry) {
	if t.showsStopped(requested, e.Instance) {
		return
	}
	p := t.addPeer(now, e.Instance, Listed)
	p.leaving = e.Leaving
	p.lastEvidence = now
	p.absentSince = time.Time{}
}

// showsStopped reports whether an entry belongs to an incarnation that announced that it stopped.
func (t *Tracker) showsStopped(requested time.Time, i Instance) bool {
	d := t.departed.Get(i.Name)
	if d == nil || !d.stopped {
		return false
	}
	if i.Incarnation > d.incarnation {
		return false
	}
	// An entry without incarnation in a reading requested more than ListLag after the stop belongs to a later process.
	return i.Incarnation != 0 || requested.Before(d.at.Add(t.c.ListLag))
}

func (t *Tracker) observeAbsence(requested, now time.Time, p *peer) {
	p.reasons &^= Listed
	if requested.Before(p.lastEvidence) {
		return
	}
	if p.absentSince.IsZero() {
		p.absentSince = now
		return
	}
	if requested.Before(p.absentSince.Add(t.c.absenceTimeout())) {
		return
	}
	t.remove(p, departure{incarnation: p.Incarnation, at: now}, p.absentSince)
}

func (t *Tracker) remove(p *peer, d departure, since time.Time) {
	t.revision++
	t.departed.Put(p.Name, d)
	t.absences.Put(p.Name, absence{incarnation: d.incarnation, since: since, stopped: d.stopped})
	t.peers.Delete(p.Name)
}

// addPeer adds an instance to the peer set for the reason r, or replaces an earlier incarnation.
func (t *Tracker) addPeer(now time.Time, i Instance, r Reason) *peer {
	t.endAbsence(i.Name)
	p := t.peers.Get(i.Name)
	if p == nil {
		p = t.peers.Put(i.Name, peer{Instance: i, addedAt: now, lastEvidence: now})
		t.revision++
	}
	p.reasons |= r
	if i.Incarnation > p.Incarnation {
		t.revision++
		p.replace(now, i)
	}
	return p
}

func (p *peer) replace(now time.Time, i Instance) {
	if p.Incarnation != 0 {
		p.announced, p.confirmed = Joining, false
		p.addedAt, p.heardAt, p.sentAt = now, time.Time{}, time.Time{}
		p.unheard, p.backoff = nil, removalBackoff{}
	}
	p.Instance = i
	p.lastEvidence = now
}

// ObserveHeartbeat records a received heartbeat. It returns false if the sender must get no answer, because its
// incarnation is superseded, stops with this message or has stopped before, or it has the local name.
func (t *Tracker) ObserveHeartbeat(now time.Time, c Contact) bool {
	return t.observeContact(now, c)
}

// ObserveAnswer records the answer to a heartbeat that was sent at sent. It returns false if the answer must not count
// for a proof.
func (t *Tracker) ObserveAnswer(sent, now time.Time, c Contact) bool {
	if !t.observeContact(now, c) {
		return false
	}
	p := t.peers.Get(c.From.Name)
	// The peer added the local instance to its peer set before it answered. An answer
	// to a heartbeat from before the first listing does not count, because the peer
	// could drop the local instance again before its readings show it.
	if !t.firstListed.IsZero() && !sent.Before(t.firstListed) {
		p.confirmed = true
	}
	return true
}

func (t *Tracker) observeContact(now time.Time, c Contact) bool {
	if c.From.Name == t.c.Self.Name {
		if c.From.Incarnation > t.c.Self.Incarnation {
			t.markSuperseded()
		}
		return false
	}
	if t.hasStopped(c.From) {
		return false
	}
	if p := t.peers.Get(c.From.Name); p != nil && c.From.Incarnation < p.Incarnation {
		return false
	}
	if c.State == Gone {
		t.remove(t.addPeer(now, c.From, Contacted), departure{incarnation: c.From.Incarnation, at: now, stopped: true}, now)
		return false
	}
	p := t.addPeer(now, c.From, Contacted)
	p.announced = c.State
	p.backoff.recordHeard(now, p.heardAt)
	p.heardAt, p.lastEvidence = now, now
	p.unheard = c.Unheard
	p.absentSince = time.Time{}
	return true
}

func (t *Tracker) hasStopped(i Instance) bool {
	d := t.departed.Get(i.Name)
	return d != nil && d.stopped && i.Incarnation <= d.incarnation
}

// ObserveSent records that a heartbeat was sent to the named peer.
func (t *Tracker) ObserveSent(now time.Time, name string) {
	if p := t.peers.Get(name); p != nil {
		p.sentAt = now
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
