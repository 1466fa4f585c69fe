package balancer

import (
	"slices"
	"time"
)

// State is the condition of a target as its owner sees it.
type State string

// The states of a target.
const (
	// Cold targets use a growing number of their slots.
	Cold State = "cold"
	// Healthy targets use all of their slots.
	Healthy State = "healthy"
	// Suspect targets receive no work until their ejection ends.
	Suspect State = "suspect"
	// Draining targets receive no new work.
	Draining State = "draining"
	// Gone targets belong to another instance, but work sent from here may still run.
	Gone State = "gone"
)

const (
	rampSuccesses = 8
	// A request of a caller can cause failures and timeouts, so it takes several in a row to eject.
	failuresToEject = 5
	// A single refused connection can be a full accept queue.
	connectsToEject = 2
	baseEjection    = time.Second
	maxEjection     = 30 * time.Second
	baseShedPause   = 25 * time.Millisecond
	maxShedPause    = time.Second
	// signalHold is how long a bad signal alone keeps all work away; after it a trial of one slot begins.
	signalHold = 2 * time.Second
	// signalAge is how long a signal counts.
	signalAge = 5 * time.Second
	// disbelief is how long bad signals are ignored once real successes have contradicted them.
	disbelief = time.Minute
)

type target struct {
	name               string
	slots, connections int
	state              State
	// draining is set by the configuration, leaving by the target.
	draining, leaving bool
	running           int
	residues          []residue
	// limit is the part of slots that may be used.
	limit     int
	successes int
	failures  int
	connects  int
	sheds     int
	ejections int
	// closed is the end of an ejection or of a pause after load was shed.
	closed time.Time
	signal signal
	// started orders the targets by their last start.
	started uint64
}

// residue is a number of slots that works may occupy although nobody waits for them.
type residue struct {
	slots int
	until time.Time
	// own residues stem from works of this instance.
	own bool
}

type signal struct {
	bad          bool
	at, since    time.Time
	load         float64
	contradicted int
	disbelieved  time.Time
}

// capacity is the number of works that the target can take at a time.
func (t *target) capacity() int {
	if t.connections > 0 {
		return min(t.slots, t.connections)
	}
	return t.slots
}

// inherited is the number of slots of works that are no longer waited for.
func (t *target) inherited() int {
	n := 0
	for _, r := range t.residues {
		n += min(r.slots, t.slots)
	}
	return n
}

func (t *target) busy() int {
	return t.running + t.inherited()
}

// usable is the number of slots that works of this instance may take.
func (t *target) usable() int {
	if !t.serves() {
		return 0
	}
	return max(min(t.capacity(), t.limit)-t.inherited(), 0)
}

// occupied reports whether works of earlier owners leave no slot to this instance.
func (t *target) occupied() bool {
	return t.usable() == 0 && slices.ContainsFunc(t.residues, func(r residue) bool { return !r.own })
}

// serves reports whether t may receive work now or later.
func (t *target) serves() bool {
	return t.state != Draining && t.state != Gone
}

// refresh lets time take effect on t.
func (t *target) refresh(now time.Time) {
	t.residues = slices.DeleteFunc(t.residues, func(r residue) bool { return !r.until.After(now) })
	if t.state == Suspect && !t.closed.After(now) {
		t.state = Cold
	}
	if t.signal.bad && now.Sub(t.signal.at) > signalAge {
		t.signal.bad = false
	}
}

// room is the number of works that t may start now.
func (t *target) room(now time.Time, ignoreSignals bool) int {
	if !t.serves() || t.closed.After(now) {
		return 0
	}
	m := min(t.capacity(), t.limit)
	if t.signal.counts(now) && !ignoreSignals {
		m = min(m, t.signal.limit(now))
	}
	return max(m-t.busy(), 0)
}

// counts reports whether the endpoint says that the target is not well and real successes have not contradicted it.
func (s *signal) counts(now time.Time) bool {
	return s.bad && !s.disbelieved.After(now)
}

// limit is the number of slots that a bad signal leaves.
func (s *signal) limit(now time.Time) int {
	if now.Sub(s.since) < signalHold {
		return 0
	}
	return 1
}

