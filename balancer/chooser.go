package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"celeryhead.dev/celeryhead/indexer"
	"celeryhead.dev/celeryhead/responder"
)

const (
	// maxReportAge is the age up to which a load report is used; heartbeats carry one every 500 ms.
	maxReportAge = 1500 * time.Millisecond
	// defaultWeight is the selection weight of an owner without a recent report, in slots.
	defaultWeight = 0.5
	// minWeight keeps owners that report no free slot selectable, because reports lag behind the load.
	minWeight = 0.1
	// linkBudgetRatio is the fraction of a link's capacity available to requests forwarded to other regions.
	linkBudgetRatio = 0.5
	// linkBurstTime bounds the unused link budget that accumulates, as a time at the budget's rate.
	linkBurstTime = time.Second
	// maxRetries limits the retries of one request.
	maxRetries = 2
	// retryRatio is the number of retries earned per first attempt.
	retryRatio = 0.1
	// retryBurst is the maximum number of retries in the budget.
	retryBurst = 10
)

// Owner is an instance that owns targets of the pool.
type Owner struct {
	Name, Region string
	// Suspect owners are selected only if no other owner remains.
	Suspect bool
}

// ChooserConfig configures a Chooser.
type ChooserConfig struct {
	Name, Region string
	Seed         uint64
}

// Chooser selects the owner to which an entry instance forwards a request of one pool.
type Chooser struct {
	config  ChooserConfig
	random  *rand.Rand
	owners  *indexer.Table[string, owner]
	links   *indexer.Table[string, Bucket]
	retries *RetryPolicy[*responder.Refusal]
}

type owner struct {
	Owner
	slots      int
	free       float64
	reportedAt time.Time
}

// NewChooser returns a Chooser without owners.
func NewChooser(c ChooserConfig) *Chooser {
	return &Chooser{
		config: c,
		random: rand.New(rand.NewPCG(c.Seed, 0)), //nolint:gosec // Choices need to be spread, not secret.
		owners: indexer.New[string, owner](),
		links:  indexer.New[string, Bucket](),
		retries: NewRetryPolicy(RetryConfig[*responder.Refusal]{
			Retryable: notRun, MaxRetries: maxRetries, Ratio: retryRatio, Burst: retryBurst,
		}),
	}
}

// Adopt replaces the set of owners of the pool and keeps the load reports of owners that remain.
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

// Link sets the capacity of the link to a region in bytes per second, and the number of instances of this region that
// share it.
func (c *Chooser) Link(now time.Time, region string, capacity float64, instances int) {
	rate := capacity * linkBudgetRatio / float64(max(instances, 1))
	b := Bucket{Rate: rate, Burst: rate * linkBurstTime.Seconds()}
	if old := c.links.Get(region); old != nil {
		old.refill(now)
		b.tokens, b.refilled = min(old.tokens, b.Burst), now
	}
	c.links.Put(region, b)
}

// Report records the load that an owner sent in a heartbeat. Reports of unknown owners are ignored.
func (c *Chooser) Report(now time.Time, name string, l Load) {
	if o := c.owners.Get(name); o != nil {
		o.slots, o.free, o.reportedAt = l.Slots, float64(l.Free-l.Queued), now
	}
}

// Choose selects an owner for a request of the given size in bytes (request and response together), other than the
// owners in tried, which did not run it. It returns false if no owner remains or the links to other regions have no
// budget left.
func (c *Chooser) Choose(now time.Time, size int, tried ...string) (Owner, bool) {
	if o := c.owners.Get(c.config.Name); o != nil && o.weight(now) >= 1 && !slices.Contains(tried, o.Name) {
		return o.Owner, true
	}
	// A serving owner in another region is preferred to an owner in this region that does not serve.
	for _, serving := range []bool{true, false} {
		if o := c.pickOfTwo(now, c.candidates(now, tried, serving, func(r string) bool { return r == c.config.Region })); o != nil {
			return c.deductSlot(o), true
		}
		if o := c.pickOfTwo(now, c.candidates(now, tried, serving, func(r string) bool { return r != c.config.Region && c.hasLinkBudget(now, r, size) })); o != nil {
			c.links.Get(o.Region).Take(now, float64(size))
			return c.deductSlot(o), true
		}
	}
	return Owner{}, false
}

// deductSlot subtracts the request from the reported free slots of o, so that requests between two reports spread over
// owners.
func (c *Chooser) deductSlot(o *owner) Owner {
	o.free--
	return o.Owner
}

func (c *Chooser) hasLinkBudget(now time.Time, region string, size int) bool {
	b := c.links.Get(region)
	return b != nil && b.Has(now, float64(size))
}

