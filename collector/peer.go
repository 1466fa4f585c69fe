package collector

import (
	"context"
	"errors"

	"github.com/twitchtv/twirp"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/messenger"
)

// peer gives the version that a peer applies.
type peer struct {
	name   string
	client messenger.Peer
	// whole is the text of a peer whose program does not know manifests.
	whole *chunker.Tree
}

// FromPeer returns a Source for one collection.
func FromPeer(name string, p messenger.Peer) Source {
	return &peer{name: name, client: p}
}

// Name implements Source.
func (p *peer) Name() string {
	return p.name
}

// Manifest implements Source.
func (p *peer) Manifest(ctx context.Context, version uint64) ([]byte, error) {
	r, err := p.client.FetchManifest(ctx, &messenger.FetchManifestRequest{Version: version})
	if e := twirp.Error(nil); errors.As(err, &e) && e.Code() == twirp.BadRoute {
		return p.text(ctx, version)
	}
	if err != nil {
		return nil, err
	}
	return r.Value, nil
}

// text serves an update of the daemons one by one.
func (p *peer) text(ctx context.Context, version uint64) ([]byte, error) {
	r, err := p.client.FetchConfiguration(ctx, &messenger.FetchConfigurationRequest{Version: version})
	if err != nil {
		return nil, err
	}
	p.whole = chunker.New(r.Text, chunker.DefaultSizes)
	return p.whole.Manifest.Encode()
}

// Chunks implements Source.
func (p *peer) Chunks(ctx context.Context, names []chunker.Name) ([][]byte, error) {
	if p.whole != nil {
		return Pick(names, p.whole.Chunk), nil
	}
	r, err := p.client.FetchChunks(ctx, &messenger.FetchChunksRequest{Names: chunker.EncodeNames(names)})
	if err != nil {
		return nil, err
	}
	return r.Chunks, nil
}

// Answer returns the reply to a peer that fetches chunks; names that are malformed or too many are an error.
func Answer(get func(chunker.Name) ([]byte, bool), r *messenger.FetchChunksRequest) (*messenger.Chunks, error) {
	l, err := chunker.DecodeNames(r.Names)
	if err != nil || len(l) > BatchNames {
		return nil, twirp.InvalidArgumentError("names", "must be digests, not too many")
	}
	return &messenger.Chunks{Chunks: Pick(l, get)}, nil
}
