package sharer

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// throttleBurst is the time whose permits the issuer of a target collects while nobody asks for them.
	throttleBurst = 500 * time.Millisecond
	// permitTTL is how long an instance may use a permit. Permits that could be kept would add up to a burst.
	permitTTL = time.Second
	// permitLookahead is the time whose expected requests an instance asks permits for, longer than the way between regions
	// and back.
	permitLookahead = 250 * time.Millisecond
	// demandTime is the time constant of an instance's average demand for permits of a target.
	demandTime = time.Second
	// permitTimeout is how long an instance waits for the answer of an issuer before it asks again.
	permitTimeout = 200 * time.Millisecond
	// minPermitBackoff and maxPermitBackoff bound the pause after an issuer had no permits.
	minPermitBackoff = 50 * time.Millisecond
	maxPermitBackoff = 400 * time.Millisecond
	// statementTTL is how long the statement of a target without a limit is kept, so that an older one does not replace it.
	statementTTL = time.Minute
)

// Statement is what a target last said about the requests it takes.
type Statement struct {
	// Rate is in requests per second from all instances together; 0 means no limit.
	Rate float64
	// At is when the target said so.
	At time.Time
}

// PermitRequest asks the issuer of a target for permits.
type PermitRequest struct {
	Permits   int
	Statement Statement
}

// Throttle keeps the requests of all instances to a target within the rate that the target states. Each target has an issuer
// among the instances, which hands out permits at that rate to itself and to the others; it is safe for concurrent use.
type Throttle struct {
	self string
	// any is false while no target is known that states a rate, which is the usual case.
	any  atomic.Bool
	wake chan struct{}

	mu        sync.Mutex
	instances []string
	targets   map[string]*throttled
}

// throttled is a target that states a rate, or did.
type throttled struct {
	statement Statement
	// issuer is cached; isStale is true once the instances have changed.
	issuer  string
	isStale bool
	// bucket holds the permits to hand out while this instance is the issuer.
	bucket tokenBucket
	// permits are those of this instance by the time at which they expire, in order.
	permits []time.Time
	// demand is the average rate of requests for which a permit was wanted, as of demandAt.
	demand   float64
	demandAt time.Time
	// waiting is the number of requests for whose permits the issuer is still to be asked, and answered is closed when it has
	// answered.
	waiting  int
	answered chan struct{}
	wanted   bool
	// asked is the number of permits that the issuer was last asked for, 0 once it has answered; isSilent is true if it did not
	// answer before it was asked again.
	asked    int
	isSilent bool
	// pausedUntil is the end of the pause until the issuer is asked again.
	pausedUntil time.Time
	backoff     time.Duration
}

// NewThrottle returns a throttle that knows no target.
func NewThrottle(self string) *Throttle {
	return &Throttle{self: self, wake: make(chan struct{}, 1), instances: []string{self}, targets: map[string]*throttled{}}
}

// throttleKey identifies an incarnation of a target among instances.
func throttleKey(target string, started int64) string {
	return target + "@" + strconv.FormatInt(started, 10)
}

// Adopt replaces the names of the live instances, among which each target has its issuer.
func (h *Throttle) Adopt(instances []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(instances) == 0 || slices.Equal(h.instances, instances) {
		return
	}
	h.instances = slices.Clone(instances)
	for _, t := range h.targets {
		t.isStale = true
	}
}

// Record records what an answer of a target says and reports whether that begins, ends or changes its limit.
func (h *Throttle) Record(now time.Time, target string, started int64, rate float64) (changed bool) {
	if rate <= 0 && !h.any.Load() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	k := throttleKey(target, started)
	t := h.targets[k]
	if t == nil {
		if rate <= 0 {
			return false
		}
		t = h.add(k)
	}
	old := t.statement.Rate
	t.statement = Statement{Rate: rate, At: now}
	// The bucket of the issuer fills from now on.
	h.issues(now, k, t)
	return old != rate
}

// add adds a target; h.mu is held.
func (h *Throttle) add(k string) *throttled {
	t := &throttled{isStale: true}
	h.targets[k] = t
	h.any.Store(true)
	return t
}