// candidates returns the owners not in tried whose region satisfies f and whose serves result equals serving. Owners
// that do not serve are suspect, or report no slots because requests of earlier owners still occupy their targets.
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
	return !o.Suspect && (o.slots > 0 || now.Sub(o.reportedAt) > maxReportAge)
}

// Serving returns the names of the owners that are not suspect and do not report a pool without slots.
func (c *Chooser) Serving(now time.Time) []string {
	var r []string
	for n, o := range c.owners.All() {
		if o.serves(now) {
			r = append(r, n)
		}
	}
	return r
}

// pickOfTwo draws two distinct candidates, weighted by free slots, and returns the one with the higher ratio of free
// slots.
func (c *Chooser) pickOfTwo(now time.Time, os []*owner) *owner {
	if len(os) == 0 {
		return nil
	}
	i := c.drawWeighted(now, os)
	if len(os) == 1 {
		return os[i]
	}
	a := os[i]
	rest := slices.Delete(slices.Clone(os), i, i+1)
	b := rest[c.drawWeighted(now, rest)]
	if b.freeRatio(now) > a.freeRatio(now) {
		return b
	}
	return a
}

func (c *Chooser) drawWeighted(now time.Time, os []*owner) int {
	sum := 0.0
	for _, o := range os {
		sum += o.weight(now)
	}
	x := c.random.Float64() * sum
	for i, o := range os {
		x -= o.weight(now)
		if x < 0 {
			return i
		}
	}
	return len(os) - 1
}

// freeRatio estimates the fraction of slots that are free; it is negative if more requests are queued than slots are
// free.
func (o *owner) freeRatio(now time.Time) float64 {
	if !o.hasRecentReport(now) {
		return 0
	}
	return o.free / float64(max(o.slots, 1))
}

func (o *owner) hasRecentReport(now time.Time) bool {
	return !o.reportedAt.IsZero() && now.Sub(o.reportedAt) <= maxReportAge
}

// weight estimates the number of free slots.
func (o *owner) weight(now time.Time) float64 {
	if !o.hasRecentReport(now) {
		return defaultWeight
	}
	return max(o.free, minWeight)
}

// Attempt adds the first attempt of a request to the retry budget.
func (c *Chooser) Attempt() {
	c.retries.RecordAttempt()
}

// Retry reports whether a request refused by the owners in tried may be sent to another owner. A retry to an owner that
// reports a free slot costs no budget, because it displaces no other request. A retry of a request that reached no
// target costs none either: load is not the cause, and two such failures eject the target. If every untried owner is
// suspect or without slots, the request is not retried, because waiting for an owner that cannot respond would use up
// the deadline.
func (c *Chooser) Retry(now time.Time, r *responder.Refusal, deadline time.Time, tried ...string) bool {
	if !c.retries.Retryable(now, r, len(tried)-1, deadline) {
		return false
	}
	if c.onlyUnavailableLeft(now, tried) {
		return false
	}
	return r.Reason == responder.TargetUnreachable || c.hasFreeSlot(now, tried) || c.retries.Spend(now)
}

// onlyUnavailableLeft reports whether untried owners remain but none of them serves.
func (c *Chooser) onlyUnavailableLeft(now time.Time, tried []string) bool {
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

// Waits reports whether a refused request should wait for an owner, because targets are changing owners and load is not
// the cause. While no owner of this region serves, its requests depend on slots granted by other regions. Those
// requests are not queued, and the slots may be few: the reserve of an owner with cold targets can be all but one of
// its slots.
func (c *Chooser) Waits(now time.Time, r *responder.Refusal) bool {
	if !notRun(r) {
		return false
	}
	switch r.Reason {
	case responder.NoOwner:
		return true
	case responder.NoSlot, responder.TargetUnreachable:
		return c.regionUnserved(now)
	default:
		return false
	}
}

// regionUnserved reports whether no owner in the chooser's region serves.
func (c *Chooser) regionUnserved(now time.Time) bool {
	for _, o := range c.owners.All() {
		if o.Region == c.config.Region && o.serves(now) {
			return false
		}
	}
	return true
}

// hasFreeSlot reports whether an untried owner has recently reported a free slot.
func (c *Chooser) hasFreeSlot(now time.Time, tried []string) bool {
	for _, o := range c.owners.All() {
		if o.serves(now) && o.hasRecentReport(now) && o.free >= 1 && !slices.Contains(tried, o.Name) {
			return true
		}
	}
	return false
}

func notRun(r *responder.Refusal) bool {
	return r != nil && r.Ran == responder.NotRun
}
