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

// cost is the result of 1,000 claims at one instance.
type cost struct {
	transactions int
	// busiest is the largest number of transactions in a second.
	busiest int
	// median and tail (99 %) are times of Begin in round trips.
	median, tail float64
}

// trial is one setting of the comparison.
type trial struct {
	way      string
	config   claimer.Config
	rtt      time.Duration
	rate     float64
	resends  float64
	requests int
	// instances get the requests in turn, each at the rate; a resend goes to the next one after the first sending's.
	instances int
}

func (c trial) run(t *testing.T) cost {
	var r cost
	var mu sync.Mutex
	var times []time.Duration
	bubble(t, c.rtt, func(t *testing.T, w *world, start func(claimer.Config) *claimer.Claims) {
		c.config.Store = &hooked{Store: &link{world: w}, before: r.counter(&mu)}
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
			claims := sites[(key+one(key != i))%len(sites)]
			group.Go(func() {
				at := time.Now()
				d, err := claims.Begin(context.Background(), claim(key))
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
	r.tail = float64(times[len(times)*99/100]) / float64(c.rtt)
	return r
}

func (r *cost) counter(mu *sync.Mutex) func(storer.Txn) {
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

// Guards against a loss of the savings by batches, and prints the comparison of
// docs/measurements.d/claimer.md; the bounds are those of section 2.4 and 2.7 of the design.
func TestCosts(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "\n| round trip | rate/s | resends | transactions, unbatched | batched | busiest second, unbatched | batched | median/rtt, batched | p99/rtt, batched |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, rtt := range []time.Duration{40 * time.Millisecond, 110 * time.Millisecond} {
		for _, rate := range []float64{2, 20, 100, 400} {
			for _, c := range []trial{
				{way: "none", instances: 1},
				{way: "5 %, same instance", resends: 0.05, instances: 1},
				{way: "5 %, other instance", resends: 0.05, instances: 2},
			} {
				c.rtt, c.rate, c.requests = rtt, rate, 1000
				batched := c.run(t)
				c.config = claimer.Config{Rows: 1, Interval: time.Nanosecond, InFlight: c.requests}
				alone := c.run(t)
				fmt.Fprintf(&b, "| %v | %.0f | %s | %d | %d | %d | %d | %.2f | %.2f |\n",
					rtt, rate, c.way, alone.transactions, batched.transactions, alone.busiest, batched.busiest, batched.median, batched.tail)
				checkCosts(t, c, alone, batched)
			}
		}
	}
	t.Log(b.String())
}

func checkCosts(t *testing.T, c trial, alone, batched cost) {
	const perSecond = 40
	// A second that starts within an interval holds one start more than 40.
	if batched.busiest > (perSecond+1)*c.instances {
		t.Errorf("%d transactions in a second, want at most %d an instance", batched.busiest, perSecond)
	}
	if c.instances == 1 && batched.transactions > alone.transactions {
		t.Error("batches take more transactions than single claims")
	}
	if limit := 1 + 25.0/float64(c.rtt.Milliseconds()); c.instances == 1 && batched.tail > limit {
		t.Errorf("%s: 99 %% of the claims take %.2f round trips, want at most one and an interval", c.way, batched.tail)
	}
}

// Prints the choice of the interval: transactions against latency.
func TestIntervals(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "\n| interval | transactions | busiest second | median/rtt | p99/rtt |\n| --- | --- | --- | --- | --- |\n")
	last := cost{}
	const ms = time.Millisecond
	for i, interval := range []time.Duration{5 * ms, 10 * ms, 25 * ms, 50 * ms, 100 * ms} {
		c := trial{config: claimer.Config{Interval: interval}, rtt: 40 * ms, rate: 100, requests: 1000, instances: 1}
		r := c.run(t)
		fmt.Fprintf(&b, "| %v | %d | %d | %.2f | %.2f |\n", interval, r.transactions, r.busiest, r.median, r.tail)
		if i > 0 && r.transactions >= last.transactions {
			t.Errorf("interval %v: %d transactions, not fewer than %d", interval, r.transactions, last.transactions)
		}
		last = r
	}
	t.Log(b.String())
}

// Compares tickets in an outage, which claims do not survive.
func TestWaysInOutage(t *testing.T) {
	bubble(t, 40*time.Millisecond, func(t *testing.T, w *world, start func(claimer.Config) *claimer.Claims) {
		w.setOutage(time.Hour)
		claims, tickets := start(claimer.Config{}), newTickets(t, claimer.TicketConfig{})
		for i := range 100 {
			begin(t, claims, claim(i), claimer.Unavailable)
			r := claim(i)
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
	w := newWorld(1, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	claims := claimer.New(claimer.Config{Store: &link{world: w}, Interval: time.Nanosecond})
	go func() { _ = claims.Run(ctx) }()
	key := 0
	for b.Loop() {
		key++
		r := claim(key)
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
