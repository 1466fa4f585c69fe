package placer

import (
	"container/list"
	"math"
	"time"

	"celeryhead.dev/celeryhead/cataloger"
)

const (
	// firstPause is how long a target gets nothing after a fault; it doubles with each further one up to lastPause.
	firstPause = 300 * time.Millisecond
	lastPause  = 3 * time.Second
	// shedPause is how long a target gets nothing after it rejected a request as full.
	shedPause = 60 * time.Millisecond
	// toldLife is how long the load that a target told itself counts more than what is added up of it.
	toldLife = 100 * time.Millisecond
	// heardLife is how long what another instance told of its requests counts; it tells them five times a second.
	heardLife = 600 * time.Millisecond
	// restWeight is the weight of the newest answer in the load of instances that do not tell theirs, and restFade the
	// time in which that load loses its meaning.
	restWeight = 0.4
	restFade   = 2 * time.Second
	// faultWeight is the weight of the newest outcome in a target's rate of faults.
	faultWeight = 0.2
	// faultCost is how many runs of an unknown object a fault costs: the failed one and its repetition.
	faultCost = 2
	// slownessWeight is the weight of the newest request in a target's slowness.
	slownessWeight = 0.3
	// slownessLife is how long a target's slowness counts without a new request.
	slownessLife = 3 * time.Second
	minSlowness  = 0.8
	maxSlowness  = 12
	// maxObjects is the number of objects that a target is taken to know; targets forget the oldest ones.
	maxObjects = 20
)

// Outcome is how a request on a target ended.
type Outcome int

// The outcomes.
const (
	// Answered means that the target answered.
	Answered Outcome = iota
	// Failed means that the target answered with an error of its own.
	Failed
	// Shed means that the target stated that it did not run the request.
	Shed
	// Broken means that the connection broke after the request was sent.
	Broken
	// Silent means that no answer came in time.
	Silent
	// Unreached means that no connection could be opened.
	Unreached
	// Canceled means that the caller left or the request was not sent, which says nothing about the target.
	Canceled
)

// Load is what a target tells of itself.
type Load struct {
	Running, Waiting, Slots int
}

// report is what another instance told of its requests on a target.
type report struct {
	inFlight int
	at       time.Time
}

// target is what this instance knows of one target.
type target struct {
	service  string
	started  int64
	inFlight int
	// told is the load of all other instances when the target last told its load.
	told   float64
	toldAt time.Time
	// peers is what other instances told of their requests here; rest is a mean of what they left out.
	peers    map[string]report
	rest     float64
	ratio    mean
	ratioAt  time.Time
	faults   float64
	row      int
	pausedTo time.Time
	trial    bool
	used     time.Time
	// answered is when the target last answered a request of this instance.
	answered time.Time
	// joined is when the target was found after others were in use; zero for the first ones.
	joined     time.Time
	objects    objects
	shedStreak int
}

func (p *Placer) state(now time.Time, t *cataloger.Target) *target {
	s := p.targets[t.Name]
	if s == nil || s.started != t.Started {
		n := 0
		if s != nil {
			n = s.inFlight
		}
		s = &target{service: t.Service, started: t.Started, inFlight: n, ratio: mean{weight: slownessWeight, at: 1}}
		if now.After(p.begun) {
			s.joined = now
		}
		p.targets[t.Name] = s
	}
	return s
}

// open reports whether the target may have a request; one that had faults gets one at a time.
func (s *target) open(now time.Time) bool {
	if now.Before(s.pausedTo) {
		return false
	}
	return !s.trial || s.inFlight == 0
}

// unused reports whether the target joined some time ago and had no request of this instance since.
func (s *target) unused(now time.Time) bool {
	return s.used.IsZero() && !s.joined.IsZero() && now.Sub(s.joined) > introduceAfter
}

// load is the number of requests on the target as far as known.
func (s *target) load(now time.Time) float64 {
	if now.Sub(s.toldAt) <= toldLife {
		return float64(s.inFlight) + s.told
	}
	rest := s.rest * math.Exp(-float64(now.Sub(s.toldAt))/float64(restFade))
	return float64(s.inFlight) + s.heard(now) + rest
}

// heard is the number of requests of the instances that tell theirs.
func (s *target) heard(now time.Time) float64 {
	n := 0
	for _, h := range s.peers {
		if now.Sub(h.at) <= heardLife {
			n += h.inFlight
		}
	}
	return float64(n)
}

func (s *target) tell(now time.Time, o Load) {
	s.told = max(0, float64(o.Running+o.Waiting-s.inFlight))
	rest := max(0, s.told-s.heard(now))
	s.rest += (rest - s.rest) * max(restWeight, 1-math.Exp(-float64(now.Sub(s.toldAt))/float64(restFade)))
	s.toldAt = now
}

// wait estimates the wait for a slot.
func (s *target) wait(now time.Time, slots int, work time.Duration) time.Duration {
	n := max(slots, 1)
	q := s.load(now) - float64(n) + 1
	if q <= 0 {
		return 0
	}
	return time.Duration(q * float64(work) / float64(n) * s.slowness(now))
}

func (s *target) slowness(now time.Time) float64 {
	if now.Sub(s.ratioAt) > slownessLife {
		return 1
	}
	return min(max(s.ratio.at, minSlowness), maxSlowness)
}

// charge is the time that the target's faults are expected to cost.
func (s *target) charge(e *pace) time.Duration {
	return time.Duration(s.faults * faultCost * float64(e.strange.value()))
}

func (s *target) end(now time.Time, o Outcome) {
	fault := 0.0
	switch o {
	case Canceled:
		return
	case Answered:
		s.row, s.trial, s.shedStreak = 0, false, 0
		s.ratioAt = now
	case Shed:
		s.shedStreak++
		s.pausedTo = now.Add(time.Duration(s.shedStreak) * shedPause)
		fault = 0.5
	case Failed:
		fault = 1
	case Broken, Silent, Unreached:
		fault = 1
		s.row++
		if o == Unreached || s.row > 1 {
			s.pausedTo = now.Add(min(firstPause<<min(s.row-1, 8), lastPause))
			s.trial = true
		}
	}
	s.faults += (fault - s.faults) * faultWeight
}

// objects remembers the objects that a target handled last.
type objects struct {
	order *list.List
	at    map[string]*list.Element
}

func (o *objects) has(k string) bool {
	return o.at[k] != nil
}

func (o *objects) remove(k string) {
	if e := o.at[k]; e != nil {
		o.order.Remove(e)
		delete(o.at, k)
	}
}

func (o *objects) add(k string) {
	if o.at == nil {
		o.order, o.at = list.New(), map[string]*list.Element{}
	}
	if e := o.at[k]; e != nil {
		o.order.MoveToFront(e)
		return
	}
	o.at[k] = o.order.PushFront(k)
	if o.order.Len() > maxObjects {
		e := o.order.Back()
		delete(o.at, o.order.Remove(e).(string)) //nolint:errcheck // Only strings are added.
	}
}
