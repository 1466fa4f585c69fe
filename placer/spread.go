package placer

import (
	"math"
	"time"
)

const (
	// demandWindow is the length of the windows in which requests are counted per object.
	demandWindow = 8 * time.Second
	// minFanout is the smallest number of targets that serve an object, so that one may be gone and another one full.
	minFanout = 3
	// otherFanout is the number of further targets, which other regions prefer, that may serve an object when its own
	// ones are busy.
	otherFanout = 4
	// objectsPerTarget is the number of objects planned for each target. Targets cache 20 or more, but a target that
	// is assigned as many objects as it can cache evicts them when it takes over those of failed targets.
	objectsPerTarget = 8
	// demandHeadroom scales an object's number of targets relative to its share of the requests.
	demandHeadroom = 2
)

// demand counts the requests per object of a service in the current window and the previous one.
type demand struct {
	current, previous requestCounts
	windowStart       time.Time
}

type requestCounts struct {
	objects map[string]int
	total   int
}

func newDemand() *demand {
	return &demand{current: requestCounts{objects: map[string]int{}}}
}

func (p *Placer) demandFor(service string) *demand {
	d := p.demands[service]
	if d == nil {
		d = newDemand()
		p.demands[service] = d
	}
	return d
}

func (d *demand) add(now time.Time, key string) {
	if now.Sub(d.windowStart) > demandWindow {
		d.previous, d.current, d.windowStart = d.current, requestCounts{objects: map[string]int{}}, now
	}
	d.current.objects[key]++
	d.current.total++
}

// fanout returns how many of the given number of targets serve an object: as many as its request rate needs, and
// otherwise few enough that each target serves few objects. If every target got every object, each object would be
// evicted before its next request and processing would take several times as long, which exhausts the capacity in a
// peak.
func (d *demand) fanout(key string, targets int) int {
	c := d.current
	if d.previous.total > c.total {
		c = d.previous
	}
	byMemory := targets * objectsPerTarget / max(len(c.objects), 1)
	byRate := int(math.Ceil(demandHeadroom * float64(targets) * float64(c.objects[key]) / float64(max(c.total, 1))))
	return max(minFanout, byMemory, byRate)
}

// candidateQuota is how many more targets may become candidates for a request.
type candidateQuota struct {
	preferred, other int
}

// unlimited admits all targets.
var unlimited = candidateQuota{preferred: math.MaxInt, other: math.MaxInt}

// quotaFor returns how many of a service's targets may become candidates for a request.
func (p *Placer) quotaFor(now time.Time, w Work, o order) candidateQuota {
	if w.Object == "" {
		return unlimited
	}
	d := p.demandFor(w.Service)
	d.add(now, w.key)
	return candidateQuota{preferred: d.fanout(w.key, o.preferred), other: otherFanout}
}

func (s *candidateQuota) allows(preferred bool) bool {
	if preferred {
		return s.preferred > 0
	}
	return s.other > 0
}

func (s *candidateQuota) use(preferred bool) {
	if preferred {
		s.preferred--
	} else {
		s.other--
	}
}
