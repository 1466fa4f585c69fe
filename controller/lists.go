package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/collector"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/tracker"
)

// lists holds member lists by digest.
type lists map[recorder.Digest]*chunker.Tree

func (l lists) chunk(n chunker.Name) ([]byte, bool) {
	for _, t := range l {
		if b, ok := t.Chunk(n); ok {
			return b, true
		}
	}
	return nil, false
}

// withMembers returns h with the members of all assignments, and the lists that it names by digest, or an error if one
// of them is not to be had.
func (c *Controller) withMembers(ctx context.Context, old *View, version uint64, h recorder.Heads, o origin) (recorder.Heads, lists, error) {
	all, err := c.gather(ctx, old, version, h, o)
	if err != nil {
		return h, nil, err
	}
	h = h.Clone()
	for n, a := range h.Assignments {
		if !a.ByDigest() {
			continue
		}
		if p := old.Heads.Assignments[n]; p.Digest == a.Digest && p.Count == a.Count {
			a.Members = p.Members
		} else if a, err = a.WithMembers(all[a.Digest].Text); err != nil {
			return h, nil, merry.Prependf(err, "member list of %q", n)
		}
		h.Assignments[n] = a
	}
	return h, all, nil
}

// gather returns the member lists that h names and fetches those that are not held, all at once, so that a silent
// source delays the adoption only once.
func (c *Controller) gather(ctx context.Context, old *View, version uint64, h recorder.Heads, o origin) (lists, error) {
	c.mu.Lock()
	written := c.proposal.written
	c.mu.Unlock()
	all, lacking := lists{}, map[recorder.Digest]bool{}
	for _, a := range h.Assignments {
		switch d := a.Digest; {
		case !a.ByDigest():
		case old.Lists[d] != nil:
			all[d] = old.Lists[d]
		case written[d] != nil:
			all[d] = written[d]
		default:
			lacking[d] = true
		}
	}
	if len(lacking) == 0 {
		return all, nil
	}
	x, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peers := c.holders(o, func(r report) bool { return r.headsVersion >= version })
	var g sync.WaitGroup
	var mu sync.Mutex
	var failure error
	for d := range lacking {
		g.Go(func() {
			t, err := c.fetchList(x, d, peers)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failure = merry.Prependf(err, "fetching member list %x", d[:4])
				return
			}
			all[d] = t
		})
	}
	g.Wait()
	return all, failure
}

func (c *Controller) fetchList(ctx context.Context, d recorder.Digest, peers []holder) (*chunker.Tree, error) {
	n := chunker.Name(d)
	var s []collector.Source
	for _, p := range peers {
		s = append(s, collector.MembersFromPeer(p.name, p.client, n))
	}
	s = append(s, collector.MembersFromStore(c.config.Store, n))
	return c.collector.Collect(ctx, collector.Text{Digest: n, Held: c.Chunk}, s...)
}

// FetchMembers returns the manifest of a member list that this instance applies, or nil if it applies no such list.
func (c *Controller) FetchMembers(r *messenger.FetchMembersRequest) (*messenger.MembersRow, error) {
	var d recorder.Digest
	if len(r.Digest) != len(d) {
		return nil, nil //nolint:nilnil // Documented.
	}
	t := c.view.Load().Lists[recorder.Digest(r.Digest)]
	if t == nil {
		return nil, nil //nolint:nilnil // Documented.
	}
	b, err := t.Manifest.Encode()
	if err != nil {
		return nil, err
	}
	return &messenger.MembersRow{Value: b}, nil
}

