package sharer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/informer"
)

const (
	// budgetBuckets is the number of buckets in the window of a budget; more buckets approximate the sliding window
	// more closely.
	budgetBuckets = 10
	// budgetUtilization is the fraction of the fleet's budget that all instances together use. The remainder covers
	// windows that do not line up with the window by which the limit is checked, and instances that lose their counts
	// in a restart.
	budgetUtilization = 0.6
)

// BudgetConfig is the fleet-wide limit of retries to one service.
type BudgetConfig struct {
	// Ratio is the number of retries allowed per request in a window.
	Ratio float64
	// Slack is the number of retries allowed in a window in addition to Ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget limits the retries of this instance; it is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	config    BudgetConfig
	instances int
	services  map[string]*slidingWindow
}

type slidingWindow struct {
	// newestBucket is the index of the latest bucket, counted from the Unix epoch.
	newestBucket      int64
	requests, retries [budgetBuckets]int
}

// NewBudget returns an unused budget.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, instances: 1, services: map[string]*slidingWindow{}}
}

// Adopt sets the limit and the number of instances that share the slack.
func (b *Budget) Adopt(c BudgetConfig, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config, b.instances = c, max(instances, 1)
}

// Count records a request to a service.
func (b *Budget) Count(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowFor(now, service)
	w.requests[w.newestBucket%budgetBuckets]++
}

// Take reports whether a request to a service may be retried, and counts the retry if so.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowFor(now, service)
	if used, allowed := b.usage(w); float64(used+1) > allowed {
		return false
	}
	w.retries[w.newestBucket%budgetBuckets]++
	return true
}

// usage returns the retries in a window and the number allowed; mu is held.
func (b *Budget) usage(w *slidingWindow) (used int, allowed float64) {
	q := 0
	for i := range budgetBuckets {
		q += w.requests[i]
		used += w.retries[i]
	}
	return used, budgetUtilization * (b.config.Ratio*float64(q) + b.config.Slack/float64(b.instances))
}

// Describe returns the usage of the budget per service, sorted by name.
func (b *Budget) Describe(now time.Time) []informer.Retries {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := []informer.Retries{}
	for n := range b.services {
		used, allowed := b.usage(b.windowFor(now, n))
		r = append(r, informer.Retries{Service: n, Used: used, Allowed: allowed})
	}
	slices.SortFunc(r, func(a, b informer.Retries) int { return cmp.Compare(a.Service, b.Service) })
	return r
}

// windowFor returns the window of a service after clearing the expired buckets; mu is held.
func (b *Budget) windowFor(now time.Time, service string) *slidingWindow {
	w := b.services[service]
	if w == nil {
		w = &slidingWindow{}
		b.services[service] = w
	}
	step := max(b.config.Window/budgetBuckets, 1)
	n := now.UnixNano() / int64(step)
	for i := max(w.newestBucket+1, n-budgetBuckets+1); i <= n; i++ {
		w.requests[i%budgetBuckets], w.retries[i%budgetBuckets] = 0, 0
	}
	w.newestBucket = max(w.newestBucket, n)
	return w
}
