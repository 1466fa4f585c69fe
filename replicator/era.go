package replicator

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Forever is the life of a row that stays in force until the store has one that supersedes it.
const Forever = time.Duration(math.MaxInt64)

// endedLife is how long a copy remembers that a retained row ended, so that a peer that still has it does not bring it back. It
// exceeds the differences between the times at which instances learn of an era.
const endedLife = 10 * time.Minute

// Position is a version in an era of the store. Each restore of the store begins an era, in which versions are assigned again.
type Position struct {
	Era, Version uint64
}

// Compare orders positions by era, then by version.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Version, o.Version))
}

// Retention decides which rows of earlier eras stay in force although the restored store lacks them or has older ones.
type Retention struct {
	// Compare orders two rows of one key, written in different eras, by what they say; 0 means that this does not tell.
	Compare func(a, b Row) int
	// Life returns for how long an earlier row stays in force beside the present one, which does not supersede it and is nil if
	// the store has no row of the key; later tells that the present row is known to be written after the earlier one. Nil retains
	// nothing.
	Life func(earlier Row, present *Row, later bool) time.Duration
}

// RetainedRow is a row of an earlier era that stays in force.
type RetainedRow struct {
	Row
	// Age is the time since some instance first retained it.
	Age time.Duration
}

// Adoption is the change of a copy to a higher era.
type Adoption struct {
	From, To uint64
	// Lost is the number of rows, removed ones included, that the store lacks or has otherwise; Kept is how many of them stay in
	// force.
	Lost, Kept int
}

// Reasons why a row of an earlier era is not in force any more.
const (
	// Superseded means that the store has a row or a removal that was written later, or that says so.
	Superseded = "superseded"
	// Expired means that the life of the row is over.
	Expired = "expired"
	// Unconfirmed means that a peer knew all rows of that era up to this one, and does not have it.
	Unconfirmed = "unconfirmed"
	// Unretained means that the store lost the row, and that rows of its kind do not stay in force.
	Unretained = "unretained"
	// Dropped means that the user of the copy ended the retention.
	Dropped = "dropped"
)

// maxDecisions bounds the decisions that a copy keeps until they are logged.
const maxDecisions = 16

// Decision is what a copy decided about a row of an earlier era.
type Decision struct {
	Key string
	// Row is the position of the row, and Removed is true if it is a removal.
	Row     Position
	Removed bool
	// Present is the version of the store's row or removal, or 0.
	Present uint64
	// Ceiling bounds the version of the snapshot: what the store has above it was written in the present era.
	Ceiling uint64
	// Ended tells why the row is not in force any more; it is empty if the row stays in force.
	Ended string
}

// span is a range of versions of one era.
type span struct {
	after, until uint64
}

func (s span) contains(version uint64) bool {
	return version > s.after && version <= s.until
}

// retained is a row of an earlier era with the time since when it is retained.
type retained struct {
	Row
	since time.Time
	// unchanged are versions of its era at which its key is known not to have changed.
	unchanged span
}

// ended is when the retention of a row ended.
type ended struct {
	position Position
	at       time.Time
}

// retention keeps the retained rows of one table; it is not safe for concurrent use.
type retention struct {
	Retention
	rows  map[string]retained
	ended map[string]ended
	// ceiling is the lowest version that the store is known to have had in the present era. It bounds the version of the snapshot,
	// which the store does not tell, from above.
	ceiling uint64
	// began is when the first instance adopted the present era, as far as this one knows.
	began time.Time
	// complete is, by earlier era, the version up to which each row of it was known. Eras in dropped are not among them.
	complete  map[uint64]uint64
	dropped   map[uint64]bool
	decisions []Decision
}

func newRetention(r Retention) retention {
	return retention{Retention: r, rows: map[string]retained{}, ended: map[string]ended{}, complete: map[uint64]uint64{}, dropped: map[uint64]bool{}}
}

func (r Row) position() Position {
	return Position{Era: r.Era, Version: r.Version}
}

// begin begins an era without retained rows.
func (r *retention) begin(now time.Time) {
	r.rows = map[string]retained{}
	r.ceiling, r.began = math.MaxUint64, now
}

// observe takes over a version that the store had in the present era, and for how long an instance has known that era.
func (r *retention) observe(now time.Time, version uint64, age time.Duration) {
	r.ceiling = min(r.ceiling, version)
	b := now.Add(-max(age, 0))
	if !b.Before(r.began) {
		return
	}
	r.began = b
	for k, x := range r.rows {
		if x.since.After(b) {
			x.since = b
			r.rows[k] = x
		}
	}
}

func (r *retention) decide(x Row, present *Row, reason string) {
	if len(r.decisions) == maxDecisions {
		return
	}
	d := Decision{Key: x.Key, Row: x.position(), Removed: x.Removed, Ceiling: r.ceiling, Ended: reason}
	if present != nil {
		d.Present = present.Version
	}
	r.decisions = append(r.decisions, d)
}

func (r *retention) compare(a, b Row) int {
	if r.Compare == nil {
		return 0
	}
	return r.Compare(a, b)
}

