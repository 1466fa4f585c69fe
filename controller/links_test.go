package controller_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/loader"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/tracker"
)

var errCut = merry.Sentinel("the link is cut")

// fleet is a number of controllers that share a store and a list and call each other directly.
type fleet struct {
	members []*controller.Controller
	stops   []context.CancelFunc
	// cut is true while the first two do not reach each other, apart while the first half and the others do not.
	cut, apart atomic.Bool
	dead       atomic.Int64
	// mute is true while nobody answers for member lists.
	mute atomic.Bool
	// earlier is a member that does not say that it reads member lists.
	earlier atomic.Int64
	// booting is true while an instance is listed that does not answer.
	booting atomic.Bool
	store   *emulator.Memory
	// reassigned counts the calls of Hooks.Reassign by each member.
	reassigned []atomic.Int64
}

// hooks counts the reassignments of one member.
type hooks struct {
	noHooks
	reassigned *atomic.Int64
}

func (h hooks) Reassign() { h.reassigned.Add(1) }

// end is the fleet as one member sees it.
type end struct {
	fleet *fleet
	self  int
}

func (e end) List(context.Context) ([]tracker.Entry, error) {
	var r []tracker.Entry
	if e.fleet.booting.Load() {
		r = append(r, tracker.Entry{Instance: tracker.Instance{Name: "a9", Region: "a", FailureDomain: "a_9"}})
	}
	for i := range e.fleet.members {
		if int64(i) != e.fleet.dead.Load() {
			r = append(r, tracker.Entry{Instance: identity(i)})
		}
	}
	return r, nil
}

func (e end) Peer(i tracker.Instance) messenger.Peer {
	var to int
	_, _ = fmt.Sscanf(i.Name, "a%d", &to)
	return link{fleet: e.fleet, from: e.self, to: to}
}

// link carries heartbeats, rows, manifests and chunks; a call of any other method panics, since the embedded Peer is nil.
type link struct {
	messenger.Peer
	fleet    *fleet
	from, to int
}

func (l link) broken() error {
	half := len(l.fleet.members) / 2
	switch {
	case l.fleet.cut.Load() && l.from+l.to == 1, l.fleet.apart.Load() && (l.from < half) != (l.to < half), int64(l.to) == l.fleet.dead.Load(), l.to >= len(l.fleet.members):
		return errCut
	}
	return nil
}

func (l link) Heartbeat(ctx context.Context, b *messenger.Beat) (*messenger.Beat, error) {
	if err := l.broken(); err != nil {
		return nil, err
	}
	a, err := l.fleet.members[l.to].Heartbeat(ctx, l.by(l.from, b))
	return l.by(l.to, a), err
}

// by returns a heartbeat as the program of its sender writes it.
func (l link) by(sender int, b *messenger.Beat) *messenger.Beat {
	if b == nil || int64(sender) != l.fleet.earlier.Load() {
		return b
	}
	b, _ = proto.Clone(b).(*messenger.Beat)
	b.ReadsLists = false
	return b
}

func (l link) FetchHeads(context.Context, *messenger.FetchHeadsRequest) (*messenger.HeadsRow, error) {
	if err := l.broken(); err != nil {
		return nil, err
	}
	return l.fleet.members[l.to].FetchHeads(), nil
}

func (l link) FetchMembers(_ context.Context, r *messenger.FetchMembersRequest) (*messenger.MembersRow, error) {
	if err := l.broken(); err != nil || l.fleet.mute.Load() {
		return nil, cmp.Or[error](err, errCut)
	}
	m, err := l.fleet.members[l.to].FetchMembers(r)
	if m == nil && err == nil {
		err = errCut
	}
	return m, err
}

func (l link) FetchManifest(_ context.Context, r *messenger.FetchManifestRequest) (*messenger.ManifestRow, error) {
	if err := l.broken(); err != nil {
		return nil, err
	}
	m, err := l.fleet.members[l.to].FetchManifest(r.Version)
	if m == nil && err == nil {
		err = errCut
	}
	return m, err
}

func (l link) FetchChunks(_ context.Context, r *messenger.FetchChunksRequest) (*messenger.Chunks, error) {
	if err := l.broken(); err != nil {
		return nil, err
	}
	return l.fleet.members[l.to].FetchChunks(r)
}

func identity(i int) tracker.Instance {
	return tracker.Instance{Name: fmt.Sprint("a", i), Incarnation: 1, Region: "a", FailureDomain: fmt.Sprint("a_", i)}
}

func startFleet(ctx context.Context, t *testing.T, n int) *fleet {
	f := &fleet{store: emulator.NewMemory(), reassigned: make([]atomic.Int64, n)}
	f.dead.Store(-1)
	f.earlier.Store(-1)
	l, err := logger.New(logger.Config{Level: "error", Format: "json", Writer: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		c, err := controller.New(controller.Config{
			Self: identity(i), Store: f.store, StoreTimeout: time.Second, List: end{f, i}, Dialer: end{f, i},
			Hooks: hooks{reassigned: &f.reassigned[i]}, Log: l, Clock: time.Now, Seed: uint64(i),
			Timing: loader.Timing{
				Freshness: 3 * time.Second, Heartbeat: 500 * time.Millisecond, Suspicion: 1500 * time.Millisecond,
				ListLag: 10 * time.Second, ListAge: 3 * time.Second,
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		f.members = append(f.members, c)
	}
	for _, c := range f.members {
		x, stop := context.WithCancel(ctx)
		f.stops = append(f.stops, stop)
		go c.Run(x)
	}
	return f
}

// Guards against controllers that do not pass on whom they hear, or do not tell the tracker of assignments: then two
// that lost each other would remove each other, or a dead instance would stay.
func TestLinkCutChangesNoAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := startFleet(ctx, t, 4)
		epoch := func() uint64 { return f.members[2].View().Heads.Assignments["a"].Epoch }
		time.Sleep(30 * time.Second)
		before := epoch()
		f.cut.Store(true)
		time.Sleep(3 * time.Minute)
		if n := epoch() - before; before == 0 || n != 0 {
			t.Errorf("%d changes of the assignment after epoch %d, want 0", n, before)
		}
		f.cut.Store(false)
		f.apart.Store(true)
		time.Sleep(3 * time.Minute)
		// A removal, one more since last heartbeats differ by up to 500 ms, and the return.
		if n := epoch() - before; n > 3 {
			t.Errorf("%d changes of the assignment while the halves were apart, want at most 3", n)
		}
		f.apart.Store(false)
		time.Sleep(time.Minute)
		before = epoch()
		f.dead.Store(3)
		f.stops[3]()
		// Suspicion and jitter, the interval of proposals and of reads.
		time.Sleep(1500*time.Millisecond + 500*time.Millisecond + 100*time.Millisecond + 500*time.Millisecond)
		if n := epoch() - before; n != 1 {
			t.Errorf("%d changes of the assignment after a death, want 1", n)
		}
	})
}
