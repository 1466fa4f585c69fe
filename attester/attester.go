package attester

import (
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// Defaults of the settings in Config.
const (
	DefaultFreshness  = 3 * time.Second
	DefaultListLag    = 10 * time.Second
	DefaultListAge    = 3 * time.Second
	DefaultListOutage = 30 * time.Minute
)

// Scope says which changes a proof covers.
type Scope uint8

// The scopes.
const (
	// Fleet covers every change; keyed requests, grants to callers and changes need it.
	Fleet Scope = iota
	// Region covers the assignment of the own region; owning its targets needs it.
	Region
	// FleetOwner covers the assignment of the fleet; owning its resources needs it.
	FleetOwner
	scopes
)

// Config holds the settings; zero durations take the defaults.
type Config struct {
	Region    string
	Freshness time.Duration
	// ListLag bounds how old the state shown by a list reading is.
	ListLag time.Duration
	// ListAge is how long a list reading supports proofs from heartbeats.
	ListAge time.Duration
	// ListOutage is how long a list reading supports proofs from store reads.
	ListOutage time.Duration
}

// Peer is one member of the peer set; incarnation 0 means unknown.
type Peer struct {
	Name        string
	Incarnation uint64
	Region      string
}

// Membership is what the tracker knows.
type Membership struct {
	// Admitted is tracker.Admitted: evidence requested earlier does not count.
	Admitted time.Time
	// Listed is tracker.ListedAt.
	Listed time.Time
	// Newcomer is tracker.Newcomer: store reads then need a list reading like heartbeats do.
	Newcomer bool
	Peers    []Peer
}

// evidence is the newest request whose answer counts, and the newest one that
// waits for the adoption of a version.
type evidence struct {
	counted time.Time
	pending time.Time
	version uint64
}

func (e *evidence) record(sent time.Time, version, adopted uint64) {
	if version <= adopted {
		e.counted = latest(e.counted, sent)
		return
	}
	if sent.After(e.pending) {
		e.pending, e.version = sent, version
	}
}

func (e *evidence) adopt(version uint64) {
	if e.pending.IsZero() || e.version > version {
		return
	}
	e.counted = latest(e.counted, e.pending)
	e.pending = time.Time{}
}

type peer struct {
	Peer
	evidence
	// confirmed is the largest version that this incarnation said it applies.
	confirmed uint64
	seen      bool
}

// oldest caches the peer with the oldest counted request of a scope.
type oldest struct {
	at     time.Time
	holder string
	none   bool
	dirty  bool
}

// Attester collects the evidence of one instance.
type Attester struct {
	c        Config
	adopted  uint64
	known    uint64
	admitted time.Time
	listed   time.Time
	newcomer bool
	read     evidence
	// primed is set by the first store read, or answer of an acting peer, that counts after the admission.
	primed evidence
	peers  *indexer.Table[string, peer]
	oldest [scopes]oldest
}

// New returns an attester that has adopted no version and holds no proof.
func New(c Config) *Attester {
	setDefault(&c.Freshness, DefaultFreshness)
	setDefault(&c.ListLag, DefaultListLag)
	setDefault(&c.ListAge, DefaultListAge)
	setDefault(&c.ListOutage, DefaultListOutage)
	a := &Attester{c: c, peers: indexer.New[string, peer]()}
	a.invalidate()
	return a
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// Version returns the adopted heads version, which heartbeats and their answers carry.
func (a *Attester) Version() uint64 {
	return a.adopted
}

// Adopt records that the content of a heads version is applied; an older version is ignored and reported as false.
func (a *Attester) Adopt(version uint64) bool {
	if version < a.adopted {
		return false
	}
	a.adopted = version
	a.read.adopt(version)
	a.primed.adopt(version)
	for _, p := range a.peers.All() {
		p.adopt(version)
	}
	a.invalidate()
	return true
}

// SetMembership replaces the peer set; it keeps the evidence of incarnations that stay.
func (a *Attester) SetMembership(m Membership) {
	if !m.Admitted.Equal(a.admitted) {
		a.reset(m.Admitted)
	}
	a.listed, a.newcomer = m.Listed, m.Newcomer
	for _, p := range a.peers.All() {
		p.seen = false
	}
	for _, p := range m.Peers {
		a.setPeer(p)
	}
	for k, p := range a.peers.All() {
		if !p.seen {
			a.peers.Delete(k)
			a.invalidate()
		}
	}
}

// reset drops all evidence, because it was requested before the admission.
func (a *Attester) reset(admitted time.Time) {
	a.admitted = admitted
	a.read, a.primed = evidence{}, evidence{}
	for _, p := range a.peers.All() {
		p.evidence = evidence{}
	}
	a.invalidate()
}

func (a *Attester) setPeer(m Peer) {
	p := a.peers.Get(m.Name)
	if p == nil {
		p = a.peers.Put(m.Name, peer{Peer: m})
		a.invalidate()
	}
	if p.Incarnation != m.Incarnation || p.Region != m.Region {
		*p = peer{Peer: m}
		a.invalidate()
	}
	p.seen = true
}

func (a *Attester) invalidate() {
	for i := range a.oldest {
		a.oldest[i].dirty = true
	}
}

func (a *Attester) usable(sent time.Time) bool {
	return !a.admitted.IsZero() && !sent.Before(a.admitted)
}

// RecordRead records a read of the heads row that was sent at sent and returned version.
func (a *Attester) RecordRead(sent time.Time, version uint64) {
	if !a.usable(sent) {
		return
	}
	a.read.record(sent, version, a.adopted)
	a.primed.record(sent, version, a.adopted)
}

// Answer is a peer's answer to a heartbeat.
type Answer struct {
	Name        string
	Incarnation uint64
	// Version is the heads version that the peer applies.
	Version uint64
	// Acts is the peer's tracker.Contact.Acts.
	Acts bool
}

// RecordAnswer records an answer to a heartbeat that was sent at sent.
func (a *Attester) RecordAnswer(sent time.Time, r Answer) {
	p := a.peer(r.Name, r.Incarnation)
	if p == nil {
		return
	}
	p.confirmed = max(p.confirmed, r.Version)
	if !a.usable(sent) {
		return
	}
	p.record(sent, r.Version, a.adopted)
	if r.Acts {
		a.primed.record(sent, r.Version, a.adopted)
	}
	for i := range a.oldest {
		a.oldest[i].dirty = a.oldest[i].dirty || a.oldest[i].holder == r.Name
	}
}

// RecordVersion records the heads version in a heartbeat that a peer sent. With
// final set, the peer said that it stopped: it will not be asked again, so
// heartbeats prove nothing until its version is adopted.
func (a *Attester) RecordVersion(name string, incarnation, version uint64, final bool) {
	if p := a.peer(name, incarnation); p != nil {
		p.confirmed = max(p.confirmed, version)
	}
	if final {
		a.known = max(a.known, version)
	}
}

func (a *Attester) peer(name string, incarnation uint64) *peer {
	p := a.peers.Get(name)
	if p == nil || p.Incarnation != incarnation {
		return nil
	}
	return p
}

// Expiry returns when the proof of the scope lapses, or zero without one.
func (a *Attester) Expiry(s Scope) time.Time {
	if a.adopted == 0 || a.admitted.IsZero() || a.primed.counted.IsZero() {
		return time.Time{}
	}
	return latest(a.readExpiry(s), a.roundExpiry(s))
}

// Round returns when the oldest of the newest heartbeats that the peers of the scope answered was sent; zero if a peer
// answered none, or without peers.
func (a *Attester) Round(s Scope) time.Time {
	return a.oldestOf(s).at
}

// Valid reports whether the proof of the scope holds at now.
func (a *Attester) Valid(s Scope, now time.Time) bool {
	return now.Before(a.Expiry(s))
}

func (a *Attester) readExpiry(s Scope) time.Time {
	if a.read.counted.IsZero() {
		return time.Time{}
	}
	return earliest(a.read.counted.Add(a.c.Freshness), a.readLimit(s))
}

// readLimit returns until when a store read proves anything without a list
// reading. A peer with an older assignment forgets an owner that left the list
// once it heard nothing from it for ListLag + ListAge, so an owner goes on only
// while it sees itself listed or every peer answers.
func (a *Attester) readLimit(s Scope) time.Time {
	listed := a.listed.Add(a.c.ListAge)
	outage := a.listed.Add(a.c.ListOutage)
	switch {
	case a.newcomer:
		return listed
	case s == Fleet:
		return outage
	}
	o := a.oldestOf(s)
	if o.none {
		return outage
	}
	return earliest(outage, latest(listed, o.at.Add(a.c.ListLag+a.c.ListAge)))
}

func (a *Attester) oldestOf(s Scope) oldest {
	o := &a.oldest[s]
	if o.dirty {
		*o = a.findOldest(s)
	}
	return *o
}

func (a *Attester) roundExpiry(s Scope) time.Time {
	if a.known > a.adopted {
		return time.Time{}
	}
	o := a.oldestOf(s)
	// Every peer listed before the reading is in the set only while the reading is fresh.
	limit := a.listed.Add(a.c.ListAge)
	if o.none {
		return limit
	}
	if o.at.IsZero() {
		return time.Time{}
	}
	return earliest(limit, o.at.Add(a.c.Freshness))
}

func (a *Attester) findOldest(s Scope) oldest {
	r := oldest{none: true}
	for k, p := range a.peers.All() {
		if s == Region && p.Region != a.c.Region {
			continue
		}
		// Heartbeats of one tick share a time. Taking the last of equals, whose
		// answer comes about last, avoids a search for each answer of a round.
		if r.none || !p.counted.After(r.at) {
			r = oldest{at: p.counted, holder: k}
		}
	}
	return r
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
