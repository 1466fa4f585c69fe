package replicator_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/replicator"
)

// partialStore is a source of several tables with one counter of versions, which can lose the answers for one of them.
type partialStore struct {
	mu      sync.Mutex
	version uint64
	rows    map[string][]replicator.Row
	changed chan struct{}
	// silent tables are not answered; lost counts how often the pending calls of a table were lost.
	silent map[string]bool
	lost   map[string]int
	calls  map[string]int
}

func (s *partialStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *partialStore) write(table, key string) {
	s.set(func() {
		s.version++
		s.rows[table] = append(s.rows[table], replicator.Row{Key: key, Version: s.version})
	})
}

// lose has the pending calls of a table get no answer, and with down those that come until it is set back.
func (s *partialStore) lose(table string, down bool) {
	s.set(func() {
		s.lost[table]++
		s.silent[table] = down
	})
}

// Read returns the whole table.
func (s *partialStore) Read(ctx context.Context, table string) (replicator.Change, error) {
	h, err := s.Follow(ctx, table, 0, 0)
	h.Whole = true
	return h, err
}

// Follow returns the rows changed after a version.
func (s *partialStore) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (replicator.Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[table]++
	lost := s.lost[table]
	end := time.Now().Add(wait)
	for {
		gone := s.silent[table] || s.lost[table] != lost
		h := replicator.Change{Version: s.version}
		h.Rows = slices.DeleteFunc(slices.Clone(s.rows[table]), func(r replicator.Row) bool { return r.Version <= after })
		if !gone && (len(h.Rows) > 0 || !time.Now().Before(end)) {
			return h, nil
		}
		c := s.changed
		s.mu.Unlock()
		var over <-chan time.Time
		if !gone {
			over = time.After(time.Until(end))
		}
		select {
		case <-c:
		case <-over:
		case <-ctx.Done():
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			return replicator.Change{}, ctx.Err()
		}
	}
}

// playPartial runs a replicator of a table with short polls and one with long polls, whose rows f gets.
func playPartial(t *testing.T, f func(s *partialStore, w *watcher)) {
	synctest.Test(t, func(t *testing.T) {
		s := &partialStore{rows: map[string][]replicator.Row{}, changed: make(chan struct{}), silent: map[string]bool{}, lost: map[string]int{}, calls: map[string]int{}}
		w := &watcher{}
		r := replicator.New(replicator.Config{
			Source: s,
			Tables: []replicator.Table{
				{Name: "op", Wait: time.Second, Changed: func([]replicator.Row) {}},
				{Name: "targets", Wait: 15 * time.Second, Pause: 400 * time.Millisecond, Changed: w.changed},
			},
			Log:   logger.Discard(),
			Clock: time.Now,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		f(s, w)
		cancel()
		<-done
	})
}

func (w *watcher) has(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.rows[key]
	return ok
}

// The store loses the answers for one table while it serves the other one. Guards against an instance that learns only at the end of
// its long poll what changed there since, such as a target that leaves.
func TestLostPollIsNoticedByOtherTable(t *testing.T) {
	for name, outage := range map[string]time.Duration{"answer lost": 0, "table not answered": 4500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			playPartial(t, func(s *partialStore, w *watcher) {
				s.lose("targets", outage > 0)
				time.Sleep(outage)
				s.set(func() { s.silent["targets"] = false })
				time.Sleep(4500 * time.Millisecond)
				s.write("targets", "leaving")
				time.Sleep(2 * time.Second)
				if !w.has("leaving") {
					t.Error("the change is not there after 2 s")
				}
			})
		})
	}
}

// Guards against calls for a table that each change of other tables costs.
func TestChangesOfOtherTablesCostFewCalls(t *testing.T) {
	const seconds = 60
	playPartial(t, func(s *partialStore, w *watcher) {
		calls := func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.calls["targets"]
		}
		before := calls()
		for range 10 * seconds {
			time.Sleep(100 * time.Millisecond)
			s.write("op", "configuration")
		}
		if n := calls() - before; n > seconds+2*seconds/15 {
			t.Errorf("%d calls in %d s without a change of the table", n, seconds)
		}
		before = calls()
		for range seconds {
			time.Sleep(time.Second)
			s.write("targets", "target")
		}
		if n := calls() - before; n > seconds+2*seconds/15 {
			t.Errorf("%d calls for %d changes of the table", n, seconds)
		}
		if !w.has("target") {
			t.Error("the changes are not there")
		}
	})
}
