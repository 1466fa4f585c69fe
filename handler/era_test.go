package handler_test

import (
	"net/netip"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/handler"
	"celeryhead.dev/celeryhead/replicator"
)

// Guards against a version of one era that is sent to a peer in another one, a peer in a lower era that counts as ahead, and rows that
// a peer retains and that nobody asks for.
func TestQuestionToPeerOfOtherEra(t *testing.T) {
	now := time.Date(2026, 12, 6, 6, 0, 0, 0, time.UTC)
	m := gossiper.Member{Name: "a", Address: netip.AddrFrom4([4]byte{10, 0, 0, 1}), Region: "almaty"}
	n := gossiper.Member{Name: "b", Address: netip.AddrFrom4([4]byte{10, 0, 0, 2}), Region: "far"}
	for name, c := range map[string]struct {
		have, first, second replicator.Version
		want                netip.Addr
		from                replicator.Position
		ok                  bool
	}{
		"lower era":                       {replicator.Version{Era: 1, Content: 5}, replicator.Version{Content: 99}, replicator.Version{Content: 100}, netip.Addr{}, replicator.Position{}, false},
		"higher era":                      {replicator.Version{Content: 99}, replicator.Version{Era: 1, Content: 5}, replicator.Version{Content: 100}, m.Address, replicator.Position{}, true},
		"two higher eras":                 {replicator.Version{Era: 1, Content: 99}, replicator.Version{Era: 2, Content: 5}, replicator.Version{Era: 3, Content: 1}, n.Address, replicator.Position{Era: 1}, true},
		"same era":                        {replicator.Version{Era: 1, Content: 5, Retained: 7}, replicator.Version{Era: 1, Content: 6, Retained: 7}, replicator.Version{Content: 100}, m.Address, replicator.Position{Era: 1, Version: 5}, true},
		"other rows are retained":         {replicator.Version{Era: 1, Content: 5, Retained: 7}, replicator.Version{Era: 1, Content: 5, Retained: 7}, replicator.Version{Era: 1, Content: 4, Retained: 8}, n.Address, replicator.Position{Era: 1, Version: 5}, true},
		"the same rows are retained":      {replicator.Version{Era: 1, Content: 5, Retained: 7}, replicator.Version{Era: 1, Content: 5, Retained: 7}, replicator.Version{Era: 1, Content: 4, Retained: 7}, netip.Addr{}, replicator.Position{}, false},
		"a newcomer beside another one":   {replicator.Version{Era: 1, Content: 5}, replicator.Version{Era: 1, Content: 9}, replicator.Version{Era: 1, Content: 8, Retained: 7}, n.Address, replicator.Position{Era: 1, Version: 5}, true},
		"newcomers that know the same":    {replicator.Version{Era: 1, Content: 5}, replicator.Version{Era: 1, Content: 5}, replicator.Version{Era: 1, Content: 5}, netip.Addr{}, replicator.Position{}, false},
		"a newcomer behind one who knows": {replicator.Version{Era: 1, Content: 5}, replicator.Version{Era: 1, Content: 5}, replicator.Version{Era: 1, Content: 4, Retained: 7}, n.Address, replicator.Position{Era: 1, Version: 5}, true},
	} {
		p := handler.NewPeers("almaty")
		p.HearVersion(m.Address, c.first)
		p.HearVersion(n.Address, c.second)
		a, from, ok := p.Question(now, []gossiper.Member{m, n}, c.have)
		if ok != c.ok || ok && (a != c.want || from != c.from) {
			t.Errorf("%s: asks %v from %+v, %t; want %v from %+v, %t", name, a, from, ok, c.want, c.from, c.ok)
		}
	}
}

