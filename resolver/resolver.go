package resolver

import (
	"cmp"
	"net/netip"
	"slices"

	"celeryhead.dev/celeryhead/gossiper"
)

// MaxAddresses is the largest number of addresses returned to a caller.
const MaxAddresses = 64

// Query is a caller's look-up.
type Query struct {
	Region, FailureDomain string
	// Homes are the regions to which the host's routes are limited; empty if they have no limit.
	Homes []string
}

// Choose returns the addresses of the instances to use, those in the caller's failure domain first.
func Choose(q Query, ms []gossiper.Member) []netip.Addr {
	var ready []gossiper.Member
	for _, m := range ms {
		if m.Ready {
			ready = append(ready, m)
		}
	}
	for _, fits := range []func(gossiper.Member) bool{
		func(m gossiper.Member) bool { return m.Region == q.Region },
		func(m gossiper.Member) bool { return slices.Contains(q.Homes, m.Region) },
		func(gossiper.Member) bool { return true },
	} {
		if as := addresses(q, ready, fits); len(as) > 0 {
			return as
		}
	}
	return nil
}

func addresses(q Query, ms []gossiper.Member, fits func(gossiper.Member) bool) []netip.Addr {
	var f []gossiper.Member
	for _, m := range ms {
		if fits(m) {
			f = append(f, m)
		}
	}
	slices.SortStableFunc(f, func(a, b gossiper.Member) int {
		return cmp.Or(distance(q, a)-distance(q, b), a.Address.Compare(b.Address))
	})
	as := make([]netip.Addr, 0, min(len(f), MaxAddresses))
	for _, m := range f[:min(len(f), MaxAddresses)] {
		as = append(as, m.Address)
	}
	return as
}

func distance(q Query, m gossiper.Member) int {
	if m.FailureDomain == q.FailureDomain {
		return 0
	}
	return 1
}
