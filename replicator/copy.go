package replicator

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
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
}

// Copy is a copy of one table; it is safe for concurrent use.
type Copy struct {
	mu   sync.Mutex
	rows map[string]Row
	// followed is the version from which the table is followed; content is the version of the newest row, removed ones included.
	followed, content uint64
	// forgotten is the version of the newest tombstone that was dropped.
	forgotten uint64
	removed   map[string]time.Time
	known     bool
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{rows: map[string]Row{}, removed: map[string]time.Time{}}
}

// Apply merges a change of the store and reports whether a row changed or the table became known.
func (c *Copy) Apply(now time.Time, h Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followed = max(c.followed, h.Version)
	return c.merge(now, h, 0)
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
		changed = r.Version > after && c.put(now, r) || changed
	}
	if h.Whole {
		changed = c.removeOthers(now, h) || changed
	}
	c.content = max(c.content, c.newest())
	c.forget(now)
	return changed
}

func (c *Copy) put(now time.Time, r Row) bool {
	o, ok := c.rows[r.Key]
	if ok && o.Version >= r.Version {
		return false
	}
	if r.Removed && !ok && r.Version <= c.forgotten {
		return false
	}
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
			c.forgotten = max(c.forgotten, c.rows[k].Version)
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

// Since returns the change after a version, or the whole copy if removals after it were forgotten; ok is false while
// the table is not known.
func (c *Copy) Since(after uint64) (h Change, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.Version = c.content
	h.Whole = after == 0 || after < c.forgotten
	for r := range maps.Values(c.rows) {
		if r.Version > after || h.Whole && !r.Removed {
			h.Rows = append(h.Rows, r)
		}
	}
	return h, c.known
}

// Known reports whether the whole table was read from some source.
func (c *Copy) Known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// Versions returns the version to follow from and that of the newest row; both are 0 while the table is not known.
func (c *Copy) Versions() (followed, content uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0, 0
	}
	return c.followed, c.content
}
