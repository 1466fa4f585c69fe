package placer

import (
	"container/list"
	"maps"
	"slices"
	"time"
)

const (
	// peerReportTTL is how long another instance's report of its requests is valid. In a region of 26 instances, each
	// sends to each of the others every 600 ms at most.
	peerReportTTL = time.Second
	// placementWindow is how long a placement is repeated in reports, so that each of these instances gets it.
	placementWindow = 700 * time.Millisecond
	// maxPlacements bounds the placements in a report, so that it fits into a datagram.
	maxPlacements = 256
	// maxReportedRequests bounds what a report may state for one target.
	maxReportedRequests = 1 << 16
	// maxCachedObjects is the number of objects that a target is assumed to cache; the least recently used are
	// evicted first.
	maxCachedObjects = 20
)

// Report is what an instance tells others about its requests.
type Report struct {
	// InFlight is the number of requests in flight at each target that has any.
	InFlight map[string]int
	// Placed lists the objects of the latest requests by target, the latest at the end.
	Placed map[string][]uint32
}

// usage is what all instances do with a target, as far as known.
type usage struct {
	// inFlight is the number of requests in flight from other instances.
	inFlight int
	// cache holds the objects that requests of all instances put into the target's cache.
	cache cachedObjects
}

// peerReport is the valid report of another instance.
type peerReport struct {
	inFlight map[*usage]int
	at       time.Time
}

type placement struct {
	target string
	object uint32
	at     time.Time
}

// peers holds the reports of other instances and the placements for the own report.
type peers struct {
	usages  map[string]*usage
	reports map[string]peerReport
	// expiredAt is when expired reports were last removed.
	expiredAt  time.Time
	placements []placement
}

func newPeers() peers {
	return peers{usages: map[string]*usage{}, reports: map[string]peerReport{}}
}

func (p *peers) usageOf(target string) *usage {
	u := p.usages[target]
	if u == nil {
		u = &usage{}
		p.usages[target] = u
	}
	return u
}

// adopt replaces the report of an instance.
func (p *peers) adopt(now time.Time, instance string, r Report) {
	p.retract(instance)
	n := make(map[*usage]int, len(r.InFlight))
	for t, k := range r.InFlight {
		if k > 0 {
			u := p.usageOf(t)
			n[u] = min(k, maxReportedRequests)
			u.inFlight += n[u]
		}
	}
	p.reports[instance] = peerReport{inFlight: n, at: now}
	for t, os := range r.Placed {
		u := p.usageOf(t)
		for _, o := range os {
			u.cache.add(o)
		}
	}
}

func (p *peers) retract(instance string) {
	for u, k := range p.reports[instance].inFlight {
		u.inFlight -= k
	}
	delete(p.reports, instance)
}

// expire removes reports that are no longer valid.
func (p *peers) expire(now time.Time) {
	if now.Sub(p.expiredAt) < peerReportTTL/10 {
		return
	}
	p.expiredAt = now
	for i, r := range p.reports {
		if now.Sub(r.at) > peerReportTTL {
			p.retract(i)
		}
	}
}

// keep discards the usage of targets that no longer exist. Reports hold on to it until they are replaced.
func (p *peers) keep(exists func(target string) bool) {
	maps.DeleteFunc(p.usages, func(n string, _ *usage) bool { return !exists(n) })
}

// record adds a placement to the next reports.
func (p *peers) record(now time.Time, target string, object uint32) {
	p.placements = append(p.placements, placement{target: target, object: object, at: now})
	if len(p.placements) > maxPlacements {
		p.placements = slices.Delete(p.placements, 0, len(p.placements)-maxPlacements)
	}
}

// latest returns the placements to report by target.
func (p *peers) latest(now time.Time) map[string][]uint32 {
	p.placements = slices.DeleteFunc(p.placements, func(l placement) bool { return now.Sub(l.at) > placementWindow })
	m := make(map[string][]uint32, len(p.placements))
	for _, l := range p.placements {
		m[l.target] = append(m[l.target], l.object)
	}
	return m
}

// Heard records the report of another instance.
func (p *Placer) Heard(now time.Time, instance string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.adopt(now, instance, r)
}

// Report returns what other instances need to know about the requests of this one.
func (p *Placer) Report(now time.Time) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{InFlight: map[string]int{}, Placed: p.peers.latest(now)}
	for n, s := range p.targets {
		if s.inFlight > 0 {
			r.InFlight[n] = s.inFlight
		}
	}
	return r
}

// cachedObjects is a least-recently-used list of the objects that a target is assumed to cache.
type cachedObjects struct {
	order    *list.List
	elements map[uint32]*list.Element
}

func (o *cachedObjects) contains(k uint32) bool {
	return o.elements[k] != nil
}

func (o *cachedObjects) remove(k uint32) {
	if e := o.elements[k]; e != nil {
		o.order.Remove(e)
		delete(o.elements, k)
	}
}

func (o *cachedObjects) add(k uint32) {
	if o.elements == nil {
		o.order, o.elements = list.New(), map[uint32]*list.Element{}
	}
	if e := o.elements[k]; e != nil {
		o.order.MoveToFront(e)
		return
	}
	o.elements[k] = o.order.PushFront(k)
	if o.order.Len() > maxCachedObjects {
		e := o.order.Back()
		delete(o.elements, o.order.Remove(e).(uint32)) //nolint:errcheck // Only these are added.
	}
}
