package gossiper

import (
	"bytes"
	"encoding/json"
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
				ms[to].deliver(ms[a].self, heard, m.brief(now, m.isOwnRegion(to)), now)
			}
			for _, to := range m.staleMembers(now, probeFanout) {
				ms[to].deliver(ms[a].self, heard, m.brief(now, m.isOwnRegion(to)), now)
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
		for a, age := range m.brief(now, own) {
			r[a] = age
		}
	}
	return r
}

// Sizes returns the lengths of the plain and the compressed form of a datagram with a state, a load and members, and whether both
// forms decode to the same text.
func Sizes(self Member, s State, l Load, others []Member) (plain, compact int, same bool, err error) {
	var c codec
	d := datagram{From: self, State: &s, InFlight: l.InFlight, Placed: l.Placed, Brief: map[netip.Addr]int64{}}
	for i, m := range others {
		if i < relayedPerDatagram {
			d.Relayed = append(d.Relayed, relayedMember{Member: m, AgeMilliseconds: 100})
		} else {
			d.Brief[m.Address] = 200
		}
	}
	// The second use of a compressor must not depend on the first one.
	if _, err = c.encode(d); err != nil {
		return 0, 0, false, err
	}
	e, err := c.encode(d)
	if err != nil {
		return 0, 0, false, err
	}
	var texts [2][]byte
	for i, b := range [][]byte{e.plain, e.compact} {
		x, err := c.decode(b)
		if err != nil {
			return 0, 0, false, err
		}
		if texts[i], err = json.Marshal(x); err != nil {
			return 0, 0, false, err
		}
	}
	return len(e.plain), len(e.compact), bytes.Equal(texts[0], texts[1]), nil
}

// Compress returns the compressed form of a text.
func Compress(text []byte) ([]byte, error) {
	var c codec
	return c.compress(text)
}

// Decode decodes a datagram.
func Decode(b []byte) error {
	var c codec
	_, err := c.decode(b)
	return err
}
