package assigner

import (
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// DefaultFreshness is the largest age of a proof.
const DefaultFreshness = 3 * time.Second

// FleetScope is the scope of resources that the whole fleet shares.
const FleetScope = ""

// Config holds the own identity and the settings.
type Config struct {
	Self Member
	// Freshness is the largest age of a proof; 0 means DefaultFreshness.
	Freshness time.Duration
	// ListLag and ListAge are those of the tracker; 0 means the defaults.
	ListLag, ListAge time.Duration
	// LargestDeadline bounds how long a request of an earlier owner may run.
	LargestDeadline time.Duration
}

// Resource is something that one instance owns at a time: a target or a part of a bucket.
type Resource struct {
	Name string
	// Scope is the region of a target, or FleetScope.
	Scope string
	// Part is 0 for an undivided resource, and 1 or 2 for the parts of a divided one.
	Part int
	// Sole means that no other instance succeeds the owner while the store is down.
	Sole bool
}

// Residue is work of earlier owners that may still run.
type Residue struct {
	// Unknown means that any number of slots may be busy until Until.
	Unknown bool
	Slots   int
	Until   time.Time
	// Bucket is set for a bucket part whose earlier owner said what it held.
	Bucket Bucket
}

// Bucket is what the earlier owner of a bucket part held when it stopped, in nanotokens.
type Bucket struct {
	Known bool
	// Rate is in nanotokens per second.
	Rate, Burst         int64
	Tokens, Outstanding int64
}

// Heads is the part of the heads row that assigns resources.
type Heads struct {
	Version uint64
	// Scopes maps each region and FleetScope to its assignment; a region without members falls back to the fleet.
	Scopes map[string]Assignment
}

// Loss is a resource that the instance stops using.
type Loss struct {
	Resource
	// Inherited is work of earlier owners to report beside the own work.
	Inherited Residue
}

// Change says what an adopted version changed for the instance.
type Change struct {
	Lost   []Loss
	Gained []Resource
}

type holding struct {
	owner Member
	mine  bool
	// successor stands in for a lost owner while the store is down; succeeding is true if it is this instance.
	successor  Member
	succeeding bool
	// taken is set once the resource was ready while the instance acted.
	taken   bool
	ready   time.Time
	from    Member
	version uint64
	residue Residue
}

type scope struct {
	ranking
	epoch uint64
	// fleet is the epoch of the fleet, which counts while the scope falls back to it.
	fleet    uint64
	fallback bool
	// learned is when the members were adopted.
	learned time.Time
}

// steps counts the changes of members between two states of a scope.
func (s scope) steps(n scope) uint64 {
	r := n.epoch - s.epoch
	if s.fallback || n.fallback {
		r += n.fleet - s.fleet
	}
	return r
}

// Assigner holds the assignments as one instance applies them.
type Assigner struct {
	c        Config
	heads    Heads
	scopes   map[string]scope
	holdings *indexer.Table[Resource, holding]
	// deadlines bounds the requests on single resources.
	deadlines map[Resource]time.Duration
	released  uint64
	// stopped is the version up to which lost work has stopped; it is reported from holdBack on.
	stopped  uint64
	holdBack time.Time

	situation Situation
	lapses    [kinds]lapse
	// barred is until when nothing is taken after a lapse.
	barred [kinds]time.Time
	// storeLost is true once the reads of the store have failed for long enough to succeed lost owners, and succeeds
	// once this instance does.
	storeLost, succeeds bool
}

// New returns an assigner that owns nothing.
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
		c:        c,
		scopes:   map[string]scope{},
		holdings: indexer.New[Resource, holding](),
	}
}

// SetDeadlines replaces the bounds on how long a request of an earlier owner may run on a resource, for ownership
// gained from now on; other resources keep Config.LargestDeadline.
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

// SetResources replaces the resources; those that stay keep their state.
func (a *Assigner) SetResources(now time.Time, rs []Resource) {
	keep := make(map[Resource]bool, len(rs))
	for _, r := range rs {
		keep[r] = true
		if a.holdings.Get(r) == nil {
			a.add(now, r)
		}
	}
	for r := range a.holdings.All() {
		if !keep[r] {
			a.holdings.Delete(r)
		}
	}
	a.findSuccessors()
}

// add starts a resource like one whose earlier owner is unknown: instances that
// apply an older epoch may know it already.
func (a *Assigner) add(now time.Time, r Resource) {
	s := a.scope(now, r.Scope)
	h := holding{version: a.heads.Version}
	a.gain(r, &h, s.learned)
	h.owner, _ = s.owner(r.Name, r.Part)
	h.mine = h.owner.is(a.c.Self)
	a.holdings.Put(r, h)
}

func (a *Assigner) scope(now time.Time, name string) scope {
	s, ok := a.scopes[name]
	if !ok {
		s = effective(now, a.heads, name)
		a.scopes[name] = s
	}
	return s
}

func effective(now time.Time, h Heads, name string) scope {
	own := h.Scopes[name]
	s := scope{epoch: own.Epoch, learned: now}
	if name == FleetScope || len(own.Members) > 0 {
		s.ranking = rank(own.Members)
	} else {
		s.fallback = true
		s.ranking = rank(h.Scopes[FleetScope].Members)
	}
	if name != FleetScope {
		s.fleet = h.Scopes[FleetScope].Epoch
	}
	return s
}

