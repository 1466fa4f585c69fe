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
				ms[to].deliver(ms[a].self, heard, now)
			}
			for _, to := range m.staleMembers(now, probeFanout) {
				ms[to].deliver(ms[a].self, heard, now)
				m.HearFirstHand(ms[to].self, now)
			}
		}
	}
	return silent
}

func (m *Members) deliver(from Member, heard []relayedMember, now time.Time) {
	m.HearFirstHand(from, now)
	for _, h := range heard {
		m.Hear(h.Member, now.Add(-time.Duration(h.AgeMilliseconds)*time.Millisecond))
	}
}
