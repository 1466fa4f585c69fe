package replicator

import (
	"bytes"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TombstoneLife is how long a copy remembers a removed row in era 0, and 10 min in later ones; a peer that is further behind gets the
// whole copy.
const TombstoneLife = time.Minute

// Row is a row of a table.
type Row struct {
	Key   string
	Value []byte
	// Era and Version are those of the last change; the store counts versions over all tables, from each restore anew.
	Era     uint64
	Version uint64
	Removed bool
	// Last is the value that a removed row had, if it is known.
	Last []byte
	// Kept is true if the receiver of a change has the row in this version; the value is then left out.
	Kept bool
}

// Version identifies the rows of a copy.
type Version struct {
	// Era is that of the store that the copy belongs to.
	Era uint64
	// Content is the version of the newest change in the copy.
	Content uint64
	// Digest is that of the keys and versions of the rows that exist; copies with the same content have the same. It is 0 if it
	// is not known.
	Digest uint64
	// Retained is the digest of the rows of earlier eras that stay in force. It is 0 in era 0, and if the copy is not known to
	// have those that others retain.
	Retained uint64
}

// Position returns the position of the newest change in the copy.
func (v Version) Position() Position {
	return Position{Era: v.Era, Version: v.Content}
}

// Change is what a source tells about a table.
type Change struct {
	// Peer names the instance that told it; empty means the store.
	Peer string
	Rows []Row
	// Era is that of the source; in a failed call it is the one that the source told, or 0.
	Era uint64
	// Version is the newest one that the source knew.
	Version uint64
	// Whole is true if rows that are not listed do not exist.
	Whole bool
	// More is true if the source had further changes.
	More bool
	// Digest is that of the source's rows, or 0 if the source does not state it.
	Digest uint64
	// Retained are the rows of earlier eras that stay in force at a peer.
	Retained []RetainedRow
	// Settled is true if a peer has what others retain, as far as it can know.
	Settled bool
	// Ceiling is the lowest version that the store had in the era as far as the peer knows, or 0, and Age is how long the era has
	// been known.
	Ceiling uint64
	Age     time.Duration
	// Complete is, by earlier era, the version up to which the peer knew each row of it.
	Complete map[uint64]uint64
}

// Copy is a copy of one table; it is safe for concurrent use.
type Copy struct {
	mu sync.Mutex
	// era is that of the rows, which are the store's; retention keeps rows of earlier eras that are in force in their place.
	era       uint64
	rows      map[string]Row
	retention retention
	// settled is true if the copy lived through the last restore of the store or learned from a peer what is retained. In era 0
	// nothing is.
	settled bool
	// earlier are the rows before the restore until the rows after it are known; adoption is the last one of an era.
	earlier  []retained
	adoption Adoption
	// unchanged are, by key, versions of the era at which it did not change.
	unchanged map[string]span
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

// NewCopy returns an empty copy that retains nothing of an earlier era.
func NewCopy() *Copy {
	return NewRetainingCopy(Retention{})
}

// NewRetainingCopy returns an empty copy.
func NewRetainingCopy(r Retention) *Copy {
	return &Copy{rows: map[string]Row{}, removed: map[string]time.Time{}, unchanged: map[string]span{}, digest: emptyDigest, retention: newRetention(r)}
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

// admit reports whether a change may be merged. The first whole table of a higher era begins a new copy; a change of a lower era
// arrived late, and one of a higher era tells nothing about the rows before it.
func (c *Copy) admit(now time.Time, h Change) bool {
	if h.Era == c.era {
		return true
	}
	if h.Era < c.era || !h.Whole {
		return false
	}
	c.earlier = c.beforeRestore()
	c.settled = c.known && c.isSettled()
	c.adoption = Adoption{From: c.era, To: h.Era}
	if c.settled {
		c.retention.complete[c.era] = c.content
	}
	c.retention.begin(now)
	c.era, c.known = h.Era, false
	c.followed, c.content, c.history, c.digest = 0, 0, 0, emptyDigest
	c.rows, c.removed, c.unchanged = map[string]Row{}, map[string]time.Time{}, map[string]span{}
	return true
}

// beforeRestore returns the rows that are in force, with the removed ones that are remembered and what is known of their keys.
func (c *Copy) beforeRestore() []retained {
	var rs []retained
	for _, r := range c.inForce() {
		x := retained{Row: r, unchanged: c.unchanged[r.Key]}
		if o, ok := c.retention.rows[r.Key]; ok {
			x.unchanged = o.unchanged
		}
		rs = append(rs, x)
	}
	return rs
}

// inForce returns the rows that are in force, with the removed ones that are remembered.
func (c *Copy) inForce() []Row {
	rs := make([]Row, 0, len(c.rows))
	for k, r := range c.rows {
		if _, ok := c.retention.rows[k]; !ok {
			rs = append(rs, r)
		}
	}
	for _, x := range c.retention.rows {
		rs = append(rs, x.Row)
	}
	return rs
}

// retain retains what the store lost, once the rows after the restore are known.
func (c *Copy) retain(now time.Time) {
	for _, r := range c.earlier {
		p := c.present(r.Key)
		lost := !r.Removed
		if p != nil && !p.Removed {
			lost = r.Removed || !bytes.Equal(p.Value, r.Value)
		}
		r.since = c.retention.began
		kept := c.retention.add(now, r, p)
		if !lost {
			continue
		}
		c.adoption.Lost++
		if kept {
			c.adoption.Kept++
		} else if r.Removed != (p == nil || p.Removed) {
			c.retention.decide(r.Row, p, Unretained)
		}
	}
	c.earlier = nil
}

// present returns the store's row, or nil if it has none.
func (c *Copy) present(key string) *Row {
	if r, ok := c.rows[key]; ok {
		return &r
	}
	return nil
}

func (c *Copy) isSettled() bool {
	return c.era == 0 || c.settled
}

// Apply merges a change of the store and reports whether a row changed or the table became known.
func (c *Copy) Apply(now time.Time, h Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.admit(now, h) {
		return false
	}
	if !h.Whole {
		c.noteUnchanged(h.Rows)
	}
	c.followed = max(c.followed, h.Version)
	c.retention.observe(now, h.Version, 0)
	changed := c.merge(now, h, 0)
	if h.Whole {
		// The newest change may be a removal, which a whole table does not show.
		c.content = max(c.content, h.Version)
	}
	return changed
}

// noteUnchanged notes that keys which change now had not changed since their last version, or since the history of the copy begins, up to
// the version from which the store was followed.
func (c *Copy) noteUnchanged(rs []Row) {
	for _, r := range rs {
		after := c.history
		if o, ok := c.rows[r.Key]; ok {
			after = o.Version
		}
		if r.Version > after && c.followed > after {
			c.unchanged[r.Key] = span{after: after, until: c.followed}
		}
	}
}

// Merge is like Apply for a change of a peer. A known table is still followed from the version that the store itself told, and
// rows up to it are known.
func (c *Copy) Merge(now time.Time, h Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.admit(now, h) {
		return false
	}
	ceiling := h.Ceiling
	if ceiling == 0 {
		ceiling = h.Version
	}
	c.retention.observe(now, ceiling, h.Age)
	after := c.followed
	if !c.known {
		after, c.followed = 0, max(c.followed, h.Version)
	}
	changed := c.merge(now, h, after)
	// The peer's newest change may be a removal that it has forgotten.
	c.content = max(c.content, h.Version)
	changed = c.retention.merge(now, h, c.present) || changed
	if h.Settled && !c.isSettled() {
		c.settled, changed = true, true
	}
	return changed
}

// Settle has a copy whose rows of earlier eras nobody told take effect without them, and reports whether that was needed.
func (c *Copy) Settle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.known && !c.isSettled()
	c.settled = c.settled || changed
	return changed
}

// Settled reports whether the copy has what others retain of earlier eras, as far as it can know.
func (c *Copy) Settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSettled()
}

// Drop ends the retention of a row and reports whether there was one.
func (c *Copy) Drop(now time.Time, key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retention.drop(now, key, c.present(key))
}

// Review ends the retention of rows whose life is over, and reports whether there were any.
func (c *Copy) Review(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retention.review(now, c.rows)
}

// Decisions returns what was decided about rows of earlier eras since the last call, maxDecisions at most.
func (c *Copy) Decisions() []Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	ds := c.retention.decisions
	c.retention.decisions = nil
	return ds
}

