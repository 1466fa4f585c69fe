package limiter_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/limiter"
)

var policySeed = flag.Uint64("policy-seed", 1, "seed of the comparison of policies")

// The load of the comparison: account 0 sends 5 times its rate, the others 80 % of theirs.
const (
	instances  = 7
	overload   = 5.0
	usual      = 0.8
	runTime    = 30 * time.Second
	crashAt    = 10 * time.Second
	replacedIn = 5 * time.Second
	// waitLimit bounds how long a request waits for a token.
	waitLimit = 300 * time.Millisecond
)

var rates = []float64{200, 150, 100, 40, 20, 10, 5, 5}

// regions places the instances; a failure domain holds one or two of them.
var regions = [instances]int{0, 0, 0, 1, 1, 2, 2}

type deployment struct {
	name       string
	near, away time.Duration
}

var deployments = []deployment{
	{"Koshe", 500 * time.Microsecond, 20 * time.Millisecond},
	{"Es Batu", 1400 * time.Microsecond, 55 * time.Millisecond},
}

func (d deployment) latency(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case regions[a] == regions[b]:
		return d.near
	}
	return d.away
}

// simulation runs events in the order of time, then of creation.
type simulation struct {
	now    time.Time
	events events
	made   int
}

type event struct {
	at  time.Time
	n   int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].n < e[j].n)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	v := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return v
}

func (s *simulation) after(d time.Duration, run func()) {
	s.made++
	heap.Push(&s.events, event{s.now.Add(d), s.made, run})
}

