package assigner

import (
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// DefaultFreshness is the default maximum age of a proof of freshness.
const DefaultFreshness = 3 * time.Second

// FleetScope is the scope of resources that any instance of the fleet may own.
const FleetScope = ""

// Config holds the identity and the settings of the local instance.
type Config struct {
	Self Member
	// Freshness is the maximum age of a proof of freshness; 0 means DefaultFreshness.
	Freshness time.Duration
	// ListLag and ListAge must equal the settings of package tracker; 0 means DefaultListLag and DefaultListAge.
	ListLag, ListAge time.Duration
	// LargestDeadline is the upper bound of the running time of a request.
	LargestDeadline time.Duration
}

// Resource identifies a unit of ownership, such as a target or a part of a bucket; one instance owns it at a time.
type Resource struct {
	Name string
	// Scope is the region of a target, or FleetScope.
	Scope string
	// Part is 0 for an undivided resource, and 1 or 2 for the parts of a divided one.
	Part int
	// Sole disables succession: no other instance replaces the owner while the store is down.
	Sole bool
}

// Residue is work of earlier owners that may still run.
type Residue struct {
	// Unknown reports that any number of slots may be in use before Until.
	Unknown bool
	// Slots is the number of slots that may be in use before Until, unless Unknown is set.
	Slots int
	Until time.Time
	// Bucket is set for a bucket part whose earlier owner reported its state.
	Bucket Bucket
}

// Bucket is the final state of a bucket part at its earlier owner, in nanotokens.
type Bucket struct {
	// Known reports that the earlier owner reported the state.
	Known bool
	// Rate is in nanotokens per second.
	Rate, Burst         int64
	Tokens, Outstanding int64
}

// Heads is the part of the heads row that assigns resources.
type Heads struct {
	Version uint64
	// Scopes maps each region and FleetScope to its assignment; a region without members uses that of the fleet.
	Scopes map[string]Assignment
}

// Loss describes a resource whose ownership the local instance lost.
type Loss struct {
	Resource
	// Inherited is the work of earlier owners that may still run; the local instance reports it with its own.
	Inherited Residue
}

// Change lists the resources whose ownership the local instance lost and gained with a heads version.
type Change struct {
	Lost   []Loss
	Gained []Resource
}

// resourceState is the ownership state of one resource.
type resourceState struct {
	owner Member
	// owned reports that the assignment names the local instance as the owner.
	owned bool
	// successor replaces a departed owner while the store is down.
	successor Member
	// succeeding reports that the local instance is the successor and all conditions of succession hold.
	succeeding bool
	// acting reports that the local instance has taken over the resource.
	acting bool
	// readyAt is the earliest time of the takeover.
	readyAt time.Time
	// releaser is the earlier owner whose release permits a takeover before readyAt; empty if none does.
	releaser Member
	// gainedVersion is the heads version with which the local instance gained the resource.
	gainedVersion uint64
	residue       Residue
}

// scope is the assignment that is in effect for a region or for the fleet.
type scope struct {
	hashedMembers
	epoch uint64
	// fleetEpoch is the epoch of the fleet's assignment, which the scope uses while fallback is set.
	fleetEpoch uint64
	fallback   bool
	// adoptedAt is when the local instance adopted the members.
	adoptedAt time.Time
}

// epochDelta returns the number of membership changes from s to the later state n.
func (s scope) epochDelta(n scope) uint64 {
	r := n.epoch - s.epoch
	if s.fallback || n.fallback {
		r += n.fleetEpoch - s.fleetEpoch
	}
	return r
}

// Assigner holds the adopted assignments and the ownership state of each resource.
type Assigner struct {
	c         Config
	heads     Heads
	scopes    map[string]scope
	resources *indexer.Table[Resource, resourceState]
	// deadlines overrides Config.LargestDeadline for single resources.
	deadlines map[Resource]time.Duration
	// releasedVersion is the version that heartbeats report.
	releasedVersion uint64
	// stoppedVersion is the version up to which lost work has stopped; heartbeats report it from releaseAfter on.
	stoppedVersion uint64
	releaseAfter   time.Time

	situation Situation
	gaps      [proofKinds]proofGap
	// blockedUntil is the earliest time of a takeover after a gap in the proof.
	blockedUntil [proofKinds]time.Time
	// storeLost reports that no read of the store has succeeded for ListLag + ListAge, which permits succession.
	storeLost bool
	// succeedsAny reports that the local instance is the successor for at least one resource.
	succeedsAny bool
}

// New returns an assigner without resources or assignments.
func New(c Config) *Assigner {
	if c.Freshness == 0 {
		c.Freshness = DefaultFreshness
	}
	if c.ListLag == 0 {
		c.ListLag = DefaultListLag
	}
	if c.ListAge == 0 {
		c.ListAge = DefaultListAge
	}
	return &Assigner{
		c:         c,
		scopes:    map[string]scope{},
		resources: indexer.New[Resource, resourceState](),
	}
}

// SetDeadlines replaces the per-resource bounds of the running time of a request. Resources that are not in d use
// Config.LargestDeadline. The bounds apply to ownership that is gained later.
func (a *Assigner) SetDeadlines(d map[Resource]time.Duration) {
	a.deadlines = d
}

func (a *Assigner) deadline(r Resource) time.Duration {
	if d, ok := a.deadlines[r]; ok {
		return d
	}
	return a.c.LargestDeadline
}

// Version returns the adopted heads version.
func (a *Assigner) Version() uint64 {
	return a.heads.Version
}

// SetResources replaces the set of resources; resources that were in the set before keep their state.
func (a *Assigner) SetResources(now time.Time, rs []Resource) {
	keep := make(map[Resource]bool, len(rs))
	for _, r := range rs {
		keep[r] = true
		if a.resources.Get(r) == nil {
			a.addResource(now, r)
		}
	}
	for r := range a.resources.All() {
		if !keep[r] {
			a.resources.Delete(r)
		}
	}
	a.findSuccessors()
}

// addResource adds a resource whose earlier owner is unknown: instances that apply
// an older epoch may already own it.
func (a *Assigner) addResource(now time.Time, r Resource) {
	s := a.scope(now, r.Scope)
	h := resourceState{gainedVersion: a.heads.Version}
	a.startTakeover(r, &h, s.adoptedAt)
	h.owner, _ = s.owner(r.Name, r.Part)
	h.owned = h.owner.sameIncarnation(a.c.Self)
	a.resources.Put(r, h)
}

func (a *Assigner) scope(now time.Time, name string) scope {
	s, ok := a.scopes[name]
	if !ok {
		s = effectiveScope(now, a.heads, name)
		a.scopes[name] = s
	}
	return s
}

// effectiveScope returns the assignment that is in effect for the named scope; a region without members uses that of
// the fleet.
func effectiveScope(now time.Time, h Heads, name string) scope {
	own := h.Scopes[name]
	s := scope{epoch: own.Epoch, adoptedAt: now}
	if name == FleetScope || len(own.Members) > 0 {
		s.hashedMembers = hashMembers(own.Members)
	} else {
		s.fallback = true
		s.hashedMembers = hashMembers(h.Scopes[FleetScope].Members)
	}
	if name != FleetScope {
		s.fleetEpoch = h.Scopes[FleetScope].Epoch
	}
	return s
}

// Adopt applies a newer version of the heads row, which the instance received at
// now. It returns false and changes nothing if the version is not newer. The
// caller must stop the work on lost resources and then call Release.
func (a *Assigner) Adopt(now time.Time, h Heads) (Change, bool) {
	if h.Version <= a.heads.Version {
		return Change{}, false
	}
	ts := a.replaceScopes(now, h)
	a.heads = h
	var c Change
	for r, o := range a.resources.All() {
		a.applyTransition(now, r, o, ts[r.Scope], &c)
	}
	a.findSuccessors()
	return c, true
}

// transition describes the change of a scope between two heads versions.
type transition struct {
	// epochDelta is the number of membership changes.
	epochDelta uint64
	// oldProof is the proof that ownership required before the change.
	oldProof proofKind
}

// replaceScopes applies the assignments and returns the transition of each scope.
func (a *Assigner) replaceScopes(now time.Time, h Heads) map[string]transition {
	for name := range h.Scopes {
		if _, ok := a.scopes[name]; !ok {
			a.scopes[name] = scope{}
		}
	}
	ts := make(map[string]transition, len(a.scopes))
	for name, s := range a.scopes {
		n := effectiveScope(now, h, name)
		t := transition{epochDelta: s.epochDelta(n), oldProof: scopeProofKind(name, s)}
		if t.epochDelta == 0 {
			n.adoptedAt = s.adoptedAt
		}
		a.delayRelease(now, s, t.epochDelta)
		a.scopes[name], ts[name] = n, t
	}
	return ts
}

// delayRelease delays the release while an owner of an epoch before the last one
// may still act, because the next owner treats the release as that of all earlier
// owners.
func (a *Assigner) delayRelease(now time.Time, s scope, epochDelta uint64) {
	switch {
	case epochDelta == 1:
		a.releaseAfter = latest(a.releaseAfter, s.adoptedAt.Add(a.c.Freshness))
	case epochDelta > 1:
		a.releaseAfter = latest(a.releaseAfter, now.Add(a.c.Freshness))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyTransition updates the owner of a resource after a change of its scope, and adds a lost or gained resource to c.
func (a *Assigner) applyTransition(now time.Time, r Resource, h *resourceState, t transition, c *Change) {
	if t.epochDelta == 0 {
		return
	}
	s := a.scopes[r.Scope]
	old, was := h.owner, h.owned
	h.owner, _ = s.owner(r.Name, r.Part)
	h.owned = h.owner.sameIncarnation(a.c.Self)
	h.acting = h.acting && was && h.owned
	h.succeeding = false
	if t.epochDelta == 1 && was && h.owned {
		return
	}
	if was {
		a.delayUnprovenRelease(now, r, t.oldProof)
		c.Lost = append(c.Lost, Loss{Resource: r, Inherited: h.residue})
	}
	if !h.owned {
		return
	}
	c.Gained = append(c.Gained, r)
	h.gainedVersion = a.heads.Version
	a.startTakeover(r, h, now)
	if t.epochDelta == 1 && a.acceptsRelease(now, r, t.oldProof, old) {
		h.releaser = old
	}
}

// startTakeover starts the wait until the proofs of earlier owners have expired, Freshness after since, and assumes
// that their requests may run for the deadline of the resource after that.
func (a *Assigner) startTakeover(r Resource, h *resourceState, since time.Time) {
	h.acting = false
	h.readyAt = latest(since.Add(a.c.Freshness), a.blockedUntil[a.proofKindOf(r)])
	h.releaser = Member{}
	h.residue = Residue{Unknown: true, Until: h.readyAt.Add(a.deadline(r))}
}

// Release records that the local work on resources lost up to version has stopped.
func (a *Assigner) Release(version uint64) {
	a.stoppedVersion = max(a.stoppedVersion, min(version, a.heads.Version))
}

// Released returns the version up to which heartbeats report the work on lost resources as stopped.
func (a *Assigner) Released(now time.Time) uint64 {
	if !now.Before(a.releaseAfter) {
		a.releasedVersion = a.stoppedVersion
	}
	return a.releasedVersion
}

// ObserveRelease records that from reported its work on resources lost up to
// version as stopped; residues holds its requests that still run, by resource.
func (a *Assigner) ObserveRelease(now time.Time, from Member, version uint64, residues map[Resource]Residue) {
	for r, h := range a.resources.All() {
		if !h.owned || h.releaser.Name == "" || !h.releaser.sameIncarnation(from) || version < h.gainedVersion {
			continue
		}
		h.readyAt = earliest(h.readyAt, latest(now, a.blockedUntil[a.proofKindOf(r)]))
		h.residue = h.residue.reducedBy(residues[r])
	}
}

// reducedBy returns the residue that remains after a further report of the earlier owner, which starts no new work.
// Reports may arrive out of order, so the result never exceeds an earlier report.
func (r Residue) reducedBy(n Residue) Residue {
	if r.Unknown {
		return n
	}
	r.Slots = min(r.Slots, n.Slots)
	if n.Until.Before(r.Until) {
		r.Until = n.Until
	}
	return r
}

// Tick takes over the resources that are ready at now. A takeover requires acts,
// the value of Tracker.Acts: only then does every earlier owner need an answer of
// this instance to renew its proof. Keeping a resource requires settled, the value
// of Tracker.Settled. An instance that is not settled owns nothing, and then waits
// like a new owner because a successor may have acted meanwhile.
func (a *Assigner) Tick(now time.Time, settled, acts bool) {
	for r, h := range a.resources.All() {
		if h.owned && !settled {
			a.startTakeover(r, h, now)
		}
		h.acting = (h.owned && settled || h.succeeding) && (h.acting || acts && !now.Before(h.readyAt))
	}
}

// MayAct reports whether the local instance has taken over the resource. Acting also requires a valid proof.
func (a *Assigner) MayAct(r Resource) bool {
	h := a.resources.Get(r)
	return h != nil && h.acting
}

// Owner returns the owner of the resource in the adopted assignment, or the successor that the local instance computed.
func (a *Assigner) Owner(r Resource) (Member, bool) {
	h := a.resources.Get(r)
	if h == nil || h.owner.Name == "" {
		return Member{}, false
	}
	if h.successor.Name != "" {
		return h.successor, true
	}
	return h.owner, true
}

// Residue returns the work of earlier owners that may still run at now.
func (a *Assigner) Residue(r Resource, now time.Time) Residue {
	h := a.resources.Get(r)
	if h == nil || !now.Before(h.residue.Until) {
		return Residue{}
	}
	return h.residue
}

// NeedsFleet reports whether ownership in the scope requires the fleet proof,
// because the region proof does not cover changes by instances of other regions.
func (a *Assigner) NeedsFleet(name string) bool {
	return name == FleetScope || len(a.heads.Scopes[name].Members) == 0
}
