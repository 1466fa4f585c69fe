package sharer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/sharer"
)

// throttledFleet plays instances that send to one target as often as their throttles allow.
type throttledFleet struct {
	now       time.Time
	random    *rand.Rand
	names     []string
	instances map[string]*sharer.Throttle
	// delay is the time that a datagram takes, loss the fraction that is lost.
	delay    time.Duration
	loss     float64
	messages []message
	// told are the instances to which the target stated its rate.
	told map[string]bool
	// sent are the requests of told instances, total is the number of those of all.
	sent  []time.Time
	total int
	// waiting is the number of requests that wait for a permit, by instance.
	waiting map[string]int
	// asks is the number of requests for permits.
	asks int
}

// message is something that happens at an instance later.
type message struct {
	at  time.Time
	run func()
}

func newThrottledFleet(seed uint64, n int) *throttledFleet {
	f := &throttledFleet{now: start, random: rand.New(rand.NewPCG(seed, 1)), instances: map[string]*sharer.Throttle{}, told: map[string]bool{}, waiting: map[string]int{}} //nolint:gosec // A simulation.
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("entry-%03d", i))
	}
	for _, name := range f.names {
		f.instances[name] = sharer.NewThrottle(name)
		f.instances[name].Adopt(f.names)
	}
	return f
}

// later runs f after the time of a datagram, unless the datagram is lost.
func (f *throttledFleet) later(run func()) {
	if f.random.Float64() >= f.loss {
		f.messages = append(f.messages, message{f.now.Add(f.delay), run})
	}
}

// step plays 10 ms, in which each instance wants to send a number of requests on average; the target states the rate in each answer.
func (f *throttledFleet) step(wanted, rate float64) {
	f.now = f.now.Add(10 * time.Millisecond)
	due := f.messages
	f.messages = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.messages = append(f.messages, m)
		} else {
			m.run()
		}
	}
	for _, name := range f.names {
		h := f.instances[name]
		for k := wanted + f.random.Float64(); k >= 1; k-- {
			if !f.send(name, rate) && h.Await(f.now, "oven", 1) != nil {
				f.waiting[name]++
			}
		}
		asked := f.now
		for issuer, requests := range h.Requests(f.now) {
			f.asks++
			f.later(func() {
				given := f.instances[issuer].Issue(f.now, requests)
				f.later(func() {
					h.Receive(f.now, asked, given)
					for ; f.waiting[name] > 0; f.waiting[name]-- {
						f.send(name, rate)
					}
				})
			})
		}
	}
}

// send sends a request if the throttle of an instance allows it.
func (f *throttledFleet) send(name string, rate float64) bool {
	if !f.instances[name].Take(f.now, "oven", 1) {
		return false
	}
	f.total++
	if f.told[name] {
		f.sent = append(f.sent, f.now)
	}
	f.told[name] = f.told[name] || rate > 0
	f.instances[name].Record(f.now, "oven", 1, rate)
	return true
}

// most returns the largest number of requests in 4 s.
func (f *throttledFleet) most() int {
	n := 0
	for i, a := range f.sent {
		k, _ := slices.BinarySearchFunc(f.sent, a.Add(4*time.Second), time.Time.Compare)
		n = max(n, k-i)
	}
	return n
}

// Guards against a fleet that sends more than the platform grants to a target that states a rate, and against one that leaves most of
// the rate unused, at any size.
func TestFleetUsesRateOfTarget(t *testing.T) {
	for _, c := range []struct {
		instances int
		rate      float64
		delay     time.Duration
		loss      float64
	}{
		{1, 5, 0, 0}, {7, 5, 2 * time.Millisecond, 0}, {7, 0.25, 2 * time.Millisecond, 0}, {7, 50, 2 * time.Millisecond, 0},
		{7, 5, 55 * time.Millisecond, 0.1}, {34, 5, 55 * time.Millisecond, 0}, {34, 5, 10 * time.Millisecond, 0.2},
		{34, 100, 55 * time.Millisecond, 0}, {880, 5, 55 * time.Millisecond, 0}, {880, 200, 55 * time.Millisecond, 0.01},
	} {
		t.Run(fmt.Sprintf("%d instances rate %v delay %v loss %v", c.instances, c.rate, c.delay, c.loss), func(t *testing.T) {
			f := newThrottledFleet(1, c.instances)
			f.delay, f.loss = c.delay, c.loss
			const seconds = 20
			// Together they want four times as much.
			for range seconds * 100 {
				f.step(4*c.rate/float64(c.instances)/100, c.rate)
			}
			if got, allowed := f.most(), 4*c.rate*1.5+5; float64(got) > allowed {
				t.Errorf("%d requests in 4 s, allowed %v", got, allowed)
			}
			used := float64(f.total) / (c.rate * seconds)
			t.Logf("%.0f %% of the rate, %d requests in 4 s at most, %.1f requests for permits a second", 100*used, f.most(), float64(f.asks)/seconds)
			if used < 0.5 {
				t.Errorf("%.0f %% of the rate are used", 100*used)
			}
		})
	}
}

