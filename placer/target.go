package placer

import (
	"math"
	"net/netip"
	"time"

	"celeryhead.dev/celeryhead/cataloger"
)

const (
	// minFaultPause is how long a target gets no requests after a fault. It doubles with each consecutive fault up to
	// maxFaultPause.
	minFaultPause = 300 * time.Millisecond
	maxFaultPause = 3 * time.Second
	// shedPause is how long a target gets no requests after it rejected one for lack of capacity; it grows linearly
	// with consecutive rejections.
	shedPause = 60 * time.Millisecond
	// loadReportTTL is how long the load that a target reported takes precedence over the sum of the instances'
	// counts.
	loadReportTTL = 100 * time.Millisecond
	// unattributedWeight is the weight of the latest sample in the load from instances that send no reports, and
	// unattributedDecay is the time constant with which that load decays.
	unattributedWeight = 0.4
	unattributedDecay  = 2 * time.Second
	// faultWeight is the weight of the latest outcome in a target's fault rate.
	faultWeight = 0.2
	// faultPenaltyRuns is the cost of a fault in runs of an uncached object: the failed run and its retry.
	faultPenaltyRuns = 2
	// slownessWeight is the weight of the latest request in a target's slowness.
	slownessWeight = 0.3
	// slownessTTL is how long a target's slowness is valid without a new sample.
	slownessTTL = 3 * time.Second
	minSlowness = 0.8
	maxSlowness = 12
	// statedSlowdownTTL is how long a slowdown that a target states has any weight. Targets are slow for 0.6 s at a time; one
	// that was slow at a moment is still slow after an age a with the probability 1 - a/0.6 s, which is the weight.
	statedSlowdownTTL = 600 * time.Millisecond
)

// Outcome is the result of a request on a target.
type Outcome int

// Outcomes of a request.
const (
	// Answered means that the target answered.
	Answered Outcome = iota
	// Failed means that the target answered with an error of its own.
	Failed
	// Shed means that the target stated that it did not run the request.
	Shed
	// Declined means that the target did not answer the request because it wants none for a while; it is not at fault.
	Declined
	// Broken means that the connection broke after the request was sent.
	Broken
	// Silent means that no answer arrived in time.
	Silent
	// Unreached means that no connection could be opened.
	Unreached
	// Canceled means that the caller disconnected or the request was not sent; it says nothing about the target.
	Canceled
)

// Load is the load that a target reports with its answers.
type Load struct {
	// Slots is 0 if the target states none.
	Running, Waiting, Slots int
	// Slowdown is how many times longer than usual work takes on the target at present; 0 means that it does not say.
	Slowdown float64
}

// target is what this instance has learned about a target.
type target struct {
	service  string
	started  int64
	inFlight int
	// reported is the load from all other instances at the time of the target's last report.
	reported   float64
	reportedAt time.Time
	// reportedSlots is the number of slots that the target reported with an answer, or 0.
	reportedSlots int
	// usage is what all instances do with the target. unattributed is an average of the reported load that neither this
	// instance nor the reports of others account for.
	usage        *usage
	unattributed float64
	// stated is the slowdown that the target stated last, or 0, and statedAt is when it did. slowdown is what measured
	// processing times show beyond that.
	stated            float64
	statedAt          time.Time
	slowdown          ewma
	slowdownAt        time.Time
	faultRate         float64
	consecutiveFaults int
	pausedUntil       time.Time
	// lost is the address at which another target was found.
	lost     netip.AddrPort
	halfOpen bool
	lastUsed time.Time
	// lastAnswered is when the target last answered a request of this instance.
	lastAnswered time.Time
	// joinedAt is when the target was first seen; it is zero for targets that were known at the first request.
	joinedAt         time.Time
	consecutiveSheds int
}

func (p *Placer) state(now time.Time, t *cataloger.Target) *target {
	s := p.targets[t.Name]
	if s == nil || s.started != t.Started {
		n := 0
		if s != nil {
			n = s.inFlight
		}
		u := p.peers.usageOf(t.Name)
		if s != nil {
			// The new process has cached nothing.
			u.cache = cachedObjects{}
		}
		s = &target{service: t.Service, started: t.Started, usage: u, inFlight: n, slowdown: ewma{weight: slownessWeight, avg: 1}}
		if now.After(p.firstRequestAt) {
			s.joinedAt = now
		}
		p.targets[t.Name] = s
	}
	if s.lost.IsValid() && s.lost != t.Address {
		s.lost, s.pausedUntil = netip.AddrPort{}, time.Time{}
	}
	return s
}

