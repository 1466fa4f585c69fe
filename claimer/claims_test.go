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
	duration time.Duration
	// owners is a bit set of the claim owners that the instance sees from this event on.
	owners int
}

// schedule is the input of one run of the property test.
type schedule struct {
	seed      uint64
	instances int
	// owners is a bit set of the claim owners that all instances see at the start.
	owners int
	// ownerTimeout is how long the instances wait for a reply from a claim owner.
	ownerTimeout time.Duration
	faultRate    float64
	events       []event
}

const (
	scheduleKeys    = 3
	requestDeadline = 5 * time.Second
)

func drawSchedule(t *rapid.T) schedule {
	s := schedule{
		seed:      rapid.Uint64().Draw(t, "seed"),
		instances: rapid.IntRange(1, 4).Draw(t, "instances"),
		faultRate: rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "faulty"),
	}
	s.owners = rapid.IntRange(0, 1<<s.instances-1).Draw(t, "owners")
	s.ownerTimeout = rapid.SampledFrom([]time.Duration{300 * time.Millisecond, time.Second}).Draw(t, "timeout")
	kinds := []string{"send", "send", "send", "send", "send", "burst", "pause", "outage", "kill", "assign"}
	for range rapid.IntRange(2, 60).Draw(t, "events") {
		s.events = append(s.events, event{
			at:       time.Duration(rapid.IntRange(0, 60_000).Draw(t, "at")) * time.Millisecond,
			kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			instance: rapid.IntRange(0, s.instances-1).Draw(t, "instance"),
			key:      rapid.IntRange(0, scheduleKeys-1).Draw(t, "key"),
			duration: time.Duration(rapid.IntRange(1, 15_000).Draw(t, "length")) * time.Millisecond,
			owners:   rapid.IntRange(0, 1<<s.instances-1).Draw(t, "owners"),
		})
	}
	return s
}

// testInstance is a simulated instance of the fleet.
type testInstance struct {
	store  *instanceStore
	fleet  *instanceFleet
	claims *claimer.Claims
	stop   context.CancelFunc
}

// history records the executions at the targets, the verdicts and the violations found.
type history struct {
	mu             sync.Mutex
	runs           map[int][]string
	outcomeDropped map[int]bool
	killed         bool
	violations     []string
	seen           map[claimer.Verdict]int
}

func (l *history) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *history) recordRun(key int, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key] = append(l.runs[key], answer)
}

// checkRow verifies that the row of a running request is held by its own claim.
func (l *history) checkRow(w *faultyTable, key int, c *claimer.Claim) {
	row, id := claimer.RowOfClaim(c)
	if s, holder := claimer.DecodeRowState(w.value(row)); s != "claimed" || holder != id {
		l.fail("key %d runs for claim %s, but its row is %s by %s", key, id, s, holder)
	}
}

func (l *history) lastRun(key int) (string, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[key]
	if len(r) == 0 {
		return "", 0
	}
	return r[len(r)-1], len(r)
}

// Guards against a key that runs twice, a stored response that differs from the response of the run, and keys that stay
// blocked although nothing ran. The schedules contain resends, lost replies, outages, pauses, kills and commits that are
// applied late. With claim owners they also contain messages and replies that are lost, late, duplicated or reordered,
// owners that are paused or killed at any point, and instances that see different owners.
func TestAtMostOnce(t *testing.T) {
	seen := map[claimer.Verdict]int{}
	var sum claimer.Counters
	rapid.Check(t, func(r *rapid.T) {
		s := drawSchedule(r)
		var l *history
		synctest.Test(t, func(*testing.T) { l = runSchedule(s, seen, &sum) })
		for k, runs := range l.runs {
			if len(runs) > 1 {
				r.Fatalf("key %d ran %d times: %v", k, len(runs), runs)
			}
		}
		if len(l.violations) > 0 {
			r.Fatal(l.violations)
		}
	})
	t.Log(seen)
	t.Logf("%+v", sum)
	if sum.Sent == 0 || sum.Fallbacks == 0 || sum.OwnerRefusals == 0 || sum.Accepted == 0 || sum.Refused == 0 {
		t.Error("not every path through claim owners was covered")
	}
	for _, v := range []claimer.Verdict{claimer.Run, claimer.Stored, claimer.InProgress, claimer.OutcomeUnknown, claimer.Unavailable} {
		if seen[v] == 0 {
			t.Errorf("no schedule led to the verdict %s", v)
		}
	}
}

