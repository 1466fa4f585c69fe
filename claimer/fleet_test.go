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
	// storeWrites is the number of transactions a second that the store of these trials takes.
	storeWrites = 300
	// storeTimeout is the timeout of storer.Client.
	storeTimeout = time.Second
	// slowStore is a round trip at which 16 transactions in flight are fewer than 40 a second.
	slowStore = 400 * time.Millisecond
	// fleetTime is the length of a trial, deadAt the time at which an owner dies in it, and replacedAt that of the
	// assignment without it: 1.5 s of silence, 0.5 s of jitter (design, 2.6).
	fleetTime, deadAt, replacedAt = 8 * time.Second, 3 * time.Second, 5 * time.Second
)

// busy is a store that takes a bounded number of transactions a second; the others wait.
type busy struct {
	world *world

	mu     sync.Mutex
	next   time.Time
	starts map[int64]int
	reads  int
}

func (b *busy) reserve() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.starts[now.Unix()]++
	if b.next.Before(now) {
		b.next = now
	}
	d := b.next.Sub(now)
	// The store sheds what would wait longer than any client does.
	if d < storeTimeout {
		b.next = b.next.Add(time.Second / storeWrites)
	}
	return d
}

func (b *busy) Commit(_ context.Context, t storer.Txn) (storer.Result, error) {
	d, w := b.reserve(), b.world
	if d >= storeTimeout {
		time.Sleep(storeTimeout)
		return storer.Result{}, storer.ErrUnknown
	}
	if d+w.rtt > storeTimeout {
		w.late.Go(func() {
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

func (b *busy) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	b.mu.Lock()
	b.reads++
	b.mu.Unlock()
	time.Sleep(b.world.rtt)
	return b.world.table.Read(ctx, keys...)
}

func (b *busy) List(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	return b.world.table.List(ctx, prefix, after, limit)
}

// fleetTrial is one fleet; each instance gets claims at the rate.
type fleetTrial struct {
	instances int
	rtt, hop  time.Duration
	rate      float64
	owners    bool
	// dead has the first claim owner fall silent for good.
	dead bool
}

// fleetCost is what callers and the store saw; in a trial with a dead owner the latencies and shares are those of the 2 s before it is replaced.
type fleetCost struct {
	claims, decided, unavailable int
	// transactions and reads are per second, busiest is the largest number of transactions in a second.
	transactions, reads float64
	busiest             int
	sent                uint64
	median, tail        float64
}

// members is a fleet without faults but one: an owner that does not answer.
type members struct {
	trial fleetTrial
	start time.Time
	names []string
	at    map[string]*claimer.Claims
	// before and after are the owners until the death of the first one is known, and from then on.
	before, after []string
}

func (m *members) ClaimOwners() []string {
	if m.trial.dead && time.Since(m.start) >= replacedAt {
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

func (m *members) silent(name string) bool {
	return m.trial.dead && name == m.names[0] && time.Since(m.start) >= deadAt
}

func (m *members) Claim(ctx context.Context, owner string, q *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	time.Sleep(m.trial.hop)
	if m.silent(owner) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p, err := m.at[owner].Accept(ctx, q)
	time.Sleep(m.trial.hop)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return p, err
}

// fleetNames returns names of which the first is a claim owner.
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
	bubble(t, f.rtt, func(t *testing.T, w *world, start func(claimer.Config) *claimer.Claims) {
		store := &busy{world: w, starts: map[int64]int{}}
		m := &members{trial: f, start: time.Now(), names: fleetNames(f.instances), at: map[string]*claimer.Claims{}}
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
					if at >= fleetTime || m.silent(n) {
						return
					}
					service := time.Duration(50+random.IntN(250)) * time.Millisecond
					counted := at >= time.Second && !f.dead || at >= deadAt && at < replacedAt
					group.Go(func() {
						d, took := fleetClaim(t, m.at[n], i<<16|j, service)
						if !counted || m.silent(n) {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						r.claims++
						r.unavailable += one(d.Verdict == claimer.Unavailable)
						r.decided += one(d.Verdict == claimer.Run)
						times = append(times, took)
					})
				}
			})
		}
		group.Wait()
		for _, c := range m.at {
			r.sent += c.Counters().Sent
		}
		// Claims that were given up are still being abandoned.
		store.mu.Lock()
		defer store.mu.Unlock()
		r.reads = float64(store.reads) / fleetTime.Seconds()
		// The first second and those after the last claim are not full.
		for s, n := range store.starts {
			r.busiest = max(r.busiest, n)
			if d := time.Unix(s, 0).Sub(m.start); d >= time.Second && d < fleetTime {
				r.transactions += float64(n) / (fleetTime - time.Second).Seconds()
			}
		}
	})
	slices.Sort(times)
	r.median = float64(times[len(times)/2]) / float64(f.rtt)
	r.tail = float64(times[len(times)*99/100]) / float64(f.rtt)
	return r
}

func fleetClaim(t *testing.T, c *claimer.Claims, key int, service time.Duration) (claimer.Decision, time.Duration) {
	at := time.Now()
	d, err := c.Begin(context.Background(), claim(key))
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

func (c fleetCost) cells(f fleetTrial) string {
	window := fleetTime - time.Second
	if f.dead {
		window = replacedAt - deadAt
	}
	return fmt.Sprintf("%.0f / %d | %.0f | %.0f | %.2f | %.2f | %.1f %%", c.transactions, c.busiest, c.reads,
		float64(c.decided)/window.Seconds(), c.median, c.tail, 100*float64(c.unavailable)/float64(c.claims))
}

// Guards against more store transactions than the budget of section 2.7 at any number of instances, claims that take
// more than a hop and two intervals longer, and claims that are refused while one claim owner is dead; -fleets prints
// the comparison of docs/measurements.d/claimer.md.
func TestFleets(t *testing.T) {
	const ms = time.Millisecond
	places := []struct{ rtt, hop time.Duration }{{40 * ms, ms / 2}, {40 * ms, 20 * ms}, {110 * ms, 1400 * time.Microsecond}, {110 * ms, 55 * ms}, {400 * ms, ms / 2}, {400 * ms, 55 * ms}}
	sizes := []int{7, 20, 60, 120}
	var trials []fleetTrial
	for _, p := range places {
		for _, n := range sizes {
			trials = append(trials, fleetTrial{instances: n, rtt: p.rtt, hop: p.hop, rate: 20})
		}
	}
	trials = append(trials, fleetTrial{instances: 880, rtt: 110 * ms, hop: 55 * ms, rate: 2})
	if !*allFleets {
		trials = trials[4:6]
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\n| round trip | hop | instances | rate/s | fault | claims by | transactions/s, mean / busiest | reads/s | claims/s decided | median/rtt | p99/rtt | unavailable |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, f := range trials {
		for _, dead := range []bool{false, true} {
			f.dead, f.owners = dead, false
			fault := map[bool]string{false: "none", true: "dead owner"}[dead]
			fmt.Fprintf(&b, "| %v | %v | %d | %.0f | %s ", f.rtt, f.hop, f.instances, f.rate, fault)
			if *allFleets {
				fmt.Fprintf(&b, "| each | %s |\n| | | | | ", f.run(t).cells(f))
			}
			f.owners = true
			after := f.run(t)
			fmt.Fprintf(&b, "| owners | %s |\n", after.cells(f))
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
	// A second that starts within an interval holds one start more than 40.
	budget := 41 * claimer.MaxOwners
	if f.dead {
		budget += f.instances
	}
	if after.busiest > budget {
		t.Errorf("%+v: %d transactions in a second, want at most %d", f, after.busiest, budget)
	}
	if after.unavailable > 0 && (!f.dead || f.rtt < slowStore) {
		t.Errorf("%+v: %d of %d claims unavailable", f, after.unavailable, after.claims)
	}
	if f.dead {
		return
	}
	// The owners' transactions may reach the store at the same time.
	const waits = 2*25*time.Millisecond + claimer.MaxOwners*time.Second/storeWrites
	if limit := 1 + float64(2*f.hop+waits)/float64(f.rtt); f.rtt < slowStore && after.tail > limit {
		t.Errorf("%+v: 99 %% of the claims take %.2f round trips, want at most %.2f", f, after.tail, limit)
	}
}
