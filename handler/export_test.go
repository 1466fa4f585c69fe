package handler

import (
	"time"

	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/cataloger"
)

// Shares returns how many of n requests of a route go to each of its destinations.
func Shares(r *cataloger.Route, n int) map[string]int {
	s, m := newSplits(), map[string]int{}
	for range n {
		m[s.next(r)]++
	}
	return m
}

// TripAfter returns the time to a region after connections that took these times, one each pause.
func TripAfter(pause time.Duration, ds ...time.Duration) time.Duration {
	t := trips{regions: map[string]*trip{}}
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	for _, d := range ds {
		now = now.Add(pause)
		t.add("far", d, now)
	}
	return t.to("far")
}

// MayUseKey reports whether a request accepted by one catalog may be sent with its key under another one, some time after
// its arrival.
func MayUseKey(key authenticator.Digest, accepted, current *cataloger.Catalog, waited time.Duration) bool {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	c := call{key: key, catalog: accepted, arrival: now.Add(-waited)}
	c.account, _ = accepted.Account(key)
	return c.mayUseKey(current, now)
}
