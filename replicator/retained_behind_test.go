package replicator_test

import (
	"testing"
	"time"

	"celeryhead.dev/celeryhead/replicator"
)

// Guards against a row of an earlier era that a process takes over from a peer which has not yet seen that the row was written again
// in the new era: it would stay in force for as long as it is retained.
func TestRetainedRowOfPeerThatIsBehind(t *testing.T) {
	r := replicator.Retention{Life: func(replicator.Row, *replicator.Row, bool) time.Duration { return 10 * time.Minute }}
	row := func(version uint64, value string) replicator.Row {
		return replicator.Row{Key: "evacuate/arbat", Value: []byte(value), Version: version}
	}
	for name, written := range map[string]uint64{"written since": 7, "as the peer knows it": 3} {
		peer, newcomer := replicator.NewRetainingCopy(r), replicator.NewRetainingCopy(r)
		peer.Apply(start, replicator.Change{Rows: []replicator.Row{row(9, "lost")}, Version: 9, Whole: true})
		peer.Apply(start, replicator.Change{Era: 1, Rows: []replicator.Row{row(3, "restored")}, Version: 5, Whole: true})
		newcomer.Apply(start, replicator.Change{Era: 1, Rows: []replicator.Row{row(written, "present")}, Version: 8, Whole: true})
		h, _ := peer.SinceIn(start, newcomer.Version().Position())
		newcomer.Merge(start, h)
		want := "lost"
		if written == 7 {
			want = "present"
		}
		if rs, _ := newcomer.Rows(); len(rs) != 1 || string(rs[0].Value) != want {
			t.Errorf("%s: %q in force, want %q", name, rs[0].Value, want)
		}
	}
}

// Guards against a row of an earlier era that comes back minutes after the restore, because an instance learns of it late, and outlives
// those at the others.
func TestRetainedRowOfLateInstance(t *testing.T) {
	r := replicator.Retention{Life: func(replicator.Row, *replicator.Row, bool) time.Duration { return 10 * time.Minute }}
	row := replicator.Row{Key: "evacuate/arbat", Value: []byte("{}"), Version: 9}
	for name, c := range map[string]struct {
		removed bool
		late    time.Duration
		want    int
	}{
		"lost":                            {false, 5 * time.Minute, 1},
		"lost, and its life is over":      {false, 11 * time.Minute, 0},
		"written again and removed since": {true, 5 * time.Minute, 0},
	} {
		peer, late := replicator.NewRetainingCopy(r), replicator.NewRetainingCopy(r)
		peer.Apply(start, replicator.Change{Version: 1, Whole: true})
		late.Apply(start, replicator.Change{Rows: []replicator.Row{row}, Version: 9, Whole: true})
		peer.Apply(start, replicator.Change{Era: 1, Version: 1, Whole: true})
		if c.removed {
			peer.Apply(start, replicator.Change{Era: 1, Rows: []replicator.Row{{Key: row.Key, Value: row.Value, Version: 2}}, Version: 2})
			peer.Apply(start, replicator.Change{Era: 1, Rows: []replicator.Row{{Key: row.Key, Version: 3, Removed: true}}, Version: 3})
		}
		now := start.Add(c.late)
		// Each change of the copy drops what it need not remember any more.
		peer.Apply(now, replicator.Change{Era: 1, Rows: []replicator.Row{{Key: "other", Version: 4}}, Version: 4})
		h, _ := peer.SinceIn(now, late.Version().Position())
		late.Merge(now, h)
		h, _ = late.SinceIn(now, peer.Version().Position())
		peer.Merge(now, h)
		for who, k := range map[string]*replicator.Copy{"late": late, "peer": peer} {
			if _, in := rows(k)[row.Key]; in != (c.want == 1) {
				t.Errorf("%s: rows %v at the %s instance", name, rows(k), who)
			}
		}
	}
}

// Guards against a row that was removed in an earlier era and comes back because an instance that did not see that tells it first.
func TestRetainedRowThatOthersSawRemoved(t *testing.T) {
	r := replicator.Retention{Life: func(x replicator.Row, _ *replicator.Row, _ bool) time.Duration {
		if x.Removed {
			return 0
		}
		return 10 * time.Minute
	}}
	row := replicator.Row{Key: "evacuate/arbat", Value: []byte("{}"), Version: 9}
	knows, late := replicator.NewRetainingCopy(r), replicator.NewRetainingCopy(r)
	for _, c := range []*replicator.Copy{knows, late} {
		c.Apply(start, replicator.Change{Rows: []replicator.Row{row}, Version: 9, Whole: true})
	}
	knows.Apply(start, replicator.Change{Rows: []replicator.Row{{Key: row.Key, Version: 10, Removed: true}}, Version: 10})
	for _, c := range []*replicator.Copy{knows, late} {
		c.Apply(start, replicator.Change{Era: 1, Version: 1, Whole: true})
	}
	if n := len(rows(late)); n != 1 {
		t.Fatalf("%d rows at the instance that knows no removal, want 1", n)
	}
	for range 2 {
		h, _ := late.SinceIn(start, knows.Version().Position())
		knows.Merge(start, h)
		if len(rows(knows)) > 0 {
			t.Errorf("the row came back")
		}
		h, _ = knows.SinceIn(start, late.Version().Position())
		late.Merge(start, h)
	}
	if len(rows(late)) > 0 {
		t.Errorf("the row stays at the instance that knows no removal")
	}
}
