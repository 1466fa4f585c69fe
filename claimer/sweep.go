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
	// sweepInterval and sweepKeys bound the sweep to 10 transactions and 20 reads a second, and each read to 64 answers of 64 KiB.
	sweepInterval = 100 * time.Millisecond
	sweepKeys     = 64
	sweepRows     = 64
	// sweepPause is the time between looks while nothing has expired.
	sweepPause = time.Minute
)

// expiryRow lists the claim rows that one transaction wrote; it lies in the bucket of the hour in which the last of them expires.
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
		// A list of strings always encodes.
		panic("claimer: " + err.Error())
	}
	return b
}

func hourOf(t time.Time) int64 {
	return t.Unix() / int64(time.Hour/time.Second)
}

// due reports whether every claim listed in an expiry row has expired, unless it was written again since.
func due(key string, now time.Time) bool {
	hour, _, ok := strings.Cut(strings.TrimPrefix(key, expiryPrefix), "/")
	if !ok {
		return false
	}
	h, err := strconv.ParseInt(hour, 10, 64)
	return err == nil && h <= hourOf(now)
}

// Step is one batch of a sweep: claim rows to look at, and the expiry rows that are done with them.
type Step struct {
	Keys   []string
	Expiry []storer.Row
}

// Plan divides the due ones of rows, which are expiry rows in key order, into steps of at most 64 claim rows.
func Plan(rows []storer.Row, now time.Time) []Step {
	var steps []Step
	var s Step
	for _, r := range rows {
		if !due(r.Key, now) {
			break
		}
		var x expiryRow
		if err := json.Unmarshal(r.Value, &x); err != nil {
			// Without a readable list its claims stay, which costs space but lets nothing run twice.
			x.Keys = nil
		}
		for _, k := range x.Keys {
			if len(s.Keys) == sweepKeys {
				steps = append(steps, s)
				s = Step{}
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

// Remove returns the transaction that deletes the expired ones of claims and the expiry rows of the step;
// each deletion is conditional on the version that was read, so that a claim made since stays.
func (s Step) Remove(claims []storer.Row, now time.Time) storer.Txn {
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

// SweeperConfig configures a Sweeper; only Store is required.
type SweeperConfig struct {
	Store storer.Store
	// Clock is timer.Now if nil.
	Clock timer.Clock
	// Self is the name of this instance. Owners returns the claim owners, which divide the sweep; if it is nil or there are none, this instance sweeps all.
	Self   string
	Owners func() []string
}

// Sweeper deletes expired claims; several for the same rows do no harm.
type Sweeper struct {
	config SweeperConfig
}

// NewSweeper returns a sweeper.
func NewSweeper(c SweeperConfig) *Sweeper {
	if c.Clock == nil {
		c.Clock = timer.Now
	}
	if c.Owners == nil {
		c.Owners = func() []string { return nil }
	}
	return &Sweeper{config: c}
}

// Run sweeps until ctx ends, with at most one transaction and two reads each 100 ms.
func (s *Sweeper) Run(ctx context.Context) error {
	for {
		more, err := s.Sweep(ctx)
		pause := sweepPause
		if more && err == nil {
			pause = sweepInterval
		}
		if err := timer.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// Sweep deletes one listing of this instance's due rows and reports whether there was anything to do.
func (s *Sweeper) Sweep(ctx context.Context) (more bool, err error) {
	now := s.config.Clock()
	rows, err := s.list(ctx, now)
	if err != nil {
		return false, err
	}
	steps := Plan(rows, now)
	for i, step := range steps {
		ok, err := s.step(ctx, step, now)
		if err != nil {
			return false, err
		}
		if !ok || i == len(steps)-1 {
			// After a failed check the expiry row must stay, so that the next sweep finds its claims again.
			break
		}
		if err := timer.Sleep(ctx, sweepInterval); err != nil {
			return false, err
		}
	}
	return len(steps) > 0, nil
}

// list returns the first due rows that this instance sweeps, with at most one read each 100 ms.
func (s *Sweeper) list(ctx context.Context, now time.Time) ([]storer.Row, error) {
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
		own := s.own(rows, owners)
		if len(own) > 0 || len(rows) < sweepRows || !due(rows[len(rows)-1].Key, now) {
			return own, nil
		}
		after = rows[len(rows)-1].Key
		if err := timer.Sleep(ctx, sweepInterval); err != nil {
			return nil, err
		}
	}
}

// own returns the rows whose first claim is in this instance's range; an unreadable row is in the range of digest byte 0.
func (s *Sweeper) own(rows []storer.Row, owners []string) []storer.Row {
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
		if owners[rangeOf(first)%len(owners)] == s.config.Self {
			r = append(r, w)
		}
	}
	return r
}

func (s *Sweeper) step(ctx context.Context, step Step, now time.Time) (committed bool, err error) {
	var claims []storer.Row
	if len(step.Keys) > 0 {
		claims, err = s.config.Store.Read(ctx, step.Keys...)
		if err != nil {
			return false, err
		}
	}
	t := step.Remove(claims, now)
	if len(t.Writes) == 0 {
		return true, nil
	}
	r, err := s.config.Store.Commit(ctx, t)
	return r.Committed, err
}