// isLater reports whether the store's row is known to be written after a row of an earlier era that has other content. What is above
// the ceiling was written in the present era. A version that is not lower than that of the earlier row proves it too: it follows in the
// same history, or the snapshot is older than both. A lower one proves nothing, since versions are assigned again, unless the key did
// not change at that version in the earlier era.
func (r *retention) isLater(present Row, earlier retained) bool {
	return present.Version > r.ceiling || present.Version >= earlier.Version || earlier.unchanged.contains(present.Version)
}

// life returns for how long an earlier row stays in force beside the store's row, which may be nil. A row that is known to be written
// later supersedes it, unless it says itself that it is older.
func (r *retention) life(earlier retained, present *Row) time.Duration {
	if r.Life == nil {
		return 0
	}
	later := false
	if present != nil {
		c := r.compare(*present, earlier.Row)
		later = r.isLater(*present, earlier)
		same := present.Removed == earlier.Removed && bytes.Equal(present.Value, earlier.Value)
		if c > 0 || c == 0 && (later || same) {
			return 0
		}
	}
	return r.Life(earlier.Row, present, later)
}

// add retains a row of an earlier era unless the store's row, which may be nil, supersedes it. It reports whether the rows in force
// changed.
func (r *retention) add(now time.Time, x retained, present *Row) bool {
	if e, ok := r.ended[x.Key]; ok && x.position().Compare(e.position) <= 0 {
		return false
	}
	o, ok := r.rows[x.Key]
	if ok && cmp.Or(r.compare(x.Row, o.Row), x.position().Compare(o.position())) <= 0 {
		if x.position() == o.position() && x.since.Before(o.since) {
			o.since = x.since
			r.rows[x.Key] = o
		}
		return false
	}
	if l := r.life(x, present); l <= 0 || now.Sub(x.since) >= l {
		return false
	}
	r.rows[x.Key] = x
	r.decide(x.Row, present, "")
	return true
}

// merge takes over what a peer retains, and ends what a peer that knew it does not retain. It reports whether the rows in force changed.
func (r *retention) merge(now time.Time, h Change, present func(string) *Row) bool {
	changed := false
	listed := make(map[string]Position, len(h.Retained))
	for _, x := range h.Retained {
		if x.Era >= h.Era {
			continue
		}
		listed[x.Key] = x.position()
		if r.rows[x.Key].position() != x.position() && isComplete(r.complete, x.Row) {
			// This copy knew the row, and that it was overwritten or removed.
			continue
		}
		changed = r.add(now, retained{Row: x.Row, since: now.Add(-max(x.Age, 0))}, present(x.Key)) || changed
	}
	if !h.Settled {
		return changed
	}
	for k, x := range r.rows {
		if isComplete(h.Complete, x.Row) && listed[k].Compare(x.position()) < 0 {
			r.end(now, k, present(k), Unconfirmed)
			changed = true
		}
	}
	for e, v := range h.Complete {
		if !r.dropped[e] {
			r.complete[e] = max(r.complete[e], v)
		}
	}
	return changed
}

// isComplete reports whether each row of the era of a row was known up to it.
func isComplete(complete map[uint64]uint64, x Row) bool {
	v, ok := complete[x.Era]
	return ok && x.Version <= v
}

// review ends the retention of rows that the store's rows supersede or whose life is over, and reports whether there were any.
func (r *retention) review(now time.Time, rows map[string]Row) bool {
	changed := false
	for k, x := range r.rows {
		var present *Row
		if p, ok := rows[k]; ok {
			present = &p
		}
		l := r.life(x, present)
		if l > 0 && now.Sub(x.since) < l {
			continue
		}
		reason := Superseded
		if l > 0 {
			reason = Expired
		}
		r.end(now, k, present, reason)
		changed = true
	}
	maps.DeleteFunc(r.ended, func(_ string, e ended) bool { return now.Sub(e.at) > endedLife })
	return changed
}

// end ends the retention of a row for a reason and reports whether there was one.
func (r *retention) end(now time.Time, key string, present *Row, reason string) bool {
	x, ok := r.rows[key]
	if ok {
		delete(r.rows, key)
		r.ended[key] = ended{position: x.position(), at: now}
		r.decide(x.Row, present, reason)
	}
	return ok
}

// drop ends the retention of a row for this copy only, which then proves nothing to others about the era of the row.
func (r *retention) drop(now time.Time, key string, present *Row) bool {
	x, ok := r.rows[key]
	if ok {
		r.dropped[x.Era] = true
		delete(r.complete, x.Era)
	}
	return r.end(now, key, present, Dropped)
}

// digest returns the digest of the retained rows, which is never 0.
func (r *retention) digest() uint64 {
	d := uint64(emptyDigest)
	for k, x := range r.rows {
		b := binary.BigEndian.AppendUint64([]byte(k), x.Era)
		d ^= xxhash.Sum64(binary.BigEndian.AppendUint64(b, x.Version))
	}
	if d == 0 {
		return emptyDigest
	}
	return d
}

// list returns the retained rows for a peer.
func (r *retention) list(now time.Time) []RetainedRow {
	var rs []RetainedRow
	for _, x := range r.rows {
		rs = append(rs, RetainedRow{Row: x.Row, Age: now.Sub(x.since)})
	}
	return rs
}
