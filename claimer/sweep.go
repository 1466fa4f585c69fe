package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/timer"
)

const (
	expiryPrefix = "claim_expiry/"
	// sweepInterval limits the sweep to 10 transactions and 20 reads per second; sweepKeys limits each read to 64 responses
	// of 64 KiB.
	sweepInterval = 100 * time.Millisecond
	sweepKeys     = 64
	sweepRows     = 64
	// idleSweepInterval is the time between sweeps while nothing has expired.
	idleSweepInterval = time.Minute
)

// expiryRow lists the claim rows written by one transaction. It is stored in the bucket of the hour in which the last of
// them expires.
type expiryRow struct {
	Keys []string `json:"keys"`
	hour int64
}

func (x *expiryRow) add(key string, expires time.Time) {
	x.Keys = append(x.Keys, strings.TrimPrefix(key, claimPrefix))
	x.hour = max(x.hour, hourOf(expires)+1)
}

func (x *expiryRow) key(id string) string {
	return fmt.Sprintf("%s%010d/%s", expiryPrefix, x.hour, id)
}

func (x *expiryRow) encode() []byte {
	b, err := json.Marshal(x)
	if err != nil {
		// Marshaling a list of strings cannot fail.
		panic("claimer: " + err.Error())
	}
	return b
}

func hourOf(t time.Time) int64 {
	return t.Unix() / int64(time.Hour/time.Second)
}

// due reports whether all claims in an expiry row have expired, apart from claims that were renewed later.
func due(key string, now time.Time) bool {
	hour, _, ok := strings.Cut(strings.TrimPrefix(key, expiryPrefix), "/")
	if !ok {
		return false
	}
	h, err := strconv.ParseInt(hour, 10, 64)
	return err == nil && h <= hourOf(now)
}

// SweepStep is one batch of a sweep: the claim rows to check and the expiry rows that are then no longer needed.
type SweepStep struct {
	Keys   []string
	Expiry []storer.Row
}

// PlanSweep groups the due expiry rows into steps of at most 64 claim rows. The rows must be in key order.
func PlanSweep(rows []storer.Row, now time.Time) []SweepStep {
	var steps []SweepStep
	var s SweepStep
	for _, r := range rows {
		if !due(r.Key, now) {
			break
		}
		var x expiryRow
		if err := json.Unmarshal(r.Value, &x); err != nil {
			// The claims of an unreadable expiry row are not deleted. This wastes space but cannot cause a second execution.
			x.Keys = nil
		}
		for _, k := range x.Keys {
			if len(s.Keys) == sweepKeys {
				steps = append(steps, s)
				s = SweepStep{}
			}
			s.Keys = append(s.Keys, claimPrefix+k)
		}
		s.Expiry = append(s.Expiry, r)
	}
	if len(s.Expiry) > 0 {
		steps = append(steps, s)
	}
	return steps
}

// Deletions returns the transaction that deletes the expired claims and the expiry rows of the step. Each deletion checks
// the version that was read, so that renewed claims are kept.
func (s SweepStep) Deletions(claims []storer.Row, now time.Time) storer.Txn {
	var t storer.Txn
	remove := func(r storer.Row) {
		t.Checks = append(t.Checks, storer.Check{Key: r.Key, Version: r.Version})
		t.Writes = append(t.Writes, storer.Write{Key: r.Key, Delete: true})
	}
	for _, c := range claims {
		r, err := decodeRow(c.Value)
		if err != nil || now.Before(r.expires()) {
			continue
		}
		remove(c)
	}
	for _, e := range s.Expiry {
		remove(e)
	}
	return t
}

// SweeperConfig configures a Sweeper. Only Store is required.
type SweeperConfig struct {
	Store storer.Store
	// Clock defaults to timer.Now.
	Clock timer.Clock
	// Self is the name of this instance, and Owners returns the claim owners, among which the sweep is divided. If Owners
	// is nil or returns none, this instance sweeps all rows.
	Self   string
	Owners func() []string
}

// Sweeper deletes expired claims. Several sweepers may safely process the same rows.
type Sweeper struct {
	config SweeperConfig
}

// NewSweeper returns a Sweeper.
func NewSweeper(c SweeperConfig) *Sweeper {
	if c.Clock == nil {
		c.Clock = timer.Now
	}
	if c.Owners == nil {
		c.Owners = func() []string { return nil }
	}
	return &Sweeper{config: c}
}

// Run sweeps until ctx ends, with at most one transaction and two reads per 100 ms.
func (s *Sweeper) Run(ctx context.Context) error {
	for {
		more, err := s.Sweep(ctx)
		pause := idleSweepInterval
		if more && err == nil {
			pause = sweepInterval
		}
		if err := timer.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// Sweep processes one listing of due rows that belong to this instance and reports whether there were any.
func (s *Sweeper) Sweep(ctx context.Context) (more bool, err error) {
	now := s.config.Clock()
	rows, err := s.listDue(ctx, now)
	if err != nil {
		return false, err
	}
	steps := PlanSweep(rows, now)
	for i, step := range steps {
		ok, err := s.sweepStep(ctx, step, now)
		if err != nil {
			return false, err
		}
		if !ok || i == len(steps)-1 {
			// After a failed check the expiry row is kept, so that the next sweep processes its claims again.
			break
		}
		if err := timer.Sleep(ctx, sweepInterval); err != nil {
			return false, err
		}
	}
	return len(steps) > 0, nil
}

// listDue returns the first due rows that this instance must sweep, with at most one read per 100 ms.
func (s *Sweeper) listDue(ctx context.Context, now time.Time) ([]storer.Row, error) {
	owners := s.config.Owners()
	if len(owners) > 0 && !slices.Contains(owners, s.config.Self) {
		return nil, nil
	}
	after := ""
	for {
		rows, err := s.config.Store.List(ctx, expiryPrefix, after, sweepRows)
		if err != nil {
			return nil, err
		}
		own := s.ownRows(rows, owners)
		if len(own) > 0 || len(rows) < sweepRows || !due(rows[len(rows)-1].Key, now) {
			return own, nil
		}
		after = rows[len(rows)-1].Key
		if err := timer.Sleep(ctx, sweepInterval); err != nil {
			return nil, err
		}
	}
}

// ownRows returns the rows whose first claim is in a range of this instance. Unreadable rows are in range 0.
func (s *Sweeper) ownRows(rows []storer.Row, owners []string) []storer.Row {
	if len(owners) == 0 {
		return rows
	}
	var r []storer.Row
	for _, w := range rows {
		var x expiryRow
		first := ""
		if err := json.Unmarshal(w.Value, &x); err == nil && len(x.Keys) > 0 {
			first = x.Keys[0]
		}
		if owners[keyRange(first)%len(owners)] == s.config.Self {
			r = append(r, w)
		}
	}
	return r
}

func (s *Sweeper) sweepStep(ctx context.Context, step SweepStep, now time.Time) (committed bool, err error) {
	var claims []storer.Row
	if len(step.Keys) > 0 {
		claims, err = s.config.Store.Read(ctx, step.Keys...)
		if err != nil {
			return false, err
		}
	}
	t := step.Deletions(claims, now)
	if len(t.Writes) == 0 {
		return true, nil
	}
	r, err := s.config.Store.Commit(ctx, t)
	return r.Committed, err
}
