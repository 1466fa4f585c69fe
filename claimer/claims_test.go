package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/claimer"
)

// event is one step of a schedule.
type event struct {
	at       time.Duration
	kind     string
	instance int
	key      int
	length   time.Duration
	// owners are the claim owners that the instance sees from now on, as bits.
	owners int
}

// schedule is one run of the property test.
type schedule struct {
	seed      uint64
	instances int
	// owners are the claim owners that all instances see first, as bits.
	owners int
	// timeout is the time for which the instances wait for a claim owner.
	timeout time.Duration
	faulty  float64
	events  []event
}

const (
	scheduleKeys    = 3
	requestDeadline = 5 * time.Second
)

func drawSchedule(t *rapid.T) schedule {
	s := schedule{
		seed:      rapid.Uint64().Draw(t, "seed"),
		instances: rapid.IntRange(1, 4).Draw(t, "instances"),
		faulty:    rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "faulty"),
	}
	s.owners = rapid.IntRange(0, 1<<s.instances-1).Draw(t, "owners")
	s.timeout = rapid.SampledFrom([]time.Duration{300 * time.Millisecond, time.Second}).Draw(t, "timeout")
	kinds := []string{"send", "send", "send", "send", "send", "burst", "pause", "outage", "kill", "assign"}
	for range rapid.IntRange(2, 60).Draw(t, "events") {
		s.events = append(s.events, event{
			at:       time.Duration(rapid.IntRange(0, 60_000).Draw(t, "at")) * time.Millisecond,
			kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			instance: rapid.IntRange(0, s.instances-1).Draw(t, "instance"),
			key:      rapid.IntRange(0, scheduleKeys-1).Draw(t, "key"),
			length:   time.Duration(rapid.IntRange(1, 15_000).Draw(t, "length")) * time.Millisecond,
			owners:   rapid.IntRange(0, 1<<s.instances-1).Draw(t, "owners"),
		})
	}
	return s
}

// site is an instance of the schedule.
type site struct {
	link   *link
	wire   *wire
	claims *claimer.Claims
	stop   context.CancelFunc
}

// ledger records what the targets ran and what callers were told.
type ledger struct {
	mu      sync.Mutex
	runs    map[int][]string
	dropped map[int]bool
	kills   bool
	faults  []string
	seen    map[claimer.Verdict]int
}

func (l *ledger) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *ledger) run(key int, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key] = append(l.runs[key], answer)
}

// checkRow requires that the row of a claim is the claim's own when its request runs.
func (l *ledger) checkRow(w *world, key int, c *claimer.Claim) {
	row, id := claimer.Holder(c)
	if s, holder := claimer.Row(w.value(row)); s != "claimed" || holder != id {
		l.fail("key %d runs for claim %s, but its row is %s by %s", key, id, s, holder)
	}
}

func (l *ledger) last(key int) (string, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[key]
	if len(r) == 0 {
		return "", 0
	}
	return r[len(r)-1], len(r)
}

// Guards against a key that runs twice, a stored answer that is not the answer of the run, and keys
// that stay blocked although nothing ran, under resends, lost replies, outages, pauses, kills and
// commits that are applied late; with claim owners also under messages and answers that are lost, late, doubled or out
// of order, owners that are paused or killed at any point, and instances that see different owners.
func TestAtMostOnce(t *testing.T) {
	seen := map[claimer.Verdict]int{}
	var sum claimer.Counters
	rapid.Check(t, func(r *rapid.T) {
		s := drawSchedule(r)
		var l *ledger
		synctest.Test(t, func(*testing.T) { l = play(s, seen, &sum) })
		for k, runs := range l.runs {
			if len(runs) > 1 {
				r.Fatalf("key %d ran %d times: %v", k, len(runs), runs)
			}
		}
		if len(l.faults) > 0 {
			r.Fatal(l.faults)
		}
	})
	t.Log(seen)
	t.Logf("%+v", sum)
	if sum.Sent == 0 || sum.Fallbacks == 0 || sum.OwnerRefusals == 0 || sum.Accepted == 0 || sum.Refused == 0 {
		t.Error("some way through claim owners was not taken")
	}
	for _, v := range []claimer.Verdict{claimer.Run, claimer.Stored, claimer.InProgress, claimer.OutcomeUnknown, claimer.Unavailable} {
		if seen[v] == 0 {
			t.Errorf("no schedule led to the verdict %s", v)
		}
	}
}

