package assigner

import (
	"slices"
	"time"
)

// Default settings of succession, equal to those of package tracker.
const (
	DefaultListLag = 10 * time.Second
	DefaultListAge = 3 * time.Second
)

// Departure identifies an instance that no longer acts, as tracker.Departure does.
type Departure struct {
	Name string
	// Incarnation is the last incarnation that stopped; 0 means all incarnations.
	Incarnation uint64
}

func (d Departure) covers(m Member) bool {
	return d.Name == m.Name && (d.Incarnation == 0 || m.Incarnation <= d.Incarnation)
}

// Proof holds the state of the proof of a scope, as package attester computes it.
type Proof struct {
	// Expiry is the value of Attester.Expiry.
	Expiry time.Time
	// Round is the value of Attester.Round: the send time of the oldest heartbeat among the newest one that each peer
	// answered; zero if a peer answered none or there are no peers.
	Round time.Time
}

// Situation holds the inputs of ownership decisions: membership, proofs, and the state of the list and the store.
type Situation struct {
	// Settled and Acts are the values of Tracker.Settled and Tracker.Acts.
	Settled, Acts bool
	// Region is the proof for targets of the local region, Fleet the proof for resources of the fleet.
	Region, Fleet Proof
	// Listed and ListedSince are the values of Tracker.ListedAt and Tracker.ListedSince.
	Listed, ListedSince time.Time
	// StoreRead is when a read of the store last succeeded, or else when the instance started; zero disables succession.
	StoreRead time.Time
	// Departed is the value of Tracker.Departed.
	Departed []Departure
	// Peer reports whether the named instance is in the peer set.
	Peer func(name string) bool
}

// proofKind is the kind of proof that the ownership of a resource requires.
type proofKind uint8

const (
	regionProof proofKind = iota
	fleetProof
	proofKinds
)

func scopeProofKind(name string, s scope) proofKind {
	if name == FleetScope || s.fallback {
		return fleetProof
	}
	return regionProof
}

// proofGap tracks the validity of a proof and, while it is invalid, the gap since it expired.
type proofGap struct {
	// expiry is the expiry time of the proof at the last observation.
	expiry time.Time
	// valid reports that the proof has not expired since the last gap ended.
	valid bool
	// startedAt is when the current or last gap began.
	startedAt time.Time
	// listingInterrupted reports that list readings failed to show the local instance without interruption during the gap.
	listingInterrupted bool
}

// start begins a gap at the expiry of the proof, or at now if the proof had no expiry.
func (l *proofGap) start(now time.Time) {
	l.valid, l.listingInterrupted, l.startedAt = false, false, now
	if !l.expiry.IsZero() && l.expiry.Before(now) {
		l.startedAt = l.expiry
	}
}

// Observe applies the situation at now. Call it after each event that changes the situation, before Tick, and before
// sending the answer if the event was a heartbeat. It reports whether the local instance ended a succession; the work on
// the resource must stop before that answer is sent.
//
// No assignment can be written while the store is down. The first member in the rendezvous order of a resource that has
// not departed then succeeds its owner. At most one instance acts on a resource, as the possible conflicts show:
//
//   - A successor B and a member X earlier in the order. B acts only if it received no message of X, and no reading showed
//     X, for 2 ListLag + ListAge before B began to wait Freshness. X has then had no proof for at least ListLag + ListAge,
//     because its proof requires a reading that shows X, or answers of all peers, including B, within ListLag + ListAge.
//     This also holds if only X reaches the store. To act again X must be listed. If its readings show the absence, X is a
//     newcomer and owns nothing for ListLag + ListAge, and by then B's readings show X. If its readings are more than
//     ListAge apart, because the list was unreachable or the process was paused, X gives up its resources for the same time
//     (see endGap) unless all peers answered. In that case B has received a heartbeat of X, and gives the resource up
//     before it answers.
//   - Two successors B and C, with C later in the order. For C to succeed, B must have departed, which excludes B as it
//     excludes X above. B's proof must come from heartbeats and thus requires a reading that shows B, and B stops being a
//     successor once its listings were interrupted.
//   - A successor B and an owner Y in a newer assignment. Y is a peer of B, so B's proof for the older version expires
//     Freshness after Y adopted the newer one. Y waits for the same time, and no release by X shortens the wait. X delays
//     its release if it had no proof when it adopted the assignment (see delayUnprovenRelease). Y accepts no release if Y
//     had no proof, since X may have stopped acting long before, if X is not its peer, or after a store outage (see
//     acceptsRelease).
//   - A successor B after a pause of its process. Its proof has expired, and its readings before and after the pause are
//     more than ListAge apart, so the absence of X is measured anew.
//   - A successor B that reaches the store again. It gives the resource up, because its proof may then come from the store,
//     which provides no evidence about X.
func (a *Assigner) Observe(now time.Time, s Situation) bool {
	a.updateGaps(now, s)
	storeLost := !now.Before(s.StoreRead.Add(a.absenceTimeout())) && !s.StoreRead.IsZero()
	if storeLost != a.storeLost || storeLost && !slices.Equal(s.Departed, a.situation.Departed) {
		a.storeLost = storeLost
		a.situation = s
		a.findSuccessors()
	}
	a.situation = s
	ended := false
	if !storeLost && !a.succeedsAny {
		return false
	}
	a.succeedsAny = false
	for r, h := range a.resources.All() {
		ended = a.updateSuccession(now, r, h) || ended
		a.succeedsAny = a.succeedsAny || h.succeeding
	}
	return ended
}