// Guards against instances that each take themselves for the issuer, or nobody, while the fleet changes.
func TestRateHoldsWhileInstancesChange(t *testing.T) {
	for seed := range uint64(20) {
		const rate = 5.0
		f := newThrottledFleet(seed, 7)
		f.delay, f.loss = 20*time.Millisecond, 0.05
		all := slices.Clone(f.names)
		alive := slices.Clone(all)
		for i := range 40 * 100 {
			if i%300 == 0 {
				// One instance leaves or returns; the others notice it within half a second.
				alive = slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == all[f.random.IntN(len(all))] })
				view := slices.Clone(alive)
				for _, name := range all {
					f.messages = append(f.messages, message{f.now.Add(time.Duration(f.random.IntN(500)) * time.Millisecond), func() {
						f.instances[name].Adopt(view)
					}})
				}
			}
			f.names = alive
			f.step(4*rate/7/100, rate)
		}
		if got, allowed := f.most(), 4*rate*1.5+5; float64(got) > allowed {
			t.Errorf("seed %d: %d requests in 4 s, allowed %v", seed, got, allowed)
		}
		if used := float64(len(f.sent)) / (rate * 40); used < 0.5 {
			t.Errorf("seed %d: %.0f %% of the rate are used", seed, 100*used)
		}
	}
}

// Guards against an instance that keeps to a rate which the target does not state any more, because only others were told.
func TestEndOfRateReachesInstancesThatAsk(t *testing.T) {
	f := newThrottledFleet(1, 7)
	f.delay = 2 * time.Millisecond
	for range 1000 {
		f.step(0.1, 5)
	}
	before := len(f.sent)
	for range 500 {
		f.step(0.1, 0)
	}
	for _, name := range f.names {
		if r := f.instances[name].Rate("oven", 1); r != 0 {
			t.Errorf("%s still keeps to a rate of %v", name, r)
		}
	}
	if n := len(f.sent) - before; n < 300 {
		t.Errorf("%d requests in 5 s without a limit", n)
	}
}

// Guards against requests that wait for an issuer which has ended, and against permits for requests that have given up.
func TestSilentIssuerIsNotWaitedFor(t *testing.T) {
	h := sharer.NewThrottle("a")
	h.Adopt([]string{"a", "b"})
	target := ""
	for i := 0; target == ""; i++ {
		k := fmt.Sprintf("oven-%d", i)
		h.Record(start, k, 1, 5)
		if h.Await(start, k, 1) != nil {
			target = k
		}
	}
	now := start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		waits := h.Await(now, target, 1) != nil
		if waits && now.Sub(start) > time.Second {
			t.Fatalf("a request waits %v after the first", now.Sub(start))
		}
		for _, r := range h.Requests(now) {
			for _, p := range r {
				if p.Permits > 10 {
					t.Fatalf("%d permits are asked for, for 4 requests in 200 ms", p.Permits)
				}
			}
		}
	}
	h.Receive(now, now, map[string]int{target + "@1": 1})
	if !h.Take(now, target, 1) {
		t.Error("the permit of the next answer is not used")
	}
}

// Guards against a new process of a target that is kept to the rate of the one before.
func TestRateIsOfOneIncarnation(t *testing.T) {
	h := sharer.NewThrottle("here")
	if !h.Record(start, "oven", 1, 1) || h.Record(start, "oven", 1, 1) {
		t.Error("a change of the rate is not reported once")
	}
	for range 10 {
		if !h.Take(start, "oven", 2) {
			t.Fatal("a new process is limited")
		}
	}
	n := 0
	for range 10 {
		if h.Take(start.Add(time.Second), "oven", 1) {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d requests at once, want 1", n)
	}
	if got := h.Interval("oven", 1); got != time.Second {
		t.Errorf("interval %v", got)
	}
}
