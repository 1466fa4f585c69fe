package placer

import (
	"math"
	"time"

	"celeryhead.dev/celeryhead/cataloger"
)

const (
	// demandTime is the length of the windows in which the requests for objects are counted.
	demandTime = 8 * time.Second
	// minSpread is the least number of targets among which an object's requests are divided; one of them may be gone, and
	// another one full.
	minSpread = 3
	// ownSpread is the least number of them in the own region, which answers sooner.
	ownSpread = 1
	// objectsPerTarget is the number of objects for which a target is meant. Targets remember 20 or more, but a target that
	// gets all that it remembers has lost them when others fail.
	objectsPerTarget = 8
	// demandRoom is how many times the part of the targets that its requests need an object gets.
	demandRoom = 2
)

// demand counts the requests for each object of a service, in the present window and the one before.
type demand struct {
	now, last counts
	since     time.Time
}

type counts struct {
	objects map[string]int
	all     int
}

func newDemand() *demand {
	return &demand{now: counts{objects: map[string]int{}}}
}

func (p *Placer) demandOf(service string) *demand {
	d := p.demands[service]
	if d == nil {
		d = newDemand()
		p.demands[service] = d
	}
	return d
}

func (d *demand) add(now time.Time, key string) {
	if now.Sub(d.since) > demandTime {
		d.last, d.now, d.since = d.now, counts{objects: map[string]int{}}, now
	}
	d.now.objects[key]++
	d.now.all++
}

// spread returns among how many of a number of targets an object's requests are divided: as many as their rate needs, and
// otherwise no more than leave each target few objects. Targets that get every object forget each of them before it comes
// again, and work several times as long; in a peak that ends what is left of their capacity.
func (d *demand) spread(key string, targets int) int {
	c := d.now
	if d.last.all > c.all {
		c = d.last
	}
	byMemory := targets * objectsPerTarget / max(len(c.objects), 1)
	byRate := int(math.Ceil(demandRoom * float64(targets) * float64(c.objects[key]) / float64(max(c.all, 1))))
	return max(minSpread, byMemory, byRate)
}

// spread is how many more targets a request may have as candidates.
type spread struct {
	// all counts those of any region, own those of the own region beside them.
	all, own int
}

// spreadOf returns how many of a service's targets may have a request.
func (p *Placer) spreadOf(now time.Time, w Work, ts []*cataloger.Target) spread {
	if w.Object == "" {
		return spread{all: len(ts)}
	}
	d := p.demandOf(w.Service)
	d.add(now, w.key)
	return spread{all: d.spread(w.key, len(ts)), own: ownSpread}
}

func (s *spread) has(own bool) bool {
	return s.all > 0 || own && s.own > 0
}

func (s *spread) take(own bool) {
	s.all--
	if own {
		s.own--
	}
}