func runSchedule(s schedule, seen map[claimer.Verdict]int, sum *claimer.Counters) *history {
	w := newFaultyTable(s.seed, 40*time.Millisecond)
	w.faultRate = s.faultRate
	l := &history{runs: map[int][]string{}, outcomeDropped: map[int]bool{}, seen: seen}
	var sites []*testInstance
	var runs, sends sync.WaitGroup
	add := func() *testInstance {
		e := newTestInstance(w, len(sites), s.ownerTimeout, func(name string) *testInstance { return sites[name[0]-'a'] }, &runs)
		sites = append(sites, e)
		return e
	}
	for range s.instances {
		add().fleet.setOwners(ownersFromBits(s.owners, s.instances))
	}
	for i, e := range s.events {
		sends.Go(func() {
			time.Sleep(e.at)
			runEvent(w, l, sites[e.instance], i, e, s)
		})
	}
	sends.Wait()
	// This exceeds the maximum delay of late commits plus the backoff of background writes.
	time.Sleep(3 * time.Minute)
	w.endFaults()
	time.Sleep(time.Minute)
	checkEnd(l, add())
	for _, e := range sites {
		e.stop()
	}
	runs.Wait()
	w.delayed.Wait()
	for _, e := range sites {
		n := e.claims.Counters()
		sum.Sent, sum.Fallbacks, sum.OwnerRefusals = sum.Sent+n.Sent, sum.Fallbacks+n.Fallbacks, sum.OwnerRefusals+n.OwnerRefusals
		sum.Accepted, sum.Refused = sum.Accepted+n.Accepted, sum.Refused+n.Refused
	}
	l.violations = append(l.violations, w.invalidChanges()...)
	return l
}

func newTestInstance(w *faultyTable, index int, timeout time.Duration, find func(string) *testInstance, group *sync.WaitGroup) *testInstance {
	k := &instanceStore{table: w, index: uint64(index)}
	e := &testInstance{store: k, fleet: &instanceFleet{store: k, find: find}}
	e.claims = claimer.New(claimer.Config{Store: k, Clock: time.Now, Self: instanceName(index), Fleet: e.fleet, OwnerTimeout: timeout})
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	group.Go(func() { _ = e.claims.Run(ctx) })
	return e
}

func runEvent(w *faultyTable, l *history, e *testInstance, number int, v event, s schedule) {
	switch v.kind {
	case "send":
		sendRequest(l, e, number, v, rand.New(rand.NewPCG(s.seed, uint64(number))))
	case "burst":
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() { sendRequest(l, e, 1000*(i+1)+number, v, rand.New(rand.NewPCG(s.seed, uint64(number)))) })
		}
		group.Wait()
	case "pause":
		e.store.pause(v.duration)
	case "assign":
		e.fleet.setOwners(ownersFromBits(v.owners, s.instances))
	case "outage":
		w.setOutage(v.duration)
	case "kill":
		l.mu.Lock()
		l.killed = true
		l.mu.Unlock()
		e.store.kill()
	}
}

// sendRequest simulates one attempt: it begins a claim and runs the request on a target that enforces the deadline.
func sendRequest(l *history, e *testInstance, number int, v event, r *rand.Rand) {
	if !e.store.awaitAlive() {
		return
	}
	before, n := l.lastRun(v.key)
	d, err := e.claims.Begin(context.Background(), claimRequest(v.key))
	if err != nil {
		l.fail("begin: %v", err)
	}
	checkDecision(l, v.key, d, before, n)
	if d.Verdict != claimer.Run {
		return
	}
	time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
	if !e.store.awaitAlive() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if r.IntN(4) == 0 || !time.Now().Before(d.Claim.Deadline()) {
		// The target refused the request, so it did not run.
		_ = e.claims.Abandon(ctx, d.Claim)
		return
	}
	answer := fmt.Sprintf("answer of %d", number)
	l.checkRow(e.store.table, v.key, d.Claim)
	l.recordRun(v.key, answer)
	if r.IntN(5) == 0 {
		l.mu.Lock()
		l.outcomeDropped[v.key] = true
		l.mu.Unlock()
		return
	}
	_ = e.claims.Finish(ctx, d.Claim, claimer.Outcome{Status: 201, Body: []byte(answer)})
}

func claimRequest(key int) claimer.Request {
	return claimer.Request{
		Account:       "a",
		Route:         "bookings",
		Key:           fmt.Sprint(key),
		RequestDigest: [32]byte{byte(key)},
		Deadline:      time.Now().Add(requestDeadline),
	}
}

func checkDecision(l *history, key int, d claimer.Decision, before string, ran int) {
	l.mu.Lock()
	l.seen[d.Verdict]++
	l.mu.Unlock()
	switch d.Verdict {
	case claimer.Stored:
		if answer, n := l.lastRun(key); n == 0 || answer != string(d.Outcome.Body) {
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

// checkEnd resends each key after all faults have ended and checks the verdict.
func checkEnd(l *history, e *testInstance) {
	for key := range scheduleKeys {
		answer, n := l.lastRun(key)
		d, err := e.claims.Begin(context.Background(), claimRequest(key))
		if err != nil {
			l.fail("begin: %v", err)
		}
		checkDecision(l, key, d, answer, n)
		want := claimer.Run
		if n > 0 {
			want = claimer.Stored
		}
		if !l.killed && !l.outcomeDropped[key] && d.Verdict != want {
			l.fail("key %d: verdict %s at the end, want %s", key, d.Verdict, want)
		}
	}
}
