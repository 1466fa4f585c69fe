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
	// the store has no row of the key. Nil retains nothing.
	Life func(earlier Row, present *Row) time.Duration
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
	// Ceiling is a version that the store had in the present era: what it has above was written in that era.
	Ceiling uint64
	// Ended tells why the row is not in force any more; it is empty if the row stays in force.
	Ended string
}

// retained is a row of an earlier era with the time since when it is retained, and the version of the store's row at that time.
type retained struct {
	Row
	since time.Time
	basis uint64
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
	// ceiling is the version that the store had when rows were last retained.
	ceiling   uint64
	decisions []Decision
}

func newRetention(r Retention) retention {
	return retention{Retention: r, rows: map[string]retained{}, ended: map[string]ended{}}
}

func (r Row) position() Position {
	return Position{Era: r.Era, Version: r.Version}
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

// life returns for how long an earlier row stays in force beside the store's row, which may be nil. A row that was written since
// the earlier one is retained supersedes it, unless it says itself that it is older.
func (r *retention) life(earlier Row, present *Row, rewritten bool) time.Duration {
	if r.Life == nil {
		return 0
	}
	if present != nil {
		c := r.compare(*present, earlier)
		same := present.Removed == earlier.Removed && bytes.Equal(present.Value, earlier.Value)
		if c > 0 || c == 0 && (rewritten || same) {
			return 0
		}
	}
	return r.Life(earlier, present)
}

// add retains a row of an earlier era since a time unless the store's row, which may be nil, supersedes it. Whoever told the row knew
// the store's rows up to a version. It reports whether the rows in force changed.
func (r *retention) add(now, since time.Time, x Row, present *Row, known uint64) bool {
	if e, ok := r.ended[x.Key]; ok && x.position().Compare(e.position) <= 0 {
		return false
	}
	o, ok := r.rows[x.Key]
	if ok && cmp.Or(r.compare(x, o.Row), x.position().Compare(o.position())) <= 0 {
		if x.position() == o.position() && since.Before(o.since) {
			o.since = since
			r.rows[x.Key] = o
		}
		return false
	}
	if l := r.life(x, present, present != nil && present.Version > known); l <= 0 || now.Sub(since) >= l {
		return false
	}
	n := retained{Row: x, since: since}
	if present != nil {
		n.basis = present.Version
	}
	r.rows[x.Key] = n
	r.decide(x, present, "")
	return true
}

// review ends the retention of rows that the store's rows supersede or whose life is over, and reports whether there were any.
func (r *retention) review(now time.Time, rows map[string]Row) bool {
	changed := false
	for k, x := range r.rows {
		var present *Row
		basis := uint64(0)
		if p, ok := rows[k]; ok {
			present, basis = &p, p.Version
		}
		if l := r.life(x.Row, present, basis != x.basis); l <= 0 || now.Sub(x.since) >= l {
			reason := Superseded
			if l > 0 {
				reason = Expired
			}
			r.end(now, k, present, reason)
			changed = true
		}
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
