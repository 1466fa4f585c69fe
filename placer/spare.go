package placer

import "time"

const (
	// spareShare is the part of a service's time that may go to requests for objects on targets that do not know them
	// while others do; more of it makes peaks worse, since such requests occupy a slot for several times as long.
	spareShare = 0.15
	// maxSpare bounds what is saved up for the beginning of a peak.
	maxSpare = 6 * time.Second
)

// spare is the time that a service may spend on making objects known to further targets.
type spare struct {
	left time.Duration
}

func (p *Placer) spareOf(service string) *spare {
	r := p.spares[service]
	if r == nil {
		r = &spare{left: maxSpare}
		p.spares[service] = r
	}
	return r
}

// add records the run of a request for a known object.
func (r *spare) add(run time.Duration) {
	r.left = min(maxSpare, r.left+time.Duration(spareShare*float64(run)))
}

// take reports whether there is time for a run, and takes it if so.
func (r *spare) take(run time.Duration) bool {
	if r.left < run {
		return false
	}
	r.left -= run
	return true
}
