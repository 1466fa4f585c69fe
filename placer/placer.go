package placer

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryhead.dev/celeryhead/abstainer"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/informer"
	"celeryhead.dev/celeryhead/responder"
)

const (
	// rankPenalty is the fraction of an object's uncached processing time added to the cost for each further place in
	// the object's order of targets, so that instances without data choose the same targets.
	rankPenalty = 0.04
	// uncachedCostFactor scales the cost of a run on a target that has not cached the object, because it occupies the
	// slot longer than it would elsewhere.
	uncachedCostFactor = 1.3
	// minFreeShare is the fraction of targets with a free slot from which on a service does not count as overloaded.
	minFreeShare = 0.1
	// maxLateness is the fraction of the objective by which an answer may be late while the service is not
	// overloaded.
	maxLateness = 1.0
	// lentPenalty and remotePenalty are the fractions of the objective added to the cost of targets that other regions
	// prefer, in the own region and in another one: they are meant for others' objects, and links between regions are narrow.
	lentPenalty   = 0.05
	remotePenalty = 0.25
	// domainPenalty is the cost of a target outside the own failure domain, as a fraction of the processing time of a cached
	// object. Bytes between failure domains are billed, but an uncached object costs several times that time.
	domainPenalty = 0.2
	// clearRoom is the fraction of its slots up to which a target has room whatever others have sent to it meanwhile.
	clearRoom = 0.75
	// evenTurns is the number of turns after which the fractions of their multiples of the golden ratio repeat.
	evenTurns = 1 << 20
	// introductionDelay is how long a target that joined later waits for its first request before the instance that
	// sends to it while it is cold gives it one.
	introductionDelay = 500 * time.Millisecond
	// coldSlowness is the factor by which processing takes longer on a cold target.
	coldSlowness = 2
	// minRetryAfter and maxRetryAfter bound the retry delay sent to a rejected caller.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// noTargetRetryAfter is the retry delay when no target may get a request; pauses after faults start at 300 ms.
	noTargetRetryAfter = 250 * time.Millisecond
	// suspicionRuns is the number of expected runs, and suspicionSlack the network allowance, after which the target
	// of an unanswered request is suspected to be down.
	suspicionRuns  = 3
	suspicionSlack = 250 * time.Millisecond
	// suspectPause is how long a suspected target gets no requests.
	suspectPause = time.Second
	// minSamples is the number of samples from which on the mean processing time is used to reject requests.
	minSamples = 10
	// misaddressedPause is how long a target gets no requests after another target was found at its address; its row
	// should be removed within that time. If it is not, one request finds out again, and goes elsewhere as not run.
	misaddressedPause = 10 * time.Second
	// maxOrders bounds the number of cached target orders.
	maxOrders = 4096
)

// Config configures a Placer.
type Config struct {
	// Name is the name of the instance, which decides where it begins with requests without an object.
	Name string
	// Region is the region of the instance, FailureDomain its failure domain; an empty one is not preferred.
	Region, FailureDomain string
	// Trip returns the round-trip time to a region.
	Trip func(region string) time.Duration
	// Cold decides whether this instance may send to a cold target at all, and limits the rate.
	Cold Gate
	// Abstainer holds the targets that asked for no requests; nil stands for none.
	Abstainer *abstainer.Abstainer
	// Throttle limits the rate to targets that state one; nil limits none.
	Throttle Throttle
}

// Gate limits the requests that all instances together send to cold targets.
type Gate interface {
	Sends(target string) bool
	Take(now time.Time, target string, rate float64) bool
}

// Throttle limits the requests that all instances together send to targets that state a rate.
type Throttle interface {
	// Take reports whether a request may be sent now, and counts it if so.
	Take(now time.Time, target string, started int64) bool
	// Interval returns the mean time between two requests that a target takes, or 0 if it states no rate.
	Interval(target string, started int64) time.Duration
}

// unthrottled limits no target.
type unthrottled struct{}

