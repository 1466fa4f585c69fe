package handler

import (
	"context"
	"net/http"
	"net/netip"
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
	// contactLimit is how long ago the store may have answered the others before an instance calls it itself. A poll of
	// one second, a call to the store and a round of datagrams take 1.6 s at most; a change must be in force 2.5 s after
	// it was made even if those that call the store end at that moment.
	contactLimit = 2 * time.Second
)

// peers keeps how new the others' copies are.
type peers struct {
	client *http.Client

	mu       sync.Mutex
	contents map[netip.Addr]map[string]uint64
	// started tells the processes that were heard.
	started map[netip.Addr]int64
	// contact is when the store last answered any instance, as far as heard.
	contact time.Time
}

func newPeers() peers {
	return peers{
		client:   replicator.NewClient(peerConnectionLife),
		contents: map[netip.Addr]map[string]uint64{},
		started:  map[netip.Addr]int64{},
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
	}
}

// state is what other instances are told in each round.
func (s *Server) state() gossiper.State {
	now := s.clock()
	age := int64(-1)
	if c := s.contact(); !c.IsZero() {
		age = now.Sub(c).Milliseconds()
	}
	return gossiper.State{
		Contents:            s.rows.Contents(),
		ContactMilliseconds: age,
		Strikes:             s.recentStrikes(now),
	}
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

// follows reports whether this instance calls the store: the first of each region do, and everybody does when nobody
// has been answered lately.
func (s *Server) follows() bool {
	now := s.clock()
	if c := s.contact(); c.IsZero() || now.Sub(c) > contactLimit {
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

// hear takes over what another instance said.
func (s *Server) hear(m gossiper.Member, t gossiper.State) {
	s.peers.mu.Lock()
	s.peers.contents[m.Address] = t.Contents
	if s.peers.started[m.Address] != m.Started {
		s.peers.started[m.Address] = m.Started
		s.strikes.greet(s.clock())
	}
	if at := s.clock().Add(-time.Duration(t.ContactMilliseconds) * time.Millisecond); t.ContactMilliseconds >= 0 && at.After(s.peers.contact) {
		s.peers.contact = at
	}
	s.peers.mu.Unlock()
	for n, v := range t.Contents {
		s.rows.Heard(n, v)
	}
	s.hearStrikes(s.clock(), t.Strikes)
}

// Newer asks the living peer with the newest copy of a table.
func (s *Server) Newer(ctx context.Context, table string, after uint64) (replicator.Change, error) {
	var best netip.Addr
	var newest uint64
	s.peers.mu.Lock()
	for _, m := range s.members.Alive(s.clock()) {
		if v := s.peers.contents[m.Address][table]; v > newest {
			best, newest = m.Address, v
		}
	}
	s.peers.mu.Unlock()
	if !best.IsValid() {
		return replicator.Change{}, replicator.ErrPeer
	}
	return replicator.Fetch(ctx, s.peers.client, netip.AddrPortFrom(best, s.settings.Peers.Port()), table, after)
}