func play(s schedule, seen map[claimer.Verdict]int, sum *claimer.Counters) *ledger {
	w := newWorld(s.seed, 40*time.Millisecond)
	w.faulty = s.faulty
	l := &ledger{runs: map[int][]string{}, dropped: map[int]bool{}, seen: seen}
	var sites []*site
	var runs, sends sync.WaitGroup
	add := func() *site {
		e := newSite(w, len(sites), s.timeout, func(name string) *site { return sites[name[0]-'a'] }, &runs)
		sites = append(sites, e)
		return e
	}
	for range s.instances {
		add().wire.assign(chosen(s.owners, s.instances))
	}
	for i, e := range s.events {
		sends.Go(func() {
			time.Sleep(e.at)
			perform(w, l, sites[e.instance], i, e, s)
		})
	}
	sends.Wait()
	// Longer than the lateness of commits and the backoff of writes in the background.
	time.Sleep(3 * time.Minute)
	w.heal()
	time.Sleep(time.Minute)
	checkEnd(l, add())
	for _, e := range sites {
		e.stop()
	}
	runs.Wait()
	w.late.Wait()
	for _, e := range sites {
		n := e.claims.Counters()
		sum.Sent, sum.Fallbacks, sum.OwnerRefusals = sum.Sent+n.Sent, sum.Fallbacks+n.Fallbacks, sum.OwnerRefusals+n.OwnerRefusals
		sum.Accepted, sum.Refused = sum.Accepted+n.Accepted, sum.Refused+n.Refused
	}
	l.faults = append(l.faults, w.faults()...)
	return l
}

func newSite(w *world, index int, timeout time.Duration, find func(string) *site, group *sync.WaitGroup) *site {
	k := &link{world: w, index: uint64(index)}
	e := &site{link: k, wire: &wire{link: k, find: find}}
	e.claims = claimer.New(claimer.Config{Store: k, Clock: time.Now, Self: siteName(index), Fleet: e.wire, OwnerTimeout: timeout})
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	group.Go(func() { _ = e.claims.Run(ctx) })
	return e
}

func perform(w *world, l *ledger, e *site, number int, v event, s schedule) {
	switch v.kind {
	case "send":
		request(l, e, number, v, rand.New(rand.NewPCG(s.seed, uint64(number))))
	case "burst":
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() { request(l, e, 1000*(i+1)+number, v, rand.New(rand.NewPCG(s.seed, uint64(number)))) })
		}
		group.Wait()
	case "pause":
		e.link.pause(v.length)
	case "assign":
		e.wire.assign(chosen(v.owners, s.instances))
	case "outage":
		w.setOutage(v.length)
	case "kill":
		l.mu.Lock()
		l.kills = true
		l.mu.Unlock()
		e.link.kill()
	}
}

// request is one sending of a key: the decision, and the run on a target that enforces the deadline.
func request(l *ledger, e *site, number int, v event, r *rand.Rand) {
	if !e.link.gate() {
		return
	}
	before, n := l.last(v.key)
	d, err := e.claims.Begin(context.Background(), claim(v.key))
	if err != nil {
		l.fail("begin: %v", err)
	}
	checkDecision(l, v.key, d, before, n)
	if d.Verdict != claimer.Run {
		return
	}
	time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
	if !e.link.gate() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if r.IntN(4) == 0 || !time.Now().Before(d.Claim.Deadline()) {
		// The target refused it, so it did not run.
		_ = e.claims.Abandon(ctx, d.Claim)
		return
	}
	answer := fmt.Sprintf("answer of %d", number)
	l.checkRow(e.link.world, v.key, d.Claim)
	l.run(v.key, answer)
	if r.IntN(5) == 0 {
		l.mu.Lock()
		l.dropped[v.key] = true
		l.mu.Unlock()
		return
	}
	_ = e.claims.Finish(ctx, d.Claim, claimer.Outcome{Status: 201, Body: []byte(answer)})
}

func claim(key int) claimer.Request {
	return claimer.Request{
		Account:       "a",
		Route:         "bookings",
		Key:           fmt.Sprint(key),
		RequestDigest: [32]byte{byte(key)},
		Deadline:      time.Now().Add(requestDeadline),
	}
}

func checkDecision(l *ledger, key int, d claimer.Decision, before string, ran int) {
	l.mu.Lock()
	l.seen[d.Verdict]++
	l.mu.Unlock()
	switch d.Verdict {
	case claimer.Stored:
		if answer, n := l.last(key); n == 0 || answer != string(d.Outcome.Body) {
			l.fail("key %d: stored answer %q, ran %d times with %q", key, d.Outcome.Body, n, answer)
		}
	case claimer.Run:
		if ran > 0 {
			l.fail("key %d may run again after %q", key, before)
		}
	case claimer.InProgress, claimer.OutcomeUnknown, claimer.Unavailable:
	default:
		l.fail("key %d: verdict %s", key, d.Verdict)
	}
}

// checkEnd asks for each key after all faults have ended.
func checkEnd(l *ledger, e *site) {
	for key := range scheduleKeys {
		answer, n := l.last(key)
		d, err := e.claims.Begin(context.Background(), claim(key))
		if err != nil {
			l.fail("begin: %v", err)
		}
		checkDecision(l, key, d, answer, n)
		want := claimer.Run
		if n > 0 {
			want = claimer.Stored
		}
		if !l.kills && !l.dropped[key] && d.Verdict != want {
			l.fail("key %d: verdict %s at the end, want %s", key, d.Verdict, want)
		}
	}
}