func (unthrottled) Take(time.Time, string, int64) bool   { return true }
func (unthrottled) Interval(string, int64) time.Duration { return 0 }

// Work is a request to place.
type Work struct {
	Route   *cataloger.Route
	Service string
	// Object identifies what the request is about; it is empty if unknown.
	Object string
	// Regions lists the regions where the request may run; empty allows all.
	Regions []string
	// Objective is the time after which an answer loses part of its value, Deadline the time after which it has none.
	Objective, Deadline time.Time
	// Tried lists the targets that the request was already sent to.
	Tried []string

	key string
	// object identifies the key in the lists of cached objects.
	object uint32
	// staysInDomain is true if a request without an object prefers the own failure domain.
	staysInDomain bool
	// hasHeadroom is true if the service is not overloaded.
	hasHeadroom bool
}

// Lease is a request that is assigned to a target.
type Lease struct {
	Target *cataloger.Target
	// Wait and Run are the estimated queueing and processing times by which the target was selected.
	Wait, Run time.Duration
	// Known is true if the object was assumed to be in the target's cache.
	Known bool

	work  Work
	start time.Time
	// sent is when the first byte was sent to the target.
	sent  time.Time
	ended bool
	// slowdown is what the target stated when the request was sent; 0 means that nothing is known.
	slowdown float64
	// unqueued is true if the target was estimated to have a free slot at the start.
	unqueued bool
}

// Placer keeps load and performance estimates of targets; it is safe for concurrent use.
type Placer struct {
	config Config

	mu          sync.Mutex
	targets     map[string]*target
	peers       peers
	times       map[processingKey]*processingTimes
	replication map[string]*replicationBudget
	orders      map[orderKey]order
	demands     map[string]*demand
	// instances is the number of instances by region, preferred the targets for those of this region by service.
	instances map[string]int
	preferred map[string]preference
	// domains is the number of instances in each failure domain of the region, domainShares the result for each service.
	domains      map[string]int
	domainShares map[string]domainShare
	// turn advances with each request without an object.
	turn uint64
	// firstRequestAt is when the first request arrived.
	firstRequestAt time.Time
}

type orderKey struct{ service, object string }

type order struct {
	pool *cataloger.Pool
	// targets begins with the preferred ones.
	targets   []*cataloger.Target
	preferred int
}

// New returns a placer without measurements.
func New(c Config) *Placer {
	if c.Abstainer == nil {
		c.Abstainer = abstainer.New(abstainer.Config{})
	}
	if c.Throttle == nil {
		c.Throttle = unthrottled{}
	}
	return &Placer{config: c, targets: map[string]*target{}, times: map[processingKey]*processingTimes{}, replication: map[string]*replicationBudget{}, orders: map[orderKey]order{}, demands: map[string]*demand{}, peers: newPeers(), preferred: map[string]preference{}, domainShares: map[string]domainShare{}, turn: xxhash.Sum64String(c.Name)}
}

// candidate is a target with its estimates for a request.
type candidate struct {
	target *cataloger.Target
	state  *target
	wait   time.Duration
	run    time.Duration
	// cost orders the candidates; it is the time until the answer plus penalties for uncached objects, faults and
	// other regions.
	cost   time.Duration
	cached bool
}

// Choose assigns a request to a target, or returns a refusal. The caller must end the lease.
func (p *Placer) Choose(now time.Time, pool *cataloger.Pool, w Work) (*Lease, *responder.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.expire(now)
	if p.firstRequestAt.IsZero() {
		p.firstRequestAt = now
	}
	w.key = objectKey(w)
	w.object = uint32(xxhash.Sum64String(w.key)) //nolint:gosec // A part of the hash is enough.
	o := p.order(now, pool, w)
	if w.Object == "" {
		w.staysInDomain = p.staysInDomain(pool)
		o = o.rotate(p.turn)
		p.turn++
	}
	l, f := p.chooseAmong(now, pool, w, p.candidates(now, o, w, p.quotaFor(now, w, o)))
	if f == nil {
		return l, nil
	}
	if x := p.replicate(now, pool, w); x != nil {
		return x, nil
	}
	return nil, f
}

