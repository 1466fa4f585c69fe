package hedger

import (
	"slices"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/sharer"
)

const (
	// retainedSamples is the number of latest responses of a route and service from which the delay is taken, and minSamples
	// the number below which there are no second attempts.
	retainedSamples = 256
	minSamples      = 64
	// updateInterval is the number of responses between two computations of a delay.
	updateInterval = 16
	// minQuantile and maxQuantile bound the fraction of responses that arrive before the delay.
	minQuantile = 0.9
	maxQuantile = 0.99
	// minDelay keeps second attempts from fast routes, whose responses differ by the network rather than by the target.
	minDelay = 10 * time.Millisecond
	// maxRoutes bounds the number of pairs of a route and a service with samples.
	maxRoutes = 4096
)

// Config limits second attempts.
type Config struct {
	// Share is the number of second attempts allowed per request to a service; 0 means none.
	Share float64
	// Window is the length of the sliding window in which Share holds.
	Window time.Duration
}

// Hedger decides on second attempts of this instance; it is safe for concurrent use.
type Hedger struct {
	budget *sharer.Budget

	mu     sync.Mutex
	config Config
	routes map[key]*responses
}

type key struct{ route, service string }

// responses holds the times of the latest responses of a route and service.
type responses struct {
	times []time.Duration
	next  int
	count int
	delay time.Duration
}

// New returns a hedger without samples.
func New(c Config) *Hedger {
	h := &Hedger{budget: sharer.NewBudget(sharer.BudgetConfig{}), routes: map[key]*responses{}}
	h.Adopt(c)
	return h
}

// Adopt replaces the limit.
func (h *Hedger) Adopt(c Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.config = c
	h.budget.Adopt(sharer.BudgetConfig{Ratio: c.Share, Window: max(c.Window, time.Second)}, 1)
}

// Count records a request to a service, whether it may have a second attempt or not.
func (h *Hedger) Count(now time.Time, service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config.Share > 0 {
		h.budget.Count(now, service)
	}
}

// Observe records the time from the first attempt of a request to its response. If a second attempt was answered first, it is
// the time until then, which is less than the first one would have taken.
func (h *Hedger) Observe(route, service string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config.Share <= 0 {
		return
	}
	k := key{route: route, service: service}
	r := h.routes[k]
	if r == nil {
		if len(h.routes) >= maxRoutes {
			clear(h.routes)
		}
		r = &responses{}
		h.routes[k] = r
	}
	r.add(d)
	if r.count%updateInterval == 0 {
		r.delay = max(r.quantile(min(max(1-h.config.Share, minQuantile), maxQuantile)), minDelay)
	}
}

func (r *responses) add(d time.Duration) {
	if len(r.times) < retainedSamples {
		r.times = append(r.times, d)
	} else {
		r.times[r.next] = d
	}
	r.next = (r.next + 1) % retainedSamples
	r.count++
}

func (r *responses) quantile(q float64) time.Duration {
	s := slices.Clone(r.times)
	slices.Sort(s)
	return s[min(int(q*float64(len(s))), len(s)-1)]
}

// Delay returns how long a request waits for its first attempt before it gets a second one; ok is false if it gets none.
func (h *Hedger) Delay(route, service string) (d time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.routes[key{route: route, service: service}]
	if h.config.Share <= 0 || r == nil || r.count < minSamples {
		return 0, false
	}
	return r.delay, true
}

// Take reports whether the limit allows a second attempt of a request to a service, and counts it if so.
func (h *Hedger) Take(now time.Time, service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config.Share > 0 && h.budget.Take(now, service)
}
