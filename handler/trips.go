package handler

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// tripWindow is how long a shortest time is kept before a longer one replaces it.
const tripWindow = 10 * time.Second

// trips measures the time to each region and back by the opening of connections to targets.
type trips struct {
	mu      sync.Mutex
	regions map[string]*trip
}

// trip holds the shortest times of the present window and of the one before.
type trip struct {
	last, now time.Duration
	since     time.Time
}

// to returns the time to a region and back; it is 0 until there is a measurement.
func (t *trips) to(region string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.regions[region]
	switch {
	case r == nil:
		return 0
	case r.last == 0:
		return r.now
	}
	return min(r.last, r.now)
}

func (t *trips) add(region string, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.regions[region]
	if r == nil {
		t.regions[region] = &trip{now: d, since: now}
		return
	}
	if now.Sub(r.since) > tripWindow {
		r.last, r.now, r.since = r.now, d, now
		return
	}
	r.now = min(r.now, d)
}

// dial opens a connection to a target and measures how long it took.
func (s *Server) dial(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	start := s.clock()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", a.String())
	if err != nil {
		return nil, err
	}
	now := s.clock()
	if r := s.book.Catalog().RegionOf(a.Addr()); r != "" {
		s.trips.add(r, now.Sub(start), now)
	}
	return c, nil
}