// replicate assigns a request that the few targets of its object cannot have to another one with a free slot, as far as the
// service's replication budget goes; it returns nil if there is none. In a peak all targets are busy, and further copies of
// the object would only evict others.
func (p *Placer) replicate(now time.Time, pool *cataloger.Pool, w Work) *Lease {
	cs := p.candidates(now, p.order(now, pool, w), w, unlimited)
	w.hasHeadroom = serviceHasHeadroom(cs)
	if !w.hasHeadroom {
		return nil
	}
	cs = slices.DeleteFunc(cs, func(c candidate) bool { return c.wait > 0 })
	for len(cs) > 0 {
		i := cheapest(cs)
		c := cs[i]
		if !p.replicationFor(w.Service).covers(c.run) || p.reject(now, w, c) != nil {
			return nil
		}
		if p.admits(now, pool, c.target) {
			p.replicationFor(w.Service).spend(c.run)
			return p.start(now, w, c)
		}
		cs = slices.Delete(cs, i, i+1)
	}
	return nil
}

func cheapest(cs []candidate) int {
	best := 0
	for i, c := range cs {
		if c.cost < cs[best].cost {
			best = i
		}
	}
	return best
}

// chooseAmong assigns a request to one of the candidates, or returns a refusal.
func (p *Placer) chooseAmong(now time.Time, pool *cataloger.Pool, w Work, cs []candidate) (*Lease, *responder.Refusal) {
	w.hasHeadroom = serviceHasHeadroom(cs)
	for len(cs) > 0 {
		i, replicates := p.best(now, w, cs)
		c := cs[i]
		if f := p.reject(now, w, c); f != nil {
			return nil, f
		}
		if p.admits(now, pool, c.target) {
			if replicates {
				p.replicationFor(w.Service).spend(c.run)
			}
			return p.start(now, w, c), nil
		}
		cs = slices.Delete(cs, i, i+1)
	}
	return nil, noTarget(p.returnAfter(now, pool, w))
}

// Throttled returns the targets that may have a request and state a rate, the one that would answer first at the beginning.
func (p *Placer) Throttled(now time.Time, pool *cataloger.Pool, w Work) []*cataloger.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.key = objectKey(w)
	w.object = uint32(xxhash.Sum64String(w.key)) //nolint:gosec // A part of the hash is enough.
	cs := slices.DeleteFunc(p.candidates(now, p.order(now, pool, w), w, unlimited), func(c candidate) bool {
		return p.config.Throttle.Interval(c.target.Name, c.target.Started) == 0 || p.reject(now, w, c) != nil
	})
	slices.SortStableFunc(cs, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	ts := make([]*cataloger.Target, len(cs))
	for i, c := range cs {
		ts[i] = c.target
	}
	return ts
}

// admits reports whether the rate to a target that is cold or states one allows a further request, and counts it if so.
func (p *Placer) admits(now time.Time, pool *cataloger.Pool, t *cataloger.Target) bool {
	if now.Before(t.ColdUntil) && !p.config.Cold.Take(now, t.Name, pool.ColdRate) {
		return false
	}
	return p.config.Throttle.Take(now, t.Name, t.Started)
}

// serviceHasHeadroom reports whether enough targets have a free slot for the service not to be overloaded.
func serviceHasHeadroom(cs []candidate) bool {
	n := 0
	for _, c := range cs {
		if c.wait == 0 {
			n++
		}
	}
	return float64(n) >= minFreeShare*float64(len(cs))
}

