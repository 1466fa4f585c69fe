package placer

import "time"

const (
	// processingWeight is the weight of the latest sample in the processing-time averages.
	processingWeight = 0.15
	// initialCachedFraction and initialUncachedFraction set the processing times assumed before the first sample, as
	// fractions of the route's objective.
	initialCachedFraction   = 0.5
	initialUncachedFraction = 1.2
)

// ewma is an exponentially weighted moving average.
type ewma struct {
	weight, avg float64
	samples     int
}

func (m *ewma) add(v float64) {
	m.samples++
	m.avg += (v - m.avg) * max(m.weight, 1/float64(m.samples+1))
}

// durationMean is an ewma of durations.
type durationMean struct{ ewma }

func (d *durationMean) add(v time.Duration)    { d.ewma.add(float64(max(v, 0))) }
func (d *durationMean) average() time.Duration { return time.Duration(d.avg) }

type processingKey struct{ route, service string }

// processingTimes holds the processing times of a route's requests on a free slot of a service.
type processingTimes struct {
	// cached and uncached are for objects that are and are not in the target's cache.
	cached, uncached durationMean
}

func (p *Placer) timesFor(w Work) *processingTimes {
	k := processingKey{route: w.Route.Name, service: w.Service}
	e := p.times[k]
	if e == nil {
		o := float64(w.Route.Objective)
		e = &processingTimes{
			cached:   durationMean{ewma{weight: processingWeight, avg: o * initialCachedFraction}},
			uncached: durationMean{ewma{weight: processingWeight, avg: o * initialUncachedFraction}},
		}
		p.times[k] = e
	}
	return e
}

func (e *processingTimes) estimate(cached bool) time.Duration {
	if cached {
		return e.cached.average()
	}
	return e.uncached.average()
}

// peerCachedProbability holds, for the first targets of an object's order, the probability that requests of other
// instances have put the object into the target's cache.
var peerCachedProbability = [...]float64{0.7, 0.3}

// expected returns the expected processing time of an object on the target at position rank of the object's order.
func (e *processingTimes) expected(cached bool, rank int) time.Duration {
	if cached || rank >= len(peerCachedProbability) {
		return e.estimate(cached)
	}
	p := peerCachedProbability[rank]
	return time.Duration(p*float64(e.cached.average()) + (1-p)*float64(e.uncached.average()))
}

// midpoint separates processing times of cached objects from those of uncached ones.
func (e *processingTimes) midpoint() time.Duration {
	return (e.cached.average() + e.uncached.average()) / 2
}

func (e *processingTimes) record(cached bool, d time.Duration) {
	if cached {
		e.cached.add(d)
		return
	}
	e.uncached.add(d)
}

// serviceMean returns the mean processing time of a service over all its routes.
func (p *Placer) serviceMean(service string) *durationMean {
	k := processingKey{service: service}
	e := p.times[k]
	if e == nil {
		e = &processingTimes{cached: durationMean{ewma{weight: processingWeight, avg: float64(initialServiceMean)}}}
		p.times[k] = e
	}
	return &e.cached
}

// initialServiceMean is the mean processing time assumed for a service without samples.
const initialServiceMean = 200 * time.Millisecond

func (p *Placer) meanTime(service string) time.Duration {
	return p.serviceMean(service).average()
}
