package balancer_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celeryhead.dev/celeryhead/balancer"
)

// seed is added to the seeds of the random generators.
var seed = flag.Uint64("seed", 0, "seed of the measurements")

// rounds is the number of seeds that TestRoomElsewhere measures. A round takes 2 s, and 17 s with the race detector.
var rounds = flag.Uint64("rounds", 1, "rounds of TestRoomElsewhere")

// deployedReserve is the reserve of the deployments in package exemplifier.
const deployedReserve = 0.34

var policies = []struct {
	name string
	run  func(*simulation) result
}{
	{"least loaded, 500 ms old", func(m *simulation) result { return m.run(&independentPolicy{simulation: m}) }},
	{"two choices, 500 ms old", func(m *simulation) result { return m.run(&independentPolicy{simulation: m, choices: 2}) }},
	{"send, retry on shed", func(m *simulation) result {
		m.sheds = true
		return m.run(&independentPolicy{simulation: m, choices: 2, retry: true, retries: balancer.Bucket{Burst: 10}})
	}},
	{"leased slots", func(m *simulation) result { m.sheds = true; return m.run(newOwnerPolicy(m, true)) }},
	{"one owner (this design)", func(m *simulation) result { m.sheds = true; return m.run(newOwnerPolicy(m, false)) }},
}

// Indexes of policies.
const (
	leastLoaded = iota
	twoChoices
	retryOnShed
	leasedSlots
	oneOwner
)

var deployments = []scenario{
	{name: "Koshe", hop: 500 * time.Microsecond, far: 20 * time.Millisecond, link: 4000e6 / 8},
	{name: "Es Batu", hop: 1400 * time.Microsecond, far: 55 * time.Millisecond, link: 280e6 / 8},
}

// measure runs a policy on pools of 16 and 12 targets and adds up the results.
func measure(i int, s scenario) result {
	return measureFrom(i, s, *seed)
}

func measureFrom(i int, s scenario, seed uint64) result {
	var sum result
	for n, targets := range []int{16, 12} {
		s.targets = targets
		r := policies[i].run(newSimulation(s, seed+uint64(n+1)))
		if n == 0 {
			sum = r
			continue
		}
		sum.add(r)
	}
	return sum
}

func (r *result) add(o result) {
	r.latency.Merge(o.latency)
	r.all.Merge(o.all)
	r.sent, r.served, r.refused = r.sent+o.sent, r.served+o.served, r.refused+o.refused
	r.overshoots, r.wasted, r.unreached = r.overshoots+o.overshoots, r.wasted+o.wasted, r.unreached+o.unreached
	r.busy, r.ticks = r.busy+o.busy, r.ticks+o.ticks
	for i := range simAccounts {
		r.offered[i] += o.offered[i]
		r.ok[i] += o.ok[i]
	}
}

// milliseconds returns the q-quantile of h in milliseconds.
func milliseconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// minServedRatio is the lowest fraction of served requests of any account.
func (r *result) minServedRatio() float64 {
	w := 1.0
	for i, n := range r.offered {
		w = min(w, float64(r.ok[i])/float64(max(n, 1)))
	}
	return w
}

// minServedRatioOfOthers is minServedRatio without the first account, which exceeds its share.
func (r *result) minServedRatioOfOthers() float64 {
	o := *r
	o.offered[0] = 0
	o.ok[0] = 1
	return o.minServedRatio()
}

func (r *result) row(t *testing.T, title, name string) {
	n := float64(max(r.sent, 1))
	t.Logf("| %s | %s | %d | %.0f | %.0f | %.0f | %.2f | %.1f | %.1f | %.2f | %.2f |", title, name, r.overshoots,
		milliseconds(r.latency, 50), milliseconds(r.latency, 99), milliseconds(r.all, 99), 100*float64(r.refused)/n, 100*float64(r.wasted)/n,
		100*(1-float64(r.busy)/float64(r.ticks)), 100*float64(r.served)/n, 100*r.minServedRatioOfOthers())
}

// Guards against an owner policy that exceeds the slots of targets, is slower than independent choice, or starves
// accounts.
func TestPolicies(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d", *seed)
	for _, s := range deployments {
		for _, load := range []float64{0.6, 0.9, 1.2} {
			s.load, s.noisy = load, load > 1
			rs := make([]result, len(policies))
			var g sync.WaitGroup
			for i := range policies {
				g.Go(func() { rs[i] = measure(i, s) })
			}
			g.Wait()
			for i := range rs {
				rs[i].row(t, fmt.Sprintf("%s %.0f %%", s.name, load*100), policies[i].name)
			}
			checkPolicies(t, load, rs)
		}
	}
}

