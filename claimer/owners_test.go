package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/storer"
)

func instances(n int) []assigner.Member {
	var r []assigner.Member
	for i := range n {
		r = append(r, assigner.Member{Name: fmt.Sprintf("instance-%03d", i), Incarnation: uint64(i)})
	}
	return r
}

// Guards against claim owners in a fleet that needs none, and against instances with the same members that select different owners.
func TestOwners(t *testing.T) {
	for _, c := range []struct{ members, want int }{{0, 0}, {1, 0}, {7, 0}, {8, 7}, {120, 7}, {880, 7}} {
		ms := instances(c.members)
		owners := claimer.Owners(ms)
		if len(owners) != c.want {
			t.Fatalf("%d claim owners of %d members, want %d", len(owners), c.members, c.want)
		}
		if c.want == 0 {
			continue
		}
		if first, _ := assigner.Owner("claims", ms); owners[0] != first.Name {
			t.Errorf("first claim owner %s, want %s", owners[0], first.Name)
		}
		slices.Reverse(ms)
		if got := claimer.Owners(ms); !slices.Equal(got, owners) {
			t.Errorf("claim owners %v after a change of order, want %v", got, owners)
		}
		if len(ms) <= claimer.MaxOwners+1 {
			continue
		}
		rest := slices.DeleteFunc(ms, func(m assigner.Member) bool { return m.Name == owners[3] })
		if got := claimer.Owners(rest); !slices.Equal(got[:6], slices.Delete(slices.Clone(owners), 3, 4)) {
			t.Errorf("claim owners %v after one of %v left", got, owners)
		}
	}
}

func BenchmarkOwners(b *testing.B) {
	for _, n := range []int{8, 120, 880} {
		ms := instances(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				claimer.Owners(ms)
			}
		})
	}
}

// fixedFleet is a fleet with constant claim owners. If answer is nil, the owners never reply.
type fixedFleet struct {
	owners []string
	answer func(context.Context, *messenger.ClaimRequest) (*messenger.ClaimReply, error)
}

func (f fixedFleet) ClaimOwners() []string { return f.owners }

