package operator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/operator"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// fault is what happens to one call of the store.
type fault string

const (
	none   fault = "none"
	refuse fault = "refuse"
	lose   fault = "lose"
	// late commits take effect when the schedule says so, after the caller saw an error.
	late fault = "late"
)

// gate stops each call of one actor until the schedule lets it go on.
type gate struct {
	storer.Store
	race  *race
	calls chan bool
	goOn  chan fault
}

func (g *gate) ask(commit bool) fault {
	g.calls <- commit
	return <-g.goOn
}

func (g *gate) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	if g.ask(false) != none {
		return nil, errInjected
	}
	return g.Store.Read(ctx, keys...)
}

func (g *gate) Commit(ctx context.Context, t storer.Txn) (storer.Result, error) {
	switch g.ask(true) {
	case refuse:
		return storer.Result{}, errInjected
	case late:
		g.race.late = append(g.race.late, t)
		return storer.Result{}, errInjected
	case lose:
		if _, err := g.Store.Commit(ctx, t); err != nil {
			return storer.Result{}, err
		}
		return storer.Result{}, errInjected
	default:
		return g.Store.Commit(ctx, t)
	}
}

// outcome is what an operator was told about an operation.
type outcome struct {
	text    []byte
	version uint64
	// refused is true if the operator was told that the change was not made.
	refused bool
}

// race runs actors one store call at a time, so that the drawn schedule decides everything.
type race struct {
	store    *emulator.Memory
	late     []storer.Txn
	outcomes map[string]outcome
	epochs   uint64
}

// operate makes changes as an operator does: after a conflict on the new base, after an unknown outcome
// with the same id. Once an outcome was unknown, only a version or a conflict settles it.
func (r *race) operate(s storer.Store, name string, changes int) {
	o := onStore(s, func(context.Context, operator.Commit) ([]string, error) { return nil, nil })
	var base uint64
	for i := range changes {
		c := change(fmt.Sprintf("%s%d", name, i), base, float64(int(name[0])*100+i))
		c.Operator = name
		unknown := false
		for range 3 {
			result, err := o.Apply(context.Background(), c)
			v := operator.ConflictOf(err)
			unknown = v == nil && err != nil && (unknown || errors.Is(err, operator.ErrOutcomeUnknown))
			r.outcomes[c.OperationID] = outcome{text: c.Text, version: result.Version, refused: err != nil && !unknown}
			if v != nil {
				base = v.Version
			}
			if err == nil {
				base = result.Version
			}
			if !unknown {
				break
			}
		}
	}
}

// assign raises an epoch in the heads row, as an instance does that changes the assignment.
func (r *race) assign(s storer.Store, times int) {
	ctx := context.Background()
	for range times {
		rows, err := s.Read(ctx, recorder.HeadsKey)
		if err != nil {
			continue
		}
		var row storer.Row
		if len(rows) > 0 {
			row = rows[0]
		}
		h, err := recorder.DecodeHeads(row.Value)
		if err != nil {
			panic(err)
		}
		h.Assignments = map[string]recorder.Assignment{"fleet": {Epoch: h.Assignments["fleet"].Epoch + 1}}
		if commitHeads(ctx, s, h, row.Version) {
			r.epochs++
		}
	}
}

func (r *race) start(run func(storer.Store)) *gate {
	g := &gate{Store: r.store, race: r, calls: make(chan bool), goOn: make(chan fault)}
	go func() {
		defer close(g.calls)
		run(g)
	}()
	return g
}

// waiting is an actor that is stopped before a call.
type waiting struct {
	gate   *gate
	commit bool
	faulty bool
}

func (r *race) run(t *rapid.T, actors []waiting) {
	live := make([]waiting, 0, len(actors))
	for _, a := range actors {
		if commit, ok := <-a.gate.calls; ok {
			a.commit = commit
			live = append(live, a)
		}
	}
	for len(live) > 0 {
		i := rapid.IntRange(0, len(live)-1).Draw(t, "actor")
		a := live[i]
		f := none
		if a.faulty {
			f = drawFault(t, a.commit)
		}
		a.gate.goOn <- f
		commit, ok := <-a.gate.calls
		live[i].commit = commit
		if !ok {
			live = append(live[:i], live[i+1:]...)
		}
		if len(r.late) > 0 && rapid.Bool().Draw(t, "deliver") {
			r.deliver(t)
		}
	}
	for len(r.late) > 0 {
		r.deliver(t)
	}
}

func drawFault(t *rapid.T, commit bool) fault {
	if commit {
		return rapid.SampledFrom([]fault{none, none, none, refuse, lose, late}).Draw(t, "commit")
	}
	return rapid.SampledFrom([]fault{none, none, none, none, refuse}).Draw(t, "read")
}

func (r *race) deliver(t *rapid.T) {
	txn := r.late[0]
	r.late = r.late[1:]
	if _, err := r.store.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
}

// Guards against changes that are lost, made twice, made although refused, or that revert
// assignments, when operators and instances race while the store loses and delays commits.
func TestRacingOperators(t *testing.T) {
	// A fault in the handling of unknown outcomes showed in one of 650 schedules.
	for i := range 10 {
		t.Run(fmt.Sprint("round ", i), func(t *testing.T) { rapid.Check(t, raceOnce) })
	}
}

func raceOnce(t *rapid.T) {
	r := &race{store: emulator.NewMemory(), outcomes: make(map[string]outcome)}
	changes := rapid.IntRange(1, 3).Draw(t, "changes")
	r.run(t, []waiting{
		{gate: r.start(func(s storer.Store) { r.operate(s, "a", changes) }), faulty: true},
		{gate: r.start(func(s storer.Store) { r.operate(s, "b", changes) }), faulty: true},
		{gate: r.start(func(s storer.Store) { r.assign(s, 2*changes) })},
	})
	r.check(t)
}

func (r *race) check(t *rapid.T) {
	ctx := context.Background()
	o := onStore(r.store, nil)
	h, _, err := o.Heads(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if got := h.Assignments["fleet"].Epoch; got != r.epochs {
		t.Fatalf("epoch %d after %d changes of the assignment", got, r.epochs)
	}
	rows, err := o.Audit(ctx, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if uint64(len(rows)) != h.ConfigVersion {
		t.Fatalf("%d audit rows for %d versions", len(rows), h.ConfigVersion)
	}
	versions := make(map[string]uint64)
	for i, a := range rows {
		if a.Version != uint64(i+1) || a.BaseVersion != uint64(i) {
			t.Fatalf("audit row %d is of version %d on base %d", i, a.Version, a.BaseVersion)
		}
		if versions[a.OperationID] != 0 {
			t.Fatalf("operation %s was made twice", a.OperationID)
		}
		versions[a.OperationID] = a.Version
		_, text, err := o.Configuration(ctx, a.Version)
		if err != nil || !bytes.Equal(text, r.outcomes[a.OperationID].text) {
			t.Fatalf("version %d does not hold the text of operation %s: %v", a.Version, a.OperationID, err)
		}
		if a.Version == h.ConfigVersion && h.ConfigDigest != composer.Digest(text) {
			t.Fatal("the digest in the heads row is of another text")
		}
	}
	for id, v := range r.outcomes {
		switch {
		case v.refused && versions[id] != 0:
			t.Fatalf("operation %s was made although it was refused", id)
		case v.version != 0 && versions[id] != v.version:
			t.Fatalf("operation %s was reported as version %d, but is %d", id, v.version, versions[id])
		}
	}
}
