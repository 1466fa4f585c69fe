package handler

import (
	"net/netip"
	"time"

	"celeryhead.dev/celeryhead/abstainer"
	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/timer"
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

// MayRun reports whether a request may be sent to a target, just before its first byte.
func MayRun(b *cataloger.Book, a *abstainer.Abstainer, t *cataloger.Target) error {
	s := &Server{book: b, abstainer: a, clock: timer.Now}
	return s.mayRun(&call{}, t)
}

// Peers keeps what an instance of a region knows of the others' copies of one table.
type Peers struct {
	peers  peers
	region string
}

// NewPeers returns peers of which nothing was heard.
func NewPeers(region string) *Peers { return &Peers{peers: newPeers(), region: region} }

// Hear records the version of a peer's copy.
func (p *Peers) Hear(a netip.Addr, content uint64) {
	p.peers.contents[a] = map[string]uint64{"table": content}
}

// Answered records whether a peer answered a call.
func (p *Peers) Answered(now time.Time, a netip.Addr, ok bool) { p.peers.answered(now, a, ok) }

// Newest returns the peer to ask for what changed after a version.
func (p *Peers) Newest(now time.Time, alive []gossiper.Member, after uint64) (netip.Addr, bool) {
	return p.peers.newest(now, alive, p.region, "table", after)
}