// Take reports whether a request may be sent to a target now, and uses a permit if it needs one. If this instance needs them
// often, it has the issuer asked for further ones.
func (h *Throttle) Take(now time.Time, target string, started int64) bool {
	if !h.any.Load() {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	k := throttleKey(target, started)
	t := h.targets[k]
	if t == nil || t.statement.Rate <= 0 {
		return true
	}
	t.demand = t.demand*math.Exp(-float64(now.Sub(t.demandAt))/float64(demandTime)) + 1/demandTime.Seconds()
	t.demandAt = now
	if h.issues(now, k, t) {
		return t.issue(now, 1) == 1
	}
	t.expire(now)
	ok := len(t.permits) > 0
	if ok {
		t.permits = t.permits[1:]
	}
	h.want(now, t)
	return ok
}

// want has the issuer of a target asked if permits are missing.
func (h *Throttle) want(now time.Time, t *throttled) {
	if t.missing() <= 0 || t.wanted || now.Before(t.pausedUntil) {
		return
	}
	t.wanted = true
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Await has the issuer of a target asked for a permit for a request, and returns a channel that is closed with its answer. It
// returns nil if no permit is to be expected soon, or none is needed.
func (h *Throttle) Await(now time.Time, target string, started int64) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := throttleKey(target, started)
	t := h.targets[k]
	if t == nil || t.statement.Rate <= 0 || h.issues(now, k, t) || now.Before(t.pausedUntil) && t.answered == nil {
		return nil
	}
	if t.answered == nil {
		t.answered = make(chan struct{})
	}
	t.waiting++
	h.want(now, t)
	if t.isSilent {
		return nil
	}
	return t.answered
}

// issues reports whether this instance is the issuer of a target; mu is held.
func (h *Throttle) issues(now time.Time, k string, t *throttled) bool {
	if t.isStale {
		t.isStale = false
		former := t.issuer
		if t.issuer = rendezvous(k, h.instances, 1)[0]; t.issuer != former {
			// The former issuer may have handed out what the bucket would hold.
			t.bucket = tokenBucket{refilledAt: now}
		}
	}
	return t.issuer == h.self
}

// issue hands out up to n permits.
func (t *throttled) issue(now time.Time, n int) int {
	b, rate := &t.bucket, t.statement.Rate
	b.tokens = min(max(1, rate*throttleBurst.Seconds()), b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	n = min(n, int(b.tokens))
	b.tokens -= float64(n)
	return n
}

func (t *throttled) expire(now time.Time) {
	t.permits = slices.DeleteFunc(t.permits, func(e time.Time) bool { return !now.Before(e) })
}

// missing returns the number of permits to ask for: for the requests that wait and, if they come so often that a permit does not
// expire, for those expected next.
func (t *throttled) missing() int {
	return t.waiting + int(math.Round(t.demand*permitLookahead.Seconds())) - len(t.permits)
}

// Any reports whether a target is known that states a rate, or did lately.
func (h *Throttle) Any() bool {
	return h.any.Load()
}

// Wake is signaled when issuers have to be asked for permits.
func (h *Throttle) Wake() <-chan struct{} {
	return h.wake
}

// Requests returns what to ask each issuer for.
func (h *Throttle) Requests(now time.Time) map[string]map[string]PermitRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	rs := map[string]map[string]PermitRequest{}
	for k, t := range h.targets {
		if !t.wanted {
			continue
		}
		t.wanted = false
		t.expire(now)
		n := t.missing()
		if n <= 0 || t.statement.Rate <= 0 || h.issues(now, k, t) {
			continue
		}
		t.pausedUntil = now.Add(permitTimeout)
		t.isSilent = t.asked > 0
		t.asked, t.waiting = n, 0
		if rs[t.issuer] == nil {
			rs[t.issuer] = map[string]PermitRequest{}
		}
		rs[t.issuer][k] = PermitRequest{Permits: n, Statement: t.statement}
	}
	return rs
}

// Issue returns the permits for requests of another instance. Who asks may know a newer statement of the target than this
// instance, or an older one.
func (h *Throttle) Issue(now time.Time, wanted map[string]PermitRequest) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	given := map[string]int{}
	for k, r := range wanted {
		t := h.targets[k]
		if t == nil {
			t = h.add(k)
		}
		if r.Statement.At.After(t.statement.At) {
			t.statement = r.Statement
		}
		n := 0
		switch {
		case r.Permits <= 0:
		case t.statement.Rate <= 0:
			n = r.Permits
		case h.issues(now, k, t):
			n = t.issue(now, r.Permits)
		}
		given[k] = n
	}
	return given
}

// Receive adds permits that an issuer handed out when it was asked at a time; after none, it is asked again later.
func (h *Throttle) Receive(now, asked time.Time, given map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, n := range given {
		t := h.targets[k]
		if t == nil {
			continue
		}
		if t.answered != nil {
			close(t.answered)
			t.answered = nil
		}
		wanted := t.asked
		t.asked, t.isSilent = 0, false
		if n <= 0 {
			t.backoff = min(max(2*t.backoff, minPermitBackoff), maxPermitBackoff)
			t.pausedUntil = now.Add(t.backoff)
			continue
		}
		t.backoff, t.pausedUntil = 0, time.Time{}
		// An answer cannot bring more than was asked for.
		for range min(n, wanted) {
			t.permits = append(t.permits, asked.Add(permitTTL))
		}
	}
}

// Interval returns the mean time between two requests that a target takes, or 0 if it states no rate.
func (h *Throttle) Interval(target string, started int64) time.Duration {
	if !h.any.Load() {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.targets[throttleKey(target, started)]
	if t == nil || t.statement.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / t.statement.Rate)
}

// Rate returns the rate that a target states, or 0.
func (h *Throttle) Rate(target string, started int64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[throttleKey(target, started)]; t != nil {
		return t.statement.Rate
	}
	return 0
}

// Tick discards statements that no longer matter: of targets that nobody asked for or answered for some time.
func (h *Throttle) Tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.targets, func(_ string, t *throttled) bool {
		return now.Sub(t.statement.At) > statementTTL && now.Sub(t.demandAt) > statementTTL
	})
	h.any.Store(len(h.targets) > 0)
}
