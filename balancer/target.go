package balancer

import (
	"slices"
	"time"
)

// State is the state of a target as determined by its owner.
type State string

// States of a target.
const (
	// Cold targets use only part of their slots, growing with each series of successes.
	Cold State = "cold"
	// Healthy targets use all of their slots.
	Healthy State = "healthy"
	// Suspect targets receive no requests until their ejection ends.
	Suspect State = "suspect"
	// Draining targets receive no new requests.
	Draining State = "draining"
	// Gone targets belong to another instance, but requests sent by this one may still run there.
	Gone State = "gone"
)

const (
	successesPerStep = 8
	// A single request can cause failures and timeouts itself, so ejection requires several in a row.
	failuresToEject = 5
	// A single refused connection can be due to a full accept queue.
	connectFailuresToEject = 2
	baseEjection           = time.Second
	maxEjection            = 30 * time.Second
	baseShedPause          = 25 * time.Millisecond
	maxShedPause           = time.Second
	// signalBlockTime is how long an unhealthy signal alone blocks all requests; after it one slot is used as a trial.
	signalBlockTime = 2 * time.Second
	// maxSignalAge is the age up to which a signal is used.
	maxSignalAge = 5 * time.Second
	// signalIgnoreTime is how long unhealthy signals are ignored after successful requests have contradicted them.
	signalIgnoreTime = time.Minute
)

type target struct {
	name               string
	slots, connections int
	state              State
	// draining is set by the configuration, leaving by a signal of the target.
	draining, leaving bool
	running           int
	outstanding       []outstanding
	// slotLimit is the number of slots that may be used.
	slotLimit       int
	successes       int
	failures        int
	connectFailures int
	sheds           int
	ejections       int
	// closedUntil is the end of an ejection, or of a pause after the target has shed load.
	closedUntil time.Time
	signal      signal
	// lastStart is the sequence number of the target's last start.
	lastStart uint64
}

// outstanding is a number of slots that may be occupied by requests that this instance does not wait for.
type outstanding struct {
	slots int
	until time.Time
	// own is true for requests that this instance sent.
	own bool
}

type signal struct {
	unhealthy                  bool
	receivedAt, unhealthySince time.Time
	load                       float64
	contradictions             int
	ignoredUntil               time.Time
}

// capacity is the number of requests that the target can run concurrently.
func (t *target) capacity() int {
	if t.connections > 0 {
		return min(t.slots, t.connections)
	}
	return t.slots
}

// outstandingSlots is the number of slots that may be occupied by requests that this instance does not wait for.
func (t *target) outstandingSlots() int {
	n := 0
	for _, r := range t.outstanding {
		n += min(r.slots, t.slots)
	}
	return n
}

func (t *target) busySlots() int {
	return t.running + t.outstandingSlots()
}

// usableSlots is the number of slots available to requests of this instance.
func (t *target) usableSlots() int {
	if !t.serves() {
		return 0
	}
	return max(min(t.capacity(), t.slotLimit)-t.outstandingSlots(), 0)
}

// occupiedByOthers reports whether requests of earlier owners leave no slot to this instance.
func (t *target) occupiedByOthers() bool {
	return t.usableSlots() == 0 && slices.ContainsFunc(t.outstanding, func(r outstanding) bool { return !r.own })
}

// serves reports whether t receives requests now, or will after an ejection or a pause.
func (t *target) serves() bool {
	return t.state != Draining && t.state != Gone
}

// refresh applies the passage of time to t.
func (t *target) refresh(now time.Time) {
	t.outstanding = slices.DeleteFunc(t.outstanding, func(r outstanding) bool { return !r.until.After(now) })
	if t.state == Suspect && !t.closedUntil.After(now) {
		t.state = Cold
	}
	if t.signal.unhealthy && now.Sub(t.signal.receivedAt) > maxSignalAge {
		t.signal.unhealthy = false
	}
}

// freeSlots is the number of requests that t may start now.
func (t *target) freeSlots(now time.Time, ignoreSignals bool) int {
	if !t.serves() || t.closedUntil.After(now) {
		return 0
	}
	m := min(t.capacity(), t.slotLimit)
	if t.signal.effective(now) && !ignoreSignals {
		m = min(m, t.signal.slotLimit(now))
	}
	return max(m-t.busySlots(), 0)
}

// effective reports whether the endpoint says that the target is unhealthy and successful requests have not
// contradicted it.
func (s *signal) effective(now time.Time) bool {
	return s.unhealthy && !s.ignoredUntil.After(now)
}

// slotLimit is the number of slots usable under an unhealthy signal.
func (s *signal) slotLimit(now time.Time) int {
	if now.Sub(s.unhealthySince) < signalBlockTime {
		return 0
	}
	return 1
}