// available reports whether the target may get a request. A half-open target, after faults, gets one at a time.
func (s *target) available(now time.Time) bool {
	if now.Before(s.pausedUntil) {
		return false
	}
	return !s.halfOpen || s.inFlight == 0
}

// unused reports whether the target joined more than introductionDelay ago and has had no request of this instance
// since.
func (s *target) unused(now time.Time) bool {
	return s.lastUsed.IsZero() && !s.joinedAt.IsZero() && now.Sub(s.joinedAt) > introductionDelay
}

// load returns the estimated number of requests on the target.
func (s *target) load(now time.Time) float64 {
	if now.Sub(s.reportedAt) <= loadReportTTL {
		return float64(s.inFlight) + s.reported
	}
	rest := s.unattributed * math.Exp(-float64(now.Sub(s.reportedAt))/float64(unattributedDecay))
	return float64(s.inFlight) + float64(s.usage.inFlight) + rest
}

func (s *target) recordLoad(now time.Time, o Load) {
	s.reportedSlots = o.Slots
	s.reported = max(0, float64(o.Running+o.Waiting-s.inFlight))
	rest := max(0, s.reported-float64(s.usage.inFlight))
	s.unattributed += (rest - s.unattributed) * max(unattributedWeight, 1-math.Exp(-float64(now.Sub(s.reportedAt))/float64(unattributedDecay)))
	s.reportedAt = now
	if o.Slowdown > 0 {
		s.stated, s.statedAt = o.Slowdown, now
	}
}

// statedNow returns the slowdown that the target stated, within the bounds of slowness, and its weight, which is 0 if nothing
// is known.
func (s *target) statedNow(now time.Time) (slowdown, weight float64) {
	age := now.Sub(s.statedAt)
	if s.stated <= 0 || age >= statedSlowdownTTL {
		return 1, 0
	}
	return boundSlowness(s.stated), 1 - float64(max(age, 0))/float64(statedSlowdownTTL)
}

func boundSlowness(f float64) float64 {
	return min(max(f, minSlowness), maxSlowness)
}

// slots returns the number of slots: the smaller one of what the target's row and its answers state.
func (s *target) slots(stated int) int {
	if s.reportedSlots > 0 {
		return min(s.reportedSlots, max(stated, 1))
	}
	return max(stated, 1)
}

// wait estimates the queueing time until a slot is free.
func (s *target) wait(now time.Time, stated int, work time.Duration) time.Duration {
	n := s.slots(stated)
	q := s.load(now) - float64(n) + 1
	if q <= 0 {
		return 0
	}
	return time.Duration(q * float64(work) / float64(n) * s.slowness(now))
}

// slowness estimates how many times longer than usual processing takes: what the target states of the present, weighted by the
// age of the statement, and what measured processing times show beyond that.
func (s *target) slowness(now time.Time) float64 {
	measured := 1.0
	if now.Sub(s.slowdownAt) <= slownessTTL {
		measured = s.slowdown.avg
	}
	stated, weight := s.statedNow(now)
	return boundSlowness(measured * (1 + weight*(stated-1)))
}

// faultPenalty returns the expected cost of the target's faults as a time.
func (s *target) faultPenalty(e *processingTimes) time.Duration {
	return time.Duration(s.faultRate * faultPenaltyRuns * float64(e.uncached.average()))
}

func (s *target) recordOutcome(now time.Time, o Outcome) {
	fault := 0.0
	switch o {
	case Canceled, Declined:
		return
	case Answered:
		s.consecutiveFaults, s.halfOpen, s.consecutiveSheds = 0, false, 0
		s.slowdownAt = now
	case Shed:
		s.consecutiveSheds++
		s.pausedUntil = now.Add(time.Duration(s.consecutiveSheds) * shedPause)
		fault = 0.5
	case Failed:
		fault = 1
	case Broken, Silent, Unreached:
		fault = 1
		s.consecutiveFaults++
		if o == Unreached || s.consecutiveFaults > 1 {
			s.pausedUntil = now.Add(min(minFaultPause<<min(s.consecutiveFaults-1, 8), maxFaultPause))
			s.halfOpen = true
		}
	}
	s.faultRate += (fault - s.faultRate) * faultWeight
}
