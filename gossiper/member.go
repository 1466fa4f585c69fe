package gossiper

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Silence is how long an instance may be silent before it counts as gone; with Interval it allows for the loss of
// several datagrams, and callers are told of no instance that ended more than two look-up lives ago.
const Silence = 2500 * time.Millisecond

// Member is what an instance says of itself.
type Member struct {
	Name          string     `json:"n,omitempty"`
	Address       netip.Addr `json:"a"`
	Region        string     `json:"r,omitempty"`
	FailureDomain string     `json:"z,omitempty"`
	// Started is the start of the process in nanoseconds since 1970.
	Started int64 `json:"s,omitempty"`
	// Ready instances serve callers.
	Ready bool `json:"u,omitempty"`
}

type peer struct {
	Member
	heard time.Time
	// silent is true once the member was found silent, so that its return is told.
	silent bool
}

// Members keeps what was heard of other instances; it is safe for concurrent use.
type Members struct {
	self Member

	mu     sync.Mutex
	peers  map[netip.Addr]*peer
	listed map[netip.Addr]bool
	seeds  []netip.Addr
}

// NewMembers returns the members known from the seeds, of which nothing was heard yet.
func NewMembers(self Member, seeds []netip.Addr) *Members {
	return &Members{self: self, peers: map[netip.Addr]*peer{}, listed: map[netip.Addr]bool{}, seeds: seeds}
}

// List replaces the addresses of the instances that the store lists.
func (m *Members) List(as []netip.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.listed)
	for _, a := range as {
		m.listed[a] = true
	}
}

// Hear records what another instance passed on: that a member was heard at a time. It reports whether it is news: a new
// member, a restart or a return.
func (m *Members) Hear(k Member, at time.Time) bool {
	return m.hear(k, at, false)
}

// HearFirstHand does what Hear does with what a member says of itself. It counts even if its process seems to have
// started before the one that was heard last, since its clock may have been set back.
func (m *Members) HearFirstHand(k Member, at time.Time) bool {
	return m.hear(k, at, true)
}

func (m *Members) hear(k Member, at time.Time, firstHand bool) bool {
	if k.Address == m.self.Address || !k.Address.IsValid() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[k.Address]
	if p == nil {
		m.peers[k.Address] = &peer{Member: k, heard: at}
		return true
	}
	if !at.After(p.heard) || !firstHand && k.Started < p.Started {
		return false
	}
	news := k.Started != p.Started || p.silent || k.Ready != p.Ready
	p.Member, p.heard, p.silent = k, at, false
	return news
}

// Alive returns the members that were heard of within Silence, by address.
func (m *Members) Alive(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var r []Member
	for _, p := range m.peers {
		if now.Sub(p.heard) <= Silence {
			r = append(r, p.Member)
		}
	}
	slices.SortFunc(r, func(a, b Member) int { return a.Address.Compare(b.Address) })
	return r
}

// Sweep returns the members that have fallen silent since the last call, and forgets those that are silent for longer
// than keep.
func (m *Members) Sweep(now time.Time, keep time.Duration) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var r []Member
	for a, p := range m.peers {
		d := now.Sub(p.heard)
		if d > Silence && !p.silent {
			p.silent = true
			r = append(r, p.Member)
		}
		if d > keep {
			delete(m.peers, a)
		}
	}
	return r
}

// Silent reports for how long nothing was heard of an address; ok is false if it was never heard of.
func (m *Members) Silent(a netip.Addr, now time.Time) (d time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[a]
	if p == nil {
		return 0, false
	}
	return now.Sub(p.heard), true
}

// pick returns up to near members of the own region and far ones of others, drawn at random. While few are known to
// live, listed instances and seeds of which nothing was heard are drawn too.
func (m *Members) pick(now time.Time, near, far int) []netip.Addr {
	m.mu.Lock()
	defer m.mu.Unlock()
	var own, other, unheard []netip.Addr
	for a, p := range m.peers {
		switch {
		case now.Sub(p.heard) > Silence:
			unheard = append(unheard, a)
		case p.Region == m.self.Region:
			own = append(own, a)
		default:
			other = append(other, a)
		}
	}
	for _, as := range [][]netip.Addr{m.seeds, keys(m.listed)} {
		for _, a := range as {
			if m.peers[a] == nil && a != m.self.Address && !slices.Contains(unheard, a) {
				unheard = append(unheard, a)
			}
		}
	}
	r := draw(own, near)
	r = append(r, draw(other, far)...)
	return append(r, draw(unheard, unheardFanout)...)
}

// doubts returns up to most members of which nothing was heard for a while, the longest first; they are asked to answer,
// since in larger fleets chance alone leaves some members out for as long as Silence.
func (m *Members) doubts(now time.Time, most int) []netip.Addr {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ps []*peer
	for _, p := range m.peers {
		if d := now.Sub(p.heard); d > doubtAge && d <= Silence {
			ps = append(ps, p)
		}
	}
	slices.SortFunc(ps, func(a, b *peer) int { return a.heard.Compare(b.heard) })
	as := make([]netip.Addr, 0, most)
	for _, p := range ps[:min(most, len(ps))] {
		as = append(as, p.Address)
	}
	return as
}

// doubtAge leaves time for two asks and their answers, each between the farthest regions, before Silence.
const doubtAge = 1400 * time.Millisecond

// unheardFanout is the number of silent instances that are tried in each round.
const unheardFanout = 2

func keys(m map[netip.Addr]bool) []netip.Addr {
	r := make([]netip.Addr, 0, len(m))
	for a := range m {
		r = append(r, a)
	}
	return r
}

func draw(as []netip.Addr, n int) []netip.Addr {
	// The order of a map is no uniform draw.
	slices.SortFunc(as, func(a, b netip.Addr) int { return cmp.Compare(a.String(), b.String()) })
	rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] }) //nolint:gosec // No secret.
	return as[:min(n, len(as))]
}

// heardOf is what an instance passes on about another one.
type heardOf struct {
	Member
	AgeMilliseconds int64 `json:"g"`
}

// sample returns n of the members heard of within Silence, with the age of the news.
func (m *Members) sample(now time.Time, n int) []heardOf {
	m.mu.Lock()
	defer m.mu.Unlock()
	var r []heardOf
	for _, p := range m.peers {
		if d := now.Sub(p.heard); d <= Silence {
			r = append(r, heardOf{Member: p.Member, AgeMilliseconds: d.Milliseconds()})
		}
	}
	rand.Shuffle(len(r), func(i, j int) { r[i], r[j] = r[j], r[i] }) //nolint:gosec // No secret.
	return r[:min(n, len(r))]
}