// Guards against a lost row that is written again too late, all instances that write at the same moment, and one that writes over and
// over while its row is on its way back.
func TestLostRowIsWrittenAgainInTime(t *testing.T) {
	start := time.Date(2026, 12, 6, 6, 0, 0, 0, time.UTC)
	first := map[time.Duration]bool{}
	for range 50 {
		var w handler.Rewrite
		var at []time.Duration
		for d := time.Duration(0); d < 9*time.Second; d += 100 * time.Millisecond {
			era := uint64(1)
			if d >= 5*time.Second {
				// Another restore loses the row again.
				era = 2
			}
			if w.Due(start.Add(d), era) {
				at = append(at, d)
			}
		}
		if len(at) < 3 || len(at) > 4 || at[0] > 1100*time.Millisecond || at[1]-at[0] < 3*time.Second || at[2] < 5*time.Second || at[2] > 6100*time.Millisecond {
			t.Fatalf("written after %v", at)
		}
		first[at[0]] = true
	}
	if len(first) < 4 {
		t.Errorf("50 instances write at %d moments", len(first))
	}
}

// Guards against parts of allowances that are granted twice because an instance whose row was lost is not counted, and against a row that
// comes back once its instance was silent for long.
func TestLostInstanceCountsUntilItIsDropped(t *testing.T) {
	now := time.Date(2026, 12, 6, 6, 0, 0, 0, time.UTC)
	k, other := replicator.NewRetainingCopy(handler.InstanceRetention), replicator.NewRetainingCopy(handler.InstanceRetention)
	row := func(key string, version uint64) replicator.Row {
		return replicator.Row{Key: key, Value: []byte(`{}`), Version: version}
	}
	count := func(c *replicator.Copy) int {
		rs, _ := c.Rows()
		return len(rs)
	}
	for _, c := range []*replicator.Copy{k, other} {
		c.Apply(now, replicator.Change{Rows: []replicator.Row{row("a", 1), row("b", 2), row("c", 3)}, Version: 3, Whole: true})
		c.Apply(now, replicator.Change{Era: 1, Rows: []replicator.Row{row("a", 1)}, Version: 1, Whole: true})
	}
	if n := count(k); n != 3 {
		t.Fatalf("%d instances count after the restore", n)
	}
	k.Apply(now, replicator.Change{Era: 1, Rows: []replicator.Row{row("b", 2)}, Version: 2})
	if rs, _ := k.Rows(); len(rs) != 3 || rs[1].Era != 1 || rs[2].Era != 0 {
		t.Errorf("rows %v after one was written again", rs)
	}
	if k.Drop(now, "a") || !k.Drop(now, "c") || count(k) != 2 {
		t.Error("dropping does not end what is retained, and only that")
	}
	h, _ := other.SinceIn(now, k.Version().Position())
	k.Merge(now, h)
	if n := count(k); n != 2 {
		t.Errorf("%d instances after a peer told what it retains", n)
	}
	h, _ = k.SinceIn(now, other.Version().Position())
	other.Merge(now, h)
	if n := count(other); n != 3 {
		t.Errorf("%d instances at a peer that did not drop one", n)
	}
}

// Guards against an instance that was removed after the restore and still counts at one that reads the table later, and against one
// that does not count because of a removal before it registered.
func TestInstanceRemovedAfterRestore(t *testing.T) {
	now := time.Date(2026, 12, 8, 1, 0, 0, 0, time.UTC)
	row := func(key string, version uint64, removed bool) replicator.Row {
		return replicator.Row{Key: key, Value: []byte(`{}`), Version: version, Removed: removed}
	}
	for removal, want := range map[uint64]int{2: 2, 3: 1, 4: 1} {
		first, late := replicator.NewRetainingCopy(handler.InstanceRetention), replicator.NewRetainingCopy(handler.InstanceRetention)
		for _, c := range []*replicator.Copy{first, late} {
			c.Apply(now, replicator.Change{Rows: []replicator.Row{row("a", 1, false), row("b", 3, false)}, Version: 3, Whole: true})
		}
		first.Apply(now, replicator.Change{Era: 1, Rows: []replicator.Row{row("a", 1, false), row("b", removal, true)}, Version: removal, Whole: true})
		h, _ := first.SinceIn(now, late.Version().Position())
		late.Merge(now, h)
		for who, c := range map[string]*replicator.Copy{"first": first, "late": late} {
			if rs, _ := c.Rows(); len(rs) != want {
				t.Errorf("removal at version %d: %d instances count at the %s reader, want %d", removal, len(rs), who, want)
			}
		}
	}
}