func (f fixedFleet) Claim(ctx context.Context, _ string, m *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	if f.answer != nil {
		return f.answer(ctx, m)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func write(key int, size int) *messenger.ClaimWrite {
	v := claimer.EncodeOutcome(claimRequest(key), claimer.Outcome{Status: 200, Body: make([]byte, size)})
	d := make([]byte, 32)
	d[0] = byte(key)
	return &messenger.ClaimWrite{KeyDigest: d, Version: 1, Value: v}
}

func writes(n, size int) *messenger.ClaimRequest {
	m := &messenger.ClaimRequest{}
	for i := range n {
		m.Writes = append(m.Writes, write(i, size))
	}
	return m
}

// Guards against accepting messages that exceed the limits or write rows other than claims.
func TestInvalidMessages(t *testing.T) {
	short, other := writes(1, 0), writes(1, 0)
	short.Writes[0].KeyDigest = short.Writes[0].KeyDigest[1:]
	other.Writes[0].Value = []byte(`{"state":"done"}`)
	for name, m := range map[string]*messenger.ClaimRequest{
		"no write":      {},
		"too many":      writes(257, 0),
		"too large":     writes(16, claimer.MaxBodyBytes),
		"short digest":  short,
		"other content": other,
	} {
		t.Run(name, func(t *testing.T) {
			runBubble(t, 0, func(t *testing.T, _ *faultyTable, start func(claimer.Config) *claimer.Claims) {
				if _, err := start(claimer.Config{}).Accept(t.Context(), m); !errors.Is(err, claimer.ErrMessage) {
					t.Errorf("error %v, want %v", err, claimer.ErrMessage)
				}
			})
		})
	}
}

// Guards against a claim owner whose memory grows while the store is down, that does not accept claims again afterwards, or
// an instance that accepts claims without being an owner.
func TestOwnerIsFull(t *testing.T) {
	runBubble(t, 40*time.Millisecond, func(t *testing.T, w *faultyTable, start func(claimer.Config) *claimer.Claims) {
		w.setOutage(3 * time.Second)
		f := fixedFleet{owners: []string{"owner"}}
		c := start(claimer.Config{Self: "owner", Fleet: f, MaxAccepted: 300, MaxAcceptedBytes: 1_000_000})
		accept := func(c *claimer.Claims, m *messenger.ClaimRequest, refused bool) {
			t.Helper()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			p, err := c.Accept(ctx, m)
			if err == nil && p.Refused != refused || err != nil && refused {
				t.Errorf("answer %v, error %v, want refused %t", p, err, refused)
			}
		}
		var group sync.WaitGroup
		group.Go(func() { accept(c, writes(200, 0), false) })
		synctest.Wait()
		accept(c, writes(101, 0), true)
		accept(c, writes(11, claimer.MaxBodyBytes), true)
		accept(start(claimer.Config{Self: "other", Fleet: f}), writes(1, 0), true)
		group.Wait()
		time.Sleep(5 * time.Second)
		accept(c, writes(200, 0), false)
		accept(c, writes(10, claimer.MaxBodyBytes), false)
		accept(c, writes(10, claimer.MaxBodyBytes), false)
		if n := c.Counters(); n.Accepted != 420 || n.Refused != 112 {
			t.Errorf("counters %+v", n)
		}
	})
}

// Guards against more than one transaction per second by an instance whose claim owners refuse or do not reply, and
// against claims that this instance then fails to make.
func TestFallback(t *testing.T) {
	refuse := func(context.Context, *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
		return &messenger.ClaimReply{Refused: true}, nil
	}
	malformed := func(_ context.Context, m *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
		return &messenger.ClaimReply{Results: make([]*messenger.ClaimResult, len(m.Writes)+1)}, nil
	}
	for name, f := range map[string]fixedFleet{"unresponsive": {}, "refusing": {answer: refuse}, "malformed": {answer: malformed}} {
		t.Run(name, func(t *testing.T) {
			runBubble(t, 40*time.Millisecond, func(t *testing.T, w *faultyTable, start func(claimer.Config) *claimer.Claims) {
				var mu sync.Mutex
				var starts []time.Time
				f.owners = []string{"owner"}
				c := start(claimer.Config{Self: "other", Fleet: f, Store: &hookedStore{Store: &instanceStore{table: w}, before: func(storer.Txn) {
					mu.Lock()
					defer mu.Unlock()
					starts = append(starts, time.Now())
				}}})
				var group sync.WaitGroup
				for i := range 100 {
					time.Sleep(50 * time.Millisecond)
					group.Go(func() {
						d := beginExpecting(t, c, claimRequest(i), claimer.Run)
						if i%2 == 0 {
							_ = c.Abandon(t.Context(), d.Claim)
						}
					})
				}
				group.Wait()
				for i := range starts[1:] {
					if d := starts[i+1].Sub(starts[i]); d < time.Second {
						t.Errorf("transactions %v apart, want at most one a second", d)
					}
				}
				if len(starts) > 8 {
					t.Errorf("%d transactions in 6 s", len(starts))
				}
			})
		})
	}
}

// Guards against claims that repeatedly wait for an unresponsive owner, and against owners that stay unused after they reply again.
func TestSilentOwner(t *testing.T) {
	runBubble(t, 40*time.Millisecond, func(t *testing.T, w *faultyTable, start func(claimer.Config) *claimer.Claims) {
		f := fixedFleet{owners: []string{"a", "b"}}
		m := &routedFleet{fixedFleet: f, at: map[string]*claimer.Claims{}, unresponsive: "a"}
		for _, n := range f.owners {
			m.at[n] = start(claimer.Config{Self: n, Fleet: f})
		}
		c := start(claimer.Config{Self: "c", Fleet: m})
		slow := 0
		run := func(from, to int) {
			for i := from; i < to; i++ {
				at := time.Now()
				d := beginExpecting(t, c, claimRequest(i), claimer.Run)
				slow += boolToInt(time.Since(at) > 500*time.Millisecond)
				_ = c.Finish(t.Context(), d.Claim, claimer.Outcome{Status: 201})
			}
		}
		run(0, 40)
		// One claim detects the failure; later retries use outcomes, not inserts.
		if slow > 1 {
			t.Errorf("%d claims waited for an unresponsive owner", slow)
		}
		m.unresponsive = ""
		time.Sleep(2 * time.Second)
		before := m.at["a"].Counters().Accepted
		run(40, 120)
		if n := m.at["a"].Counters().Accepted - before; n < 40 {
			t.Errorf("%d writes accepted by an owner that replies again", n)
		}
	})
}

// routedFleet delivers messages to the claim owners, of which one may be unresponsive.
type routedFleet struct {
	fixedFleet
	at           map[string]*claimer.Claims
	unresponsive string
}

func (r *routedFleet) Claim(ctx context.Context, owner string, m *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	if owner == r.unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return r.at[owner].Accept(ctx, m)
}

// Guards against expired claims that no claim owner deletes, and against claims that several owners delete.
func TestSweepIsDivided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFaultyTable(1, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		deleted := map[string]int{}
		k := &hookedStore{Store: &instanceStore{table: w}, before: func(x storer.Txn) {
			for _, r := range x.Writes {
				deleted[r.Key] += boolToInt(r.Delete)
			}
		}}
		c := claimer.New(claimer.Config{Store: k, Clock: time.Now})
		go func() { _ = c.Run(ctx) }()
		const claims = 300
		for i := range claims {
			beginExpecting(t, c, claimRequest(i), claimer.Run)
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(claimer.Retention + 2*time.Hour)
		owners := []string{"a", "b", "c", "d", "e", "f", "g"}
		left := 2 * claims
		for _, n := range append([]string{"other"}, owners...) {
			s := claimer.NewSweeper(claimer.SweeperConfig{Store: k, Clock: time.Now, Self: n, Owners: func() []string { return owners }})
			for more := true; more; {
				var err error
				if more, err = s.Sweep(ctx); err != nil {
					t.Fatal(err)
				}
			}
			swept := left - w.countRows("")
			left -= swept
			if n == "other" && swept > 0 || n != "other" && (swept < claims/14 || swept > claims) {
				t.Errorf("%s swept %d of %d rows", n, swept, 2*claims)
			}
		}
		if left > 0 {
			t.Errorf("%d rows left", left)
		}
		for r, n := range deleted {
			if n > 1 {
				t.Errorf("row %s deleted %d times", r, n)
			}
		}
	})
}