// absenceTimeout is how long an instance that left the list may still act.
func (a *Assigner) absenceTimeout() time.Duration {
	return a.c.ListLag + a.c.ListAge
}

// updateGaps detects the start and the end of gaps in the proofs of ownership.
func (a *Assigner) updateGaps(now time.Time, s Situation) {
	for k, p := range [proofKinds]Proof{regionProof: s.Region, fleetProof: s.Fleet} {
		l := &a.gaps[k]
		if s.Listed.IsZero() {
			// An unlisted instance becomes a newcomer, whose waiting time suffices.
			*l = proofGap{}
			continue
		}
		if l.valid && !now.Before(earliest(l.expiry, p.Expiry)) || l.startedAt.IsZero() {
			l.start(now)
		}
		l.expiry = p.Expiry
		if l.valid {
			continue
		}
		l.listingInterrupted = l.listingInterrupted || !now.Before(s.Listed.Add(a.c.ListAge)) || s.ListedSince.After(l.startedAt)
		if now.Before(p.Expiry) {
			a.endGap(now, proofKind(k), *l, p)
			l.valid = true
		}
	}
}

// endGap ends a gap in a proof. If listings were interrupted during the gap, other members may have dropped the local
// instance from their peer sets. It then waits like a new owner, and if a peer has not answered lately also until the
// list readings of that peer show it.
func (a *Assigner) endGap(now time.Time, k proofKind, l proofGap, p Proof) {
	answered := !p.Round.IsZero() && now.Sub(p.Round) < a.absenceTimeout()
	if !l.listingInterrupted || answered && now.Sub(l.startedAt) < a.absenceTimeout() {
		return
	}
	if !answered {
		a.blockedUntil[k] = now.Add(a.absenceTimeout())
	}
	for r, h := range a.resources.All() {
		if a.proofKindOf(r) == k {
			h.succeeding = false
			a.startTakeover(r, h, now)
		}
	}
}

func (a *Assigner) proofKindOf(r Resource) proofKind {
	return scopeProofKind(r.Scope, a.scopes[r.Scope])
}

// hasProof reports whether the last observed proof for the resource is valid at now. The region proof covers only the
// local region, so resources of other regions need the fleet proof.
func (a *Assigner) hasProof(now time.Time, r Resource, k proofKind) bool {
	if r.Scope != a.c.Self.Region {
		k = fleetProof
	}
	return a.situation.Settled && now.Before(a.gaps[k].expiry) && !now.Before(a.blockedUntil[k])
}

// acceptsRelease reports whether a release by the owner of the preceding epoch permits an immediate takeover. If the
// local instance has a proof that includes this owner as a peer, the owner acted within the last Freshness, so no member
// can have succeeded it yet. No release is accepted while the local instance cannot reach the store.
func (a *Assigner) acceptsRelease(now time.Time, r Resource, oldProof proofKind, owner Member) bool {
	return !a.storeLost && a.hasProof(now, r, oldProof) && a.situation.Peer != nil && a.situation.Peer(owner.Name)
}

// delayUnprovenRelease delays the release if the local instance had no proof when it lost a resource, because a successor
// may have acted whose requests and grants the local instance cannot report. The delay lasts until the next owner no
// longer uses the release to shorten its wait or to reduce the residue.
func (a *Assigner) delayUnprovenRelease(now time.Time, r Resource, oldProof proofKind) {
	if !a.hasProof(now, r, oldProof) {
		a.releaseAfter = latest(a.releaseAfter, now.Add(2*a.c.Freshness+a.deadline(r)))
	}
}

func (a *Assigner) departed(m Member) bool {
	return slices.ContainsFunc(a.situation.Departed, func(d Departure) bool { return d.covers(m) })
}

// findSuccessors determines the successor of each resource whose owner departed while the store is down.
func (a *Assigner) findSuccessors() {
	departed := map[string][]bool{}
	for name, s := range a.scopes {
		for _, m := range s.members {
			departed[name] = append(departed[name], a.storeLost && a.departed(m))
		}
	}
	for r, h := range a.resources.All() {
		a.findSuccessor(r, h, departed[r.Scope])
	}
}

func (a *Assigner) findSuccessor(r Resource, h *resourceState, departed []bool) {
	h.successor = Member{}
	if a.storeLost && !r.Sole && slices.Contains(departed, true) {
		h.successor, _ = a.scopes[r.Scope].successor(r.Name, r.Part, func(i int) bool { return !departed[i] })
	}
	if h.successor.sameIncarnation(h.owner) {
		h.successor = Member{}
	}
}

// updateSuccession begins or ends the succession of the local instance to a resource, and reports whether it ended.
func (a *Assigner) updateSuccession(now time.Time, r Resource, h *resourceState) bool {
	s := a.situation
	n := a.storeLost && !h.owned && h.successor.Name != "" && h.successor.sameIncarnation(a.c.Self) && s.Settled && s.Acts &&
		!s.ListedSince.After(a.scopes[r.Scope].adoptedAt)
	switch {
	case n == h.succeeding:
		return false
	case n:
		a.startTakeover(r, h, now)
	default:
		h.acting = false
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
