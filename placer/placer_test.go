package placer_test

import (
	"math"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/abstainer"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/placer"
	"celeryhead.dev/celeryhead/responder"
)

// baseline is the usual load of the pitch map: 16 targets with 3 slots, 24 objects, 7 instances.
func baseline(perSecond float64) scenario {
	return scenario{
		seed:             1,
		instances:        7,
		targets:          16,
		slots:            3,
		objects:          24,
		cacheSize:        20,
		uncached:         880 * time.Millisecond,
		cached:           264 * time.Millisecond,
		exchangeInterval: 200 * time.Millisecond,
		rate:             func(time.Duration) float64 { return perSecond },
		length:           30 * time.Second,
		objective:        600 * time.Millisecond,
		deadline:         1200 * time.Millisecond,
	}
}

// Under the usual load, targets that cache no object could not serve half of the requests. Checks that objects stay
// with the targets that cache them.
func TestObjectAffinity(t *testing.T) {
	l := baseline(62)
	p, b := l.runPlacer(), l.runLeastRequests()
	t.Logf("placer %.3f in time, least requests %.3f", p.share(), b.share())
	if p.share() < 0.9 {
		t.Errorf("%.3f of the requests answered in time under the usual load, want 0.9: %+v", p.share(), p)
	}
	if p.share() < 1.25*b.share() {
		t.Errorf("%.3f in time, less than 1.25 times the %.3f of the least-requests baseline", p.share(), b.share())
	}
}

// For ten seconds callers send more requests than all targets can serve. Requests that are not rejected must still be
// answered in time, and the others must be rejected at once.
func TestPeakRejectsInsteadOfDelaying(t *testing.T) {
	l := baseline(0)
	l.rate = func(d time.Duration) float64 {
		if d > 10*time.Second && d < 20*time.Second {
			return 260
		}
		return 62
	}
	p, b := l.runPlacer(), l.runLeastRequests()
	t.Logf("placer %+v, least requests %+v", p.share(), b.share())
	// All slots with cached objects serve 48/0.264 = 182 requests a second, 70 % of the peak.
	if possible := (20*62 + 10*182.0) / float64(p.requests); p.share() < 0.75*possible {
		t.Errorf("%.3f of the requests answered in time, %.3f were possible: %+v", p.share(), possible, p)
	}
	if late := float64(p.late+p.failed) / float64(p.requests); late > 0.2 {
		t.Errorf("%.3f of the requests answered late or not at all", late)
	}
	if p.share() < 1.5*b.share() {
		t.Errorf("%.3f in time, less than 1.5 times the %.3f of the least-requests baseline", p.share(), b.share())
	}
}

// regional is a peak with targets spread unevenly over distant regions: 11 targets with 3 slots, seven of them in one
// of three regions, and callers that retry once.
func regional(objects int, perSecond float64) scenario {
	l := baseline(perSecond)
	l.targets, l.objects, l.cacheSize = 11, objects, 31
	l.uncached, l.cached = 360*time.Millisecond, 108*time.Millisecond
	l.objective, l.deadline = 400*time.Millisecond, 1500*time.Millisecond
	l.targetRegions = []string{"w", "c", "c", "e", "c", "c", "w", "c", "e", "c", "c"}
	l.instanceRegions = []string{"w", "c", "e", "w", "c", "e", "w"}
	l.roundTrip = 110 * time.Millisecond
	l.retries = true
	return l
}

// With many objects in a peak, targets cache half of the objects and could answer all requests if each object stayed
// with few of them. Guards against the failure of scale-1 of es batu with seed 348740122686: every target got every
// object, a quarter of the requests met a target that had evicted theirs, and four of ten were rejected.
func TestObjectAffinityInPeaks(t *testing.T) {
	for seed := range uint64(4) {
		l := regional(60, 280)
		l.seed = seed
		// All slots with cached objects serve 33/0.108 = 305 requests a second.
		if p := l.runPlacer(); p.share() < 0.75 {
			t.Errorf("seed %d: %.3f of the requests answered in time, all were possible, want 0.75: %+v", seed, p.share(), p)
		}
	}
}

// Half of all requests are for one object, which needs more targets than the others.
func TestHotObjectGetsMoreTargets(t *testing.T) {
	l := baseline(120)
	l.hot = 0.5
	if p := l.runPlacer(); p.share() < 0.75 {
		t.Errorf("%.3f of the requests answered in time, all were possible, want 0.75: %+v", p.share(), p)
	}
}

