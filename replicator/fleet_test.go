package replicator_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/replicator"
)

// at returns the rows as of a version.
func (t *table) at(version uint64) map[string]string {
	p := table{}
	for _, r := range t.history {
		if r.Version <= version {
			p.history = append(p.history, r)
		}
	}
	return p.rows()
}

// Guards against a copy that misses a change which its version covers, in a fleet whose instances learn from the store and from
// each other and restart.
func TestCopiesOfFleetHoldAllChangesUpToTheirVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w table
		cs := make([]*replicator.Copy, 4)
		for i := range cs {
			cs[i] = replicator.NewCopy()
		}
		// reading are the answers on their way to each copy.
		reading := make([]replicator.Change, len(cs))
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(cs)-1).Draw(t, "copy")
			c, p := cs[i], cs[rapid.IntRange(0, len(cs)-1).Draw(t, "peer")]
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			switch rapid.SampledFrom([]string{"write", "remove", "other table", "ask", "read", "follow", "peer", "peer", "compare", "restart"}).Draw(t, "step") {
			case "write":
				w.write(key, "x")
			case "remove":
				if w.rows()[key] != "" {
					w.remove(key)
				}
			case "other table":
				w.version++
			case "ask":
				reading[i] = w.whole()
			case "read":
				if reading[i].Whole {
					c.Apply(now, reading[i])
				}
			case "follow":
				if c.Known() {
					v := c.Followed()
					c.Apply(now, w.since(v))
				}
			case "peer":
				content := c.Version().Content
				if h, ok := p.Since(content); ok && p.Version().Content > content {
					c.Merge(now, h)
				}
			case "compare":
				if c.Compare(p.Version()) {
					t.Fatalf("copies at version %d differ: %v and %v", c.Version().Content, rows(c), rows(p))
				}
			case "restart":
				cs[i], reading[i] = replicator.NewCopy(), replicator.Change{}
			}
			for _, c := range cs {
				if got, want := rows(c), w.at(c.Version().Content); c.Known() && !maps.Equal(got, want) {
					t.Fatalf("copy at version %d has %v, want %v", c.Version().Content, got, want)
				}
			}
		}
	})
}

// Guards against a copy that misses a change for good because nothing shows it.
func TestCopyThatMissesChangeIsReadAgain(t *testing.T) {
	for name, c := range map[string]struct{ follows, ahead bool }{
		"of an instance that calls the store":   {follows: true},
		"of an instance that learns from peers": {},
		"found by an answer":                    {ahead: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			s.write("a", "x")
			s.write("b", "x")
			right := replicator.NewCopy()
			right.Apply(start, s.whole())
			config := replicator.Config{Source: s, Peers: &peers{copy: right}, Follows: func() bool { return c.follows }}
			playTables(t, s, config, []string{"first", "op"}, func(r *replicator.Replicator, w *watcher) {
				time.Sleep(10 * time.Second)
				s.mu.Lock()
				s.remove("b")
				s.write("c", "x")
				right.Apply(time.Now(), s.since(2))
				s.mu.Unlock()
				// The removal gets lost.
				r.Put("op", replicator.Change{Rows: s.since(3).Rows, Version: 4})
				if w.get("b") != "x" || w.get("c") != "x" {
					t.Fatalf("rows %v", w.rows)
				}
				if c.ahead {
					s.set(func() { s.write("d", "x") })
					right.Apply(time.Now(), s.since(4))
				}
				r.Heard("op", "peer", right.Version())
				time.Sleep(time.Second)
				if w.get("b") != "" || w.get("c") != "x" {
					t.Errorf("rows %v after 1 s", w.rows)
				}
				if n := r.Differences(); n != 1 {
					t.Errorf("%d differences, want 1", n)
				}
			})
		})
	}
}

// Guards against a copy that took over a version without the changes up to it, and answers a third one as if it had them.
func TestVersionOfOtherCopyIsNoHistory(t *testing.T) {
	var w table
	w.write("a", "x")
	c, second, third := replicator.NewCopy(), replicator.NewCopy(), replicator.NewCopy()
	for _, k := range []*replicator.Copy{c, second, third} {
		k.Apply(start, w.whole())
	}
	w.write("b", "x")
	second.Apply(start, w.since(1))
	third.Apply(start, w.since(1))
	w.remove("b")
	second.Apply(start, w.since(2))
	if c.Compare(second.Version()) || c.Version() != second.Version() {
		t.Fatalf("versions %v and %v", c.Version(), second.Version())
	}
	h, _ := c.Since(third.Version().Content)
	third.Merge(start, h)
	if got := rows(third); !maps.Equal(got, w.rows()) {
		t.Errorf("the third copy has %v at version %d, want %v", got, third.Version().Content, w.rows())
	}
}
