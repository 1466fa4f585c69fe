package replicator_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/replicator"
)

// narrow is a store whose answers take rowTime for each row.
type narrow struct {
	*store
	rowTime time.Duration
}

func (n *narrow) transfer(ctx context.Context, h replicator.Change, err error) (replicator.Change, error) {
	if err != nil {
		return h, err
	}
	select {
	case <-time.After(time.Duration(len(h.Rows)) * n.rowTime):
		return h, nil
	case <-ctx.Done():
		return replicator.Change{}, ctx.Err()
	}
}

func (n *narrow) Read(ctx context.Context, name string) (replicator.Change, error) {
	h, err := n.store.Read(ctx, name)
	return n.transfer(ctx, h, err)
}

func (n *narrow) Follow(ctx context.Context, name string, after uint64, wait time.Duration) (replicator.Change, error) {
	h, err := n.store.Follow(ctx, name, after, wait)
	return n.transfer(ctx, h, err)
}

// Guards against a copy that stays old after an outage because the changes missed in it never arrive in time.
func TestManyChangesDuringOutageDoNotBlockCopy(t *testing.T) {
	for _, tables := range [][]string{{"op"}, {"first", "op"}} {
		s := &narrow{store: newStore(), rowTime: 60 * time.Millisecond}
		s.write("config", "0")
		playTables(t, s.store, replicator.Config{Source: s}, tables, func(r *replicator.Replicator, w *watcher) {
			time.Sleep(100 * time.Millisecond)
			s.set(func() { s.down = true })
			for i := range 36 {
				time.Sleep(250 * time.Millisecond)
				s.set(func() { s.write("config", strconv.Itoa(i+1)) })
			}
			s.set(func() { s.down = false })
			time.Sleep(2 * time.Second)
			if got := w.get("config"); got != "36" || r.Failing() {
				t.Errorf("of tables %v: version %q of the configuration 2 s after the outage, want 36; failing %v", tables, got, r.Failing())
			}
		})
	}
}

// Guards against an instance that begins to call the store, and first waits for all changes that peers already told it.
func TestNewFollowerReadsTableWhole(t *testing.T) {
	s := &narrow{store: newStore(), rowTime: 60 * time.Millisecond}
	s.write("config", "0")
	var follows atomic.Bool
	follows.Store(true)
	playTables(t, s.store, replicator.Config{Source: s, Follows: follows.Load}, []string{"op"}, func(_ *replicator.Replicator, w *watcher) {
		time.Sleep(3 * time.Second)
		follows.Store(false)
		time.Sleep(2 * time.Second)
		for i := range 36 {
			time.Sleep(250 * time.Millisecond)
			s.set(func() { s.write("config", strconv.Itoa(i+1)) })
		}
		follows.Store(true)
		time.Sleep(500 * time.Millisecond)
		if got := w.get("config"); got != "36" {
			t.Errorf("version %q of the configuration after 0.5 s, want 36", got)
		}
	})
}

// Guards against an outage after which a large table is only read whole, and never arrives in time.
func TestLargeTableIsFollowedAfterShortOutage(t *testing.T) {
	s := &narrow{store: newStore(), rowTime: time.Millisecond}
	s.write("config", "0")
	playTables(t, s.store, replicator.Config{Source: s}, []string{"op"}, func(r *replicator.Replicator, w *watcher) {
		time.Sleep(2 * time.Second)
		for i := range 800 {
			s.set(func() { s.write(strconv.Itoa(i), "0") })
			time.Sleep(10 * time.Millisecond)
		}
		for _, d := range []time.Duration{1500 * time.Millisecond, 4 * time.Second} {
			s.set(func() { s.down = true })
			time.Sleep(d)
			s.set(func() { s.write("config", d.String()); s.down = false })
			time.Sleep(2500 * time.Millisecond)
			if got := w.get("config"); got != d.String() || r.Failing() {
				t.Errorf("value %q 2.5 s after an outage of %v, failing %v", got, d, r.Failing())
			}
		}
	})
}
