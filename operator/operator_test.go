package operator_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/twitchtv/twirp"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/operator"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

var (
	errInjected = errors.New("injected fault")
	start       = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
)

// sample differs by the rate of its only account.
func sample(rate float64) composer.Config {
	r := composer.Region{Name: "west", FailureDomains: []string{"west_a"}}
	target := composer.Target{Slots: 3, Connections: 360}
	c := composer.Config{
		Lookup:   composer.Lookup{TimeToLive: time.Second},
		Regions:  []composer.Region{r, {Name: "east", FailureDomains: []string{"east_a"}}},
		Pools:    []composer.Pool{{Name: "stock", Targets: composer.Spread("stock", 1, target, r), ServiceTime: time.Millisecond}},
		Accounts: []composer.Account{{Name: "maker", Rate: rate, Burst: 1, Keys: []composer.Key{{Name: "till", Digest: [32]byte{1}}}}},
	}
	c.Pools[0].Targets[0].Address = netip.MustParseAddrPort("10.0.0.1:80")
	return c
}

func text(c composer.Config) []byte {
	b, err := composer.Encode(c)
	if err != nil {
		panic(err)
	}
	return b
}

func change(id string, base uint64, rate float64) operator.Change {
	return operator.Change{
		OperationID: id,
		BaseVersion: base,
		Text:        text(sample(rate)),
		Operator:    "dina",
		Reason:      "more ice for " + id,
		Kind:        operator.KindApply,
	}
}

// published records the commits that were made known.
type published struct {
	commits []operator.Commit
	missing []string
	err     error
}

func (p *published) publish(_ context.Context, c operator.Commit) ([]string, error) {
	p.commits = append(p.commits, c)
	return p.missing, p.err
}

func onStore(s storer.Store, p operator.Publish) *operator.Operator {
	return operator.New(operator.Config{
		Store:    s,
		Publish:  p,
		Instance: "entry_1",
		Now:      func() time.Time { return start },
		Attempts: 4,
		Backoff:  1,
		Timeout:  time.Hour,
	})
}

// once returns err on the first call only.
func once(err error) func() error {
	return func() error {
		e := err
		err = nil
		return e
	}
}

// Guards against a change that is made twice or refused because a reply of the store was lost.
func TestLostReply(t *testing.T) {
	Convey("The repeated transaction finds its own operation", t, func() {
		m, p := emulator.NewMemory(), &published{}
		lost := once(errInjected)
		m.Inject(emulator.MemoryFaults{AfterCommit: func(storer.Txn, storer.Result) error { return lost() }})
		o := onStore(m, p.publish)
		r, err := o.Apply(t.Context(), change("a", 0, 1))
		So(err, ShouldBeNil)
		So(r.Version, ShouldEqual, 1)
		So(r.InForce, ShouldBeTrue)
		rows, err := o.Audit(t.Context(), 0, 0)
		So(err, ShouldBeNil)
		So(rows, ShouldHaveLength, 1)
		_, row, err := o.Heads(t.Context())
		So(err, ShouldBeNil)
		So(p.commits, ShouldResemble, []operator.Commit{{Heads: row, ConfigVersion: 1, Text: text(sample(1))}})
	})
	Convey("An operator who repeats the operation later finds it below a newer version", t, func() {
		m, p := emulator.NewMemory(), &published{}
		o := onStore(m, p.publish)
		m.Inject(emulator.MemoryFaults{AfterCommit: func(storer.Txn, storer.Result) error {
			m.Inject(emulator.MemoryFaults{BeforeRead: func([]string) error { return errInjected }})
			return errInjected
		}})
		_, err := o.Apply(t.Context(), change("a", 0, 1))
		So(errors.Is(err, operator.ErrOutcomeUnknown), ShouldBeTrue)
		m.Inject(emulator.MemoryFaults{})
		_, err = o.Apply(t.Context(), change("b", 1, 2))
		So(err, ShouldBeNil)
		r, err := o.Apply(t.Context(), change("a", 0, 1))
		So(err, ShouldBeNil)
		So(r.Version, ShouldEqual, 1)
		So(p.commits[1].ConfigVersion, ShouldEqual, 2)
		So(p.commits[1].Text, ShouldResemble, text(sample(2)))
		_, err = o.Apply(t.Context(), change("a", 0, 3))
		So(errors.Is(err, operator.ErrOperationReused), ShouldBeTrue)
	})
}

