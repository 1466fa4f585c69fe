package limiter_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/limiter"
	"celeryhead.dev/celeryhead/responder"
)

// fillTime is longer than any part of these tests takes to fill.
const fillTime = 3 * time.Hour

// link is an Asker that passes token requests to the owner of each part after a delay.
type link struct {
	delay  time.Duration
	owners [2]*limiter.Owner

	mu   sync.Mutex
	cut  [2]bool
	asks [2]int
}

func newLink(delay time.Duration, rate, burst float64) *link {
	l := &link{delay: delay}
	for i, m := range halves(rate, burst) {
		l.owners[i] = limiter.NewOwner()
		l.owners[i].Set(time.Now().Add(-fillTime), []limiter.Owned{{Account: "kiln", Part: i, Limit: m}})
	}
	return l
}

func (l *link) setCut(parts ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = [2]bool{}
	for _, p := range parts {
		l.cut[p] = true
	}
}

func (l *link) Ask(ctx context.Context, k limiter.Ask) (limiter.Reply, error) {
	part := k.Part
	l.mu.Lock()
	cut := l.cut[part]
	l.asks[part]++
	l.mu.Unlock()
	if cut {
		<-ctx.Done()
		return limiter.Reply{}, ctx.Err()
	}
	if l.owners[part] == nil {
		return limiter.Reply{NotOwner: true}, nil
	}
	select {
	case <-time.After(l.delay):
	case <-ctx.Done():
		return limiter.Reply{}, ctx.Err()
	}
	return l.owners[part].Grant(time.Now(), k.Account, part, limiter.Request{Holder: "a", Incarnation: 1, Ask: k.ID, Tokens: k.Tokens, Held: k.Held}), nil
}

func newAllowance(t *testing.T, k limiter.Asker) *limiter.Allowance {
	l := limiter.NewAllowance(limiter.AllowanceConfig{Asker: k, Clock: time.Now})
	t.Cleanup(l.Close)
	return l
}

// take sends n concurrent requests and returns the refusals.
func take(l *limiter.Allowance, n int, deadline time.Duration) []*responder.Refusal {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var rs []*responder.Refusal
	for range n {
		wg.Go(func() {
			r := l.Take(context.Background(), "kiln", time.Now().Add(deadline))
			mu.Lock()
			defer mu.Unlock()
			if r != nil {
				rs = append(rs, r)
			}
		})
	}
	wg.Wait()
	return rs
}

// Guards against a burst that one instance cannot use, unjustified refusals, and waits beyond the wait limit.
func TestAllowance(t *testing.T) {
	cases := []struct {
		name     string
		burst    float64
		cut      []int
		requests int
		refused  int
		reason   responder.Reason
		wait     time.Duration
	}{
		{name: "the whole burst at one instance", burst: 40, requests: 40},
		{name: "more than the burst", burst: 40, requests: 60, refused: 20, reason: responder.RateExceeded},
		{name: "first owner does not reply", burst: 40, cut: []int{0}, requests: 20},
		{name: "second owner does not reply", burst: 40, cut: []int{1}, requests: 20},
		{name: "no owner replies", burst: 40, cut: []int{0, 1}, requests: 5, refused: 5, reason: responder.NoOwner},
		{name: "one part", burst: 1.5, requests: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newLink(20*time.Millisecond, 0.02, c.burst)
				l := newAllowance(t, k)
				k.setCut(c.cut...)
				start := time.Now()
				const deadline = time.Second
				rs := take(l, c.requests, deadline)
				if len(rs) != c.refused {
					t.Fatalf("%d of %d refused, want %d", len(rs), c.requests, c.refused)
				}
				for _, r := range rs {
					if r.Reason != c.reason || r.Ran != responder.NotRun || r.RetryAfter <= 0 {
						t.Fatalf("refused with %v, retry after %v; want %s", r, r.RetryAfter, c.reason)
					}
				}
				if d := time.Since(start); d > deadline/2 {
					t.Fatalf("waited %v", d)
				}
			})
		})
	}
}

// Guards against waiting beyond the wait limit, the end of the request or Close, and against leaked goroutines.
func TestAllowanceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newLink(20*time.Millisecond, 10, 40)
		l := newAllowance(t, k)
		k.setCut(0, 1)
		start := time.Now()
		if rs := take(l, 1, 30*time.Millisecond); len(rs) != 1 || time.Since(start) != 15*time.Millisecond {
			t.Fatalf("%v after %v, want a refusal after half of the time until the deadline", rs, time.Since(start))
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Millisecond, func() { cancel(errors.New("caller disconnected")) })
		if r := l.Take(ctx, "kiln", start.Add(time.Hour)); r == nil || r.Reason != responder.DeadlineExceeded {
			t.Fatalf("refused with %v, want %s", r, responder.DeadlineExceeded)
		}
		time.AfterFunc(time.Millisecond, l.Close)
		if rs := take(l, 3, time.Second); len(rs) != 3 {
			t.Fatalf("%d refused at Close, want 3", len(rs))
		}
	})
}

// Guards against use of a token that expired while the process was paused between taking the token and returning it.
func TestAllowanceAfterPause(t *testing.T) {
	// calls returns how often Take reads the clock and requests tokens if the clock jumps by GrantTTL at the given reading.
	calls := func(jump int) (readings, asks int) {
		synctest.Test(t, func(t *testing.T) {
			k := newLink(20*time.Millisecond, 10, 40)
			var mu sync.Mutex
			l := limiter.NewAllowance(limiter.AllowanceConfig{Asker: k, Clock: func() time.Time {
				mu.Lock()
				defer mu.Unlock()
				readings++
				if readings >= jump {
					return time.Now().Add(limiter.GrantTTL)
				}
				return time.Now()
			}})
			defer l.Close()
			if r := l.Take(t.Context(), "kiln", time.Now().Add(time.Hour)); r != nil {
				t.Fatal(r)
			}
			asks = k.asks[0] + k.asks[1]
		})
		return readings, asks
	}
	n, asks := calls(1 << 30)
	if asks != 1 {
		t.Fatalf("%d asks, want 1", asks)
	}
	if _, asks := calls(n); asks != 2 {
		t.Fatalf("%d asks after a pause, want 2", asks)
	}
}