// best returns the index of the candidate to use. Targets that have cached the object take precedence. If one that
// has not is cheaper, or the cheapest one that has would be late, a target with a free slot is chosen as long as the
// service's replication budget covers the run; replicates then reports that it has to be spent.
func (p *Placer) best(now time.Time, w Work, cs []candidate) (best int, replicates bool) {
	cached, free := -1, -1
	for i, c := range cs {
		if c.cost < cs[best].cost {
			best = i
		}
		if c.cached && (cached < 0 || c.cost < cs[cached].cost) {
			cached = i
		}
		if !c.cached && c.wait == 0 && (free < 0 || c.cost < cs[free].cost) {
			free = i
		}
	}
	switch {
	case cached < 0:
		return best, false
	case cs[best].cached && !p.late(now, w, cs[cached]):
		return best, false
	case free >= 0 && p.replicationFor(w.Service).covers(cs[free].run):
		return free, true
	}
	return cached, false
}

// late reports whether queueing would make a candidate's answer miss the objective. While the service is not
// overloaded, an answer may be late by maxLateness.
func (p *Placer) late(now time.Time, w Work, c candidate) bool {
	patience := 0.0
	if w.hasHeadroom {
		patience = maxLateness
	}
	return c.wait > 0 && p.answerTime(now, c).After(w.Objective.Add(time.Duration(patience*float64(w.Route.Objective))))
}

// answerTime returns when a candidate's answer would reach the caller.
func (p *Placer) answerTime(now time.Time, c candidate) time.Time {
	return now.Add(c.wait + c.run + p.config.Trip(c.target.Region))
}

// allows reports whether the request may run in a region; a request with a limit runs in no unknown one.
func (w Work) allows(region string) bool {
	return len(w.Regions) == 0 || region != "" && slices.Contains(w.Regions, region)
}

// candidates estimates the targets that may run the request, as many as the quota allows, and those that joined and had no
// request yet.
func (p *Placer) candidates(now time.Time, o order, w Work, left candidateQuota) []candidate {
	var cs []candidate
	rank := 0
	for i, t := range o.targets {
		preferred := i < o.preferred
		if !preferred && left.other <= 0 {
			break
		}
		if !w.mayRunOn(t) || !left.allows(preferred) {
			continue
		}
		if c, ok := p.estimate(now, w, t, preferred, rank); ok {
			cs = append(cs, c)
			left.use(preferred)
		}
		rank++
	}
	for _, t := range p.joinedTargets(now, w.Service) {
		if !w.mayRunOn(t) || slices.ContainsFunc(cs, func(c candidate) bool { return c.target == t }) {
			continue
		}
		if c, ok := p.estimate(now, w, t, false, rank); ok {
			cs = append(cs, c)
			rank++
		}
	}
	return cs
}

// mayRunOn reports whether the request may go to a target at all.
func (w Work) mayRunOn(t *cataloger.Target) bool {
	return w.allows(t.Region) && !slices.Contains(w.Tried, t.Name)
}

// estimate returns a target as a candidate; rank is its place in the object's order. The result is false if the target may
// have no request at present.
func (p *Placer) estimate(now time.Time, w Work, t *cataloger.Target, preferred bool, rank int) (candidate, bool) {
	s := p.state(now, t)
	cold := now.Before(t.ColdUntil)
	if cold && !p.config.Cold.Sends(t.Name) || !s.available(now) || !p.wanted(now, t, s) {
		return candidate{}, false
	}
	e := p.timesFor(w)
	c := candidate{target: t, state: s, cached: w.Object == "" || s.usage.cache.contains(w.object)}
	c.run = time.Duration(float64(e.expected(c.cached, rank)) * s.slowness(now))
	if cold {
		c.run *= coldSlowness
	}
	c.wait = s.wait(now, t.Slots, p.meanTime(w.Service))
	if s.unused(now) && c.wait == 0 && w.Route.Idempotent && p.config.Cold.Sends(t.Name) {
		return c, true
	}
	c.cost = c.wait + c.run + p.config.Trip(t.Region) + s.faultPenalty(e)
	if w.Object == "" {
		// Targets that are faster than usual count as equal, or such requests of all instances would go to the few fastest ones.
		c.cost += max(0, e.estimate(true)-c.run)
	}
	if !p.prefersDomainOf(now, w, t, s) {
		c.cost += time.Duration(domainPenalty * float64(e.estimate(true)))
	}
	switch {
	case preferred:
	case t.Region == p.config.Region:
		c.cost += time.Duration(lentPenalty * float64(w.Route.Objective))
	default:
		c.cost += time.Duration(remotePenalty * float64(w.Route.Objective))
	}
	if !c.cached {
		c.cost += time.Duration(float64(c.run)*(uncachedCostFactor-1)) + time.Duration(float64(rank)*rankPenalty*float64(e.uncached.average()))
	}
	return c, true
}