// Guards against a report of failure while the change may still take effect.
func TestStoreDown(t *testing.T) {
	outcome := func(f emulator.MemoryFaults) error {
		m, p := emulator.NewMemory(), &published{}
		m.Inject(f)
		_, err := onStore(m, p.publish).Apply(t.Context(), change("a", 0, 1))
		So(p.commits, ShouldBeEmpty)
		return err
	}
	Convey("Without any commit nothing was changed", t, func() {
		err := outcome(emulator.MemoryFaults{BeforeRead: func([]string) error { return errInjected }})
		So(errors.Is(err, operator.ErrStoreDown), ShouldBeTrue)
		So(errors.Is(err, errInjected), ShouldBeTrue)
		So(operator.TwirpError(err).Meta(operator.MetaOutcome), ShouldEqual, operator.OutcomeNotApplied)
	})
	Convey("A commit without reply leaves the outcome unknown", t, func() {
		err := outcome(emulator.MemoryFaults{BeforeCommit: func(storer.Txn) error { return errInjected }})
		So(errors.Is(err, operator.ErrOutcomeUnknown), ShouldBeTrue)
		So(operator.TwirpError(err).Code(), ShouldEqual, twirp.Unavailable)
		So(operator.TwirpError(err).Meta(operator.MetaOutcome), ShouldEqual, operator.OutcomeUnknown)
	})
	Convey("An operator who stops waiting does not keep the instance busy", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		m, p := emulator.NewMemory(), &published{}
		m.Inject(emulator.MemoryFaults{BeforeRead: func([]string) error {
			cancel()
			return errInjected
		}})
		o := operator.New(operator.Config{Store: m, Publish: p.publish, Instance: "entry_1", Backoff: time.Hour})
		_, err := o.Apply(ctx, change("a", 0, 1))
		So(errors.Is(err, operator.ErrStoreDown), ShouldBeTrue)
	})
}

// Guards against a conflict that does not say whose change was first.
func TestConflict(t *testing.T) {
	Convey("The loser learns version, operator, reason and time", t, func() {
		m, p := emulator.NewMemory(), &published{}
		o := onStore(m, p.publish)
		_, err := o.Apply(t.Context(), change("a", 0, 1))
		So(err, ShouldBeNil)
		loser := change("b", 0, 2)
		loser.Operator = "rizal"
		r, err := o.Apply(t.Context(), loser)
		So(operator.ConflictOf(err), ShouldResemble, &operator.Conflict{
			Version: 1, Operator: "dina", Reason: "more ice for a", Time: start,
		})
		So(err.Error(), ShouldContainSubstring, "version 1 by dina at 2026-12-04T06:00:00Z")
		reply, err := operator.Reply(r, err)
		So(err, ShouldBeNil)
		So(reply.Conflict.UnixMs, ShouldEqual, start.UnixMilli())
	})
}

// Guards against changes without reason, with faulty text, or reported in force while instances lack them.
func TestApplyRefusesAndReports(t *testing.T) {
	Convey("Malformed changes do not reach the store", t, func() {
		m, p := emulator.NewMemory(), &published{}
		o := onStore(m, p.publish)
		for _, fault := range []func(*operator.Change){
			func(c *operator.Change) { c.OperationID = "../heads" },
			func(c *operator.Change) { c.OperationID = "" },
			func(c *operator.Change) { c.Operator = "" },
			func(c *operator.Change) { c.Reason = " " },
			func(c *operator.Change) { c.Reason = "a\nb" },
			func(c *operator.Change) { c.Kind = "" },
		} {
			c := change("a", 0, 1)
			fault(&c)
			_, err := o.Apply(t.Context(), c)
			So(errors.Is(err, operator.ErrBadChange), ShouldBeTrue)
		}
		c := change("a", 0, -1)
		_, err := o.Apply(t.Context(), c)
		So(errors.Is(err, operator.ErrInvalid), ShouldBeTrue)
		So(operator.TwirpError(err).Msg(), ShouldEqual, `account "maker": rate: must be above 0 and finite`)
		c.Text = []byte("rate = 1")
		_, err = o.Apply(t.Context(), c)
		So(errors.Is(err, operator.ErrInvalid), ShouldBeTrue)
		_, row, err := o.Heads(t.Context())
		So(err, ShouldBeNil)
		So(row.Version, ShouldEqual, 0)
	})
	Convey("Missing instances are named; a wait that broke off is no refusal", t, func() {
		m, p := emulator.NewMemory(), &published{missing: []string{"entry_4"}}
		o := onStore(m, p.publish)
		r, err := o.Apply(t.Context(), change("a", 0, 1))
		So(err, ShouldBeNil)
		So(r, ShouldResemble, operator.Result{Version: 1, Missing: []string{"entry_4"}})
		p.err = errInjected
		reply, err := operator.Reply(o.Apply(t.Context(), change("b", 1, 2)))
		So(err, ShouldBeNil)
		So(reply.Version, ShouldEqual, 2)
		So(reply.InForce, ShouldBeFalse)
	})
}

