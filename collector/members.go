package collector

import (
	"context"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// peerMembers gives one member list that a peer applies.
type peerMembers struct {
	peer
	digest chunker.Name
}

// MembersFromPeer returns a Source of one member list, whatever the version, for one collection.
func MembersFromPeer(name string, p messenger.Peer, digest chunker.Name) Source {
	return &peerMembers{peer: peer{name: name, client: p}, digest: digest}
}

// Manifest implements Source.
func (p *peerMembers) Manifest(ctx context.Context, _ uint64) ([]byte, error) {
	r, err := p.client.FetchMembers(ctx, &messenger.FetchMembersRequest{Digest: p.digest[:]})
	if err != nil {
		return nil, err
	}
	return r.Value, nil
}

// storeMembers gives one member list that is in the store.
type storeMembers struct {
	store
	digest chunker.Name
}

// MembersFromStore returns a Source of one member list, whatever the version, for one collection.
func MembersFromStore(s storer.Store, digest chunker.Name) Source {
	return &storeMembers{store: store{table: s}, digest: digest}
}

// Manifest implements Source.
func (s *storeMembers) Manifest(ctx context.Context, _ uint64) ([]byte, error) {
	rows, err := s.table.Read(ctx, recorder.MembersKey(s.digest))
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, ErrLacking
	}
	return rows[0].Value, nil
}