func (s *simulation) run(until time.Time) {
	for len(s.events) > 0 && s.events[0].at.Before(until) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// request is one arrival; ideal is whether one bucket without latency admits it.
type request struct {
	account, instance int
	arrived           time.Time
	ideal             bool
	done, admitted    bool
	waited            time.Duration
}

// policy decides on requests by calling finish once for each.
type policy interface {
	arrive(r *request)
	// crash takes the owner of the first part of every account away, for replacedIn.
	crash()
}

type run struct {
	simulation
	d        deployment
	messages int
	requests []*request
	waits    []time.Duration
}

func (r *run) finish(q *request, admitted bool) {
	if !q.done {
		q.done, q.admitted, q.waited = true, admitted, r.now.Sub(q.arrived)
	}
}

// send counts a message and carries it.
func (r *run) send(from, to int, f func()) {
	r.messages++
	r.after(r.d.latency(from, to), f)
}

func burstOf(rate float64) float64 { return max(5, rate/2) }

// bucket is a plain token bucket.
type bucket struct {
	rate, burst, tokens float64
	last                time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst, last: start}
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// local gives each instance a bucket of its own with a fixed share of rate and burst.
type local struct {
	*run
	buckets [instances][]*bucket
}

func newLocal(r *run, share float64) policy {
	l := &local{run: r}
	for i := range l.buckets {
		for _, rate := range rates {
			l.buckets[i] = append(l.buckets[i], newBucket(rate*share, burstOf(rate)*share))
		}
	}
	return l
}

func (l *local) arrive(q *request) { l.finish(q, l.buckets[q.instance][q.account].take(l.now)) }
func (l *local) crash()            {}

// central asks one owner for each request.
type central struct {
	*run
	buckets []*bucket
	up      time.Time
}

func newCentral(r *run) policy {
	c := &central{run: r}
	for _, rate := range rates {
		c.buckets = append(c.buckets, newBucket(rate, burstOf(rate)))
	}
	return c
}

func owner(account, part int) int { return (account*3 + part*4) % instances }

func (c *central) arrive(q *request) {
	o := owner(q.account, 0)
	c.send(q.instance, o, func() {
		ok := !c.now.Before(c.up) && c.buckets[q.account].take(c.now)
		c.send(o, q.instance, func() { c.finish(q, ok) })
	})
}

func (c *central) crash() {
	c.up = c.now.Add(replacedIn + limiter.GrantLife)
	for _, b := range c.buckets {
		b.tokens, b.last = 0, c.up
	}
}

// granted is the policy of the package.
type granted struct {
	*run
	parts   [][]*limiter.Part
	up      time.Time
	holders [instances][]*limiter.Holder
	waiting [instances][][]*request
}

func newGranted(r *run, keep bool, patience time.Duration) policy {
	g := &granted{run: r}
	for a, rate := range rates {
		var ps []*limiter.Part
		for _, s := range limiter.Shares(rate, burstOf(rate)) {
			ps = append(ps, limiter.NewPart(limiter.PartConfig{Share: s, Active: start.Add(-time.Hour)}))
		}
		g.parts = append(g.parts, ps)
		for i := range g.holders {
			order := []int{0, 1}
			if r.d.latency(i, owner(a, 1)) < r.d.latency(i, owner(a, 0)) {
				order = []int{1, 0}
			}
			h := limiter.NewHolder(limiter.HolderConfig{Rate: rate, Order: order, KeepUnspent: keep, Patience: patience})
			g.holders[i] = append(g.holders[i], h)
			g.waiting[i] = append(g.waiting[i], nil)
		}
	}
	g.after(0, g.tick)
	return g
}

func (g *granted) crash() {
	g.up = g.now.Add(replacedIn)
	for a, rate := range rates {
		g.parts[a][0] = limiter.NewPart(limiter.PartConfig{Share: limiter.Shares(rate, burstOf(rate))[0], Active: g.up})
	}
}

func (g *granted) tick() {
	for i := range g.holders {
		for a := range g.holders[i] {
			g.step(i, a)
		}
	}
	g.after(10*time.Millisecond, g.tick)
}

func (g *granted) arrive(q *request) {
	i, a := q.instance, q.account
	if len(g.waiting[i][a]) == 0 && g.holders[i][a].Take(g.now) {
		g.finish(q, true)
	} else {
		g.waiting[i][a] = append(g.waiting[i][a], q)
	}
	g.step(i, a)
}

// step does what a daemon does after each change: spend, ask, refuse.
func (g *granted) step(i, a int) {
	h, w := g.holders[i][a], g.waiting[i][a]
	for len(w) > 0 && (g.now.Sub(w[0].arrived) > waitLimit || h.Spend(g.now)) {
		g.finish(w[0], g.now.Sub(w[0].arrived) <= waitLimit)
		w = w[1:]
	}
	for {
		k, ok := h.Next(g.now, len(w))
		if !ok {
			break
		}
		g.ask(i, a, k)
	}
	for len(w) > 0 {
		if _, hopeless := h.Hopeless(g.now, len(w)); !hopeless {
			break
		}
		g.finish(w[len(w)-1], false)
		w = w[:len(w)-1]
	}
	g.waiting[i][a] = w
}

func (g *granted) ask(i, a int, k limiter.Ask) {
	const timeout = 250 * time.Millisecond
	o := owner(a, k.Part)
	h := g.holders[i][a]
	g.after(timeout, func() { h.Fail(g.now, k) })
	g.send(i, o, func() {
		if k.Part == 0 && g.now.Before(g.up) {
			return
		}
		r := g.parts[a][k.Part].Grant(g.now, limiter.HolderID{Name: fmt.Sprint(i)}, k)
		g.send(o, i, func() {
			h.Answer(g.now, r)
			g.step(i, a)
		})
	})
}

type outcome struct {
	// wrongful is the refused share of the requests that an ideal bucket admits, of accounts within their rate.
	wrongful float64
	// worst is the share of its ideal requests that the worst-served account gets served in time.
	worst float64
	// excess is what the overloading account was admitted, relative to the ideal bucket.
	excess float64
	// over is what it was admitted beyond its rate and burst, in requests.
	over float64
	// p99 is the wait for a token of admitted requests of accounts within their rate.
	p99      time.Duration
	messages float64
}

// compare offers the same arrivals to a policy.
func compare(seed uint64, d deployment, crash bool, build func(*run) policy) outcome {
	r := &run{d: d}
	r.now = start
	p := build(r)
	rnd := rand.New(rand.NewPCG(seed, 0))
	for a, rate := range rates {
		offered := rate * usual
		if a == 0 {
			offered = rate * overload
		}
		ideal := newBucket(rate, burstOf(rate))
		// Two of three callers of an account use the two first instances of its home region.
		home := a % 3
		for at := start; ; {
			at = at.Add(time.Duration(rnd.ExpFloat64() / offered * float64(time.Second)))
			if !at.Before(start.Add(runTime)) {
				break
			}
			q := &request{account: a, instance: rnd.IntN(instances), arrived: at, ideal: ideal.take(at)}
			if rnd.IntN(3) > 0 {
				q.instance = slices.Index(regions[:], home) + rnd.IntN(2)
			}
			r.requests = append(r.requests, q)
			r.after(at.Sub(start), func() { p.arrive(q) })
		}
	}
	if crash {
		r.after(crashAt, p.crash)
	}
	r.run(start.Add(runTime + 2*waitLimit))
	return r.outcome()
}

// outcome has the admitted requests served by a pool that is sized for the sum of all rates and refuses after 1 s of queue.
func (r *run) outcome() outcome {
	const longest = time.Second
	var capacity float64
	for _, rate := range rates {
		capacity += rate
	}
	slices.SortStableFunc(r.requests, func(a, b *request) int { return a.arrived.Add(a.waited).Compare(b.arrived.Add(b.waited)) })
	ideal, served, admitted := make([]int, len(rates)), make([]int, len(rates)), make([]int, len(rates))
	var within, refused int
	free := start
	for _, q := range r.requests {
		if q.ideal {
			ideal[q.account]++
		}
		if q.account > 0 && q.ideal {
			within++
		}
		if !q.admitted {
			if q.account > 0 && q.ideal {
				refused++
			}
			continue
		}
		admitted[q.account]++
		if q.account > 0 {
			r.waits = append(r.waits, q.waited)
		}
		begin := q.arrived.Add(q.waited)
		if begin.After(free) {
			free = begin
		}
		if free.Sub(q.arrived) <= longest {
			served[q.account]++
			free = free.Add(time.Duration(float64(time.Second) / capacity))
		}
	}
	o := outcome{worst: 1, wrongful: float64(refused) / float64(within), excess: float64(admitted[0]) / float64(ideal[0])}
	o.over = float64(admitted[0]) - rates[0]*(runTime+2*waitLimit).Seconds() - burstOf(rates[0])
	for a := range rates {
		o.worst = min(o.worst, float64(served[a])/float64(ideal[a]))
	}
	slices.Sort(r.waits)
	o.p99 = r.waits[len(r.waits)*99/100]
	o.messages = float64(r.messages) / float64(len(r.requests))
	return o
}

// Guards against a policy that refuses callers within their rate more often than the alternatives of the design, or admits more than the rate.
func TestComparePolicies(t *testing.T) {
	t.Logf("policy-seed %d", *policySeed)
	policies := []struct {
		name  string
		build func(*run) policy
	}{
		{"two parts, short grants, unspent returned", func(r *run) policy { return newGranted(r, false, 0) }},
		{"two parts, short grants, unspent kept", func(r *run) policy { return newGranted(r, true, 0) }},
		{"even split over 7", func(r *run) policy { return newLocal(r, 1.0/instances) }},
		{"one owner, one grant per request", newCentral},
		{"no sharing: full rate at each instance", func(r *run) policy { return newLocal(r, 1) }},
	}
	var b strings.Builder
	for _, d := range deployments {
		for _, crash := range []bool{false, true} {
			got := make([]outcome, len(policies))
			for i, p := range policies {
				o := compare(*policySeed, d, crash, p.build)
				got[i] = o
				fmt.Fprintf(&b, "| %s | %s | %s | %.2f %% | %.1f %% | %.2f | %v | %.2f |\n", d.name, map[bool]string{false: "no fault", true: "owner dies"}[crash],
					p.name, 100*o.wrongful, 100*o.worst, o.excess, o.p99.Round(100*time.Microsecond), o.messages)
			}
			if got[0].wrongful > got[2].wrongful || (crash && got[0].wrongful > got[3].wrongful) {
				t.Errorf("%s: more wrongful refusals than an alternative: %+v", d.name, got)
			}
			if got[0].over > 0 {
				t.Errorf("%s: the overloading account got %.0f requests beyond its rate and burst", d.name, got[0].over)
			}
		}
	}
	t.Logf("\n| deployment | case | policy | wrongful refusals | worst-served account | admitted of overloading account | p99 wait within rate | messages per request |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- |\n%s", b.String())
}