// Adopt applies a newer version of the heads row at now, when the instance
// learned of it; it reports false for a version that is not newer. The caller
// stops the lost work and then calls Release.
func (a *Assigner) Adopt(now time.Time, h Heads) (Change, bool) {
	if h.Version <= a.heads.Version {
		return Change{}, false
	}
	ts := a.replaceScopes(now, h)
	a.heads = h
	var c Change
	for r, o := range a.holdings.All() {
		a.move(now, r, o, ts[r.Scope], &c)
	}
	a.findSuccessors()
	return c, true
}

// transition is a change of a scope.
type transition struct {
	// steps counts the changes of members.
	steps uint64
	// before is the proof that ownership needed.
	before kind
}

// replaceScopes applies the assignments and returns the changes of the scopes.
func (a *Assigner) replaceScopes(now time.Time, h Heads) map[string]transition {
	for name := range h.Scopes {
		if _, ok := a.scopes[name]; !ok {
			a.scopes[name] = scope{}
		}
	}
	ts := make(map[string]transition, len(a.scopes))
	for name, s := range a.scopes {
		n := effective(now, h, name)
		t := transition{steps: s.steps(n), before: kindOf(name, s)}
		if t.steps == 0 {
			n.learned = s.learned
		}
		a.postpone(now, s, t.steps)
		a.scopes[name], ts[name] = n, t
	}
	return ts
}

// postpone keeps back the release while the owner of an epoch before the last
// one may still act: the next owner takes this release for the release of all.
func (a *Assigner) postpone(now time.Time, s scope, steps uint64) {
	switch {
	case steps == 1:
		a.holdBack = latest(a.holdBack, s.learned.Add(a.c.Freshness))
	case steps > 1:
		a.holdBack = latest(a.holdBack, now.Add(a.c.Freshness))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (a *Assigner) move(now time.Time, r Resource, h *holding, t transition, c *Change) {
	if t.steps == 0 {
		return
	}
	s := a.scopes[r.Scope]
	old, was := h.owner, h.mine
	h.owner, _ = s.owner(r.Name, r.Part)
	h.mine = h.owner.is(a.c.Self)
	h.taken = h.taken && was && h.mine
	h.succeeding = false
	if t.steps == 1 && was && h.mine {
		return
	}
	if was {
		a.withhold(now, r, t.before)
		c.Lost = append(c.Lost, Loss{Resource: r, Inherited: h.residue})
	}
	if !h.mine {
		return
	}
	c.Gained = append(c.Gained, r)
	h.version = a.heads.Version
	a.gain(r, h, now)
	if t.steps == 1 && a.mayBeReleased(now, r, t.before, old) {
		h.from = old
	}
}

// gain starts the wait for the proofs and requests of earlier owners to lapse.
func (a *Assigner) gain(r Resource, h *holding, learned time.Time) {
	h.taken = false
	h.ready = latest(learned.Add(a.c.Freshness), a.barred[a.kindOf(r)])
	h.from = Member{}
	h.residue = Residue{Unknown: true, Until: h.ready.Add(a.deadline(r))}
}

// Release records that work lost up to version has stopped.
func (a *Assigner) Release(version uint64) {
	a.stopped = max(a.stopped, min(version, a.heads.Version))
}

// Released returns the version up to which heartbeats report lost work as stopped.
func (a *Assigner) Released(now time.Time) uint64 {
	if !now.Before(a.holdBack) {
		a.released = a.stopped
	}
	return a.released
}

// ObserveRelease records that an incarnation reported work as stopped up to
// version; residues holds its work that still runs, by resource.
func (a *Assigner) ObserveRelease(now time.Time, from Member, version uint64, residues map[Resource]Residue) {
	for r, h := range a.holdings.All() {
		if !h.mine || h.from.Name == "" || !h.from.is(from) || version < h.version {
			continue
		}
		h.ready = earliest(h.ready, latest(now, a.barred[a.kindOf(r)]))
		h.residue = h.residue.reduced(residues[r])
	}
}

// reduced returns what is left of a residue after its owner's next report: work ends, and none starts any more.
// Reports may arrive late, so what an earlier one excluded stays excluded.
func (r Residue) reduced(n Residue) Residue {
	if r.Unknown {
		return n
	}
	r.Slots = min(r.Slots, n.Slots)
	if n.Until.Before(r.Until) {
		r.Until = n.Until
	}
	return r
}

// Tick takes the resources that are ready. Taking needs acts, tracker.Acts,
// because only then every earlier owner asks this instance before it renews its
// proof; keeping them needs active, the own state in the tracker. A newcomer owns
// nothing, and starts like a new owner afterwards: a successor may have acted.
func (a *Assigner) Tick(now time.Time, active, acts bool) {
	for r, h := range a.holdings.All() {
		if h.mine && !active {
			a.gain(r, h, now)
		}
		h.taken = (h.mine && active || h.succeeding) && (h.taken || acts && !now.Before(h.ready))
	}
}

// MayAct reports whether the instance has taken the resource.
func (a *Assigner) MayAct(r Resource) bool {
	h := a.holdings.Get(r)
	return h != nil && h.taken
}

// Owner returns the owner of the resource in the adopted assignment, or its successor as seen from here.
func (a *Assigner) Owner(r Resource) (Member, bool) {
	h := a.holdings.Get(r)
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
	h := a.holdings.Get(r)
	if h == nil || !now.Before(h.residue.Until) {
		return Residue{}
	}
	return h.residue
}

// NeedsFleet reports whether ownership in the scope needs the fleet proof: the
// region proof does not cover changes by instances of other regions.
func (a *Assigner) NeedsFleet(name string) bool {
	return name == FleetScope || len(a.heads.Scopes[name].Members) == 0
}
