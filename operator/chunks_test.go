package operator_test

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/operator"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// large has n blocks of clients, of which the one with index k has another weight.
func large(n, k int) []byte {
	c := sample(1)
	for i := range n {
		b := composer.Block{Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}), 32), Region: "west", Weight: 2}
		if i == k {
			b.Weight = 3
		}
		c.Blocks = append(c.Blocks, b)
	}
	return text(c)
}

// commits records the transactions that reached the store.
type commits struct{ txns []storer.Txn }

func (c *commits) before(t storer.Txn) error {
	c.txns = append(c.txns, t)
	return nil
}

// size returns the rows and bytes of a transaction.
func size(t storer.Txn) (rows, bytes int) {
	for _, w := range t.Writes {
		bytes += len(w.Value)
	}
	return len(t.Writes), bytes
}

// Guards against transactions that a table service refuses, and against changes that write the whole text again.
func TestLargeConfiguration(t *testing.T) {
	const blocks = 32_000
	Convey("A new text takes several bounded transactions, a change of one block a few rows", t, func() {
		m, p, seen := emulator.NewMemory(), &published{}, &commits{}
		m.Inject(emulator.MemoryFaults{BeforeCommit: seen.before})
		o := onStore(m, p.publish)
		first := change("a", 0, 0)
		first.Text = large(blocks, -1)
		_, err := o.Apply(t.Context(), first)
		So(err, ShouldBeNil)
		So(len(seen.txns), ShouldBeGreaterThan, 2)
		for _, x := range seen.txns {
			rows, bytes := size(x)
			So(rows, ShouldBeLessThanOrEqualTo, 204)
			So(bytes, ShouldBeLessThan, 2<<20)
		}
		seen.txns = nil
		second := change("b", 1, 0)
		second.Text = large(blocks, 12_345)
		_, err = o.Apply(t.Context(), second)
		So(err, ShouldBeNil)
		So(seen.txns, ShouldHaveLength, 1)
		rows, bytes := size(seen.txns[0])
		// Four rows of the change; two chunks of the text and two of the list of names at most.
		So(rows, ShouldBeLessThanOrEqualTo, 8)
		So(bytes, ShouldBeLessThan, 64<<10)
		_, err = o.Rollback(t.Context(), change("c", 2, 0), 1)
		So(err, ShouldBeNil)
		for v, want := range [][]byte{first.Text, second.Text, first.Text} {
			_, got, err := o.Configuration(t.Context(), uint64(v)+1)
			So(err, ShouldBeNil)
			So(string(got) == string(want), ShouldBeTrue)
		}
	})
	Convey("A store that fails before the change leaves no change, and a repeat makes it once", t, func() {
		m, p := emulator.NewMemory(), &published{}
		o, n := onStore(m, p.publish), 0
		m.Inject(emulator.MemoryFaults{BeforeCommit: func(storer.Txn) error {
			if n++; n > 1 {
				return errInjected
			}
			return nil
		}})
		c := change("a", 0, 0)
		c.Text = large(blocks, -1)
		_, err := o.Apply(t.Context(), c)
		So(errors.Is(err, operator.ErrStoreDown), ShouldBeTrue)
		_, row, err := o.Heads(t.Context())
		So(err, ShouldBeNil)
		So(row.Version, ShouldEqual, 0)
		m.Inject(emulator.MemoryFaults{})
		r, err := o.Apply(t.Context(), c)
		So(err, ShouldBeNil)
		So(r.Version, ShouldEqual, 1)
		_, got, err := o.Configuration(t.Context(), 1)
		So(err, ShouldBeNil)
		So(string(got) == string(c.Text), ShouldBeTrue)
	})
}

