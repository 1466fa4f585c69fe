package placer

import "time"

const (
	// paceWeight is the weight of the newest request in the estimates of work.
	paceWeight = 0.15
	// firstKnown and firstStrange are the parts of the objective that work takes until there are measurements.
	firstKnown   = 0.5
	firstStrange = 1.2
)

// mean is an exponentially weighted mean.
type mean struct {
	weight, at float64
	n          int
}

func (m *mean) add(v float64) {
	m.n++
	m.at += (v - m.at) * max(m.weight, 1/float64(m.n+1))
}

// duration is a mean of durations.
type duration struct{ mean }

func (d *duration) add(v time.Duration)  { d.mean.add(float64(max(v, 0))) }
func (d *duration) value() time.Duration { return time.Duration(d.at) }

type paceKey struct{ route, service string }

// pace is how long the requests of a route take on a free slot of a service.
type pace struct {
	// known and strange are for objects that the target knows and does not know.
	known, strange duration
}

func (p *Placer) pace(w Work) *pace {
	k := paceKey{route: w.Route.Name, service: w.Service}
	e := p.paces[k]
	if e == nil {
		o := float64(w.Route.Objective)
		e = &pace{
			known:   duration{mean{weight: paceWeight, at: o * firstKnown}},
			strange: duration{mean{weight: paceWeight, at: o * firstStrange}},
		}
		p.paces[k] = e
	}
	return e
}

func (e *pace) work(known bool) time.Duration {
	if known {
		return e.known.value()
	}
	return e.strange.value()
}

// othersKnow are the chances that other instances made an object known to the first targets of its order.
var othersKnow = [...]float64{0.7, 0.3}

// expected returns the work for an object on the target at a place of the object's order.
func (e *pace) expected(known bool, rank int) time.Duration {
	if known || rank >= len(othersKnow) {
		return e.work(known)
	}
	p := othersKnow[rank]
	return time.Duration(p*float64(e.known.value()) + (1-p)*float64(e.strange.value()))
}

// middle divides the times of known objects from those of strange ones.
func (e *pace) middle() time.Duration {
	return (e.known.value() + e.strange.value()) / 2
}

func (e *pace) learn(known bool, d time.Duration) {
	if known {
		e.known.add(d)
		return
	}
	e.strange.add(d)
}

// meanOf returns the mean work of a service over all its routes.
func (p *Placer) meanOf(service string) *duration {
	k := paceKey{service: service}
	e := p.paces[k]
	if e == nil {
		e = &pace{known: duration{mean{weight: paceWeight, at: float64(firstMean)}}}
		p.paces[k] = e
	}
	return &e.known
}

// firstMean is the work of a service of which nothing was measured.
const firstMean = 200 * time.Millisecond

func (p *Placer) mean(service string) time.Duration {
	return p.meanOf(service).value()
}