// Three of 16 targets process five times as slowly for ten seconds.
func TestSlowTargetsAreAvoided(t *testing.T) {
	l := baseline(62)
	l.slowdown = func(i int, at time.Duration) float64 {
		if i < 3 && at > 10*time.Second && at < 20*time.Second {
			return 5
		}
		return 1
	}
	if p := l.runPlacer(); p.share() < 0.8 {
		t.Errorf("%.3f of the requests answered in time, want 0.8: %+v", p.share(), p)
	}
}

// Two of 16 targets report good health and answer errors at once, which makes them look idle.
func TestFailingTargetsAreAvoided(t *testing.T) {
	l := baseline(62)
	l.fails = func(i int, at time.Duration) bool { return i < 2 && at > 10*time.Second && at < 20*time.Second }
	if p := l.runPlacer(); float64(p.failed) > 0.05*float64(p.requests) {
		t.Errorf("%d of %d requests failed; two of 16 targets fail for a third of the time", p.failed, p.requests)
	}
}

// Guards against joined targets that stay unused because all objects are cached elsewhere.
func TestJoinedTargetsGetRequests(t *testing.T) {
	l := baseline(40)
	l.joining, l.joinAt = 5, 10*time.Second
	p := l.runPlacer()
	for i := range l.joining {
		n := l.pool(l.targets + l.joining).Targets[l.targets+i].Name
		if p.arrivals[n] == 0 {
			t.Errorf("target %s joined and got no request", n)
		}
	}
}

// A row states eight times as many slots as the target has, the most that is believed. Guards against a target that draws the
// requests of all others in a peak because it always looks idle.
func TestTargetThatOverstatesSlotsDrawsNoTraffic(t *testing.T) {
	l := baseline(200)
	l.statedSlots = 8 * l.slots
	p := l.runPlacer()
	l.statedSlots = 0
	usual := l.runPlacer()
	if p.share() < 0.95*usual.share() {
		t.Errorf("%.3f of the requests answered in time beside a target that overstates its slots, %.3f otherwise", p.share(), usual.share())
	}
	if n, mean := p.arrivals["target-000"], p.requests/l.targets; n > 2*mean {
		t.Errorf("%d requests went to that target, %d to each in the mean", n, mean)
	}
}

func newPlacer(g placer.Gate) *placer.Placer {
	return placer.New(placer.Config{Region: "here", Trip: func(string) time.Duration { return 0 }, Cold: g})
}

func work(l scenario, now time.Time, object string) placer.Work {
	return placer.Work{Route: l.route(), Service: service, Object: object, Objective: now.Add(l.objective), Deadline: now.Add(l.deadline)}
}

type closedGate struct{}

func (closedGate) Sends(string) bool                    { return false }
func (closedGate) Take(time.Time, string, float64) bool { return false }

// Guards against requests to a cold target from an instance that is not its designated sender.
func TestColdTargetsNeedTheGate(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(closedGate{}), l.pool(2)
	pool.Targets[0].ColdUntil = start.Add(time.Minute)
	for range 3 {
		c, f := p.Choose(start, pool, work(l, start, "a"))
		if f != nil || c.Target != pool.Targets[1] {
			t.Fatalf("chose %v, %v", c, f)
		}
	}
	pool.Targets[1].ColdUntil = start.Add(time.Minute)
	if c, f := newPlacer(closedGate{}).Choose(start, pool, work(l, start, "a")); f == nil {
		t.Errorf("chose %v though both targets are cold", c.Target.Name)
	}
}

// exhaustedGate is the gate of a designated sender that has no tokens left.
type exhaustedGate struct{ openGate }

func (exhaustedGate) Take(time.Time, string, float64) bool { return false }

// Guards against a designated sender that exceeds the rate of a cold target.
func TestColdTargetGetsNoMoreThanItsRate(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(exhaustedGate{}), l.pool(1)
	pool.Targets[0].ColdUntil = start.Add(time.Minute)
	if c, f := p.Choose(start, pool, work(l, start, "a")); f == nil {
		t.Errorf("chose %s above its cold rate", c.Target.Name)
	}
}

