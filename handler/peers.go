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

// peers keeps how new the others' copies are.
type peers struct {
	client *http.Client

	mu       sync.Mutex
	contents map[netip.Addr]map[string]uint64
}

func newPeers() peers {
	return peers{
		client:   &http.Client{Transport: &http.Transport{IdleConnTimeout: peerConnectionLife, MaxIdleConnsPerHost: 1}},
		contents: map[netip.Addr]map[string]uint64{},
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
	return gossiper.State{
		Contents: s.rows.Contents(),
		InFlight: s.placer.InFlight(),
		Strikes:  s.recentStrikes(s.clock()),
	}
}

// hear takes over what another instance said.
func (s *Server) hear(m gossiper.Member, t gossiper.State) {
	s.peers.mu.Lock()
	s.peers.contents[m.Address] = t.Contents
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
