package replicator

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TombstoneLife is how long a copy remembers a removed row; a peer that is further behind gets the whole copy.
const TombstoneLife = time.Minute

// Row is a row of a table.
type Row struct {
	Key   string
	Value []byte
	// Version is that of the last change; the store counts versions over all tables.
	Version uint64
	Removed bool
	// Kept is true if the receiver of a change has the row in this version; the value is then left out.
	Kept bool
}

// Version identifies the rows of a copy.
type Version struct {
	// Content is the version of the newest change in the copy.
	Content uint64
	// Digest is that of the keys and versions of the rows that exist; copies with the same content have the same. It is 0 if it
	// is not known.
	Digest uint64
}

// Change is what a source tells about a table.
type Change struct {
	// Peer names the instance that told it; empty means the store.
	Peer string
	Rows []Row
	// Version is the newest one that the source knew.
	Version uint64
	// Whole is true if rows that are not listed do not exist.
	Whole bool
	// More is true if the source had further changes.
	More bool
	// Digest is that of the source's rows, or 0 if the source does not state it.
	Digest uint64
}

// Copy is a copy of one table; it is safe for concurrent use.
type Copy struct {
	mu   sync.Mutex
	rows map[string]Row
	// followed is the version from which the table is followed; content is the version of the newest change, as far as known.
	followed, content uint64
	// history is the version from which on the copy holds each change. Of older ones, removals are missing: those before the
	// table was read whole or the version of another copy was taken over, and those whose tombstone was dropped.
	history uint64
	removed map[string]time.Time
	known   bool
	// digest covers the rows that exist.
	digest uint64
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{rows: map[string]Row{}, removed: map[string]time.Time{}, digest: emptyDigest}
}

// emptyDigest is that of a table without rows, since 0 means that a digest is not known.
const emptyDigest = 1

// digest returns the part of a row in the digest of its table, which is the exclusive or of all.
func (r Row) digest() uint64 {
	if r.Removed {
		return 0
	}
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(r.Key), r.Version))
}

// Apply merges a change of the store and reports whether a row changed or the table became known.
func (c *Copy) Apply(now time.Time, h Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followed = max(c.followed, h.Version)
	changed := c.merge(now, h, 0)
	if h.Whole {
		// The newest change may be a removal, which a whole table does not show.
		c.content = max(c.content, h.Version)
	}
	return changed
}

// Merge is like Apply for a change of a peer. A known table is still followed from the version that the store itself told, and
// rows up to it are known.
func (c *Copy) Merge(now time.Time, h Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	after := c.followed
	if !c.known {
		after, c.followed = 0, max(c.followed, h.Version)
	}
	changed := c.merge(now, h, after)
	// The peer's newest change may be a removal that it has forgotten.
	c.content = max(c.content, h.Version)
	return changed
}

// merge merges the rows of a change that are newer than a version; c.mu is held.
func (c *Copy) merge(now time.Time, h Change, after uint64) bool {
	changed := !c.known && h.Whole
	c.known = c.known || h.Whole
	for _, r := range h.Rows {
		changed = r.Version > after && !c.isOutdated(r, h) && c.put(now, r) || changed
	}
	if h.Whole {
		changed = c.removeOthers(now, h) || changed
		c.history = max(c.history, h.Version)
	}
	c.content = max(c.content, c.newest())
	c.forget(now)
	return changed
}

// isOutdated reports whether a row of a change that the copy lacks was removed before its history begins.
func (c *Copy) isOutdated(r Row, h Change) bool {
	_, ok := c.rows[r.Key]
	return !ok && r.Version <= c.history && (r.Removed || h.Version < c.history)
}

func (c *Copy) put(now time.Time, r Row) bool {
	o, ok := c.rows[r.Key]
	if r.Kept || ok && o.Version >= r.Version {
		return false
	}
	if ok {
		c.digest ^= o.digest()
	}
	c.digest ^= r.digest()
	c.rows[r.Key] = r
	delete(c.removed, r.Key)
	if r.Removed {
		c.removed[r.Key] = now
	}
	return true
}

// removeOthers removes the rows that a whole change does not list and that are not newer than it.
func (c *Copy) removeOthers(now time.Time, h Change) bool {
	listed := make(map[string]bool, len(h.Rows))
	for _, r := range h.Rows {
		listed[r.Key] = true
	}
	changed := false
	for k, r := range c.rows {
		if listed[k] || r.Removed || r.Version > h.Version {
			continue
		}
		changed = c.put(now, Row{Key: k, Version: max(h.Version, r.Version+1), Removed: true}) || changed
	}
	return changed
}

func (c *Copy) newest() uint64 {
	var v uint64
	for _, r := range c.rows {
		v = max(v, r.Version)
	}
	return v
}

func (c *Copy) forget(now time.Time) {
	for k, t := range c.removed {
		if now.Sub(t) > TombstoneLife {
			c.history = max(c.history, c.rows[k].Version)
			delete(c.removed, k)
			delete(c.rows, k)
		}
	}
}

// Rows returns the rows that exist, by key, and whether the table is known.
func (c *Copy) Rows() ([]Row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rs := make([]Row, 0, len(c.rows))
	for _, r := range c.rows {
		if !r.Removed {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rs, c.known
}

// Since returns the change after a version for a copy that has all rows up to it. The change is whole if the history after that
// version is not known here; it then names the rows that the other copy has without their values. ok is false while the table
// is not known.
func (c *Copy) Since(after uint64) (h Change, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.Version, h.Digest = c.content, c.digest
	h.Whole = after == 0 || after < c.history
	for r := range maps.Values(c.rows) {
		switch {
		case r.Version > after:
			h.Rows = append(h.Rows, r)
		case h.Whole && !r.Removed:
			h.Rows = append(h.Rows, Row{Key: r.Key, Version: r.Version, Kept: true})
		}
	}
	return h, c.known
}

// Version returns the version of the copy, which is zero while the table is not known.
func (c *Copy) Version() Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return Version{}
	}
	return Version{Content: c.content, Digest: c.digest}
}

// Compare takes over the content of another copy that has the same rows. It reports whether the copies differ although they have
// the same content, so that one of them is wrong.
func (c *Copy) Compare(v Version) (differ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || v.Digest == 0 {
		return false
	}
	if v.Digest == c.digest {
		if v.Content > c.content {
			// Rows that came and went in between are not known here.
			c.content, c.history = v.Content, v.Content
		}
		return false
	}
	return v.Content == c.content
}

// Known reports whether the whole table was read from some source.
func (c *Copy) Known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// Followed returns the version to follow the store from, which is 0 while the table is not known.
func (c *Copy) Followed() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0
	}
	return c.followed
}
