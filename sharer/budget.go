package sharer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/informer"
)

const (
	// budgetSteps divides the window of a budget; a finer division follows the sliding window more closely.
	budgetSteps = 10
	// budgetUse is the part of the fleet's budget that instances use together: their windows slide apart from the one
	// that is judged, and an instance that restarts has forgotten what it used.
	budgetUse = 0.6
)

// BudgetConfig is the limit of retries of all instances together towards one service.
type BudgetConfig struct {
	// Ratio is the number of retries for each request in a window.
	Ratio float64
	// Slack is the number of retries in a window beyond Ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget limits the retries of this instance; it is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	config   BudgetConfig
	parts    int
	services map[string]*window
}

type window struct {
	// first is the index of the newest step since the zero time.
	newest            int64
	requests, retries [budgetSteps]int
}

// NewBudget returns a budget of which nothing was used.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, parts: 1, services: map[string]*window{}}
}

// Adopt changes the limit and the number of instances that share the slack.
func (b *Budget) Adopt(c BudgetConfig, parts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config, b.parts = c, max(parts, 1)
}

// Count records a request for a service.
func (b *Budget) Count(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.newest%budgetSteps]++
}

// Take reports whether a request for a service may be sent once more, and counts it if so.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	if used, allowed := b.use(w); float64(used+1) > allowed {
		return false
	}
	w.retries[w.newest%budgetSteps]++
	return true
}

// use returns the retries in a window and how many are allowed; mu is held.
func (b *Budget) use(w *window) (used int, allowed float64) {
	q := 0
	for i := range budgetSteps {
		q += w.requests[i]
		used += w.retries[i]
	}
	return used, budgetUse * (b.config.Ratio*float64(q) + b.config.Slack/float64(b.parts))
}

// Describe returns the use of the budget towards each service, by name.
func (b *Budget) Describe(now time.Time) []informer.Retries {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := []informer.Retries{}
	for n := range b.services {
		used, allowed := b.use(b.window(now, n))
		r = append(r, informer.Retries{Service: n, Used: used, Allowed: allowed})
	}
	slices.SortFunc(r, func(a, b informer.Retries) int { return cmp.Compare(a.Service, b.Service) })
	return r
}

// window returns the counts of a service with the steps that have passed emptied; mu is held.
func (b *Budget) window(now time.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	step := max(b.config.Window/budgetSteps, 1)
	n := now.UnixNano() / int64(step)
	for i := max(w.newest+1, n-budgetSteps+1); i <= n; i++ {
		w.requests[i%budgetSteps], w.retries[i%budgetSteps] = 0, 0
	}
	w.newest = max(w.newest, n)
	return w
}