// Guards against requests outside the regions allowed by their route or account.
func TestAllowedRegionsAreEnforced(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(4)
	pool.Targets[3].Region = "there"
	w := work(l, start, "a")
	w.Regions = []string{"there"}
	for range 20 {
		if c, f := p.Choose(start, pool, w); f != nil {
			break
		} else if c.Target.Region != "there" {
			t.Fatalf("chose %s in region %s", c.Target.Name, c.Target.Region)
		}
	}
	w.Regions = cataloger.Intersect([]string{"here"}, []string{"there"})
	if c, f := p.Choose(start, pool, w); f == nil {
		t.Errorf("chose %s although no region is allowed", c.Target.Name)
	}
}

// Guards against a request without an allowed region that runs at a target in a failure domain without a known region.
func TestUnknownRegionIsNotAllowed(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(1)
	pool.Targets[0].Region = ""
	w := work(l, start, "a")
	w.Regions = cataloger.Intersect([]string{"here"}, []string{"there"})
	if c, f := p.Choose(start, pool, w); f == nil {
		t.Errorf("chose %s although no region is allowed", c.Target.Name)
	}
}

// Guards against rejections that delay the caller or carry no retry delay.
func TestRejectionHasRetryAfter(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(1)
	for range 100 {
		_, f := p.Choose(start, pool, work(l, start, "a"))
		if f == nil {
			continue
		}
		if f.Ran != responder.NotRun || f.RetryAfter <= 0 || f.RetryAfter > time.Second {
			t.Errorf("rejected with %+v", f)
		}
		return
	}
	t.Error("100 requests were accepted by 3 slots")
}

