package attester

import (
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// Default settings of a Config.
const (
	DefaultFreshness  = 3 * time.Second
	DefaultListLag    = 10 * time.Second
	DefaultListAge    = 3 * time.Second
	DefaultListOutage = 30 * time.Minute
)

// Scope determines which changes a proof covers.
type Scope uint8

// The scopes of proofs.
const (
	// Fleet covers every change. It is required for keyed requests, token grants to callers, and changes.
	Fleet Scope = iota
	// Region covers the assignment of the local region. It is required to own targets of the region.
	Region
	// FleetOwner covers the assignment of the fleet. It is required to own resources of the fleet.
	FleetOwner
	scopeCount
)

// Config holds the settings; zero durations mean the defaults.
type Config struct {
	// Region is the region of the local instance.
	Region string
	// Freshness is the period of validity of a proof.
	Freshness time.Duration
	// ListLag is the maximum age of the state that a list reading shows.
	ListLag time.Duration
	// ListAge is how long a list reading supports proofs from heartbeats.
	ListAge time.Duration
	// ListOutage is how long a list reading supports proofs from store reads.
	ListOutage time.Duration
}

// Peer identifies a member of the peer set; incarnation 0 means unknown.
type Peer struct {
	Name        string
	Incarnation uint64
	Region      string
}

// Membership is the membership state that package tracker provides.
type Membership struct {
	// Admitted is the value of Tracker.Admitted; evidence requested before it does not count.
	Admitted time.Time
	// Listed is the value of Tracker.ListedAt.
	Listed time.Time
	// Newcomer is the value of Tracker.Newcomer. Proofs of a newcomer from store reads expire ListAge after Listed, as
	// those from heartbeats do.
	Newcomer bool
	Peers    []Peer
}

// evidence records when requests of one source were sent whose answers support a proof.
type evidence struct {
	// accepted is the send time of the newest request that was answered with an adopted version.
	accepted time.Time
	// pending is the send time of the newest request that was answered with pendingVersion, which is not yet adopted.
	pending        time.Time
	pendingVersion uint64
}

func (e *evidence) record(sent time.Time, version, adopted uint64) {
	if version <= adopted {
		e.accepted = latest(e.accepted, sent)
		return
	}
	if sent.After(e.pending) {
		e.pending, e.pendingVersion = sent, version
	}
}

func (e *evidence) adopt(version uint64) {
	if e.pending.IsZero() || e.pendingVersion > version {
		return
	}
	e.accepted = latest(e.accepted, e.pending)
	e.pending = time.Time{}
}

type peer struct {
	Peer
	evidence
	// confirmedVersion is the newest version that this incarnation reported as applied.
	confirmedVersion uint64
	// seen marks the peer as a member during SetMembership.
	seen bool
}

// oldestAnswer caches which peer of a scope has the oldest accepted heartbeat.
type oldestAnswer struct {
	// sent is the send time of that heartbeat, zero if the peer has answered none.
	sent time.Time
	peer string
	// noPeers reports that the scope has no peers.
	noPeers bool
	// stale reports that the cached values must be computed again.
	stale bool
}

// Attester evaluates the evidence for the proofs of one instance.
type Attester struct {
	c Config
	// adopted is the adopted heads version.
	adopted uint64
	// finalVersion is the newest version that a stopping peer reported.
	finalVersion uint64
	admitted     time.Time
	listed       time.Time
	newcomer     bool
	storeRead    evidence
	// initial is the evidence from store reads and from answers of acting peers. No proof is valid before the first
	// such evidence after the admission.
	initial       evidence
	peers         *indexer.Table[string, peer]
	oldestAnswers [scopeCount]oldestAnswer
}

// New returns an attester without an adopted version and without proofs.
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

// Version returns the adopted heads version, which is sent in heartbeats and their answers.
func (a *Attester) Version() uint64 {
	return a.adopted
}

// Adopt records that the instance applies the heads version. It ignores a version older than the adopted one and
// returns false.
func (a *Attester) Adopt(version uint64) bool {
	if version < a.adopted {
		return false
	}
	a.adopted = version
	a.storeRead.adopt(version)
	a.initial.adopt(version)
	for _, p := range a.peers.All() {
		p.adopt(version)
	}
	a.invalidate()
	return true
}

// SetMembership replaces the membership. It keeps the evidence of peers whose incarnation and region are unchanged, unless
// the admission changed.
func (a *Attester) SetMembership(m Membership) {
	if !m.Admitted.Equal(a.admitted) {
		a.dropEvidence(m.Admitted)
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

// dropEvidence discards all evidence, which was requested before the admission.
func (a *Attester) dropEvidence(admitted time.Time) {
	a.admitted = admitted
	a.storeRead, a.initial = evidence{}, evidence{}
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

// invalidate marks the cached oldest answers of all scopes as stale.
func (a *Attester) invalidate() {
	for i := range a.oldestAnswers {
		a.oldestAnswers[i].stale = true
	}
}

func (a *Attester) sinceAdmission(sent time.Time) bool {
	return !a.admitted.IsZero() && !sent.Before(a.admitted)
}

// RecordRead records a successful read of the heads row, sent at sent, that returned version.
func (a *Attester) RecordRead(sent time.Time, version uint64) {
	if !a.sinceAdmission(sent) {
		return
	}
	a.storeRead.record(sent, version, a.adopted)
	a.initial.record(sent, version, a.adopted)
}

// Answer is a peer's answer to a heartbeat.
type Answer struct {
	Name        string
	Incarnation uint64
	// Version is the heads version that the peer applies.
	Version uint64
	// Acts is the value of tracker.Contact.Acts in the answer.
	Acts bool
}

// RecordAnswer records the answer to a heartbeat that was sent at sent.
func (a *Attester) RecordAnswer(sent time.Time, r Answer) {
	p := a.peer(r.Name, r.Incarnation)
	if p == nil {
		return
	}
	p.confirmedVersion = max(p.confirmedVersion, r.Version)
	if !a.sinceAdmission(sent) {
		return
	}
	p.record(sent, r.Version, a.adopted)
	if r.Acts {
		a.initial.record(sent, r.Version, a.adopted)
	}
	for i := range a.oldestAnswers {
		a.oldestAnswers[i].stale = a.oldestAnswers[i].stale || a.oldestAnswers[i].peer == r.Name
	}
}

// RecordVersion records the heads version in a heartbeat received from a peer. If
// final is set the peer has stopped and answers no further heartbeats, so answers
// of the other peers prove nothing until its version is adopted.
func (a *Attester) RecordVersion(name string, incarnation, version uint64, final bool) {
	if p := a.peer(name, incarnation); p != nil {
		p.confirmedVersion = max(p.confirmedVersion, version)
	}
	if final {
		a.finalVersion = max(a.finalVersion, version)
	}
}

// peer returns the peer of the given name and incarnation, or nil.
func (a *Attester) peer(name string, incarnation uint64) *peer {
	p := a.peers.Get(name)
	if p == nil || p.Incarnation != incarnation {
		return nil
	}
	return p
}

// Expiry returns when the proof of the scope expires; zero if there is none.
func (a *Attester) Expiry(s Scope) time.Time {
	if a.adopted == 0 || a.admitted.IsZero() || a.initial.accepted.IsZero() {
		return time.Time{}
	}
	return latest(a.storeReadExpiry(s), a.roundExpiry(s))
}

// Round returns the send time of the oldest heartbeat among the newest one that each peer of the scope answered. It
// returns zero if a peer answered none, or if there are no peers.
func (a *Attester) Round(s Scope) time.Time {
	return a.oldestAnswer(s).sent
}

// Valid reports whether the proof of the scope is valid at now.
func (a *Attester) Valid(s Scope, now time.Time) bool {
	return now.Before(a.Expiry(s))
}

func (a *Attester) storeReadExpiry(s Scope) time.Time {
	if a.storeRead.accepted.IsZero() {
		return time.Time{}
	}
	return earliest(a.storeRead.accepted.Add(a.c.Freshness), a.storeReadLimit(s))
}

// storeReadLimit returns the latest expiry of a proof from a store read. A peer
// with an older assignment drops an unlisted owner from which it received no
// message for ListLag + ListAge, so the proof of an owner requires a reading that
// shows the owner, or recent answers of all peers.
func (a *Attester) storeReadLimit(s Scope) time.Time {
	listed := a.listed.Add(a.c.ListAge)
	outage := a.listed.Add(a.c.ListOutage)
	switch {
	case a.newcomer:
		return listed
	case s == Fleet:
		return outage
	}
	o := a.oldestAnswer(s)
	if o.noPeers {
		return outage
	}
	return earliest(outage, latest(listed, o.sent.Add(a.c.ListLag+a.c.ListAge)))
}

func (a *Attester) oldestAnswer(s Scope) oldestAnswer {
	o := &a.oldestAnswers[s]
	if o.stale {
		*o = a.findOldestAnswer(s)
	}
	return *o
}

func (a *Attester) roundExpiry(s Scope) time.Time {
	if a.finalVersion > a.adopted {
		return time.Time{}
	}
	o := a.oldestAnswer(s)
	// The peer set is certain to hold every instance that may make changes only for ListAge after a reading.
	limit := a.listed.Add(a.c.ListAge)
	if o.noPeers {
		return limit
	}
	if o.sent.IsZero() {
		return time.Time{}
	}
	return earliest(limit, o.sent.Add(a.c.Freshness))
}

func (a *Attester) findOldestAnswer(s Scope) oldestAnswer {
	r := oldestAnswer{noPeers: true}
	for k, p := range a.peers.All() {
		if s == Region && p.Region != a.c.Region {
			continue
		}
		// Heartbeats of one tick have the same send time. The last of them is likely
		// answered last, so choosing it avoids a search after each answer.
		if r.noPeers || !p.accepted.After(r.sent) {
			r = oldestAnswer{sent: p.accepted, peer: k}
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