func checkPolicies(t *testing.T, load float64, rs []result) {
	own := rs[oneOwner]
	if own.overshoots != 0 {
		t.Errorf("load %.1f: %d requests were sent beyond the slots of targets", load, own.overshoots)
	}
	if load == 0.9 {
		for _, i := range []int{leastLoaded, twoChoices} {
			// Compares all requests, since a policy that refuses slow requests looks fast over the served ones alone.
			if a, b := milliseconds(own.all, 99), milliseconds(rs[i].all, 99); a > b {
				t.Errorf("load %.1f: p99 is %.0f ms, %.0f ms with %s", load, a, b, policies[i].name)
			}
		}
	}
	// The other accounts together request 70 % of the capacity, so all of their requests should be served.
	if load > 1 && own.minServedRatioOfOthers() < 0.95 {
		t.Errorf("load %.1f: an account within its share had %.1f %% served", load, 100*own.minServedRatioOfOthers())
	}
	checkAdmissionBeforeSending(t, load, rs)
}

// checkAdmissionBeforeSending checks that under load, admitting requests before sending them serves more and wastes
// less than sending them and having targets refuse or abort them.
func checkAdmissionBeforeSending(t *testing.T, load float64, rs []result) {
	own := rs[oneOwner]
	for _, i := range []int{leastLoaded, twoChoices, retryOnShed} {
		if load >= 0.9 && (own.served < rs[i].served || own.wasted > rs[i].wasted) {
			t.Errorf("load %.1f: %d served and %d wasted, %d and %d with %s",
				load, own.served, own.wasted, rs[i].served, rs[i].wasted, policies[i].name)
		}
	}
}

// Guards against losing more than the affected share of requests when an owner dies, a load endpoint reports false
// values or all health endpoints fail.
func TestFailures(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name string
		set  func(*scenario)
	}{
		{"none", func(*scenario) {}},
		{"load endpoint lies", func(s *scenario) { s.falseLoad = true }},
		{"all health endpoints fail", func(s *scenario) { s.unhealthySignals = true }},
		{"owner dies", func(s *scenario) { s.ownerDies = true }},
	}
	for _, d := range deployments {
		var base result
		for n, f := range faults {
			s := d
			s.load = 0.6
			f.set(&s)
			for _, i := range []int{leastLoaded, twoChoices, oneOwner} {
				if s.ownerDies && i != oneOwner {
					continue
				}
				r := measure(i, s)
				r.row(t, d.name+" 60 %, "+f.name, policies[i].name)
				if i != oneOwner {
					continue
				}
				if n == 0 {
					base = r
				}
				checkFailure(t, f.name, s, base, r)
			}
		}
	}
}

func checkFailure(t *testing.T, name string, s scenario, base, r result) {
	if r.overshoots != 0 {
		t.Errorf("%s: %d requests sent beyond the slots of targets", name, r.overshoots)
	}
	// The dead owner held at most a seventh of the slots, so the other owners have capacity for the load.
	share := 0.99
	if s.ownerDies {
		share = 0.9
	}
	if got, want := float64(r.served)/float64(r.sent), share*float64(base.served)/float64(base.sent); got < want {
		t.Errorf("%s: %.3f of the requests served, want %.3f", name, got, want)
	}
}

// measureRounds adds up the owner policy's results over all rounds.
func measureRounds(s scenario) result {
	sum := measureFrom(oneOwner, s, *seed)
	for k := uint64(1); k < *rounds; k++ {
		sum.add(measureFrom(oneOwner, s, *seed+10*k))
	}
	return sum
}

// Guards against refusing requests although other targets or regions have free slots: while a region has no owner that
// serves, and at targets that refuse connections for longer than their first ejection.
func TestRoomElsewhere(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name string
		set  func(*scenario)
		seen func(result) int
	}{
		{"region without owner", func(s *scenario) { s.regionJoins = true }, func(r result) int { return r.refused }},
		{"targets refuse", func(s *scenario) { s.targetsRefuse = true }, func(r result) int { return r.unreached }},
	}
	for _, f := range faults {
		sum := [2]int{}
		for _, d := range deployments {
			for _, load := range []float64{0.3, 0.6, 0.9, 1.2} {
				s := d
				s.load, s.noisy, s.reserve = load, load > 1, deployedReserve
				f.set(&s)
				for i, r := range withoutAndWithRules(s) {
					r.row(t, fmt.Sprintf("%s %.0f %%, %s", d.name, load*100, f.name), fmt.Sprintf("%s | %d", []string{"before", "after"}[i], r.unreached))
					sum[i] += f.seen(r)
					if r.overshoots != 0 {
						t.Errorf("%s: %d requests sent beyond the slots of targets", f.name, r.overshoots)
					}
				}
			}
		}
		if sum[1] >= sum[0] {
			t.Errorf("%s: %d requests refused with the rules, %d without", f.name, sum[1], sum[0])
		}
	}
}

// withoutAndWithRules measures the scenario first without, then with, the rules that use free slots elsewhere.
func withoutAndWithRules(s scenario) [2]result {
	var rs [2]result
	before := s
	before.disabled = disabledRules{wait: true, move: true, freeRetry: true}
	var g sync.WaitGroup
	g.Go(func() { rs[0] = measureRounds(before) })
	g.Go(func() { rs[1] = measureRounds(s) })
	g.Wait()
	return rs
}
