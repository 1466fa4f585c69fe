package claimer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/storer"
)

// hookedStore calls functions before and after each commit.
type hookedStore struct {
	storer.Store
	before, after func(storer.Txn)
}

func (h *hookedStore) Commit(ctx context.Context, t storer.Txn) (storer.Result, error) {
	if h.before != nil {
		h.before(t)
	}
	r, err := h.Store.Commit(ctx, t)
	if h.after != nil {
		h.after(t)
	}
	return r, err
}

// valuelessStore omits the values of rows whose checks failed, which storer.Store permits.
type valuelessStore struct {
	storer.Store
}

func (b *valuelessStore) Commit(ctx context.Context, t storer.Txn) (storer.Result, error) {
	r, err := b.Store.Commit(ctx, t)
	for i := range r.Rows {
		r.Rows[i].Value = nil
	}
	return r, err
}

// runBubble runs a test with one store in a synctest bubble. The argument start returns Claims whose Run ends with the test.
func runBubble(t *testing.T, rtt time.Duration, test func(t *testing.T, w *faultyTable, start func(claimer.Config) *claimer.Claims)) {
	synctest.Test(t, func(t *testing.T) {
		w := newFaultyTable(1, rtt)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer w.delayed.Wait()
		defer group.Wait()
		defer cancel()
		test(t, w, func(c claimer.Config) *claimer.Claims {
			if c.Store == nil {
				c.Store = &instanceStore{table: w}
			}
			if c.Clock == nil {
				c.Clock = time.Now
			}
			r := claimer.New(c)
			group.Go(func() { _ = r.Run(ctx) })
			return r
		})
	})
}

func beginExpecting(t *testing.T, c *claimer.Claims, r claimer.Request, want claimer.Verdict) claimer.Decision {
	t.Helper()
	d, err := c.Begin(context.Background(), r)
	if err != nil || d.Verdict != want {
		t.Fatalf("verdict %s, error %v; want %s", d.Verdict, err, want)
	}
	return d
}

// Guards against a claim that is used after its deadline because the machine was suspended before the result arrived.
func TestLateClaimIsWithdrawn(t *testing.T) {
	runBubble(t, 40*time.Millisecond, func(t *testing.T, w *faultyTable, start func(claimer.Config) *claimer.Claims) {
		var mu sync.Mutex
		var offset time.Duration
		clock := func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return time.Now().Add(offset)
		}
		suspend := func(storer.Txn) {
			mu.Lock()
			defer mu.Unlock()
			if offset == 0 {
				offset = time.Minute
			}
		}
		c := start(claimer.Config{Store: &hookedStore{Store: &instanceStore{table: w}, after: suspend}, Clock: clock})
		beginExpecting(t, c, claimRequest(1), claimer.Unavailable)
		time.Sleep(time.Second)
		r := claimRequest(1)
		r.Deadline = clock().Add(requestDeadline)
		beginExpecting(t, c, r, claimer.Run)
	})
}

// Guards against a Begin that outlasts the deadline, and against a key that stays blocked after its insert was lost, applied
// without a reply, or applied late.
func TestUnavailableStore(t *testing.T) {
	runBubble(t, 40*time.Millisecond, func(t *testing.T, w *faultyTable, start func(claimer.Config) *claimer.Claims) {
		c := start(claimer.Config{})
		for key := range 20 {
			w.setOutage(10 * time.Second)
			at := time.Now()
			r := claimRequest(key)
			r.Deadline = at.Add(700 * time.Millisecond)
			d := beginExpecting(t, c, r, claimer.Unavailable)
			if f := d.Refusal(); f.Ran != responder.NotRun || time.Now().After(r.Deadline) {
				t.Fatalf("refusal %v after %v", f, time.Since(at))
			}
			time.Sleep(2 * time.Minute)
			beginExpecting(t, c, claimRequest(key), claimer.Run)
		}
	})
}

