package replicator_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/replicator"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// table is a table of a store with its whole history.
type table struct {
	version uint64
	history []replicator.Row
}

func (t *table) write(key, value string) {
	t.version++
	t.history = append(t.history, replicator.Row{Key: key, Value: []byte(value), Version: t.version})
}

func (t *table) remove(key string) {
	t.version++
	t.history = append(t.history, replicator.Row{Key: key, Version: t.version, Removed: true})
}

func (t *table) rows() map[string]string {
	m := map[string]string{}
	for _, r := range t.history {
		if r.Removed {
			delete(m, r.Key)
		} else {
			m[r.Key] = string(r.Value)
		}
	}
	return m
}

func (t *table) whole() replicator.Change {
	h := replicator.Change{Version: t.version, Whole: true}
	newest := map[string]replicator.Row{}
	for _, r := range t.history {
		newest[r.Key] = r
	}
	for _, r := range newest {
		if !r.Removed {
			h.Rows = append(h.Rows, r)
		}
	}
	return h
}

func (t *table) since(after uint64) replicator.Change {
	h := replicator.Change{Version: t.version}
	for _, r := range t.history {
		if r.Version > after {
			h.Rows = append(h.Rows, r)
		}
	}
	return h
}

func rows(c *replicator.Copy) map[string]string {
	m := map[string]string{}
	rs, _ := c.Rows()
	for _, r := range rs {
		m[r.Key] = string(r.Value)
	}
	return m
}

// Guards against copies that differ from the table after any order of changes from the store and from peers, old ones
// included.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w table
		cs := []*replicator.Copy{replicator.NewCopy(), replicator.NewCopy(), replicator.NewCopy()}
		var old []replicator.Change
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			c := cs[rapid.IntRange(0, len(cs)-1).Draw(t, "copy")]
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				w.write(key, rapid.StringMatching(`[a-z]{1,3}`).Draw(t, "value"))
			case 2:
				w.remove(key)
			case 3:
				h := w.whole()
				old = append(old, h)
				c.Apply(now, h)
			case 4:
				if c.Known() {
					v := c.Followed()
					h := w.since(v)
					old = append(old, h)
					c.Apply(now, h)
				}
			case 5:
				// A peer tells what it has.
				content := c.Version().Content
				if h, ok := cs[rapid.IntRange(0, len(cs)-1).Draw(t, "peer")].Since(content); ok && c.Known() {
					c.Merge(now, h)
				}
			case 6:
				if len(old) > 0 && c.Known() {
					// A late answer of a peer; the store is asked for one thing after the other.
					h := rapid.SampledFrom(old).Draw(t, "late")
					h.Whole = false
					h.Version = 0
					c.Merge(now, h)
				}
			}
		}
		for _, c := range cs {
			if followed := c.Followed(); c.Known() {
				c.Apply(now, w.since(followed))
				if got := rows(c); !maps.Equal(got, w.rows()) {
					t.Fatalf("copy that followed has %v, the table %v", got, w.rows())
				}
			}
			c.Apply(now, w.whole())
			if got := rows(c); !maps.Equal(got, w.rows()) {
				t.Fatalf("copy has %v, the table %v", got, w.rows())
			}
		}
	})
}

// Guards against a peer's copy that brings back a row which was removed.
func TestRemovedRowStaysRemoved(t *testing.T) {
	var w table
	w.write("a", "x")
	behind := w.whole()
	c := replicator.NewCopy()
	c.Apply(start, behind)
	w.remove("a")
	c.Apply(start, w.since(1))
	behind.Whole = false
	if c.Apply(start, behind) {
		t.Error("an older row changed the copy")
	}
	if got := rows(c); len(got) != 0 {
		t.Errorf("rows %v", got)
	}
}

// Guards against a peer that is told of changes but not of removals that are forgotten by then.
func TestPeerFarBehindGetsWholeCopy(t *testing.T) {
	var w table
	w.write("a", "x")
	peer, c := replicator.NewCopy(), replicator.NewCopy()
	peer.Apply(start, w.whole())
	c.Apply(start, w.whole())
	w.remove("a")
	c.Apply(start, w.since(1))
	w.write("b", "y")
	c.Apply(start.Add(2*replicator.TombstoneLife), w.since(2))
	content := peer.Version().Content
	h, ok := c.Since(content)
	if !ok || !h.Whole {
		t.Fatalf("change %+v, %v; want the whole copy", h, ok)
	}
	peer.Merge(start, h)
	if got := rows(peer); !maps.Equal(got, map[string]string{"b": "y"}) {
		t.Errorf("rows %v", got)
	}
}

// Guards against a row that was removed before the table was read whole, and comes back from a peer that has not heard of it.
func TestLaggingPeerBringsBackNoRemovedRow(t *testing.T) {
	var w table
	w.write("a", "x")
	w.write("b", "x")
	peer, c := replicator.NewCopy(), replicator.NewCopy()
	peer.Apply(start, w.whole())
	w.remove("b")
	c.Apply(start, w.whole())
	content := c.Version().Content
	h, _ := peer.Since(content)
	c.Merge(start, h)
	if got := rows(c); !maps.Equal(got, map[string]string{"a": "x"}) {
		t.Errorf("rows %v after what a peer has since version %d", got, content)
	}
	w.write("c", "x")
	followed := c.Followed()
	c.Apply(start, w.since(followed))
	if got := rows(c); !maps.Equal(got, w.rows()) {
		t.Errorf("rows %v after following from version %d, want %v", got, followed, w.rows())
	}
}
