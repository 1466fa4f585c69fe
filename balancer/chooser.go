package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"celeryhead.dev/celeryhead/indexer"
	"celeryhead.dev/celeryhead/responder"
)

const (
	// reportAge is how long a report of an owner counts; heartbeats carry one every 500 ms.
	reportAge = 1500 * time.Millisecond
	// unknownFree is the weight of an owner without a recent report.
	unknownFree = 0.5
	// minFree keeps owners whose report says that nothing is free in the choice, as reports lag.
	minFree = 0.1
	// linkShare is the part of a link that spilled requests may use.
	linkShare = 0.5
	// linkBurst is how much unused budget of a link is kept.
	linkBurst = time.Second
	// maxRetries is the number of retries of one request.
	maxRetries = 2
	// retryShare is the number of retries per first attempt.
	retryShare = 0.1
	// retryBurst is the number of retries that a quiet time saves up.
	retryBurst = 10
)

// Owner is an instance that owns targets of the pool.
type Owner struct {
	Name, Region string
	// Suspect owners are chosen only if there is no other.
	Suspect bool
}

// ChooserConfig configures a Chooser.
type ChooserConfig struct {
	Name, Region string
	Seed         uint64
}

// Chooser picks the owner to which an entry instance forwards the requests of one pool.
type Chooser struct {
	c       ChooserConfig
	r       *rand.Rand
	owners  *indexer.Table[string, owner]
	links   *indexer.Table[string, Bucket]
	retries *RetryPolicy[*responder.Refusal]
}

type owner struct {
	Owner
	slots    int
	free     float64
	reported time.Time
}

// NewChooser returns a Chooser without owners.
func NewChooser(c ChooserConfig) *Chooser {
	return &Chooser{
		c:      c,
		r:      rand.New(rand.NewPCG(c.Seed, 0)), //nolint:gosec // Choices need to be spread, not secret.
		owners: indexer.New[string, owner](),
		links:  indexer.New[string, Bucket](),
		retries: NewRetryPolicy(RetryConfig[*responder.Refusal]{
			Retryable: notRun, Max: maxRetries, Share: retryShare, Burst: retryBurst,
		}),
	}
}

// Adopt replaces the owners of the pool; reports of those that stay are kept.
func (c *Chooser) Adopt(os []Owner) {
	t := indexer.New[string, owner]()
	for _, o := range os {
		m := owner{Owner: o}
		if old := c.owners.Get(o.Name); old != nil {
			m = *old
			m.Owner = o
		}
		t.Put(o.Name, m)
	}
	c.owners = t
}

// Link sets the capacity of the link to a region in bytes per second and the instances of the own region that share it.
func (c *Chooser) Link(now time.Time, region string, capacity float64, instances int) {
	rate := capacity * linkShare / float64(max(instances, 1))
	b := Bucket{Rate: rate, Burst: rate * linkBurst.Seconds()}
	if old := c.links.Get(region); old != nil {
		old.fill(now)
		b.tokens, b.filled = min(old.tokens, b.Burst), now
	}
	c.links.Put(region, b)
}

// Report records the load that an owner sent along with a heartbeat.
func (c *Chooser) Report(now time.Time, name string, l Load) {
	if o := c.owners.Get(name); o != nil {
		o.slots, o.free, o.reported = l.Slots, float64(l.Free-l.Queued), now
	}
}

// Choose picks an owner for a request of the given size in bytes, both ways together, that was not run at tried.
// It returns false if no owner remains or the links to other regions have no budget left.
func (c *Chooser) Choose(now time.Time, size int, tried ...string) (Owner, bool) {
	if o := c.owners.Get(c.c.Name); o != nil && o.weight(now) >= 1 && !slices.Contains(tried, o.Name) {
		return o.Owner, true
	}
	// An owner of another region that serves is better than one of this region that does not.
	for _, serving := range []bool{true, false} {
		if o := c.pair(now, c.candidates(now, tried, serving, func(r string) bool { return r == c.c.Region })); o != nil {
			return c.take(o), true
		}
		if o := c.pair(now, c.candidates(now, tried, serving, func(r string) bool { return r != c.c.Region && c.affords(now, r, size) })); o != nil {
			c.links.Get(o.Region).Take(now, float64(size))
			return c.take(o), true
		}
	}
	return Owner{}, false
}

// take counts the request against the report of o, so that not all requests follow one report.
func (c *Chooser) take(o *owner) Owner {
	o.free--
	return o.Owner
}

func (c *Chooser) affords(now time.Time, region string, size int) bool {
	b := c.links.Get(region)
	return b != nil && b.Has(now, float64(size))
}

