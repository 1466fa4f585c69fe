package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/collector"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/tracker"
)

const (
	// headsTimeout bounds fetching the heads row from a peer.
	headsTimeout = time.Second
	// fetchTimeout bounds one try to fetch a configuration, so that each of its sources may use its whole timeout;
	// the next try continues with the chunks that arrived.
	fetchTimeout = (maxHolders + 2) * collector.DefaultCallTimeout
	// maxHolders bounds the peers that are asked beside the one that told of a version.
	maxHolders = 2
)

// fromSources fetches configurations from the given sources, then from peers that reported the version, then from the store.
func (c *Controller) fromSources(first ...collector.Source) source {
	return func(ctx context.Context, h recorder.Heads) (*chunker.Tree, error) {
		x, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		s := slices.Concat(first, c.holders(h.ConfigVersion, first), []collector.Source{collector.FromStore(c.config.Store)})
		return c.collector.Collect(x, collector.Text{Version: h.ConfigVersion, Digest: chunker.Name(h.ConfigDigest), Held: c.Chunk}, s...)
	}
}

// holders returns peers that reported the version, those of the own region first; instances choose different ones.
func (c *Controller) holders(version uint64, but []collector.Source) []collector.Source {
	c.mu.Lock()
	var l []tracker.Instance
	for _, p := range c.tracker.Peers(c.config.Clock()) {
		reached := p.State != tracker.Suspected && p.State != tracker.Gone
		known := slices.ContainsFunc(but, func(s collector.Source) bool { return s.Name() == p.Name })
		if reached && !known && c.reports[p.Name].configVersion == version {
			l = append(l, p.Instance)
		}
	}
	c.mu.Unlock()
	slices.SortFunc(l, func(a, b tracker.Instance) int {
		return cmp.Or(cmp.Compare(c.distance(a), c.distance(b)), cmp.Compare(c.mix(a), c.mix(b)))
	})
	var out []collector.Source
	for _, i := range l[:min(len(l), maxHolders)] {
		out = append(out, collector.FromPeer(i.Name, c.config.Dialer.Peer(i)))
	}
	return out
}

// distance is 0 in the own region and 1 elsewhere.
func (c *Controller) distance(i tracker.Instance) int {
	if i.Region == c.config.Self.Region {
		return 0
	}
	return 1
}

func (c *Controller) mix(i tracker.Instance) uint64 {
	return xxhash.Sum64String(c.config.Self.Name + "\n" + i.Name)
}

// adoptFromPeer fetches the heads row, and the configuration if it is new, from a peer that has a newer version.
func (c *Controller) adoptFromPeer(ctx context.Context, name string, p messenger.Peer) {
	x, cancel := context.WithTimeout(ctx, headsTimeout)
	defer cancel()
	r, err := p.FetchHeads(x, &messenger.FetchHeadsRequest{})
	if err == nil {
		w := storer.Row{Key: recorder.HeadsKey, Version: r.Version, Value: r.Value}
		err = c.adopt(ctx, w, name, c.fromSources(collector.FromPeer(name, p)))
	}
	if err != nil {
		c.config.Log.FetchFailed(name, err)
	}
}

// Collector returns the collector of configurations, whose kept chunks other readers of versions may share.
func (c *Controller) Collector() *collector.Collector {
	return c.collector
}

// Chunk returns a chunk of the configuration that this instance applies.
func (c *Controller) Chunk(n chunker.Name) ([]byte, bool) {
	return c.view.Load().Tree.Chunk(n)
}

// FetchManifest returns the manifest of the configuration that this instance applies, or nil if it is another version.
func (c *Controller) FetchManifest(version uint64) (*messenger.ManifestRow, error) {
	v := c.view.Load()
	if v.Tree == nil || v.Heads.ConfigVersion != version {
		return nil, nil //nolint:nilnil // Documented.
	}
	b, err := v.Tree.Manifest.Encode()
	if err != nil {
		return nil, err
	}
	return &messenger.ManifestRow{Version: version, Value: b}, nil
}

// FetchChunks returns chunks of the configuration that this instance applies.
func (c *Controller) FetchChunks(r *messenger.FetchChunksRequest) (*messenger.Chunks, error) {
	return collector.Answer(c.view.Load().Tree, r)
}
