package handler

import (
	"net/netip"
	"time"

	"celeryhead.dev/celeryhead/resolver"
)

// Lookup returns the addresses that a caller should use for a host, and for how long it may use the answer.
func (s *Server) Lookup(host, region, failureDomain string) ([]netip.AddrPort, time.Duration) {
	s.meter.Lookup()
	q := resolver.Query{Region: region, FailureDomain: failureDomain, Homes: s.book.Catalog().Regions(host)}
	as := resolver.Choose(q, append(s.members.Alive(s.clock()), s.self()))
	r := make([]netip.AddrPort, len(as))
	for i, a := range as {
		// All instances of a deployment listen on the same ports.
		r[i] = netip.AddrPortFrom(a, s.settings.Callers.Port())
	}
	return r, s.limits.Load().LookupLife
}