// Guards against versions that cannot be read or changed any more because an earlier program wrote their texts whole,
// and against a version whose chunks are only in such a text.
func TestWholeTextRows(t *testing.T) {
	Convey("A version with a whole text is the base of a change and can be rolled back to", t, func() {
		m, p := emulator.NewMemory(), &published{}
		o := onStore(m, p.publish)
		old := large(1_000, -1)
		heads, err := recorder.Heads{ConfigVersion: 1, ConfigDigest: composer.Digest(old)}.Encode()
		So(err, ShouldBeNil)
		audit, err := recorder.Audit{Version: 1, Operator: "dina", OperationID: "a"}.Encode()
		So(err, ShouldBeNil)
		_, err = m.Commit(t.Context(), storer.Txn{Writes: []storer.Write{
			{Key: recorder.HeadsKey, Value: heads},
			{Key: recorder.ConfigKey(1), Value: old},
			{Key: recorder.AuditKey(1), Value: audit},
			{Key: recorder.OperationKey("a"), Value: recorder.EncodeVersion(1)},
		}})
		So(err, ShouldBeNil)
		again := change("a", 0, 0)
		again.Text = old
		r, err := o.Apply(t.Context(), again)
		So(err, ShouldBeNil)
		So(r.Version, ShouldEqual, 1)
		c := change("b", 1, 0)
		c.Text = large(1_000, 500)
		_, err = o.Apply(t.Context(), c)
		So(err, ShouldBeNil)
		// Without what this operator has kept, so that all chunks must be in rows.
		o = onStore(m, p.publish)
		_, got, err := o.Configuration(t.Context(), 2)
		So(err, ShouldBeNil)
		So(string(got) == string(c.Text), ShouldBeTrue)
		_, err = o.Rollback(t.Context(), change("c", 2, 0), 1)
		So(err, ShouldBeNil)
		_, got, err = o.Configuration(t.Context(), 3)
		So(err, ShouldBeNil)
		So(string(got) == string(old), ShouldBeTrue)
		rows, err := o.Audit(t.Context(), 0, 0)
		So(err, ShouldBeNil)
		So(rows, ShouldHaveLength, 3)
	})
}

// Guards against a text that is served or changed although one of its rows is wrong.
func TestWrongChunkRow(t *testing.T) {
	for _, w := range []storer.Write{{Value: []byte("another text")}, {Delete: true}} {
		Convey("A version with a chunk that is wrong or absent is reported as corrupt", t, func() {
			m, p, seen := emulator.NewMemory(), &published{}, &commits{}
			m.Inject(emulator.MemoryFaults{BeforeCommit: seen.before})
			_, err := onStore(m, p.publish).Apply(t.Context(), change("a", 0, 1))
			So(err, ShouldBeNil)
			for _, x := range seen.txns[0].Writes {
				if strings.HasPrefix(x.Key, "chunk/") {
					w.Key = x.Key
				}
			}
			_, err = m.Commit(t.Context(), storer.Txn{Writes: []storer.Write{w}})
			So(err, ShouldBeNil)
			o := onStore(m, p.publish)
			_, _, err = o.Configuration(t.Context(), 1)
			So(errors.Is(err, recorder.ErrCorrupt), ShouldBeTrue)
			_, err = o.Apply(t.Context(), change("b", 1, 2))
			So(errors.Is(err, recorder.ErrCorrupt), ShouldBeTrue)
		})
	}
}

// BenchmarkApplyBlocks changes one block on a store in memory; it reports the bytes and rows that a change writes.
func BenchmarkApplyBlocks(b *testing.B) {
	for _, n := range []int{1_000, 16_000, 160_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, seen := emulator.NewMemory(), &commits{}
			texts := [][]byte{large(n, n/2), large(n, -1)}
			o := onStore(m, (&published{}).publish)
			first := change("first", 0, 0)
			first.Text = texts[0]
			if _, err := o.Apply(b.Context(), first); err != nil {
				b.Fatal(err)
			}
			m.Inject(emulator.MemoryFaults{BeforeCommit: seen.before})
			b.ReportAllocs()
			for i := uint64(1); b.Loop(); i++ {
				c := change(fmt.Sprint(i), i, 0)
				c.Text = texts[i%2]
				if _, err := o.Apply(b.Context(), c); err != nil {
					b.Fatal(err)
				}
			}
			rows, bytes := 0, 0
			for _, t := range seen.txns {
				r, s := size(t)
				rows += r
				bytes += s
			}
			b.ReportMetric(float64(rows)/float64(len(seen.txns)), "rows/change")
			b.ReportMetric(float64(bytes)/float64(len(seen.txns)), "B/change")
		})
	}
}
