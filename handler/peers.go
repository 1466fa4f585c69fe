package handler

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/replicator"
)

// peerConnectionLife is how long a connection to a peer may be unused; calls are rare.
const peerConnectionLife = 2 * time.Second

const (
	// followersPerRegion is the number of instances of a region that call the store; one of them may end or be cut off.
	followersPerRegion = 2
	// smallFleet is the number of other instances below which one of each region calls the store.
	smallFleet = 10
	// contactLimit is the age of the configuration from which an instance calls the store itself. A poll of one second, a call
	// to the store and a round of datagrams take 1.6 s at most; a change must be in force 2.5 s after it was made even if
	// those that call the store end at that moment.
	contactLimit = 2 * time.Second
)

// peers keeps how new the others' copies are.
type peers struct {
	client *http.Client

	mu       sync.Mutex
	versions map[netip.Addr]map[string]replicator.Version
	// started tells the processes that were heard.
	started map[netip.Addr]int64
	// contact is when the store last answered any instance, as far as heard.
	contact time.Time
	// failed is when the last call to a peer failed, if it did.
	failed map[netip.Addr]time.Time
}

func newPeers() peers {
	return peers{
		client:   replicator.NewClient(peerConnectionLife),
		versions: map[netip.Addr]map[string]replicator.Version{},
		started:  map[netip.Addr]int64{},
		failed:   map[netip.Addr]time.Time{},
	}
}

// self is what other instances are told of this one.
func (s *Server) self() gossiper.Member {
	return gossiper.Member{
		Name:          s.settings.Name,
		Address:       s.settings.Address,
		Region:        s.settings.Region,
		FailureDomain: s.settings.FailureDomain,
		Started:       s.started,
		Ready:         s.ready.Load(),
		ReadsCompact:  true,
	}
}

// state is what other instances are told in each round.
func (s *Server) state() gossiper.State {
	now := s.clock()
	age := int64(-1)
	if c := s.contact(); !c.IsZero() {
		age = now.Sub(c).Milliseconds()
	}
	t := gossiper.State{
		Contents:            map[string]uint64{},
		Digests:             map[string]uint64{},
		ContactMilliseconds: age,
		Strikes:             s.recentStrikes(now),
	}
	for n, v := range s.rows.Versions() {
		t.Contents[n], t.Digests[n] = v.Content, v.Digest
		t.Eras, t.Retained = withValue(t.Eras, n, v.Era), withValue(t.Retained, n, v.Retained)
	}
	if c, ok := s.rows.Claim(s.configuration); ok {
		t.Configuration = &gossiper.Claim{Origin: c.Origin, Sequence: c.Sequence, Era: c.Era, Content: c.Content, AgeMilliseconds: now.Sub(c.AsOf).Milliseconds()}
	}
	return t
}

// withValue adds a value that is not 0 to a map, which may be nil.
func withValue(m map[string]uint64, key string, v uint64) map[string]uint64 {
	if v == 0 {
		return m
	}
	if m == nil {
		m = map[string]uint64{}
	}
	m[key] = v
	return m
}

// load is what the instances of the region are told of the requests of this one.
func (s *Server) load() gossiper.Load {
	r := s.placer.Report(s.clock())
	return gossiper.Load{InFlight: r.InFlight, Placed: r.Placed}
}

// contact is when the store last answered any instance, as far as known.
func (s *Server) contact() time.Time {
	own := s.rows.Contact()
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	if s.peers.contact.After(own) {
		return s.peers.contact
	}
	return own
}

// follows reports whether this instance calls the store: the first of each region do, and so does each instance whose
// configuration may be older than contactLimit, or whose list of instances lacks what others have for longer than that.
func (s *Server) follows() bool {
	now := s.clock()
	c := s.rows.CompleteAsOf(s.configuration)
	if a := s.rows.Adopted(s.configuration); a.After(c) {
		// Those of the region that call the store are about to tell that the copy is complete. If all called it instead, a restore
		// would cost the store as many reads as there are instances.
		c = a
	}
	if c.IsZero() || now.Sub(c) > contactLimit || s.lags(now) {
		return true
	}
	before := 0
	ms := s.members.Alive(now)
	for _, m := range ms {
		if m.Region == s.settings.Region && m.Name < s.settings.Name {
			before++
		}
	}
	if len(ms) < smallFleet {
		return before < 1
	}
	return before < followersPerRegion
}

// announced makes the tables tell the others of the region when they have changed.
func (s *Server) announced(ts []replicator.Table) []replicator.Table {
	for i, t := range ts {
		ts[i].Changed = func(rows []replicator.Row) {
			t.Changed(rows)
			if s.follows() {
				s.gossip.Announce(s.settings.Region)
			}
		}
	}
	return ts
}

