package claimer_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/storer"
)

var allFleets = flag.Bool("fleets", false, "measure all sizes and faults of docs/measurements.d/claimer.md")

const (
	// storeWritesPerSecond is the transaction rate limit of the simulated store.
	storeWritesPerSecond = 300
	// storeTimeout is the timeout of storer.Client.
	storeTimeout = time.Second
	// slowStoreRTT is a round trip at which 16 concurrent transactions cannot reach 40 transactions per second.
	slowStoreRTT = 400 * time.Millisecond
	// trialDuration is the length of a trial. An owner dies at ownerDeathTime. The assignment without it takes effect at
	// ownerReplacedTime, after 1.5 s of silence and up to 0.5 s of jitter (design, section 2.6).
	trialDuration, ownerDeathTime, ownerReplacedTime = 8 * time.Second, 3 * time.Second, 5 * time.Second
)

// limitedStore is a store with a limited transaction rate. Transactions over the limit are queued.
type limitedStore struct {
	table *faultyTable

	mu     sync.Mutex
	next   time.Time
	starts map[int64]int
	reads  int
}

func (b *limitedStore) reserve() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.starts[now.Unix()]++
	if b.next.Before(now) {
		b.next = now
	}
	d := b.next.Sub(now)
	// The store rejects requests that would be queued for longer than the client timeout.
	if d < storeTimeout {
		b.next = b.next.Add(time.Second / storeWritesPerSecond)
	}
	return d
}

func (b *limitedStore) Commit(_ context.Context, t storer.Txn) (storer.Result, error) {
	d, w := b.reserve(), b.table
	if d >= storeTimeout {
		time.Sleep(storeTimeout)
		return storer.Result{}, storer.ErrUnknown
	}
	if d+w.rtt > storeTimeout {
		w.delayed.Go(func() {
			time.Sleep(d + w.rtt/2)
			w.apply(t)
		})
		time.Sleep(storeTimeout)
		return storer.Result{}, storer.ErrUnknown
	}
	time.Sleep(d + w.rtt/2)
	r := w.apply(t)
	time.Sleep(w.rtt / 2)
	return r, nil
}

func (b *limitedStore) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	b.mu.Lock()
	b.reads++
	b.mu.Unlock()
	time.Sleep(b.table.rtt)
	return b.table.memory.Read(ctx, keys...)
}

func (b *limitedStore) List(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	return b.table.memory.List(ctx, prefix, after, limit)
}

// fleetTrial is one fleet configuration. Each instance receives claims at the given rate.
type fleetTrial struct {
	instances        int
	rtt, oneWayDelay time.Duration
	rate             float64
	owners           bool
	// deadOwner makes the first claim owner permanently unresponsive.
	deadOwner bool
}

// fleetCost is the result of a fleetTrial. With a dead owner, latencies and shares cover the 2 s before it is replaced.
type fleetCost struct {
	claims, decided, unavailable int
	// transactions and reads are per second; busiest is the largest number of transactions in a second.
	transactions, reads float64
	busiest             int
	sent                uint64
	median, p99         float64
}

// simulatedFleet is a fleet without network faults, except for an owner that may stop replying.
type simulatedFleet struct {
	trial fleetTrial
	start time.Time
	names []string
	at    map[string]*claimer.Claims
	// before and after are the claim owners before and after the dead owner is replaced.
	before, after []string
}

func (m *simulatedFleet) ClaimOwners() []string {
	if m.trial.deadOwner && time.Since(m.start) >= ownerReplacedTime {
		return m.after
	}
	return m.before
}

func fleetMembers(names []string) []assigner.Member {
	var r []assigner.Member
	for _, n := range names {
		r = append(r, assigner.Member{Name: n})
	}
	return r
}

func (m *simulatedFleet) isDead(name string) bool {
	return m.trial.deadOwner && name == m.names[0] && time.Since(m.start) >= ownerDeathTime
}

func (m *simulatedFleet) Claim(ctx context.Context, owner string, q *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	time.Sleep(m.trial.oneWayDelay)
	if m.isDead(owner) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p, err := m.at[owner].Accept(ctx, q)
	time.Sleep(m.trial.oneWayDelay)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return p, err
}

// fleetNames returns n instance names; the first is a claim owner if the fleet has any.
func fleetNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("instance-%03d", i))
	}
	if o := claimer.Owners(fleetMembers(names)); len(o) > 0 {
		i := slices.Index(names, o[0])
		names[0], names[i] = names[i], names[0]
	}
	return names
}