// form returns h in the form that all peers read, and the lists that it then names.
func (c *Controller) form(v *View, h recorder.Heads) (recorder.Heads, lists, error) {
	byDigest := c.allReadLists()
	h, all := h.Clone(), lists{}
	for n, a := range h.Assignments {
		if !byDigest || len(a.Members) == 0 {
			h.Assignments[n] = recorder.Assignment{Epoch: a.Epoch, Members: a.Members}
			continue
		}
		t := v.Lists[a.Digest]
		if t == nil {
			b, err := recorder.EncodeMembers(a.Members)
			if err != nil {
				return h, nil, err
			}
			t = chunker.New(b, chunker.MemberSizes)
		}
		a.Count, a.Digest = len(a.Members), recorder.Digest(t.Manifest.TextDigest)
		all[a.Digest] = t
		h.Assignments[n] = a
	}
	return h, all, nil
}

// listWrites returns the writes of the lists that v lacks, by transaction; the last transaction is that of the heads row.
// The lists of v were written with its row.
func listWrites(v *View, all lists) ([][]storer.Write, error) {
	var trees []*chunker.Tree
	var manifests []storer.Write
	for _, d := range slices.SortedFunc(maps.Keys(all), func(a, b recorder.Digest) int { return slices.Compare(a[:], b[:]) }) {
		if v.Lists[d] != nil {
			continue
		}
		b, err := all[d].Manifest.Encode()
		if err != nil {
			return nil, err
		}
		trees = append(trees, all[d])
		manifests = append(manifests, storer.Write{Key: recorder.MembersKey(d), Value: b})
	}
	w := collector.Writes(v.Lists.chunk, trees...)
	last := len(w) - 1
	w[last] = append(w[last], manifests...)
	return w, nil
}

// allReadLists reports whether all peers say that they read lists by digest. A peer that was not heard yet may be of an
// earlier version.
func (c *Controller) allReadLists() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !slices.ContainsFunc(c.tracker.Peers(c.config.Clock()), func(p tracker.Peer) bool { return !c.readsLists(p) })
}

// readsLists reports whether the peer said in its present incarnation that it reads lists; c.mu is held.
func (c *Controller) readsLists(p tracker.Peer) bool {
	r, ok := c.reports[p.Name]
	return ok && r.incarnation == p.Incarnation && r.readsLists
}

// rewriteInterval bounds the writes of instances that disagree about the form of the row.
const rewriteInterval = 5 * time.Second

// rewrite writes the row in the other form, with the same assignments.
//
// A peer of an earlier version that comes while the row is by digest cannot read it, so that it never takes part and
// causes no assignment that is written in the old form. Once all peers read lists, a row of the old form would stay
// until the next assignment.
func (c *Controller) rewrite(ctx context.Context) {
	v := c.view.Load()
	if !c.mayRewrite(v) {
		return
	}
	if err := c.commitHeads(ctx, v, v.Heads); err != nil {
		c.config.Log.AssignmentFailed("form", err)
	}
}

// mayRewrite reports whether the form of the row does not suit the peers, and this instance is the first by name of
// those that read lists.
func (c *Controller) mayRewrite(v *View) bool {
	now := c.config.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.proposal.rewritten) < rewriteInterval || !c.tracker.Acts(now) || !c.mayPropose(now) {
		return false
	}
	earlier, unknown := false, false
	for _, p := range c.tracker.Peers(now) {
		reads, heard := c.readsLists(p), p.State != tracker.Suspected && p.State != tracker.Gone
		if reads && p.State == tracker.Active && p.Name < c.config.Self.Name {
			return false
		}
		r, ok := c.reports[p.Name]
		earlier = earlier || ok && r.incarnation == p.Incarnation && !reads
		unknown = unknown || !reads || !heard
	}
	inline, byDigest := v.forms()
	if byDigest && earlier || inline && !unknown {
		c.proposal.rewritten = now
		return true
	}
	return false
}

// forms reports which forms the assignments of the row have; those without members have none.
func (v *View) forms() (inline, byDigest bool) {
	for _, a := range v.Heads.Assignments {
		inline = inline || !a.ByDigest() && len(a.Members) > 0
		byDigest = byDigest || a.ByDigest()
	}
	return inline, byDigest
}
