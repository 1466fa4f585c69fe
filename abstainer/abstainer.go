package abstainer

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxRest bounds a rest, so that a wrong value does not ban a target for good; one that needs longer leaves.
	MaxRest = 10 * time.Minute
	// maxDelay bounds the instance's own delay after a rest. Instances tell each other their requests in flight several
	// times within it.
	maxDelay = 500 * time.Millisecond
	// delayShare is the largest fraction of a rest that the instance's own delay adds to it.
	delayShare = 0.25
	// maxRamp bounds the time in which a target's slots come into use again after a rest; it spans several usual runs.
	maxRamp = time.Second
	// unlistedTTL is how long the state of a target that is not listed any more is kept; rows that lapsed in an outage
	// come back with the same incarnation.
	unlistedTTL = time.Hour
)

// Incarnation is one start of a target.
type Incarnation struct {
	Name string
	// Started distinguishes the incarnations of a name and grows with each of them.
	Started int64
}

// Notice is what an answer of a target says about further requests.
type Notice struct {
	// Leaving is true if the target ends soon.
	Leaving bool
	// Rest is how long the target wants no requests; 0 or less means that it does not say.
	Rest time.Duration
}

// Kind is a reason to send nothing to a target.
type Kind string

// Reasons to send nothing.
const (
	Leaving Kind = "leaving"
	Resting Kind = "resting"
)

// Event is the start or the end of an abstention.
type Event struct {
	Incarnation Incarnation
	Kind        Kind
	// Duration is how long the abstention lasts at its start if that is known, and how long it lasted at its end.
	Duration time.Duration
}

// Config configures an Abstainer.
type Config struct {
	// Instance is the name of the instance; it decides the instance's own delay after rests.
	Instance string
}

// Abstainer records which targets want no requests; it is safe for concurrent use.
type Abstainer struct {
	config Config
	// any is false while there are no abstentions, which is the usual case.
	any atomic.Bool

	mu          sync.Mutex
	abstentions map[Incarnation]*abstention
}

// abstention is what an incarnation stated.
type abstention struct {
	// leavingSince is when it first stated that it leaves; zero if it did not.
	leavingSince time.Time
	// restStart is when its present rest began, and restEnd when it ends for this instance; zero if there was none.
	restStart, restEnd time.Time
	// endReported is true once the end of the rest was reported.
	endReported bool
	// lastSeen is when the incarnation was last listed or heard.
	lastSeen time.Time
}

// New returns an abstainer without abstentions.
func New(c Config) *Abstainer {
	return &Abstainer{config: c, abstentions: map[Incarnation]*abstention{}}
}

// Record takes in what an answer said and returns the abstentions that begin with it. A rest that is already known only grows.
func (a *Abstainer) Record(now time.Time, i Incarnation, n Notice) []Event {
	if !n.Leaving && n.Rest <= 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.abstentions[i]
	if w == nil {
		w = &abstention{}
		a.abstentions[i] = w
		a.any.Store(true)
	}
	w.lastSeen = now
	var es []Event
	if n.Leaving && w.leavingSince.IsZero() {
		w.leavingSince = now
		es = append(es, Event{Incarnation: i, Kind: Leaving})
	}
	if n.Rest <= 0 {
		return es
	}
	rest := min(n.Rest, MaxRest)
	if until := now.Add(rest + a.delay(i, rest)); until.After(w.restEnd) {
		if !now.Before(w.restEnd) {
			w.restStart, w.endReported = now, false
			es = append(es, Event{Incarnation: i, Kind: Resting, Duration: rest})
		}
		w.restEnd = until
	}
	return es
}

// delay returns this instance's own delay after a rest.
func (a *Abstainer) delay(i Incarnation, rest time.Duration) time.Duration {
	const steps = 1 << 10
	h := xxhash.Sum64String(a.config.Instance+"\x00"+i.Name) % steps
	return min(maxDelay, time.Duration(delayShare*float64(rest))) * time.Duration(h) / steps
}

// Share returns the fraction of an incarnation's slots that may be in use: 0 while it leaves or rests, growing after a rest,
// and otherwise 1.
func (a *Abstainer) Share(now time.Time, i Incarnation) float64 {
	if !a.any.Load() {
		return 1
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.abstentions[i]
	switch {
	case w == nil:
		return 1
	case !w.leavingSince.IsZero(), now.Before(w.restEnd):
		return 0
	case w.restEnd.IsZero():
		return 1
	}
	ramp := min(maxRamp, w.restEnd.Sub(w.restStart))
	// Just after its rest a target may get one request.
	return max(min(float64(now.Sub(w.restEnd))/float64(ramp), 1), minShare)
}

// minShare is the fraction of the slots in use at the end of a rest; any positive one allows one request.
const minShare = 1e-3

// State reports whether an incarnation leaves, and how long it still rests.
func (a *Abstainer) State(now time.Time, i Incarnation) (leaving bool, rest time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.abstentions[i]
	if w == nil {
		return false, 0
	}
	return !w.leavingSince.IsZero(), max(w.restEnd.Sub(now), 0)
}

// Tick discards what no longer matters and returns the abstentions that ended. listed returns the incarnation of a name that a
// directory lists now.
func (a *Abstainer) Tick(now time.Time, listed func(name string) (started int64, ok bool)) []Event {
	a.mu.Lock()
	defer a.mu.Unlock()
	var es []Event
	for i, w := range a.abstentions {
		started, ok := listed(i.Name)
		if ok && started == i.Started {
			w.lastSeen = now
		}
		// An older incarnation in the directory is out of date.
		gone := ok && started > i.Started || now.Sub(w.lastSeen) > unlistedTTL
		if !w.restEnd.IsZero() && !w.endReported && (gone || !now.Before(w.restEnd)) {
			w.endReported = true
			es = append(es, Event{Incarnation: i, Kind: Resting, Duration: now.Sub(w.restStart)})
		}
		if gone && !w.leavingSince.IsZero() {
			es = append(es, Event{Incarnation: i, Kind: Leaving, Duration: now.Sub(w.leavingSince)})
		}
		if gone || w.leavingSince.IsZero() && now.Sub(w.restEnd) > maxRamp {
			delete(a.abstentions, i)
		}
	}
	a.any.Store(len(a.abstentions) > 0)
	slices.SortFunc(es, func(x, y Event) int { return strings.Compare(x.Incarnation.Name, y.Incarnation.Name) })
	return es
}