func (f fleetTrial) run(t *testing.T) fleetCost {
	var r fleetCost
	var mu sync.Mutex
	var times []time.Duration
	runBubble(t, f.rtt, func(t *testing.T, w *faultyTable, start func(claimer.Config) *claimer.Claims) {
		store := &limitedStore{table: w, starts: map[int64]int{}}
		m := &simulatedFleet{trial: f, start: time.Now(), names: fleetNames(f.instances), at: map[string]*claimer.Claims{}}
		if f.owners {
			m.before, m.after = claimer.Owners(fleetMembers(m.names)), claimer.Owners(fleetMembers(m.names[1:]))
		}
		for _, n := range m.names {
			m.at[n] = start(claimer.Config{Store: store, Self: n, Fleet: m})
		}
		var group sync.WaitGroup
		for i, n := range m.names {
			group.Go(func() {
				random := rand.New(rand.NewPCG(1, uint64(i)))
				for j := 0; ; j++ {
					time.Sleep(time.Duration(random.ExpFloat64() / f.rate * float64(time.Second)))
					at := time.Since(m.start)
					if at >= trialDuration || m.isDead(n) {
						return
					}
					service := time.Duration(50+random.IntN(250)) * time.Millisecond
					counted := at >= time.Second && !f.deadOwner || at >= ownerDeathTime && at < ownerReplacedTime
					group.Go(func() {
						d, took := fleetClaim(t, m.at[n], i<<16|j, service)
						if !counted || m.isDead(n) {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						r.claims++
						r.unavailable += boolToInt(d.Verdict == claimer.Unavailable)
						r.decided += boolToInt(d.Verdict == claimer.Run)
						times = append(times, took)
					})
				}
			})
		}
		group.Wait()
		for _, c := range m.at {
			r.sent += c.Counters().Sent
		}
		// Canceled claims are still being abandoned.
		store.mu.Lock()
		defer store.mu.Unlock()
		r.reads = float64(store.reads) / trialDuration.Seconds()
		// Exclude the first second and the time after the last claim, which are not fully loaded.
		for s, n := range store.starts {
			r.busiest = max(r.busiest, n)
			if d := time.Unix(s, 0).Sub(m.start); d >= time.Second && d < trialDuration {
				r.transactions += float64(n) / (trialDuration - time.Second).Seconds()
			}
		}
	})
	slices.Sort(times)
	r.median = float64(times[len(times)/2]) / float64(f.rtt)
	r.p99 = float64(times[len(times)*99/100]) / float64(f.rtt)
	return r
}

func fleetClaim(t *testing.T, c *claimer.Claims, key int, service time.Duration) (claimer.Decision, time.Duration) {
	at := time.Now()
	d, err := c.Begin(context.Background(), claimRequest(key))
	if err != nil {
		t.Error(err)
	}
	took := time.Since(at)
	if d.Verdict == claimer.Run {
		time.Sleep(service)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = c.Finish(ctx, d.Claim, claimer.Outcome{Status: 201, Body: make([]byte, 500)})
	}
	return d, took
}

func (c fleetCost) tableCells(f fleetTrial) string {
	window := trialDuration - time.Second
	if f.deadOwner {
		window = ownerReplacedTime - ownerDeathTime
	}
	return fmt.Sprintf("%.0f / %d | %.0f | %.0f | %.2f | %.2f | %.1f %%", c.transactions, c.busiest, c.reads,
		float64(c.decided)/window.Seconds(), c.median, c.p99, 100*float64(c.unavailable)/float64(c.claims))
}

// Guards against more store transactions than the budget of section 2.7 of the design at any fleet size, claims that take
// more than a round trip to the owner and two intervals longer, and claims that are refused while one claim owner is
// dead. The flag -fleets prints the comparison for docs/measurements.d/claimer.md.
func TestFleets(t *testing.T) {
	const ms = time.Millisecond
	places := []struct{ rtt, hop time.Duration }{{40 * ms, ms / 2}, {40 * ms, 20 * ms}, {110 * ms, 1400 * time.Microsecond}, {110 * ms, 55 * ms}, {400 * ms, ms / 2}, {400 * ms, 55 * ms}}
	sizes := []int{7, 20, 60, 120}
	var trials []fleetTrial
	for _, p := range places {
		for _, n := range sizes {
			trials = append(trials, fleetTrial{instances: n, rtt: p.rtt, oneWayDelay: p.hop, rate: 20})
		}
	}
	trials = append(trials, fleetTrial{instances: 880, rtt: 110 * ms, oneWayDelay: 55 * ms, rate: 2})
	if !*allFleets {
		trials = trials[4:6]
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\n| round trip | hop | instances | rate/s | fault | claims by | transactions/s, mean / busiest | reads/s | claims/s decided | median/rtt | p99/rtt | unavailable |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, f := range trials {
		for _, dead := range []bool{false, true} {
			f.deadOwner, f.owners = dead, false
			fault := map[bool]string{false: "none", true: "dead owner"}[dead]
			fmt.Fprintf(&b, "| %v | %v | %d | %.0f | %s ", f.rtt, f.oneWayDelay, f.instances, f.rate, fault)
			if *allFleets {
				fmt.Fprintf(&b, "| each | %s |\n| | | | | ", f.run(t).tableCells(f))
			}
			f.owners = true
			after := f.run(t)
			fmt.Fprintf(&b, "| owners | %s |\n", after.tableCells(f))
			checkFleet(t, f, after)
		}
	}
	t.Log(b.String())
}

func checkFleet(t *testing.T, f fleetTrial, after fleetCost) {
	if f.instances <= claimer.MaxOwners {
		if after.sent > 0 {
			t.Errorf("%d instances: %d operations sent to claim owners", f.instances, after.sent)
		}
		return
	}
	// A one-second window that is not aligned with the 25 ms interval may contain 41 starts.
	budget := 41 * claimer.MaxOwners
	if f.deadOwner {
		budget += f.instances
	}
	if after.busiest > budget {
		t.Errorf("%+v: %d transactions in a second, want at most %d", f, after.busiest, budget)
	}
	if after.unavailable > 0 && (!f.deadOwner || f.rtt < slowStoreRTT) {
		t.Errorf("%+v: %d of %d claims unavailable", f, after.unavailable, after.claims)
	}
	if f.deadOwner {
		return
	}
	// The transactions of all owners may reach the store at the same time.
	const waits = 2*25*time.Millisecond + claimer.MaxOwners*time.Second/storeWritesPerSecond
	if limit := 1 + float64(2*f.oneWayDelay+waits)/float64(f.rtt); f.rtt < slowStoreRTT && after.p99 > limit {
		t.Errorf("%+v: 99 %% of the claims take %.2f round trips, want at most %.2f", f, after.p99, limit)
	}
}