// staysInDomain reports whether a request without an object prefers the own failure domain. Where the domain has fewer slots than
// its share of the region's instances, only as many requests do as its slots are meant for; the others prefer the region's other
// domains. All instances of the domain do this alike, and it does not depend on the load, so that nothing flaps.
func (p *Placer) staysInDomain(pool *cataloger.Pool) bool {
	if p.config.FailureDomain == "" {
		return false
	}
	d := p.domainShares[pool.Name]
	if d.pool != pool {
		d = domainShare{pool: pool, share: p.domainShare(pool)}
		p.domainShares[pool.Name] = d
	}
	_, turn := math.Modf(float64(p.turn%evenTurns) * math.Phi)
	return turn < d.share
}

// domainShare is computed once for each version of a pool.
type domainShare struct {
	pool  *cataloger.Pool
	share float64
}

// domainShare returns the fraction of the requests of the own failure domain that its slots are meant for, as the domain's part of
// the region's slots relative to its part of the region's instances; above 1 it has slots for others.
func (p *Placer) domainShare(pool *cataloger.Pool) float64 {
	own, region, instances := 0, 0, 0
	for _, t := range pool.Targets {
		if t.Region != p.config.Region {
			continue
		}
		region += max(t.Slots, 1)
		if t.FailureDomain == p.config.FailureDomain {
			own += max(t.Slots, 1)
		}
	}
	for _, n := range p.domains {
		instances += n
	}
	if instances == 0 {
		return 1
	}
	return float64(own) / float64(max(region, 1)) * float64(instances) / float64(max(p.domains[p.config.FailureDomain], 1))
}

// prefersDomainOf reports whether a target is preferred for its failure domain. For a request without an object all instances of
// the domain choose among the same targets, so that one without clear room is not preferred.
func (p *Placer) prefersDomainOf(now time.Time, w Work, t *cataloger.Target, s *target) bool {
	own := t.FailureDomain == p.config.FailureDomain
	switch {
	case p.config.FailureDomain == "":
		return true
	case w.Object != "":
		return own
	case own != w.staysInDomain, t.Region != p.config.Region:
		return false
	}
	return s.load(now)+1 <= max(clearRoom*float64(s.slots(t.Slots)), 1)
}

// wanted reports whether a target wants a further request. After a rest its slots come into use again by degrees, one by one.
func (p *Placer) wanted(now time.Time, t *cataloger.Target, s *target) bool {
	share := p.config.Abstainer.Share(now, incarnation(t))
	return share >= 1 || share > 0 && s.load(now)+1 <= max(share*float64(t.Slots), 1)
}

func incarnation(t *cataloger.Target) abstainer.Incarnation {
	return abstainer.Incarnation{Name: t.Name, Started: t.Started}
}

// returnAfter returns the time until a target may have the request, as far as targets stated it: the earliest end of a rest if
// all targets rest or leave, and otherwise noTargetRetryAfter, or the interval of the fastest target if all state a rate. Targets
// that were tried count, as the caller's next attempt may go there.
func (p *Placer) returnAfter(now time.Time, pool *cataloger.Pool, w Work) time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for _, t := range pool.Targets {
		if !w.allows(t.Region) {
			continue
		}
		switch leaving, rest := p.config.Abstainer.State(now, incarnation(t)); {
		case leaving:
		case rest > 0:
			earliest = min(earliest, rest)
		default:
			earliest = min(earliest, max(noTargetRetryAfter, p.config.Throttle.Interval(t.Name, t.Started)))
		}
	}
	if earliest == math.MaxInt64 {
		return noTargetRetryAfter
	}
	return min(max(earliest, minRetryAfter), maxRetryAfter)
}

