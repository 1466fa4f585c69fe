package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/storer"
)

// claimCost is the result of a costTrial with 1,000 claims.
type claimCost struct {
	transactions int
	// busiest is the largest number of transactions in a second.
	busiest int
	// median and p99 are the median and 99 % quantile of the duration of Begin, in round trips.
	median, p99 float64
}

// costTrial is one configuration of the comparison.
type costTrial struct {
	resendPattern string
	config        claimer.Config
	rtt           time.Duration
	rate          float64
	resends       float64
	requests      int
	// instances receive the requests in turn, each at the given rate. A resend goes to the instance after the one that
	// received the first attempt.
	instances int
}

func (c costTrial) run(t *testing.T) claimCost {
	var r claimCost
	var mu sync.Mutex
	var times []time.Duration
	runBubble(t, c.rtt, func(t *testing.T, w *faultyTable, start func(claimer.Config) *claimer.Claims) {
		c.config.Store = &hookedStore{Store: &instanceStore{table: w}, before: r.counter(&mu)}
		var sites []*claimer.Claims
		for range c.instances {
			sites = append(sites, start(c.config))
		}
		random := rand.New(rand.NewPCG(1, 2))
		var group sync.WaitGroup
		for i := range c.requests {
			time.Sleep(time.Duration(random.ExpFloat64() / c.rate / float64(c.instances) * float64(time.Second)))
			key, service := i, time.Duration(50+random.IntN(250))*time.Millisecond
			if random.Float64() < c.resends {
				key = random.IntN(i + 1)
			}
			claims := sites[(key+boolToInt(key != i))%len(sites)]
			group.Go(func() {
				at := time.Now()
				d, err := claims.Begin(context.Background(), claimRequest(key))
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				times = append(times, time.Since(at))
				mu.Unlock()
				if d.Verdict == claimer.Run {
					time.Sleep(service)
					_ = claims.Finish(context.Background(), d.Claim, claimer.Outcome{Status: 201, Body: make([]byte, 500)})
				}
			})
		}
		group.Wait()
	})
	slices.Sort(times)
	r.median = float64(times[len(times)/2]) / float64(c.rtt)
	r.p99 = float64(times[len(times)*99/100]) / float64(c.rtt)
	return r
}

func (r *claimCost) counter(mu *sync.Mutex) func(storer.Txn) {
	seconds := map[int64]int{}
	return func(storer.Txn) {
		mu.Lock()
		defer mu.Unlock()
		r.transactions++
		s := time.Now().Unix()
		seconds[s]++
		r.busiest = max(r.busiest, seconds[s])
	}
}

// Guards against a loss of the savings by batching and prints the comparison for docs/measurements.d/claimer.md. The
// limits are those of sections 2.4 and 2.7 of the design.
func TestCosts(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "\n| round trip | rate/s | resends | transactions, unbatched | batched | busiest second, unbatched | batched | median/rtt, batched | p99/rtt, batched |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, rtt := range []time.Duration{40 * time.Millisecond, 110 * time.Millisecond} {
		for _, rate := range []float64{2, 20, 100, 400} {
			for _, c := range []costTrial{
				{resendPattern: "none", instances: 1},
				{resendPattern: "5 %, same instance", resends: 0.05, instances: 1},
				{resendPattern: "5 %, other instance", resends: 0.05, instances: 2},
			} {
				c.rtt, c.rate, c.requests = rtt, rate, 1000
				batched := c.run(t)
				c.config = claimer.Config{MaxRows: 1, Interval: time.Nanosecond, MaxInFlight: c.requests}
				alone := c.run(t)
				fmt.Fprintf(&b, "| %v | %.0f | %s | %d | %d | %d | %d | %.2f | %.2f |\n",
					rtt, rate, c.resendPattern, alone.transactions, batched.transactions, alone.busiest, batched.busiest, batched.median, batched.p99)
				checkCosts(t, c, alone, batched)
			}
		}
	}
	t.Log(b.String())
}

func checkCosts(t *testing.T, c costTrial, alone, batched claimCost) {
	const perSecond = 40
	// A one-second window that is not aligned with the 25 ms interval may contain 41 starts.
	if batched.busiest > (perSecond+1)*c.instances {
		t.Errorf("%d transactions in a second, want at most %d an instance", batched.busiest, perSecond)
	}
	if c.instances == 1 && batched.transactions > alone.transactions {
		t.Error("batches take more transactions than single claims")
	}
	if limit := 1 + 25.0/float64(c.rtt.Milliseconds()); c.instances == 1 && batched.p99 > limit {
		t.Errorf("%s: 99 %% of the claims take %.2f round trips, want at most one and an interval", c.resendPattern, batched.p99)
	}
}

// Checks that longer intervals need fewer transactions and prints the trade-off between transactions and latency.
func TestIntervals(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "\n| interval | transactions | busiest second | median/rtt | p99/rtt |\n| --- | --- | --- | --- | --- |\n")
	last := claimCost{}
	const ms = time.Millisecond
	for i, interval := range []time.Duration{5 * ms, 10 * ms, 25 * ms, 50 * ms, 100 * ms} {
		c := costTrial{config: claimer.Config{Interval: interval}, rtt: 40 * ms, rate: 100, requests: 1000, instances: 1}
		r := c.run(t)
		fmt.Fprintf(&b, "| %v | %d | %d | %.2f | %.2f |\n", interval, r.transactions, r.busiest, r.median, r.p99)
		if i > 0 && r.transactions >= last.transactions {
			t.Errorf("interval %v: %d transactions, not fewer than %d", interval, r.transactions, last.transactions)
		}
		last = r
	}
	t.Log(b.String())
}

// Checks that tickets still work during a store outage in which claims are unavailable.
func TestWaysInOutage(t *testing.T) {
	runBubble(t, 40*time.Millisecond, func(t *testing.T, w *faultyTable, start func(claimer.Config) *claimer.Claims) {
		w.setOutage(time.Hour)
		claims, tickets := start(claimer.Config{}), newTickets(t, claimer.TicketConfig{})
		for i := range 100 {
			beginExpecting(t, claims, claimRequest(i), claimer.Unavailable)
			r := claimRequest(i)
			var err error
			if r.Key, err = tickets.Issue(r.Account, time.Now()); err != nil {
				t.Fatal(err)
			}
			if d := tickets.Begin(r, time.Now()); d.Verdict != claimer.Run {
				t.Fatalf("verdict %s for a ticket", d.Verdict)
			}
		}
	})
}

func BenchmarkClaims(b *testing.B) {
	w := newFaultyTable(1, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	claims := claimer.New(claimer.Config{Store: &instanceStore{table: w}, Interval: time.Nanosecond})
	go func() { _ = claims.Run(ctx) }()
	key := 0
	for b.Loop() {
		key++
		r := claimRequest(key)
		r.Deadline = time.Now().Add(time.Minute)
		d, err := claims.Begin(ctx, r)
		if err != nil || d.Verdict != claimer.Run {
			b.Fatal(d.Verdict, err)
		}
		if err := claims.Finish(ctx, d.Claim, claimer.Outcome{Status: 201}); err != nil {
			b.Fatal(err)
		}
	}
}