// opens is the earliest time at which t may start work, if its own works end by then.
func (t *target) opens(now time.Time, ignoreSignals bool) time.Time {
	o := now
	if t.closed.After(o) {
		o = t.closed
	}
	if t.signal.counts(now) && !ignoreSignals {
		o = later(o, t.signal.since.Add(signalHold))
	}
	if t.inherited() < min(t.capacity(), t.limit) {
		return o
	}
	var first time.Time
	for i, r := range t.residues {
		if i == 0 || r.until.Before(first) {
			first = r.until
		}
	}
	return later(o, first)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// before reports whether t is the better choice for new work.
func (t *target) before(o *target) bool {
	a, b := t.busy()*o.capacity(), o.busy()*t.capacity()
	if a != b {
		return a < b
	}
	if t.signal.load != o.signal.load {
		return t.signal.load < o.signal.load
	}
	return t.started < o.started
}

// reset starts the ramp of a cold target.
func (t *target) reset() {
	t.state, t.limit, t.successes = Cold, 1, 0
	t.failures, t.connects, t.sheds = 0, 0, 0
}

// resize applies the slots and drain of a configuration.
func (t *target) resize(h Holding) {
	t.slots, t.connections, t.draining = h.Slots, h.Connections, h.Draining
	if t.state == Healthy {
		t.limit = t.slots
	}
	switch {
	case t.draining || t.leaving:
		t.state = Draining
	case t.state == Draining:
		t.reset()
	}
}

// inherit adds the residues of earlier owners.
func (t *target) inherit(rs []Residue) {
	for _, r := range rs {
		t.residues = append(t.residues, residue{slots: r.Slots, until: r.Until})
	}
}

// disinherit forgets the residues of earlier owners.
func (t *target) disinherit() {
	t.residues = slices.DeleteFunc(t.residues, func(r residue) bool { return !r.own })
}

// observe applies the outcome of a work to the health of t.
func (t *target) observe(now time.Time, o Outcome, mayEject bool) {
	switch o {
	case Success:
		t.succeed(now)
	case Shed:
		t.shed(now)
	case Failure, Timeout, Broken:
		t.fail(now, mayEject)
	case ConnectFailure:
		t.connects++
		if t.connects >= connectsToEject || t.ejections > 0 {
			t.eject(now)
		}
	case Crash:
		t.eject(now)
	case Canceled, NotSent:
	}
}

func (t *target) succeed(now time.Time) {
	t.failures, t.connects, t.sheds = 0, 0, 0
	if t.signal.bad {
		t.signal.contradicted++
	}
	if t.signal.contradicted >= rampSuccesses {
		t.signal.contradicted, t.signal.disbelieved = 0, now.Add(disbelief)
	}
	if t.state != Cold {
		return
	}
	t.successes++
	if t.successes >= rampSuccesses {
		t.successes = 0
		t.limit++
	}
	if t.limit >= t.slots {
		t.state, t.limit, t.ejections = Healthy, t.slots, 0
	}
}

func (t *target) shed(now time.Time) {
	t.closed = later(t.closed, now.Add(backoff(baseShedPause, maxShedPause, t.sheds)))
	t.sheds++
	t.successes = 0
	t.limit = max(1, t.limit/2)
	if t.state == Healthy {
		t.state = Cold
	}
}

func (t *target) fail(now time.Time, mayEject bool) {
	t.failures++
	t.successes = 0
	enough := t.failures >= failuresToEject || t.ejections > 0 || t.signal.counts(now)
	if enough && mayEject {
		t.eject(now)
	}
}

// eject keeps work away from t, longer each time until t has been healthy again.
func (t *target) eject(now time.Time) {
	if !t.serves() || t.state == Suspect {
		return
	}
	t.reset()
	t.state = Suspect
	t.closed = later(t.closed, now.Add(backoff(baseEjection, maxEjection, t.ejections)))
	t.ejections++
}

func backoff(base, limit time.Duration, n int) time.Duration {
	for range n {
		base = min(base*2, limit)
	}
	return base
}

// hear applies an endpoint signal.
func (t *target) hear(now time.Time, s Signal) {
	t.signal.load = s.Load
	t.signal.at = now
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
		t.signal.bad, t.signal.contradicted = false, 0
		return
	}
	if t.signal.bad {
		return
	}
	t.signal.bad, t.signal.since, t.signal.contradicted = true, now, 0
}