// Guards against responses that are truncated, mixed up between requests, or reported as complete when they are not.
func TestOutcomes(t *testing.T) {
	large := bytes.Repeat([]byte("x"), claimer.MaxBodyBytes)
	for _, c := range []struct {
		name    string
		outcome claimer.Outcome
		digest  byte
		wait    time.Duration
		want    claimer.Verdict
	}{
		{name: "empty", outcome: claimer.Outcome{Status: 204}, want: claimer.Stored},
		{name: "largest", outcome: claimer.Outcome{Status: 201, Header: http.Header{"A": {"b", "c"}}, Body: large}, want: claimer.Stored},
		{name: "too large", outcome: claimer.Outcome{Status: 201, Body: append(large, 'x')}, want: claimer.Completed},
		{name: "headers too large", outcome: claimer.Outcome{Status: 200, Header: http.Header{"A": {string(large)}}}, want: claimer.Completed},
		{name: "other request", outcome: claimer.Outcome{Status: 200}, digest: 9, want: claimer.Mismatch},
		{name: "running", want: claimer.InProgress},
		{name: "lost", wait: requestDeadline, want: claimer.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			runBubble(t, 40*time.Millisecond, func(t *testing.T, w *faultyTable, start func(claimer.Config) *claimer.Claims) {
				a, b, e := start(claimer.Config{}), start(claimer.Config{}), start(claimer.Config{Store: &valuelessStore{Store: &instanceStore{table: w}}})
				d := beginExpecting(t, a, claimRequest(1), claimer.Run)
				if c.outcome.Status != 0 {
					if err := a.Finish(context.Background(), d.Claim, c.outcome); err != nil {
						t.Fatal(err)
					}
					if err := a.Abandon(context.Background(), d.Claim); !errors.Is(err, claimer.ErrSettled) {
						t.Fatalf("abandon after finish: %v", err)
					}
				}
				time.Sleep(c.wait)
				r := claimRequest(1)
				r.RequestDigest[0] += c.digest
				// The first attempt at b and e fails the transaction; at b the second is looked up.
				for _, claims := range []*claimer.Claims{b, b, e, a} {
					checkOutcome(t, beginExpecting(t, claims, r, c.want), c.outcome)
				}
			})
		})
	}
}

func checkOutcome(t *testing.T, d claimer.Decision, want claimer.Outcome) {
	if d.Verdict == claimer.Stored {
		if d.Outcome.Status != want.Status || !bytes.Equal(d.Outcome.Body, want.Body) || len(d.Outcome.Header) != len(want.Header) {
			t.Fatalf("stored outcome %d differs", d.Outcome.Status)
		}
		if d.Refusal() != nil {
			t.Fatal("a stored answer is no refusal")
		}
		return
	}
	f := d.Refusal()
	notRun := d.Verdict == claimer.Mismatch
	if (f.Ran == responder.NotRun) != notRun || (f.Ran == responder.HasRun) != (d.Verdict == claimer.Completed) {
		t.Fatalf("verdict %s with ran value %s", d.Verdict, f.Ran)
	}
	if d.Verdict == claimer.Completed && d.Outcome.Status != want.Status {
		t.Fatalf("status %d, want %d", d.Outcome.Status, want.Status)
	}
}