// reject returns a refusal if the best candidate cannot answer in time.
func (p *Placer) reject(now time.Time, w Work, c candidate) *responder.Refusal {
	end := p.answerTime(now, c)
	switch {
	case c.wait > 0 && end.After(w.Deadline):
		return tooLate(end.Sub(w.Deadline))
	case p.late(now, w, c):
		return tooLate(end.Sub(w.Objective))
	}
	// Without a queue, reject only on measured processing times, not on initial estimates.
	if e := p.timesFor(w); e.cached.samples >= minSamples && now.Add(e.cached.average()+p.config.Trip(c.target.Region)).After(w.Deadline) {
		return tooLate(minRetryAfter)
	}
	return nil
}

func tooLate(excess time.Duration) *responder.Refusal {
	return &responder.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     responder.NoSlot,
		Ran:        responder.NotRun,
		Message:    "all targets have queues that end too late for this request",
		RetryAfter: min(max(excess, minRetryAfter), maxRetryAfter),
	}
}

func noTarget(after time.Duration) *responder.Refusal {
	return &responder.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     responder.NoOwner,
		Ran:        responder.NotRun,
		Message:    "no target may have this request at present",
		RetryAfter: after,
	}
}

func (p *Placer) start(now time.Time, w Work, c candidate) *Lease {
	c.state.inFlight++
	c.state.lastUsed = now
	// Later requests for the object on this target run after this one and find the object cached.
	c.state.usage.cache.add(w.object)
	p.peers.record(now, c.target.Name, w.object)
	return &Lease{
		Target:   c.target,
		Wait:     c.wait,
		Run:      c.run,
		Known:    c.cached,
		work:     w,
		start:    now,
		sent:     now,
		unqueued: c.wait == 0,
	}
}

