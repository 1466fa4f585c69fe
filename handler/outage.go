package handler

import (
	"sync"
	"time"
)

// lapseLife is how long after an outage of the store rows that lapsed in it may come back, as the platform states.
const lapseLife = 2 * time.Second

// outages tells an outage of the store from a store that turns only this instance away, by when it last answered any instance.
type outages struct {
	mu sync.Mutex
	// away is true while the store is not known to have answered anybody within contactLimit.
	away bool
	// returned is the end of the last such time.
	returned time.Time
}

// observe records when the store last answered any instance, as far as known.
func (o *outages) observe(now, contact time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case now.Sub(contact) > contactLimit:
		o.away = true
	case o.away:
		o.away, o.returned = false, now
	}
}

// lapsing reports whether rows may be missing only because the store was away: from the beginning of an outage, which this
// instance saw end at the given time, until lapseLife after its end. While the store answers others, a missing row was removed,
// even if it turns this instance away.
func (o *outages) lapsing(now, returned time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if returned.IsZero() || now.Sub(returned) >= lapseLife {
		return false
	}
	return o.away || now.Sub(o.returned) < lapseLife
}