// Guards against repeated attempts at a target that cannot be reached.
func TestUnreachableTargetIsPaused(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(2)
	first, f := p.Choose(start, pool, work(l, start, "a"))
	if f != nil {
		t.Fatal(f)
	}
	p.End(start, first, placer.Unreached)
	for range 2 {
		c, f := p.Choose(start.Add(time.Millisecond), pool, work(l, start, "a"))
		if f != nil || c.Target == first.Target {
			t.Fatalf("chose %v, %v", c, f)
		}
	}
	now := start.Add(10 * time.Second)
	pool = &cataloger.Pool{Service: pool.Service, Targets: []*cataloger.Target{first.Target}}
	n := 0
	for range 10 {
		if _, f := p.Choose(now, pool, work(l, now, "a")); f == nil {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d concurrent requests to a target that was unreachable before, want 1", n)
	}
}

// Guards against a target that gets nothing although its row was replaced after another target was found at its address.
func TestReplacedTargetIsNotPaused(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(1)
	c, f := p.Choose(start, pool, work(l, start, "a"))
	if f != nil {
		t.Fatal(f)
	}
	p.End(start, c, placer.Shed)
	p.Lose(start, c.Target)
	now := start.Add(time.Second)
	if c, f := p.Choose(now, pool, work(l, now, "a")); f == nil {
		t.Errorf("chose %s, at whose address another target was found", c.Target.Name)
	}
	moved := *c.Target
	moved.Address = netip.MustParseAddrPort("10.9.9.9:80")
	pool = &cataloger.Pool{Service: pool.Service, Targets: []*cataloger.Target{&moved}}
	if _, f := p.Choose(now, pool, work(l, now, "a")); f != nil {
		t.Errorf("at its new address: %v", f)
	}
}

// Guards against a resting target that counts as failed and loses its objects, and against all requests that return to it at once.
func TestRestingTargetKeepsObjectsAndReturnsByDegrees(t *testing.T) {
	l := baseline(1)
	a := abstainer.New(abstainer.Config{})
	p := placer.New(placer.Config{Region: "here", Trip: func(string) time.Duration { return 0 }, Cold: openGate{}, Abstainer: a})
	pool := l.pool(1)
	only := pool.Targets[0]
	c, f := p.Choose(start, pool, work(l, start, "a"))
	if f != nil {
		t.Fatal(f)
	}
	p.End(start, c, placer.Answered)
	if c, f = p.Choose(start, pool, work(l, start, "a")); f != nil {
		t.Fatal(f)
	}
	i := abstainer.Incarnation{Name: only.Name, Started: only.Started}
	a.Record(start, i, abstainer.Notice{Rest: 2 * time.Second})
	p.End(start, c, placer.Declined)
	_, rest := a.State(start, i)
	if _, f := p.Choose(start, pool, work(l, start, "a")); f == nil || f.Ran != responder.NotRun || f.RetryAfter != time.Second {
		t.Fatalf("refusal %+v while the only target rests for %v", f, rest)
	}
	end := start.Add(rest)
	placed := func(now time.Time) int {
		n := 0
		for ; n <= l.slots; n++ {
			c, f := p.Choose(now, pool, work(l, now, "a"))
			if f != nil {
				break
			}
			if !c.Known {
				t.Error("the target lost its object")
			}
		}
		return n
	}
	if n := placed(end); n != 1 {
		t.Errorf("%d requests at the end of a rest, want 1", n)
	}
	if n := placed(end.Add(700 * time.Millisecond)); n != 1 {
		t.Errorf("%d further requests in the middle of the ramp, want 1", n)
	}
	if n := placed(end.Add(time.Second)); n < l.slots-2 {
		t.Errorf("%d further requests after the ramp", n)
	}
}

// Guards against tokens of a cold target that are spent while it rests, and against a leaving target whose callers are told a time.
func TestColdRestingTargetCostsNoToken(t *testing.T) {
	l := baseline(1)
	a := abstainer.New(abstainer.Config{})
	g := &countingGate{}
	p := placer.New(placer.Config{Region: "here", Trip: func(string) time.Duration { return 0 }, Cold: g, Abstainer: a})
	pool := l.pool(1)
	pool.Targets[0].ColdUntil = start.Add(time.Minute)
	a.Record(start, abstainer.Incarnation{Name: pool.Targets[0].Name, Started: pool.Targets[0].Started}, abstainer.Notice{Leaving: true})
	if _, f := p.Choose(start, pool, work(l, start, "a")); f == nil || f.RetryAfter != 250*time.Millisecond {
		t.Errorf("refusal %+v while the only target leaves", f)
	}
	if g.taken != 0 {
		t.Errorf("%d tokens taken", g.taken)
	}
}

type countingGate struct {
	openGate
	taken int
}

func (g *countingGate) Take(time.Time, string, float64) bool {
	g.taken++
	return true
}

// Guards against connection setup that counts as processing time and makes a target look slow.
func TestConnectionSetupIsNotProcessingTime(t *testing.T) {
	const opening, worked = 200 * time.Millisecond, 100 * time.Millisecond
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(1)
	now := start
	for range 50 {
		c, f := p.Choose(now, pool, work(l, now, "a"))
		if f != nil {
			t.Fatal(f)
		}
		now = now.Add(opening)
		p.Sent(now, c)
		now = now.Add(worked)
		p.End(now, c, placer.Answered)
	}
	c, f := p.Choose(now, pool, work(l, now, "a"))
	if f != nil || c.Run > worked+opening/2 {
		t.Errorf("estimated a run of %v for processing that takes %v: %v", c.Run, worked, f)
	}
}

// Guards against a lease that is ended twice.
func TestEndCountsOnce(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(1)
	c, f := p.Choose(start, pool, work(l, start, "a"))
	if f != nil {
		t.Fatal(f)
	}
	p.End(start.Add(time.Second), c, placer.Answered)
	p.End(start.Add(time.Second), c, placer.Answered)
	if m := p.Report(start).InFlight; len(m) != 0 {
		t.Errorf("in flight %v", m)
	}
}

func BenchmarkChoose(b *testing.B) {
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(189)
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		c, f := p.Choose(now, pool, work(l, now, "a"))
		if f != nil {
			b.Fatal(f)
		}
		p.End(now.Add(time.Duration(math.MaxInt16)), c, placer.Answered)
	}
}

// The decision looks at the first targets of an object's order, so its time must not grow with their number.
func BenchmarkChooseByTargets(b *testing.B) {
	for _, n := range []int{50, 500} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			l := baseline(1)
			p, pool := newPlacer(openGate{}), l.pool(n)
			now, i := start, 0
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				c, f := p.Choose(now, pool, work(l, now, strconv.Itoa(i%300)))
				if f != nil {
					b.Fatal(f)
				}
				p.End(now.Add(300*time.Millisecond), c, placer.Answered)
			}
		})
	}
}