// order returns the targets of a pool in the object's rendezvous-hash order, the preferred ones first. It is the same at
// all instances of a region.
func (p *Placer) order(now time.Time, pool *cataloger.Pool, w Work) order {
	k := orderKey{service: w.Service, object: w.key}
	if o, ok := p.orders[k]; ok && o.pool == pool {
		return o
	}
	if len(p.orders) >= maxOrders {
		clear(p.orders)
	}
	type scored struct {
		target    *cataloger.Target
		score     uint64
		preferred bool
	}
	own := p.preferredTargets(now, pool)
	s := make([]scored, len(pool.Targets))
	for i, t := range pool.Targets {
		s[i] = scored{target: t, score: xxhash.Sum64String(k.object + "\x00" + t.Name), preferred: own[t]}
	}
	slices.SortFunc(s, func(a, b scored) int {
		if a.preferred != b.preferred {
			if a.preferred {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	o := order{pool: pool, targets: make([]*cataloger.Target, len(s)), preferred: len(own)}
	for i := range s {
		o.targets[i] = s[i].target
	}
	p.orders[k] = o
	return o
}

// rotate returns the order with other targets at the beginning of the preferred and of the other ones. Requests without an object
// have the same order at all instances, which would otherwise send all of them to its first targets until they know that these
// are full.
func (o order) rotate(n uint64) order {
	turned := make([]*cataloger.Target, 0, len(o.targets))
	for _, ts := range [][]*cataloger.Target{o.targets[:o.preferred], o.targets[o.preferred:]} {
		if len(ts) > 0 {
			i := int(n % uint64(len(ts))) //nolint:gosec // It is less than the number of targets.
			turned = append(append(turned, ts[i:]...), ts[:i]...)
		}
	}
	o.targets = turned
	return o
}

// objectKey returns the key of an object; objects are distinct per route.
func objectKey(w Work) string {
	return w.Route.Prefix + "\x00" + w.Object
}

// Told records the load that a target reported with its answer.
func (p *Placer) Told(now time.Time, l *Lease, o Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, l.Target)
	s.lastAnswered = now
	s.recordLoad(now, o)
}

// Sent records that the first byte of a request is sent to its target, so that connection setup does not count as
// processing time.
func (p *Placer) Sent(now time.Time, l *Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.sent = now
	if d, w := p.state(now, l.Target).statedNow(now); w > 0 {
		l.slowdown = d
	}
}

// Describe adds the current estimates of a target to its status.
func (p *Placer) Describe(now time.Time, t *cataloger.Target, d *informer.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.targets[t.Name]
	if s == nil || s.started != t.Started {
		d.Slowness = 1
		return
	}
	d.InFlight, d.Load = s.inFlight, s.load(now)
	d.PausedSeconds = max(0, s.pausedUntil.Sub(now).Seconds())
	d.Faults, d.Slowness, d.Objects = s.faultRate, s.slowness(now), len(s.usage.cache.elements)
}

// End ends a lease and records the outcome; a second call has no effect.
func (p *Placer) End(now time.Time, l *Lease, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	s := p.state(now, l.Target)
	s.inFlight--
	if o == Answered || o == Failed || o == Shed || o == Declined {
		s.lastAnswered = now
	}
	s.recordOutcome(now, o)
	if o == Unreached || o == Shed || o == Declined && !l.Known {
		s.usage.cache.remove(l.work.object)
	}
	if o != Answered {
		return
	}
	d := now.Sub(l.sent) - p.config.Trip(l.Target.Region)
	slowdown := l.slowdownUntil(now, s)
	if l.unqueued {
		p.observe(now, l, s, time.Duration(float64(d)/slowdown))
	}
	p.serviceMean(l.work.Service).add(time.Duration(float64(min(d, l.Wait+4*l.Run)-l.Wait) / slowdown))
	if l.Known {
		p.replicationFor(l.work.Service).earn(l.Run)
	}
}

// slowdownUntil returns how many times longer than usual a request took until its answer, as far as its target stated it: the
// mean of the slowdowns at both ends, or that of the answer alone.
func (l *Lease) slowdownUntil(now time.Time, s *target) float64 {
	end, w := s.statedNow(now)
	switch {
	case w == 0:
		return 1
	case l.slowdown == 0:
		return end
	}
	return (l.slowdown + end) / 2
}

// observe records the processing time at usual speed of a request that did not queue.
func (p *Placer) observe(now time.Time, l *Lease, s *target, d time.Duration) {
	e := p.timesFor(l.work)
	cached := l.Known
	if !cached && d < e.midpoint() {
		// A request of another instance had put the object into the cache.
		cached = true
	}
	expected := e.estimate(cached)
	if now.Before(l.Target.ColdUntil) || l.start.Before(l.Target.ColdUntil) {
		return
	}
	s.slowdown.add(float64(d) / float64(max(expected, time.Millisecond)))
	e.record(cached, d)
}

// Patience returns how long a request may take before its target is suspected to be down.
func (l *Lease) Patience() time.Duration {
	return l.Wait + suspicionRuns*l.Run + suspicionSlack
}

// Suspect pauses the target of an unanswered request and reports whether it did. It does nothing if the target
// answered another request since this one began.
func (p *Placer) Suspect(now time.Time, l *Lease) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, l.Target)
	if l.ended || s.lastAnswered.After(l.start) {
		return false
	}
	s.recordOutcome(now, Silent)
	s.pausedUntil = now.Add(suspectPause)
	s.halfOpen = true
	return true
}

// Lose pauses a target after another target was found at its address. The pause ends early if its row names another address or
// another process.
func (p *Placer) Lose(now time.Time, t *cataloger.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, t)
	s.lost, s.pausedUntil = t.Address, now.Add(misaddressedPause)
}

// Keep discards the state of targets that are no longer in the catalog.
func (p *Placer) Keep(has func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, s := range p.targets {
		if s.inFlight == 0 && !has(n) {
			delete(p.targets, n)
		}
	}
	p.peers.keep(func(n string) bool { return p.targets[n] != nil || has(n) })
}