// candidates returns the owners in regions for which f is true, either those that serve or those that are
// suspect or report no slots, because they wait for an earlier owner.
func (c *Chooser) candidates(now time.Time, tried []string, serving bool, f func(region string) bool) []*owner {
	var r []*owner
	for _, o := range c.owners.All() {
		if !slices.Contains(tried, o.Name) && f(o.Region) && o.serves(now) == serving {
			r = append(r, o)
		}
	}
	return r
}

func (o *owner) serves(now time.Time) bool {
	return !o.Suspect && (o.slots > 0 || now.Sub(o.reported) > reportAge)
}

// Serving returns the owners that are not suspect and do not report a pool without slots.
func (c *Chooser) Serving(now time.Time) []string {
	var r []string
	for n, o := range c.owners.All() {
		if o.serves(now) {
			r = append(r, n)
		}
	}
	return r
}

// pair draws two candidates weighted by their free slots and returns the one with more room for its size.
func (c *Chooser) pair(now time.Time, os []*owner) *owner {
	if len(os) == 0 {
		return nil
	}
	i := c.draw(now, os)
	if len(os) == 1 {
		return os[i]
	}
	a := os[i]
	rest := slices.Delete(slices.Clone(os), i, i+1)
	b := rest[c.draw(now, rest)]
	if b.room(now) > a.room(now) {
		return b
	}
	return a
}

func (c *Chooser) draw(now time.Time, os []*owner) int {
	sum := 0.0
	for _, o := range os {
		sum += o.weight(now)
	}
	x := c.r.Float64() * sum
	for i, o := range os {
		x -= o.weight(now)
		if x < 0 {
			return i
		}
	}
	return len(os) - 1
}

// room is the share of slots that are probably free, negative if works wait for them.
func (o *owner) room(now time.Time) float64 {
	if !o.known(now) {
		return 0
	}
	return o.free / float64(max(o.slots, 1))
}

func (o *owner) known(now time.Time) bool {
	return !o.reported.IsZero() && now.Sub(o.reported) <= reportAge
}

// weight is the number of slots that are probably free.
func (o *owner) weight(now time.Time) float64 {
	if !o.known(now) {
		return unknownFree
	}
	return max(o.free, minFree)
}

// Attempt counts the first attempt of a request for the retry budget.
func (c *Chooser) Attempt() {
	c.retries.Attempt()
}

// Retry reports whether a request that the owners tried have refused may be sent to another one. A retry to a slot that
// an owner reports as free spends no budget, because it takes nothing from other requests. A retry of a request that
// reached no target spends none either: load is not the cause, and two such failures eject the target. While owners that
// were not tried are all suspect or without slots there is no retry: a try that cannot be answered would use up the
// deadline.
func (c *Chooser) Retry(now time.Time, r *responder.Refusal, deadline time.Time, tried ...string) bool {
	if !c.retries.Retryable(now, r, len(tried)-1, deadline) {
		return false
	}
	if c.noneServes(now, tried) {
		return false
	}
	return r.Reason == responder.TargetUnreachable || c.hasRoom(now, tried) || c.retries.Spend(now)
}

// noneServes reports whether owners that were not tried are left, but none that serves.
func (c *Chooser) noneServes(now time.Time, tried []string) bool {
	left := false
	for _, o := range c.owners.All() {
		if slices.Contains(tried, o.Name) {
			continue
		}
		if o.serves(now) {
			return false
		}
		left = true
	}
	return left
}

// Waits reports whether a request that was refused waits for an owner, because targets change their owners and load is not
// the cause. While no owner of the region serves, its requests depend on the slots that other regions grant, which wait in
// no queue and may be few: a reserve of a cold owner's slots can be all but one of them.
func (c *Chooser) Waits(now time.Time, r *responder.Refusal) bool {
	if !notRun(r) {
		return false
	}
	switch r.Reason {
	case responder.NoOwner:
		return true
	case responder.NoSlot, responder.TargetUnreachable:
		return c.unowned(now)
	default:
		return false
	}
}

// unowned reports whether no owner of the chooser's region serves.
func (c *Chooser) unowned(now time.Time) bool {
	for _, o := range c.owners.All() {
		if o.Region == c.c.Region && o.serves(now) {
			return false
		}
	}
	return true
}

// hasRoom reports whether an owner that was not tried reported free slots lately.
func (c *Chooser) hasRoom(now time.Time, tried []string) bool {
	for _, o := range c.owners.All() {
		if o.serves(now) && o.known(now) && o.free >= 1 && !slices.Contains(tried, o.Name) {
			return true
		}
	}
	return false
}

func notRun(r *responder.Refusal) bool {
	return r != nil && r.Ran == responder.NotRun
}
