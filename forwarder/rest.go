package forwarder

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// restGrowth is the time in which a lowered limit on the rest of connections doubles.
	restGrowth = 5 * time.Second
	// onceRestGrowth replaces restGrowth for requests that cannot be sent again, so that others find out first whether
	// connections survive longer again.
	onceRestGrowth = 20 * time.Second
	// lossWeight is the number of reused connections that must survive to outweigh a lost one.
	lossWeight = 4
	// maxLosses is the weight of losses from which they lower a limit.
	maxLosses = 2 * lossWeight
	// lossSlack extends the time in which the end of a connection counts as the answer to the first byte on it.
	lossSlack = 5 * time.Millisecond
	// minRestLimit is the lowest limit.
	minRestLimit = time.Millisecond
)

// restLimit learns how long connections may rest before they are reused; the zero value sets no limit.
type restLimit struct {
	ceiling time.Duration
	// usual and once are the limits at the time lowered for requests that can and cannot be sent again.
	usual, once time.Duration
	lowered     time.Time
	// survived is the longest rest after which a connection was still usable since then.
	survived time.Duration
	// losses is the weight of the losses.
	losses int
}

// at returns the limit for a request.
func (r *restLimit) at(now time.Time, once bool) time.Duration {
	v, growth := r.usual, restGrowth
	if once {
		v, growth = r.once, onceRestGrowth
	}
	if v == 0 {
		return r.ceiling
	}
	d := now.Sub(r.lowered)
	for ; d >= growth && v < r.ceiling; d -= growth {
		v *= 2
	}
	return min(v+time.Duration(float64(v)*d.Seconds()/growth.Seconds()), r.ceiling)
}

// lose records that a connection was lost when it was reused after a rest.
func (r *restLimit) lose(now time.Time, rested time.Duration) {
	if r.losses = min(r.losses+lossWeight, maxLosses); r.losses < maxLosses {
		return
	}
	v := max(rested/2, min(r.survived, rested*3/4), minRestLimit)
	r.usual, r.once = min(r.at(now, false), v), min(r.at(now, true), v)
	r.lowered, r.survived = now, 0
}

// survive records that a connection was usable after a rest.
func (r *restLimit) survive(rested time.Duration) {
	if r.usual > 0 {
		r.survived = max(r.survived, rested)
	}
	if r.losses > 0 {
		r.losses--
	}
}

// rests learns how long connections may rest before servers, or devices on the path, forget them without closing them. The
// next request on such a connection is lost and may have run. An instance may reuse connections to each of its addresses
// too rarely to learn from each alone, so losses at several addresses count for all unless as many connections survive or
// new ones are lost in the same way.
type rests struct {
	ceiling time.Duration

	mu        sync.Mutex
	common    restLimit
	addresses map[netip.AddrPort]*restLimit
	// last is the address of the last loss.
	last netip.AddrPort
}

func newRests(ceiling time.Duration) *rests {
	return &rests{ceiling: ceiling, common: restLimit{ceiling: ceiling}, addresses: make(map[netip.AddrPort]*restLimit)}
}

// limit returns how long a connection to a may have rested to be used for a request; once is true if the request cannot
// be sent again.
func (r *rests) limit(now time.Time, a netip.AddrPort, once bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.common.at(now, once)
	if l := r.addresses[a]; l != nil {
		v = min(v, l.at(now, once))
	}
	return v
}

// lost records a connection to a that was lost when it was reused after a rest.
func (r *rests) lost(now time.Time, a netip.AddrPort, rested time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.addresses[a]
	if l == nil {
		l = &restLimit{ceiling: r.ceiling}
		r.addresses[a] = l
	}
	l.lose(now, rested)
	if r.last != a {
		r.common.lose(now, rested)
	}
	r.last = a
}

// lostNew records a new connection that was lost, so that rest was not the cause of others.
func (r *rests) lostNew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.common = restLimit{ceiling: r.ceiling, losses: -maxLosses}
}

// survived records a connection to a that was usable after a rest.
func (r *rests) survived(a netip.AddrPort, rested time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.common.survive(rested)
	if l := r.addresses[a]; l != nil {
		l.survive(rested)
	}
}

// tick drops the addresses without losses whose limits are back at the ceiling.
func (r *rests) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, l := range r.addresses {
		if l.losses <= 0 && l.at(now, true) >= r.ceiling {
			delete(r.addresses, a)
		}
	}
}

// forget drops what is known of an address.
func (r *rests) forget(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.addresses, a)
}
