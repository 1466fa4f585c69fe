package controller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/exemplifier"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// configure stores a configuration with targets and accounts.
func (f *fleet) configure(t testing.TB) {
	b, err := composer.Encode(exemplifier.Koshe(exemplifier.Settings{}))
	if err != nil {
		t.Fatal(err)
	}
	tree := chunker.New(b, chunker.DefaultSizes)
	fill(t, f.store, tree)
	if _, err := f.store.Commit(t.Context(), storer.Txn{Writes: []storer.Write{{Key: recorder.HeadsKey, Value: headsOf(t, tree).Value}}}); err != nil {
		t.Fatal(err)
	}
}

// shared returns the targets and bucket parts, all of which the fleet owns here.
func shared(v *controller.View) []assigner.Resource {
	var r []assigner.Resource
	for n := range v.TargetRegions {
		r = append(r, v.TargetResource(n))
	}
	for n, ls := range v.Limits {
		for i := range ls {
			r = append(r, v.BucketResource(n, i))
		}
	}
	return r
}

// counts returns how often each member reassigned.
func (f *fleet) counts() []int64 {
	n := make([]int64, len(f.reassigned))
	for i := range n {
		n[i] = f.reassigned[i].Load()
	}
	return n
}

// Guards against resources without an owner in a store outage, against instances that ask another one than the
// successor, and against a successor that answers the lost owner before its own work has stopped.
func TestSuccession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := startFleet(ctx, t, 3)
		f.configure(t)
		time.Sleep(40 * time.Second)
		var lost []assigner.Resource
		for _, r := range shared(f.members[1].View()) {
			if f.members[0].MayAct(r, time.Now()) {
				lost = append(lost, r)
			}
		}
		f.store.Inject(emulator.MemoryFaults{
			BeforeRead:   func([]string) error { return errInjected },
			BeforeCommit: func(storer.Txn) error { return errInjected },
		})
		f.dead.Store(0)
		f.stops[0]()
		// 2 list_lag + list_age, an interval of readings, the wait of 3 s and a tick.
		time.Sleep(23*time.Second + time.Second + 3*time.Second + time.Second)
		for _, r := range lost {
			one, two := f.members[1].MayAct(r, time.Now()), f.members[2].MayAct(r, time.Now())
			o, _ := f.members[1].Owner(r)
			p, _ := f.members[2].Owner(r)
			if one == two || o.Name != p.Name || one != (o.Name == "a1") {
				t.Errorf("%v: a1 acts: %v, a2 acts: %v; a1 asks %q, a2 asks %q", r, one, two, o.Name, p.Name)
			}
		}
		// Each member reassigns in its ticks too, which are due at this instant.
		synctest.Wait()
		before := f.counts()
		m := controller.Member(identity(0))
		m.State = "active"
		if _, err := f.members[1].Heartbeat(ctx, &messenger.Beat{From: m, HeadsVersion: f.members[1].View().Row.Version}); err != nil {
			t.Fatal(err)
		}
		for i, n := range f.counts() {
			want := int64(0)
			if i == 1 {
				want = 1
			}
			if n -= before[i]; n != want {
				t.Errorf("a%d: %d reassignments before the answer, want %d", i, n, want)
			}
		}
		for _, r := range lost {
			if f.members[1].MayAct(r, time.Now()) {
				t.Errorf("acts on %v after it answered its owner", r)
			}
		}
		if len(lost) == 0 {
			t.Error("the lost instance owned nothing")
		}
	})
}
