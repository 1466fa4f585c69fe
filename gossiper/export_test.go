package gossiper

import (
	"net/netip"
	"time"
)

// Rounds plays rounds of a fleet whose datagrams all arrive, and returns how often an instance took one that lives for
// silent. Members are by address.
func Rounds(now time.Time, ms map[netip.Addr]*Members, rounds int) int {
	silent := 0
	for range rounds {
		now = now.Add(Interval)
		for a, m := range ms {
			silent += len(m.Sweep(now, memberKeep))
			heard := m.sample(now, passedOn)
			for _, to := range m.pick(now, nearFanout, farFanout) {
				ms[to].tell(ms[a].self, heard, now)
			}
			for _, to := range m.doubts(now, doubtFanout) {
				ms[to].tell(ms[a].self, heard, now)
				m.HearFirstHand(ms[to].self, now)
			}
		}
	}
	return silent
}

func (m *Members) tell(from Member, heard []heardOf, now time.Time) {
	m.HearFirstHand(from, now)
	for _, h := range heard {
		m.Hear(h.Member, now.Add(-time.Duration(h.AgeMilliseconds)*time.Millisecond))
	}
}
