package gossiper

import (
	"net/netip"
	"time"
)

// SimulateRounds runs gossip rounds of a fleet without loss of datagrams, and returns how often an instance reported
// a live one as silent. Members are keyed by address.
func SimulateRounds(now time.Time, ms map[netip.Addr]*Members, rounds int) int {
	silent := 0
	for range rounds {
		now = now.Add(Interval)
		for a, m := range ms {
			silent += len(m.Sweep(now, memberRetention))
			heard := m.sample(now, relayedPerDatagram)
			for _, to := range m.selectPeers(now, localFanout, remoteFanout) {
				ms[to].deliver(ms[a].self, heard, m.brief(now, briefPerDatagram, m.isOwnRegion(to)), now)
			}
			for _, to := range m.staleMembers(now, probeFanout) {
				ms[to].deliver(ms[a].self, heard, m.brief(now, briefPerDatagram, m.isOwnRegion(to)), now)
				m.HearFirstHand(ms[to].self, now)
			}
		}
		for at := now; at.Before(now.Add(Interval)); at = at.Add(loadInterval) {
			for a, m := range ms {
				for _, to := range m.loadReceivers(at) {
					ms[to].HearFirstHand(ms[a].self, at)
				}
			}
		}
	}
	return silent
}

func (m *Members) deliver(from Member, heard []relayedMember, brief map[netip.Addr]int64, now time.Time) {
	m.HearFirstHand(from, now)
	for _, h := range heard {
		m.Hear(h.Member, now.Add(-time.Duration(h.AgeMilliseconds)*time.Millisecond))
	}
	for a, age := range brief {
		m.HearBriefly(a, now.Add(-time.Duration(age)*time.Millisecond))
	}
}

// LoadReceivers returns the instances that get the next load report.
func LoadReceivers(m *Members, now time.Time) []netip.Addr {
	return m.loadReceivers(now)
}

// PassedOn returns the ages in milliseconds of the members on which datagrams report.
func PassedOn(m *Members, now time.Time) map[netip.Addr]int64 {
	r := map[netip.Addr]int64{}
	for _, h := range m.sample(now, relayedPerDatagram) {
		r[h.Address] = h.AgeMilliseconds
	}
	for _, own := range []bool{true, false} {
		for a, age := range m.brief(now, briefPerDatagram, own) {
			r[a] = age
		}
	}
	return r
}
