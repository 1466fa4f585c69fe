package gossiper

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Silence is the time without news after which an instance counts as gone. With Interval it tolerates the loss of
// several datagrams, and callers are not given instances that ended more than two look-up lifetimes ago.
const Silence = 2500 * time.Millisecond

// maxMembers is the number of members from which on only listed instances and seeds are added, since others can be named by
// anybody who reaches the socket. It is over twice the largest planned fleet, so that instances which were replaced fit too.
const maxMembers = 2048

// Member describes an instance.
type Member struct {
	Name          string     `json:"n,omitempty"`
	Address       netip.Addr `json:"a"`
	Region        string     `json:"r,omitempty"`
	FailureDomain string     `json:"z,omitempty"`
	// Started is the start time of the process in nanoseconds since 1970.
	Started int64 `json:"s,omitempty"`
	// Ready instances serve callers.
	Ready bool `json:"u,omitempty"`
	// ReadsCompact instances read compressed datagrams.
	ReadsCompact bool `json:"k,omitempty"`
}

type peer struct {
	Member
	lastHeard time.Time
	// firstHand is when the member itself was last heard.
	firstHand time.Time
	// silent is true once the member was reported silent, so that its return is reported too.
	silent bool
}

// Members tracks what was heard of other instances; it is safe for concurrent use.
type Members struct {
	self Member

	mu     sync.Mutex
	peers  map[netip.Addr]*peer
	listed map[netip.Addr]bool
	seeds  []netip.Addr
	// loadTurn is the number of load reports that were sent to instances of the own region.
	loadTurn int
}

// NewMembers returns members with the given seeds, none of which has been heard from.
func NewMembers(self Member, seeds []netip.Addr) *Members {
	return &Members{self: self, peers: map[netip.Addr]*peer{}, listed: map[netip.Addr]bool{}, seeds: seeds}
}

// List replaces the addresses of the instances in the store's table.
func (m *Members) List(as []netip.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.listed)
	for _, a := range as {
		m.listed[a] = true
	}
}

// Hear records a relayed report that a member was heard from at a time. It reports whether the member is new, has
// restarted, has returned or has changed readiness.
func (m *Members) Hear(k Member, at time.Time) bool {
	return m.record(k, at, false)
}

// HearFirstHand is like Hear for a report by the member itself. It is accepted even if the process appears to have
// started before the last one known, since its clock may have been set back.
func (m *Members) HearFirstHand(k Member, at time.Time) bool {
	return m.record(k, at, true)
}

func (m *Members) record(k Member, at time.Time, firstHand bool) bool {
	if k.Address == m.self.Address || !k.Address.IsValid() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[k.Address]
	if p == nil {
		if m.isFull() && !m.isConfigured(k.Address) {
			return false
		}
		p = &peer{Member: k, lastHeard: at}
		if firstHand {
			p.firstHand = at
		}
		m.peers[k.Address] = p
		return true
	}
	if !at.After(p.lastHeard) || !firstHand && k.Started < p.Started {
		return false
	}
	changed := k.Started != p.Started || p.silent || k.Ready != p.Ready
	p.Member, p.lastHeard, p.silent = k, at, false
	if firstHand {
		p.firstHand = at
	}
	return changed
}

// HearBriefly records a report that the process of a known member which was last heard lives. It reports whether the member
// has returned.
func (m *Members) HearBriefly(a netip.Addr, at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[a]
	if p == nil || !at.After(p.lastHeard) {
		return false
	}
	returned := p.silent
	p.lastHeard, p.silent = at, false
	return returned
}

// Get returns a member by its address.
func (m *Members) Get(a netip.Addr) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[a]
	if p == nil {
		return Member{}, false
	}
	return p.Member, true
}

func (m *Members) isFull() bool {
	return len(m.peers) >= maxMembers
}

// isConfigured reports whether an address is listed or a seed.
func (m *Members) isConfigured(a netip.Addr) bool {
	return m.listed[a] || slices.Contains(m.seeds, a)
}

// Contacts returns the seeds and the listed instances but this one, whether they were heard or not.
func (m *Members) Contacts() []netip.Addr {
	m.mu.Lock()
	defer m.mu.Unlock()
	as := append(keys(m.listed), m.seeds...)
	return slices.DeleteFunc(as, func(a netip.Addr) bool { return a == m.self.Address })
}

// Alive returns the members heard from within Silence, sorted by address.
func (m *Members) Alive(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var r []Member
	for _, p := range m.peers {
		if now.Sub(p.lastHeard) <= Silence {
			r = append(r, p.Member)
		}
	}
	slices.SortFunc(r, func(a, b Member) int { return a.Address.Compare(b.Address) })
	return r
}

// Sweep returns the members that have become silent since the last call, and removes those that have been silent for
// longer than keep. While there are too many members, it removes silent ones at once.
func (m *Members) Sweep(now time.Time, keep time.Duration) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var r []Member
	full := m.isFull()
	for a, p := range m.peers {
		d := now.Sub(p.lastHeard)
		if d > Silence && !p.silent {
			p.silent = true
			r = append(r, p.Member)
		}
		if d > keep || full && d > Silence && !m.isConfigured(a) {
			delete(m.peers, a)
		}
	}
	return r
}

