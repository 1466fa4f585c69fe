package assigner

import (
	"slices"
	"time"
)

// Defaults of the settings for succession, which equal those of package tracker.
const (
	DefaultListLag = 10 * time.Second
	DefaultListAge = 3 * time.Second
)

// Departure is an instance that is certain not to act: tracker.Departure.
type Departure struct {
	Name string
	// Incarnation is the last one that stopped; 0 stands for all.
	Incarnation uint64
}

func (d Departure) covers(m Member) bool {
	return d.Name == m.Name && (d.Incarnation == 0 || m.Incarnation <= d.Incarnation)
}

// Proof is what attester.Attester knows about a scope.
type Proof struct {
	// Expiry is when the proof lapses.
	Expiry time.Time
	// Round is when the oldest of the newest heartbeats that the peers answered was sent; zero without one.
	Round time.Time
}

// Situation is what the instance knows about itself, the store and the list.
type Situation struct {
	// Settled and Acts are those of the tracker.
	Settled, Acts bool
	// Region and Fleet are the proofs for ownership of targets of the own region and of what the fleet shares.
	Region, Fleet Proof
	// Listed and ListedSince are tracker.ListedAt and tracker.ListedSince.
	Listed, ListedSince time.Time
	// StoreRead is when a read of the store last succeeded, or when the instance started.
	StoreRead time.Time
	// Departed is tracker.Departed.
	Departed []Departure
	// Peer reports whether an instance is in the peer set.
	Peer func(name string) bool
}

// kind tells which proof the ownership of a resource needs.
type kind uint8

const (
	regional kind = iota
	fleetwide
	kinds
)

func kindOf(name string, s scope) kind {
	if name == FleetScope || s.fallback {
		return fleetwide
	}
	return regional
}

// lapse is a time without a proof of ownership.
type lapse struct {
	// expiry is that of the proof when it was last looked at.
	expiry time.Time
	// held is true while the proof has not lapsed since.
	held bool
	// from is when the present lapse began.
	from time.Time
	// unlisted is true if own listings were interrupted meanwhile.
	unlisted bool
}

// begin starts a lapse, which began when the proof ended or never was.
func (l *lapse) begin(now time.Time) {
	l.held, l.unlisted, l.from = false, false, now
	if !l.expiry.IsZero() && l.expiry.Before(now) {
		l.from = l.expiry
	}
}

// Observe applies the situation at now. It must follow each event that changes it, come before Tick, and before the
// answer to the heartbeat that was the event. It reports whether this instance gave up a resource of a lost owner; work
// on it must have stopped before such an answer is sent.
//
// Without the store no assignment can be written, so the first member in the order of a resource that has not departed
// takes it over. No two instances act on a resource, for these pairs:
//
//   - The successor B and a member X before it. B acts at t only if X was neither heard nor listed in any reading over 2
//     ListLag + ListAge before B began to wait Freshness. X has then had no proof for ListLag + ListAge at least: it needs
//     a reading that shows it, or answers of all peers, B included, within ListLag + ListAge; this holds for a store that
//     only X reaches too. To act again X must be listed. If its readings show the gap, it is a newcomer and owns nothing for
//     ListLag + ListAge, by when B's readings show it. If the list was unreachable or its process was paused, so that its
//     readings are more than ListAge apart, it gives up what it owns for the same time (resume), unless all peers
//     answered: then B has heard X, and gives the resource up before it answers.
//   - Two successors B and C, C later in the order. C needs B departed, like X above. B's proof must come from heartbeats
//     and so from a reading that shows B, and B is no successor any more once its listings were interrupted.
//   - B and an owner Y of a newer assignment. Y is a peer of B, and B's proof for its older version ends Freshness after Y
//     adopted the newer one. Y waits as long, and no release by X shortens this: X keeps its release back if it had no
//     proof when it adopted the assignment (withhold), and Y takes none if it had no proof itself, since X may have acted
//     long ago, if X is not its peer, or after a store outage (mayBeReleased).
//   - B after a pause: its proof has lapsed, and the readings that it counted are more than ListAge apart, so it starts
//     to count again.
//   - B after the store answered it: it gives the resource up. Its proof may then come from the store, which says nothing
//     of X.
func (a *Assigner) Observe(now time.Time, s Situation) bool {
	a.observeLapses(now, s)
	lost := !now.Before(s.StoreRead.Add(a.hold())) && !s.StoreRead.IsZero()
	if lost != a.storeLost || lost && !slices.Equal(s.Departed, a.situation.Departed) {
		a.storeLost = lost
		a.situation = s
		a.findSuccessors()
	}
	a.situation = s
	ended := false
	if !lost && !a.succeeds {
		return false
	}
	a.succeeds = false
	for r, h := range a.holdings.All() {
		ended = a.succeed(now, r, h) || ended
		a.succeeds = a.succeeds || h.succeeding
	}
	return ended
}