// Guards against a claim that does not recognize its own row after the reply was lost on a real connection.
func TestLostReplyOverHTTP(t *testing.T) {
	e := emulator.NewTable()
	server := httptest.NewServer(e)
	defer server.Close()
	client, err := storer.New(storer.Config{Addresses: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	heal := &hookedStore{Store: client, after: func(storer.Txn) { e.SetFaults(emulator.Faults{}) }}
	a, b := claimer.New(claimer.Config{Store: heal, BeginTimeout: time.Minute}), claimer.New(claimer.Config{Store: client, BeginTimeout: time.Minute})
	group.Go(func() { _ = a.Run(ctx) })
	group.Go(func() { _ = b.Run(ctx) })
	r := claimRequest(1)
	r.Deadline = time.Now().Add(time.Minute)
	e.SetFaults(emulator.Faults{LoseReplies: true})
	d := beginExpecting(t, a, r, claimer.Run)
	e.SetFaults(emulator.Faults{LoseReplies: true})
	if err := a.Finish(ctx, d.Claim, claimer.Outcome{Status: 201, Body: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	checkOutcome(t, beginExpecting(t, b, r, claimer.Stored), claimer.Outcome{Status: 201, Body: []byte("x")})
	if n := a.Counters(); n.Failures != 2 || n.Conflicts != 2 {
		t.Errorf("counters %+v, want two lost replies that were recognized", n)
	}
}

// Guards against more than one transaction start per interval, a first claim that waits for others, and a conflict that
// fails the other claims of its transaction or delays them by more than one retry.
func TestBatches(t *testing.T) {
	const interval = 25 * time.Millisecond
	const rtt = 110 * time.Millisecond
	runBubble(t, rtt, func(t *testing.T, w *faultyTable, start func(claimer.Config) *claimer.Claims) {
		taken := beginExpecting(t, start(claimer.Config{}), claimRequest(0), claimer.Run)
		if time.Until(taken.Claim.Deadline()) != requestDeadline-rtt {
			t.Fatal("the first claim waited")
		}
		time.Sleep(time.Second)
		var mu sync.Mutex
		var starts []time.Time
		record := func(storer.Txn) {
			mu.Lock()
			defer mu.Unlock()
			starts = append(starts, time.Now())
		}
		c := start(claimer.Config{Store: &hookedStore{Store: &instanceStore{table: w}, before: record}})
		var group sync.WaitGroup
		at := time.Now()
		for i := range 200 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				sent := time.Now()
				key, want := i+1, claimer.Run
				if i == 100 {
					key, want = 0, claimer.InProgress
				}
				beginExpecting(t, c, claimRequest(key), want)
				if time.Since(sent) > 2*rtt+3*interval {
					t.Errorf("claim %d took %v", i, time.Since(sent))
				}
			})
		}
		group.Wait()
		if starts[0] != at {
			t.Error("the first transaction waited")
		}
		for i := range starts[1:] {
			if starts[i+1].Sub(starts[i]) < interval {
				t.Errorf("transactions %v apart", starts[i+1].Sub(starts[i]))
			}
		}
		if n := c.Counters(); n.Conflicts != 1 || n.Pending != 0 {
			t.Errorf("counters %+v, want one conflict", n)
		}
	})
}

// Guards against outcomes that are lost in a graceful shutdown while the store is slow.
func TestShutdownStoresOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFaultyTable(1, 400*time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		c := claimer.New(claimer.Config{Store: &instanceStore{table: w}, Clock: time.Now})
		ended := make(chan error)
		go func() { ended <- c.Run(ctx) }()
		list := []*claimer.Claim{beginExpecting(t, c, claimRequest(0), claimer.Run).Claim, beginExpecting(t, c, claimRequest(1), claimer.Run).Claim}
		// The second outcome waits for the transaction interval when the shutdown begins.
		for _, l := range list {
			go func() {
				if err := c.Finish(context.Background(), l, claimer.Outcome{Status: 201}); err != nil {
					t.Error(err)
				}
			}()
			synctest.Wait()
		}
		cancel()
		synctest.Wait()
		beginExpecting(t, c, claimRequest(2), claimer.Unavailable)
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a sweep that deletes claims which callers may still resend, or that leaves expired rows behind.
func TestSweep(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		minutes := rapid.SliceOfN(rapid.IntRange(0, 600), 1, 80).Draw(r, "minutes")
		again := rapid.IntRange(0, len(minutes)-1).Draw(r, "again")
		problem := ""
		synctest.Test(t, func(t *testing.T) {
			checkSweep(t, minutes, again, &problem)
		})
		if problem != "" {
			r.Fatal(problem)
		}
	})
}

func checkSweep(t *testing.T, minutes []int, again int, problem *string) {
	w := newFaultyTable(1, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := &instanceStore{table: w}
	c := claimer.New(claimer.Config{Store: k, Clock: time.Now})
	go func() { _ = c.Run(ctx) }()
	s := claimer.NewSweeper(claimer.SweeperConfig{Store: k, Clock: time.Now})
	for i, m := range minutes {
		time.Sleep(time.Duration(m) * time.Minute / time.Duration(len(minutes)))
		d := beginExpecting(t, c, claimRequest(i), claimer.Run)
		if i == again {
			_ = c.Abandon(ctx, d.Claim)
		}
	}
	// The retention of a claim that was abandoned and renewed starts at the renewal.
	beginExpecting(t, c, claimRequest(again), claimer.Run)
	last := time.Now()
	for time.Since(last) < claimer.Retention {
		time.Sleep(time.Hour)
		if _, err := s.Sweep(ctx); err != nil {
			*problem = err.Error()
		}
		if n := w.countRows("claim/"); time.Since(last) < claimer.Retention-10*time.Hour && n != len(minutes) {
			*problem = fmt.Sprintf("%d of %d claims after %v", n, len(minutes), time.Since(last))
		}
		if time.Since(last) < claimer.Retention {
			r := claimRequest(again)
			r.Deadline = time.Now().Add(time.Second)
			d, err := c.Begin(ctx, r)
			if err != nil || d.Verdict == claimer.Run {
				*problem = fmt.Sprintf("verdict %s after %v", d.Verdict, time.Since(last))
			}
		}
	}
	time.Sleep(2 * time.Hour)
	for range 1 + len(minutes)/64 {
		if _, err := s.Sweep(ctx); err != nil {
			*problem = err.Error()
		}
	}
	if n := w.countRows(""); n != 0 {
		*problem = fmt.Sprintf("%d rows left", n)
	}
}