// Silent returns the time since an address was last heard from; ok is false if it never was.
func (m *Members) Silent(a netip.Addr, now time.Time) (d time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[a]
	if p == nil {
		return 0, false
	}
	return now.Sub(p.lastHeard), true
}

// loadReceivers returns the instances that get the next load report: all in a small fleet, otherwise up to loadFanout of
// the own region, which take turns.
func (m *Members) loadReceivers(now time.Time) []netip.Addr {
	ms := m.Alive(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	var as []netip.Addr
	for _, k := range ms {
		if len(ms) < smallFleetSize || k.Region == m.self.Region {
			as = append(as, k.Address)
		}
	}
	if len(as) <= loadFanout {
		return as
	}
	r := make([]netip.Addr, loadFanout)
	for i := range r {
		r[i] = as[(m.loadTurn+i)%len(as)]
	}
	m.loadTurn = (m.loadTurn + loadFanout) % len(as)
	return r
}

// selectPeers returns up to near random members of the own region and far random ones of the others, and up to
// silentFanout of the silent members, listed instances and seeds that have not been heard from.
func (m *Members) selectPeers(now time.Time, near, far int) []netip.Addr {
	m.mu.Lock()
	defer m.mu.Unlock()
	var own, other, unheard []netip.Addr
	for a, p := range m.peers {
		switch {
		case now.Sub(p.lastHeard) > Silence:
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
	r := sampleAddresses(own, near)
	r = append(r, sampleAddresses(other, far)...)
	return append(r, sampleAddresses(unheard, silentFanout)...)
}

// staleMembers returns up to most members that have not been heard from for probeAge, longest first. They are probed
// because in larger fleets random selection alone leaves some members out for as long as Silence.
func (m *Members) staleMembers(now time.Time, most int) []netip.Addr {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ps []*peer
	for _, p := range m.peers {
		if d := now.Sub(p.lastHeard); d > probeAge && d <= Silence {
			ps = append(ps, p)
		}
	}
	slices.SortFunc(ps, func(a, b *peer) int { return a.lastHeard.Compare(b.lastHeard) })
	as := make([]netip.Addr, 0, most)
	for _, p := range ps[:min(most, len(ps))] {
		as = append(as, p.Address)
	}
	return as
}

// probeAge leaves time before Silence for two probes and their answers, each between the most distant regions.
const probeAge = 1400 * time.Millisecond

// silentFanout is the number of silent instances contacted in each round.
const silentFanout = 2

func keys(m map[netip.Addr]bool) []netip.Addr {
	r := make([]netip.Addr, 0, len(m))
	for a := range m {
		r = append(r, a)
	}
	return r
}

func sampleAddresses(as []netip.Addr, n int) []netip.Addr {
	// The addresses may come from a map, whose order is not uniformly random.
	slices.SortFunc(as, func(a, b netip.Addr) int { return cmp.Compare(a.String(), b.String()) })
	rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] }) //nolint:gosec // No secret.
	return as[:min(n, len(as))]
}

// relayedMember is a member as reported by another instance.
type relayedMember struct {
	Member
	AgeMilliseconds int64 `json:"g"`
}

// sample returns n random members that were heard themselves within Silence, with the time since then. What others
// reported is not passed on, or the time on the way would be left out of the age at each hop.
func (m *Members) sample(now time.Time, n int) []relayedMember {
	var r []relayedMember
	for _, p := range m.randomFirstHand(now, n, func(string) bool { return true }) {
		r = append(r, relayedMember{Member: p.Member, AgeMilliseconds: now.Sub(p.firstHand).Milliseconds()})
	}
	return r
}

// brief returns how long ago briefPerDatagram random members were heard themselves, for a receiver in the own region or another
// one. The receivers hear the other members of their own region themselves.
func (m *Members) brief(now time.Time, ownRegion bool) map[netip.Addr]int64 {
	r := map[netip.Addr]int64{}
	for _, p := range m.randomFirstHand(now, briefPerDatagram, func(region string) bool { return (region == m.self.Region) != ownRegion }) {
		r[p.Address] = now.Sub(p.firstHand).Milliseconds()
	}
	return r
}

func (m *Members) randomFirstHand(now time.Time, n int, in func(region string) bool) []peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var r []peer
	for _, p := range m.peers {
		if now.Sub(p.firstHand) <= Silence && in(p.Region) {
			r = append(r, *p)
		}
	}
	rand.Shuffle(len(r), func(i, j int) { r[i], r[j] = r[j], r[i] }) //nolint:gosec // No secret.
	return r[:min(n, len(r))]
}

// isOwnRegion reports whether an address is that of a member of the own region.
func (m *Members) isOwnRegion(a netip.Addr) bool {
	k, ok := m.Get(a)
	return ok && k.Region == m.self.Region
}