// hear takes over what another instance said, which was received at a time.
func (s *Server) hear(now time.Time, m gossiper.Member, t gossiper.State) {
	versions := make(map[string]replicator.Version, len(t.Contents))
	for n, v := range t.Contents {
		versions[n] = replicator.Version{Era: t.Eras[n], Content: v, Digest: t.Digests[n], Retained: t.Retained[n]}
	}
	s.peers.mu.Lock()
	s.peers.versions[m.Address] = versions
	if s.peers.started[m.Address] != m.Started {
		s.peers.started[m.Address] = m.Started
		s.strikes.greet(now)
	}
	if at := now.Add(-time.Duration(t.ContactMilliseconds) * time.Millisecond); t.ContactMilliseconds >= 0 && at.After(s.peers.contact) {
		s.peers.contact = at
	}
	s.peers.mu.Unlock()
	for n, v := range versions {
		s.rows.Heard(n, m.Name, v)
	}
	if c := t.Configuration; c != nil && c.AgeMilliseconds >= 0 {
		at := now.Add(-time.Duration(c.AgeMilliseconds) * time.Millisecond)
		s.rows.Receive(s.configuration, replicator.Claim{Origin: c.Origin, Sequence: c.Sequence, Era: c.Era, Content: c.Content, AsOf: at})
	}
	s.hearStrikes(now, t.Strikes)
}

// Newer asks the living peer with the newest copy of a table, or one that retains other rows.
func (s *Server) Newer(ctx context.Context, table string, have replicator.Version) (replicator.Change, error) {
	now := s.clock()
	a, known, ok := s.peers.newest(now, s.members.Alive(now), s.settings.Region, table, have)
	if as := s.members.Contacts(); !ok && have.Era > 0 && have.Retained == 0 && len(as) > 0 {
		// Nobody was heard yet who knows what is retained of earlier eras; in a large fleet that takes longer than a call.
		a, known, ok = as[rand.IntN(len(as))], have, true //nolint:gosec // No secret.
	}
	if !ok {
		return replicator.Change{}, replicator.ErrPeer
	}
	h, err := replicator.Fetch(ctx, s.peers.client, netip.AddrPortFrom(a, s.settings.Peers.Port()), table, after(have, known))
	h.Peer = a.String()
	s.peers.answered(s.clock(), a, err == nil)
	return h, err
}

// after is the position to ask a peer from that has a known version: versions of another era tell it nothing.
func after(have, known replicator.Version) replicator.Position {
	if have.Era != known.Era {
		return replicator.Position{Era: have.Era}
	}
	return have.Position()
}

// newest chooses the peer to ask for a table: the one with the newest copy, among equals one of the region. A peer that just
// failed to answer comes after all others that are ahead, because one that ended counts as alive for Silence. A copy that lacks
// what others retain of earlier eras prefers peers that tell it; if none is ahead, one that retains other rows is chosen.
func (p *peers) newest(now time.Time, alive []gossiper.Member, region, table string, have replicator.Version) (best netip.Addr, version replicator.Version, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := func(m gossiper.Member) replicator.Version { return p.versions[m.Address][table] }
	prefers := func(m gossiper.Member) bool { return have.Retained == 0 && known(m).Retained != 0 }
	better := func(a, b gossiper.Member) int {
		return cmp.Or(
			compareBools(!p.failing(now, a.Address), !p.failing(now, b.Address)),
			compareBools(prefers(a), prefers(b)),
			known(a).Position().Compare(known(b).Position()),
			compareBools(a.Region == region, b.Region == region),
		)
	}
	ahead := slices.DeleteFunc(slices.Clone(alive), func(m gossiper.Member) bool { return known(m).Position().Compare(have.Position()) <= 0 })
	if len(ahead) == 0 {
		ahead = slices.DeleteFunc(slices.Clone(alive), func(m gossiper.Member) bool {
			k := known(m)
			return k.Era != have.Era || k.Retained == 0 || k.Retained == have.Retained
		})
	}
	if len(ahead) == 0 {
		return best, version, false
	}
	m := slices.MaxFunc(ahead, better)
	return m.Address, known(m), true
}

// newestPosition returns the position of the newest copy of a table that living instances have.
func (p *peers) newestPosition(alive []gossiper.Member, table string) (newest replicator.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range alive {
		if v := p.versions[m.Address][table].Position(); v.Compare(newest) > 0 {
			newest = v
		}
	}
	return newest
}

// answered records whether a peer answered a call.
func (p *peers) answered(now time.Time, a netip.Addr, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failed, a)
	if !ok {
		p.failed[a] = now
	}
}

// failing reports whether the last call to a peer failed lately; mu is held.
func (p *peers) failing(now time.Time, a netip.Addr) bool {
	t, ok := p.failed[a]
	return ok && now.Sub(t) <= gossiper.Silence
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
