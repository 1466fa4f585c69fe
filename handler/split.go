package handler

import (
	"math/rand/v2"
	"slices"
	"sync"

	"celeryhead.dev/celeryhead/cataloger"
)

// splits divides the requests of routes among their destinations by weight: in each run of requests every destination
// gets its share to within one.
type splits struct {
	mu     sync.Mutex
	routes map[string]*split
}

type split struct {
	destinations []cataloger.Destination
	credit       []float64
}

func newSplits() *splits {
	return &splits{routes: map[string]*split{}}
}

// next returns the destination of the next request of a route.
func (s *splits) next(r *cataloger.Route) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := r.Host + r.Prefix
	p := s.routes[k]
	if p == nil || !slices.Equal(p.destinations, r.Destinations) {
		p = newSplit(r.Destinations)
		s.routes[k] = p
	}
	return p.next()
}

func newSplit(ds []cataloger.Destination) *split {
	p := &split{destinations: ds, credit: make([]float64, len(ds))}
	// Instances begin at different points, or all first requests would go to the same destination.
	for i := range p.credit {
		p.credit[i] = rand.Float64() * ds[i].Weight //nolint:gosec // No secret.
	}
	return p
}

// next gives each destination its weight and takes the sum of the weights from the one that has most.
func (p *split) next() string {
	best, sum := 0, 0.0
	for i, d := range p.destinations {
		p.credit[i] += d.Weight
		sum += d.Weight
		if p.credit[i] > p.credit[best] {
			best = i
		}
	}
	p.credit[best] -= sum
	return p.destinations[best].Service
}