// Guards against a rollback that rewrites history or brings back withdrawn keys unnoticed.
func TestRollbackAndAudit(t *testing.T) {
	Convey("A rollback is a new version, and the audit trail shows it", t, func() {
		m, p := emulator.NewMemory(), &published{}
		o := onStore(m, p.publish)
		_, err := o.Apply(t.Context(), change("a", 0, 1))
		So(err, ShouldBeNil)
		without, err := sample(2).WithoutKey("maker", "till")
		So(err, ShouldBeNil)
		c := change("b", 1, 2)
		c.Kind, c.Text = operator.KindKeyWithdraw, text(without)
		_, err = o.Apply(t.Context(), c)
		So(err, ShouldBeNil)
		r, err := o.Rollback(t.Context(), change("c", 2, 0), 1)
		So(err, ShouldBeNil)
		So(r.Version, ShouldEqual, 3)
		So(r.Warnings, ShouldResemble, []string{"key maker/till of the earlier version is valid again"})
		v, got, err := o.Configuration(t.Context(), 0)
		So(err, ShouldBeNil)
		So(v, ShouldEqual, 3)
		So(got, ShouldResemble, text(sample(1)))
		rows, err := o.Audit(t.Context(), 1, 1)
		So(err, ShouldBeNil)
		So(rows, ShouldResemble, []recorder.Audit{{
			Version: 2, BaseVersion: 1, Operator: "dina", Reason: "more ice for b", Kind: "key_withdraw", Time: start,
			Changes:     []string{"changed account maker: rate 1 -> 2", "removed key maker/till: digest 01000000…"},
			OperationID: "b", Instance: "entry_1",
		}})
		So(operator.AuditReply(rows).Rows[0].Changes, ShouldHaveLength, 2)
		_, err = o.Rollback(t.Context(), change("d", 3, 0), 9)
		So(errors.Is(err, operator.ErrUnknownVersion), ShouldBeTrue)
	})
}

// Guards against a shift that moves more than its steps allow because its definition changed, and against assignments
// that a change of the configuration loses, in either form of the row.
func TestShiftProgress(t *testing.T) {
	shift := composer.Shift{Name: "s", From: "west", To: "east", Share: 1, Step: 0.1, StepInterval: time.Second, Cap: 1}
	for _, v := range []struct {
		name  string
		edit  func(s *composer.Shift)
		steps map[string]recorder.ShiftStep
	}{
		{"an unrelated change keeps the steps", func(s *composer.Shift) { s.Cap = 2 }, map[string]recorder.ShiftStep{"s": {Step: 3, Time: start}}},
		{"a larger step rounds down", func(s *composer.Shift) { s.Step = 0.25 }, map[string]recorder.ShiftStep{"s": {Step: 1, Time: start}}},
		{"another direction starts anew", func(s *composer.Shift) { s.From, s.To = "east", "west" }, map[string]recorder.ShiftStep{}},
		{"another name starts anew", func(s *composer.Shift) { s.Name = "t" }, map[string]recorder.ShiftStep{}},
	} {
		Convey(v.name, t, func() {
			m, p := emulator.NewMemory(), &published{}
			o := onStore(m, p.publish)
			c := sample(1)
			c.Shifts = []composer.Shift{shift}
			a := change("a", 0, 1)
			a.Text = text(c)
			_, err := o.Apply(t.Context(), a)
			So(err, ShouldBeNil)
			h, row, err := o.Heads(t.Context())
			So(err, ShouldBeNil)
			h.Shifts = map[string]recorder.ShiftStep{"s": {Step: 3, Time: start}}
			h.Assignments = map[string]recorder.Assignment{
				"west": {Epoch: 7, Members: []recorder.Member{{Name: "entry_1", Incarnation: 1 << 63}}},
				"east": {Epoch: 8, Count: 2, Digest: recorder.Digest{1}},
			}
			So(commitHeads(t.Context(), m, h, row.Version), ShouldBeTrue)
			v.edit(&c.Shifts[0])
			b := change("b", 1, 1)
			b.Text = text(c)
			_, err = o.Apply(t.Context(), b)
			So(err, ShouldBeNil)
			got, _, err := o.Heads(t.Context())
			So(err, ShouldBeNil)
			So(got.Shifts, ShouldResemble, v.steps)
			So(got.Assignments, ShouldResemble, h.Assignments)
			So(got.ConfigDigest, ShouldResemble, recorder.Digest(composer.Digest(b.Text)))
		})
	}
}

func commitHeads(ctx context.Context, s storer.Store, h recorder.Heads, version uint64) bool {
	b, err := h.Encode()
	if err != nil {
		panic(err)
	}
	r, err := s.Commit(ctx, storer.Txn{
		Checks: []storer.Check{{Key: recorder.HeadsKey, Version: version}},
		Writes: []storer.Write{{Key: recorder.HeadsKey, Value: b}},
	})
	return err == nil && r.Committed
}

// BenchmarkApply changes one rate of a small configuration on a store without latency.
func BenchmarkApply(b *testing.B) {
	o := onStore(emulator.NewMemory(), (&published{}).publish)
	for i := uint64(0); b.Loop(); i++ {
		if _, err := o.Apply(b.Context(), change(fmt.Sprint(i), i, float64(1+i%2))); err != nil {
			b.Fatal(err)
		}
	}
}