// opensAt is the earliest time at which t may start a request, assuming that the requests running on it have ended by
// then.
func (t *target) opensAt(now time.Time, ignoreSignals bool) time.Time {
	o := now
	if t.closedUntil.After(o) {
		o = t.closedUntil
	}
	if t.signal.effective(now) && !ignoreSignals {
		o = latest(o, t.signal.unhealthySince.Add(signalBlockTime))
	}
	if t.outstandingSlots() < min(t.capacity(), t.slotLimit) {
		return o
	}
	var first time.Time
	for i, r := range t.outstanding {
		if i == 0 || r.until.Before(first) {
			first = r.until
		}
	}
	return latest(o, first)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// lessLoaded reports whether t is preferred to o for a new request: lower utilization first, then lower reported load,
// then the least recent start.
func (t *target) lessLoaded(o *target) bool {
	a, b := t.busySlots()*o.capacity(), o.busySlots()*t.capacity()
	if a != b {
		return a < b
	}
	if t.signal.load != o.signal.load {
		return t.signal.load < o.signal.load
	}
	return t.lastStart < o.lastStart
}

// reset makes t cold, with one usable slot.
func (t *target) reset() {
	t.state, t.slotLimit, t.successes = Cold, 1, 0
	t.failures, t.connectFailures, t.sheds = 0, 0, 0
}

// configure applies the slots, connection limit and drain of an assignment.
func (t *target) configure(h Holding) {
	t.slots, t.connections, t.draining = h.Slots, h.Connections, h.Draining
	if t.state == Healthy {
		t.slotLimit = t.slots
	}
	switch {
	case t.draining || t.leaving:
		t.state = Draining
	case t.state == Draining:
		t.reset()
	}
}

// addOutstanding adds the outstanding requests of earlier owners.
func (t *target) addOutstanding(rs []Residue) {
	for _, r := range rs {
		t.outstanding = append(t.outstanding, outstanding{slots: r.Slots, until: r.Until})
	}
}

// removeInherited removes the outstanding requests of earlier owners.
func (t *target) removeInherited() {
	t.outstanding = slices.DeleteFunc(t.outstanding, func(r outstanding) bool { return !r.own })
}

// recordOutcome updates the health of t by the outcome of a request.
func (t *target) recordOutcome(now time.Time, o Outcome, mayEject bool) {
	switch o {
	case Success:
		t.recordSuccess(now)
	case Shed:
		t.recordShed(now)
	case Failure, Timeout, Broken:
		t.recordFailure(now, mayEject)
	case ConnectFailure:
		t.connectFailures++
		if t.connectFailures >= connectFailuresToEject || t.ejections > 0 {
			t.eject(now)
		}
	case Crash:
		t.eject(now)
	case Canceled, NotSent:
	}
}

func (t *target) recordSuccess(now time.Time) {
	t.failures, t.connectFailures, t.sheds = 0, 0, 0
	if t.signal.unhealthy {
		t.signal.contradictions++
	}
	if t.signal.contradictions >= successesPerStep {
		t.signal.contradictions, t.signal.ignoredUntil = 0, now.Add(signalIgnoreTime)
	}
	if t.state != Cold {
		return
	}
	t.successes++
	if t.successes >= successesPerStep {
		t.successes = 0
		t.slotLimit++
	}
	if t.slotLimit >= t.slots {
		t.state, t.slotLimit, t.ejections = Healthy, t.slots, 0
	}
}

func (t *target) recordShed(now time.Time) {
	t.closedUntil = latest(t.closedUntil, now.Add(backoff(baseShedPause, maxShedPause, t.sheds)))
	t.sheds++
	t.successes = 0
	t.slotLimit = max(1, t.slotLimit/2)
	if t.state == Healthy {
		t.state = Cold
	}
}

func (t *target) recordFailure(now time.Time, mayEject bool) {
	t.failures++
	t.successes = 0
	enough := t.failures >= failuresToEject || t.ejections > 0 || t.signal.effective(now)
	if enough && mayEject {
		t.eject(now)
	}
}

// eject stops requests to t for a time that doubles with each ejection, up to maxEjection, until t has been healthy again.
func (t *target) eject(now time.Time) {
	if !t.serves() || t.state == Suspect {
		return
	}
	t.reset()
	t.state = Suspect
	t.closedUntil = latest(t.closedUntil, now.Add(backoff(baseEjection, maxEjection, t.ejections)))
	t.ejections++
}

func backoff(base, limit time.Duration, n int) time.Duration {
	for range n {
		base = min(base*2, limit)
	}
	return base
}

// applySignal applies a reading of the health or load endpoint.
func (t *target) applySignal(now time.Time, s Signal) {
	t.signal.load = s.Load
	t.signal.receivedAt = now
	if s.Leaving {
		t.leaving = true
		if t.state != Gone {
			t.state = Draining
		}
		return
	}
	if t.leaving && s.Healthy {
		t.leaving = false
		if t.state == Draining && !t.draining {
			t.reset()
		}
	}
	if s.Healthy {
		t.signal.unhealthy, t.signal.contradictions = false, 0
		return
	}
	if t.signal.unhealthy {
		return
	}
	t.signal.unhealthy, t.signal.unhealthySince, t.signal.contradictions = true, now, 0
}