// MissingAfter returns the version after which to look for the removals of rows in force that a whole table of a later era lacks: the
// newest one below them that the table seems to share with the copy. ok is false if it lacks none.
func (c *Copy) MissingAfter(h Change) (after uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || h.Era <= c.era || !h.Whole {
		return 0, false
	}
	listed := make(map[string]Row, len(h.Rows))
	for _, r := range h.Rows {
		listed[r.Key] = r
	}
	lowest := uint64(math.MaxUint64)
	rs := slices.DeleteFunc(c.inForce(), func(r Row) bool { return r.Removed })
	for _, r := range rs {
		if _, there := listed[r.Key]; !there {
			lowest, ok = min(lowest, r.Version), true
		}
	}
	for _, r := range rs {
		if p := listed[r.Key]; p.Version == r.Version && r.Version < lowest && bytes.Equal(p.Value, r.Value) {
			after = max(after, r.Version)
		}
	}
	return after, ok
}

// Adoption returns the last adoption of an era.
func (c *Copy) Adoption() Adoption {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.adoption
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
	c.retain(now)
	changed = c.retention.review(now, c.rows) || changed
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
	r.Era = c.era
	if r.Removed && r.Last == nil {
		r.Last = o.Value
		if o.Removed {
			r.Last = o.Last
		}
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
	life := TombstoneLife
	if c.era > 0 {
		// A peer that learns of the era later may have a row of an earlier one that was removed in this one.
		life = endedLife
	}
	for k, t := range c.removed {
		if now.Sub(t) > life {
			c.history = max(c.history, c.rows[k].Version)
			delete(c.removed, k)
			delete(c.rows, k)
			delete(c.unchanged, k)
		}
	}
}

// Rows returns the rows in force, by key, and whether the table is known and settled. Those of an earlier era are retained.
func (c *Copy) Rows() ([]Row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rs := slices.DeleteFunc(c.inForce(), func(r Row) bool { return r.Removed })
	slices.SortFunc(rs, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rs, c.known && c.isSettled()
}

// Since returns the change after a version for a copy that has all rows up to it. The change is whole if the history after that
// version is not known here; it then names the rows that the other copy has without their values. ok is false while the table
// is not known.
func (c *Copy) Since(after uint64) (h Change, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since(after), c.known
}

// SinceIn is like Since for a position. Versions of another era tell nothing here, so that the change is then whole. It includes
// the rows of earlier eras that are retained at a time.
func (c *Copy) SinceIn(now time.Time, p Position) (h Change, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Era != c.era {
		p.Version = 0
	}
	h = c.since(p.Version)
	if h.Era > 0 {
		h.Retained, h.Settled = c.retention.list(now), c.isSettled()
		h.Ceiling, h.Age, h.Complete = c.retention.ceiling, now.Sub(c.retention.began), maps.Clone(c.retention.complete)
	}
	return h, c.known
}

func (c *Copy) since(after uint64) (h Change) {
	h.Era, h.Version, h.Digest = c.era, c.content, c.digest
	h.Whole = after == 0 || after < c.history
	for r := range maps.Values(c.rows) {
		switch {
		case r.Version > after:
			h.Rows = append(h.Rows, r)
		case h.Whole && !r.Removed:
			h.Rows = append(h.Rows, Row{Key: r.Key, Era: r.Era, Version: r.Version, Kept: true})
		}
	}
	return h
}

// Version returns the version of the copy, which is zero while the table is not known.
func (c *Copy) Version() Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return Version{}
	}
	v := Version{Era: c.era, Content: c.content, Digest: c.digest}
	if c.era > 0 && c.settled {
		v.Retained = c.retention.digest()
	}
	return v
}

// Compare takes over the content of another copy that has the same rows. It reports whether the copies differ although they have
// the same content, so that one of them is wrong.
func (c *Copy) Compare(v Version) (differ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || v.Era != c.era || v.Digest == 0 {
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
	return c.FollowedIn().Version
}

// FollowedIn returns the position to follow the store from. Its version is 0 while the table is not known.
func (c *Copy) FollowedIn() Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Position{Era: c.era}
	if c.known {
		p.Version = c.followed
	}
	return p
}