func (a *Assigner) hold() time.Duration {
	return a.c.ListLag + a.c.ListAge
}

// observeLapses notices lapses of the proofs of ownership, and what the instance may go on with after them.
func (a *Assigner) observeLapses(now time.Time, s Situation) {
	for k, p := range [kinds]Proof{regional: s.Region, fleetwide: s.Fleet} {
		l := &a.lapses[k]
		if s.Listed.IsZero() {
			// The instance will be a newcomer, which needs no other wait.
			*l = lapse{}
			continue
		}
		if l.held && !now.Before(earliest(l.expiry, p.Expiry)) || l.from.IsZero() {
			l.begin(now)
		}
		l.expiry = p.Expiry
		if l.held {
			continue
		}
		l.unlisted = l.unlisted || !now.Before(s.Listed.Add(a.c.ListAge)) || s.ListedSince.After(l.from)
		if now.Before(p.Expiry) {
			a.resume(now, kind(k), *l, p)
			l.held = true
		}
	}
}

// resume ends a lapse. If listings were interrupted meanwhile, other members may count this instance no more: it then
// starts like a new owner, after peers that do not answer are certain to see it listed.
func (a *Assigner) resume(now time.Time, k kind, l lapse, p Proof) {
	heard := !p.Round.IsZero() && now.Sub(p.Round) < a.hold()
	if !l.unlisted || heard && now.Sub(l.from) < a.hold() {
		return
	}
	if !heard {
		a.barred[k] = now.Add(a.hold())
	}
	for r, h := range a.holdings.All() {
		if a.kindOf(r) == k {
			h.succeeding = false
			a.gain(r, h, now)
		}
	}
}

func (a *Assigner) kindOf(r Resource) kind {
	return kindOf(r.Scope, a.scopes[r.Scope])
}

// proven reports whether the instance could act on the resource at now, as of the last observation; a proof of its own
// region says nothing of others.
func (a *Assigner) proven(now time.Time, r Resource, k kind) bool {
	if r.Scope != a.c.Self.Region {
		k = fleetwide
	}
	return a.situation.Settled && now.Before(a.lapses[k].expiry) && !now.Before(a.barred[k])
}

// mayBeReleased reports whether a release by the owner of the epoch before lets this instance act at once. With a proof, and
// that owner among the peers that it rests on, the owner acted until at most Freshness ago, so that nobody succeeds it yet.
// After a store outage as seen from here nobody's release does.
func (a *Assigner) mayBeReleased(now time.Time, r Resource, before kind, owner Member) bool {
	return !a.storeLost && a.proven(now, r, before) && a.situation.Peer != nil && a.situation.Peer(owner.Name)
}

// withhold keeps the release back if this instance could not act when it lost a resource: another member may have
// succeeded it, whose requests and grants it cannot report. It lasts until nobody takes it for a permission or a report.
func (a *Assigner) withhold(now time.Time, r Resource, before kind) {
	if !a.proven(now, r, before) {
		a.holdBack = latest(a.holdBack, now.Add(2*a.c.Freshness+a.deadline(r)))
	}
}

func (a *Assigner) departed(m Member) bool {
	return slices.ContainsFunc(a.situation.Departed, func(d Departure) bool { return d.covers(m) })
}

// findSuccessors names the members that stand in for lost owners.
func (a *Assigner) findSuccessors() {
	gone := map[string][]bool{}
	for name, s := range a.scopes {
		for _, m := range s.members {
			gone[name] = append(gone[name], a.storeLost && a.departed(m))
		}
	}
	for r, h := range a.holdings.All() {
		a.findSuccessor(r, h, gone[r.Scope])
	}
}

func (a *Assigner) findSuccessor(r Resource, h *holding, gone []bool) {
	h.successor = Member{}
	if a.storeLost && !r.Sole && slices.Contains(gone, true) {
		h.successor, _ = a.scopes[r.Scope].successor(r.Name, r.Part, func(i int) bool { return !gone[i] })
	}
	if h.successor.is(h.owner) {
		h.successor = Member{}
	}
}

// succeed begins or ends the succession of this instance in a resource, and reports an end.
func (a *Assigner) succeed(now time.Time, r Resource, h *holding) bool {
	s := a.situation
	n := a.storeLost && !h.mine && h.successor.Name != "" && h.successor.is(a.c.Self) && s.Settled && s.Acts &&
		!s.ListedSince.After(a.scopes[r.Scope].learned)
	switch {
	case n == h.succeeding:
		return false
	case n:
		a.gain(r, h, now)
	default:
		h.taken = false
	}
	h.succeeding = n
	return !n
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
