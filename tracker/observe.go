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
		t.observeOwn(requested, now, entries[i])
		return
	}
	// Within ListLag of the first sight, a reading may still show the time before the registration.
	if t.first.IsZero() || requested.Before(t.first.Add(t.c.ListLag)) {
		t.missed = true
		return
	}
	t.unlist()
}

// unlist makes the instance a newcomer once it is listed again.
func (t *Tracker) unlist() {
	t.first, t.listed, t.shown, t.admitted = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	for _, p := range t.peers.All() {
		p.confirmed = false
	}
	t.revision++
}

// observeOwn accepts an entry of an earlier incarnation too: it shows that the
// name is listed, so peers count the name.
func (t *Tracker) observeOwn(requested, now time.Time, e Entry) {
	if e.Incarnation > t.c.Self.Incarnation {
		t.supersede()
		return
	}
	apart := requested.Sub(t.listed) > t.c.ListAge
	// The first sight may have been a reading that still showed the time before the instance left the list.
	if apart && t.missed && !t.first.IsZero() {
		t.unlist()
	}
	if t.first.IsZero() {
		t.first = now
	}
	if apart {
		t.shown = now
	}
	t.missed = false
	t.listed = latest(t.listed, requested)
}

func (t *Tracker) supersede() {
	t.superseded = true
	t.revision++
}

func (t *Tracker) observeEntry(requested, now time.Time, e Entry) {
	if t.ended(requested, e.Instance) {
		return
	}
	p := t.count(now, e.Instance, Listed)
	p.leaving = e.Leaving
	p.evidence = now
	p.absentSince = time.Time{}
}

// ended reports whether an entry shows an incarnation that said it stopped.
func (t *Tracker) ended(requested time.Time, i Instance) bool {
	d := t.departed.Get(i.Name)
	if d == nil || !d.stopped {
		return false
	}
	if i.Incarnation > d.incarnation {
		return false
	}
	// A name without incarnation that stays listed longer than the lag belongs to a later process.
	return i.Incarnation != 0 || requested.Before(d.at.Add(t.c.ListLag))
}

func (t *Tracker) observeAbsence(requested, now time.Time, p *peer) {
	p.reasons &^= Listed
	if requested.Before(p.evidence) {
		return
	}
	if p.absentSince.IsZero() {
		p.absentSince = now
		return
	}
	if requested.Before(p.absentSince.Add(t.c.hold())) {
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

// count adds an instance to the peer set, or replaces an earlier incarnation.
func (t *Tracker) count(now time.Time, i Instance, r Reason) *peer {
	t.appear(i.Name)
	p := t.peers.Get(i.Name)
	if p == nil {
		p = t.peers.Put(i.Name, peer{Instance: i, since: now, evidence: now})
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
		p.since, p.heard, p.sent = now, time.Time{}, time.Time{}
		p.unheard, p.doubt = nil, doubt{}
	}
	p.Instance = i
	p.evidence = now
}

// ObserveHeartbeat records a heartbeat that arrived; false means that the sender is superseded or has stopped and gets no answer.
func (t *Tracker) ObserveHeartbeat(now time.Time, c Contact) bool {
	return t.observeContact(now, c)
}

// ObserveAnswer records the answer to a heartbeat that was sent at sent; false means that it must not count for a proof.
func (t *Tracker) ObserveAnswer(sent, now time.Time, c Contact) bool {
	if !t.observeContact(now, c) {
		return false
	}
	p := t.peers.Get(c.From.Name)
	// The peer counted the sender before it answered. A confirmation from before
	// the own listing could lapse before the listing shows.
	if !t.first.IsZero() && !sent.Before(t.first) {
		p.confirmed = true
	}
	return true
}

func (t *Tracker) observeContact(now time.Time, c Contact) bool {
	if c.From.Name == t.c.Self.Name {
		if c.From.Incarnation > t.c.Self.Incarnation {
			t.supersede()
		}
		return false
	}
	if t.stopped(c.From) {
		return false
	}
	if p := t.peers.Get(c.From.Name); p != nil && c.From.Incarnation < p.Incarnation {
		return false
	}
	if c.State == Gone {
		t.remove(t.count(now, c.From, Contacted), departure{incarnation: c.From.Incarnation, at: now, stopped: true}, now)
		return false
	}
	p := t.count(now, c.From, Contacted)
	p.announced = c.State
	p.doubt.hear(now, p.heard)
	p.heard, p.evidence = now, now
	p.unheard = c.Unheard
	p.absentSince = time.Time{}
	return true
}

func (t *Tracker) stopped(i Instance) bool {
	d := t.departed.Get(i.Name)
	return d != nil && d.stopped && i.Incarnation <= d.incarnation
}

// ObserveSent records that a heartbeat was sent to the named peer.
func (t *Tracker) ObserveSent(now time.Time, name string) {
	if p := t.peers.Get(name); p != nil {
		p.sent = now
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