// Guards against the report of an instance that ended, or an odd one, that makes a target look busy for ever.
func TestReportsExpire(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(1)
	name := pool.Targets[0].Name
	for i := range 4 {
		p.Heard(start, strconv.Itoa(i), placer.Report{InFlight: map[string]int{name: math.MaxInt}})
	}
	if _, f := p.Choose(start, pool, work(l, start, "a")); f == nil {
		t.Error("a target with requests of others is taken for idle")
	}
	p.Heard(start, "0", placer.Report{InFlight: map[string]int{name: -5}})
	if _, f := p.Choose(start.Add(2*time.Second), pool, work(l, start.Add(2*time.Second), "a")); f != nil {
		t.Errorf("after the reports expired: %v", f)
	}
}

// When a target stops answering, its requests get no answer, and without suspicion others would follow until the
// first deadline passes.
func TestSilentTargetIsSuspected(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(2)
	first, f := p.Choose(start, pool, work(l, start, "a"))
	if f != nil {
		t.Fatal(f)
	}
	now := start.Add(first.Patience())
	if !p.Suspect(now, first) {
		t.Fatal("a target that answered no request is not suspected")
	}
	for range 3 {
		if c, f := p.Choose(now, pool, work(l, now, "a")); f != nil || c.Target == first.Target {
			t.Fatalf("chose %v, %v", c, f)
		}
	}
	if p.Suspect(now, &placer.Lease{Target: first.Target}); len(p.Report(now).InFlight) == 0 {
		t.Error("Suspect ended a lease")
	}
}

// Guards against a slow request that pauses a target which still answers others.
func TestAnsweringTargetIsNotSuspected(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(1)
	slow, f := p.Choose(start, pool, work(l, start, "a"))
	if f != nil {
		t.Fatal(f)
	}
	other, f := p.Choose(start, pool, work(l, start, "a"))
	if f != nil {
		t.Fatal(f)
	}
	p.End(start.Add(100*time.Millisecond), other, placer.Answered)
	if p.Suspect(start.Add(slow.Patience()), slow) {
		t.Error("a target that answered another request is suspected")
	}
}

// Guards against a route whose requests are all rejected because the initial estimate exceeds their deadline.
func TestInitialEstimateRejectsNothing(t *testing.T) {
	l := baseline(1)
	l.deadline = 200 * time.Millisecond
	p, pool := newPlacer(openGate{}), l.pool(2)
	if _, f := p.Choose(start, pool, work(l, start, "a")); f != nil {
		t.Errorf("rejected by an initial estimate: %v", f)
	}
}

// Guards against sending a request whose remaining time is below the measured processing time.
func TestRequestThatCannotMeetDeadlineIsRejected(t *testing.T) {
	l := baseline(1)
	p, pool := newPlacer(openGate{}), l.pool(1)
	now := start
	for range 20 {
		c, f := p.Choose(now, pool, work(l, now, "a"))
		if f != nil {
			t.Fatal(f)
		}
		now = now.Add(300 * time.Millisecond)
		p.End(now, c, placer.Answered)
	}
	w := work(l, now, "a")
	w.Deadline = now.Add(50 * time.Millisecond)
	if _, f := p.Choose(now, pool, w); f == nil {
		t.Error("a request with 50 ms left was sent; such requests take 300 ms")
	}
}

// throttle admits no request to one target while closed.
type throttle struct {
	target string
	closed bool
}

func (h *throttle) Take(_ time.Time, target string, _ int64) bool {
	return !h.closed || target != h.target
}
func (h *throttle) Interval(string, int64) time.Duration { return time.Second }

// Guards against targets without a permit that use up the budget for caching objects on further targets.
func TestTargetWithoutPermitCostsNoReplication(t *testing.T) {
	l := baseline(1)
	h := &throttle{}
	p := placer.New(placer.Config{Region: "here", Trip: func(string) time.Duration { return 0 }, Cold: openGate{}, Throttle: h})
	pool := l.pool(2)
	first, f := p.Choose(start, pool, work(l, start, "a"))
	if f != nil {
		t.Fatal(f)
	}
	p.End(start, first, placer.Answered)
	for _, k := range pool.Targets {
		if k != first.Target {
			h.target = k.Name
		}
	}
	h.closed = true
	for range 100 {
		// The target with the object fills up; the free one takes nothing.
		if c, f := p.Choose(start, pool, work(l, start, "a")); f == nil && c.Target != first.Target {
			t.Fatalf("placed on %s", c.Target.Name)
		}
	}
	h.closed = false
	if c, f := p.Choose(start, pool, work(l, start, "a")); f != nil || c.Target == first.Target {
		t.Errorf("the free target does not get the request: %v", f)
	}
}
