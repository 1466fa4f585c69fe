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

// fetchText fetches the configuration from the origin, then from peers that reported the version, then from the store.
func (c *Controller) fetchText(ctx context.Context, h recorder.Heads, o origin) (*chunker.Tree, error) {
	if o.text != nil {
		return chunker.New(o.text, chunker.DefaultSizes), nil
	}
	x, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var s []collector.Source
	for _, p := range c.holders(o, func(r report) bool { return r.configVersion == h.ConfigVersion }) {
		s = append(s, collector.FromPeer(p.name, p.client))
	}
	s = append(s, collector.FromStore(c.config.Store))
	return c.collector.Collect(x, collector.Text{Version: h.ConfigVersion, Digest: chunker.Name(h.ConfigDigest), Held: c.Chunk}, s...)
}

// holder is a peer that is asked for what a heads row names.
type holder struct {
	name   string
	client messenger.Peer
}

// holders returns the origin and peers whose report says that they hold it, those of the own region first; instances
// choose different ones.
func (c *Controller) holders(o origin, holds func(report) bool) []holder {
	c.mu.Lock()
	var l []tracker.Instance
	for _, p := range c.tracker.Peers(c.config.Clock()) {
		reached := p.State != tracker.Suspected && p.State != tracker.Gone
		known := o.peer != nil && o.name == p.Name
		if reached && !known && holds(c.reports[p.Name]) {
			l = append(l, p.Instance)
		}
	}
	c.mu.Unlock()
	slices.SortFunc(l, func(a, b tracker.Instance) int {
		return cmp.Or(cmp.Compare(c.distance(a), c.distance(b)), cmp.Compare(c.mix(a), c.mix(b)))
	})
	var out []holder
	if o.peer != nil {
		out = append(out, holder{name: o.name, client: o.peer})
	}
	for _, i := range l[:min(len(l), maxHolders)] {
		out = append(out, holder{name: i.Name, client: c.config.Dialer.Peer(i)})
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

// adoptFromPeer fetches the heads row, and what is new of that which it names, from a peer that has a newer version. While
// another peer is asked it does nothing: the next heartbeat comes back to it, and peers that wait behind a version which
// nobody can give would grow in number.
func (c *Controller) adoptFromPeer(ctx context.Context, name string, p messenger.Peer) {
	if !c.fetching.TryLock() {
		return
	}
	defer c.fetching.Unlock()
	x, cancel := context.WithTimeout(ctx, headsTimeout)
	defer cancel()
	r, err := p.FetchHeads(x, &messenger.FetchHeadsRequest{})
	if err == nil {
		w := storer.Row{Key: recorder.HeadsKey, Version: r.Version, Value: r.Value}
		err = c.adopt(ctx, w, origin{name: name, peer: p})
	}
	if err != nil {
		c.config.Log.FetchFailed(name, err)
	}
}

// Collector returns the collector of configurations, whose kept chunks other readers of versions may share.
func (c *Controller) Collector() *collector.Collector {
	return c.collector
}

// Chunk returns a chunk of the configuration or of a member list that this instance applies.
func (c *Controller) Chunk(n chunker.Name) ([]byte, bool) {
	return c.view.Load().Chunk(n)
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

// FetchChunks returns chunks of the configuration and of the member lists that this instance applies.
func (c *Controller) FetchChunks(r *messenger.FetchChunksRequest) (*messenger.Chunks, error) {
	return collector.Answer(c.view.Load().Chunk, r)
}
