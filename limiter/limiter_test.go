package limiter_test

import (
	"fmt"
	"math/big"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is one account over several instances whose messages are lost, repeated, delayed and reordered.
type world struct {
	rate, burst float64
	now         time.Time
	parts       []*limiter.Part
	holders     []*limiter.Holder
	ids         []limiter.HolderID
	asks        []askEvent
	replies     []replyEvent
	spent       []time.Time
}

type askEvent struct {
	holder int
	id     limiter.HolderID
	ask    limiter.Ask
}

type replyEvent struct {
	askEvent
	reply limiter.Reply
}

func newWorld(rate, burst float64, holders int) *world {
	w := &world{rate: rate, burst: burst, now: start}
	for i := range limiter.Shares(rate, burst) {
		w.parts = append(w.parts, nil)
		w.takeOver(i)
	}
	for i := range holders {
		w.ids = append(w.ids, limiter.HolderID{Name: fmt.Sprint(i)})
		w.holders = append(w.holders, nil)
		w.restart(i)
	}
	return w
}

func (w *world) takeOver(i int) {
	w.parts[i] = limiter.NewPart(limiter.PartConfig{Share: limiter.Shares(w.rate, w.burst)[i], Active: w.now})
}

func (w *world) restart(i int) {
	w.ids[i].Incarnation++
	var order []int
	for p := range w.parts {
		order = append(order, (p+i)%len(w.parts))
	}
	w.holders[i] = limiter.NewHolder(limiter.HolderConfig{Order: order})
}

func (w *world) spend(i, n int) {
	for range n {
		if w.holders[i].Take(w.now) {
			w.spent = append(w.spent, w.now)
		}
	}
}

func (w *world) send(i, waiting int) {
	for {
		a, ok := w.holders[i].Next(w.now, waiting)
		if !ok {
			return
		}
		w.asks = append(w.asks, askEvent{i, w.ids[i], a})
	}
}

// deliver hands over the ask and, at once or later, its reply.
func (w *world) deliver(e askEvent) replyEvent {
	return replyEvent{e, w.parts[e.ask.Part].Grant(w.now, e.id, e.ask)}
}

func (w *world) answer(e replyEvent) {
	if w.ids[e.holder] == e.id {
		w.holders[e.holder].Answer(w.now, e.reply)
	}
}

// check compares every window with the promise, in exact arithmetic.
func (w *world) check(t *rapid.T) {
	second, token := big.NewInt(int64(time.Second)), big.NewInt(limiter.Token)
	rate, burst := new(big.Int), new(big.Int)
	for _, s := range limiter.Shares(w.rate, w.burst) {
		rate.Add(rate, big.NewInt(s.Rate))
		burst.Add(burst, big.NewInt(s.Burst))
	}
	burst.Mul(burst, second)
	for i := range w.spent {
		for j := i; j < len(w.spent); j++ {
			used := big.NewInt(int64(j - i + 1))
			used.Mul(used, token).Mul(used, second)
			most := big.NewInt(int64(w.spent[j].Sub(w.spent[i])))
			most.Mul(most, rate).Add(most, burst)
			if used.Cmp(most) > 0 {
				t.Fatalf("%d tokens spent in %v at rate %v and burst %v", j-i+1, w.spent[j].Sub(w.spent[i]), w.rate, w.burst)
			}
		}
	}
}

// checkLeaks demands that a part is full again once all grants have lapsed.
func (w *world) checkLeaks(t *rapid.T) {
	w.now = w.now.Add(time.Minute)
	for i, s := range limiter.Shares(w.rate, w.burst) {
		r := w.parts[i].Grant(w.now, limiter.HolderID{Name: "last"}, limiter.Ask{Part: i, Sequence: 1, Tokens: 100})
		if want := int(s.Burst / limiter.Token); r.Tokens != want {
			t.Fatalf("part %d grants %d after a pause, want %d", i, r.Tokens, want)
		}
	}
}

// take removes element i of s unless it is kept to be delivered once more.
func take[T any](s *[]T, i int, keep bool) T {
	v := (*s)[i]
	if !keep {
		*s = append((*s)[:i:i], (*s)[i+1:]...)
	}
	return v
}

// Guards against an account that gets more than its rate and burst because of lapses, pauses, restarts, takeovers, and
// messages that are lost, late, repeated or reordered.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	// One check of rapid is 100 runs; an owner that skips the wait after a takeover was found after 369.
	for i := range 20 {
		t.Run(fmt.Sprint(i), rapid.MakeCheck(func(t *rapid.T) {
			rate := rapid.SampledFrom([]float64{0.7, 3.3, 10, 40}).Draw(t, "rate")
			burst := rapid.SampledFrom([]float64{1, 1.5, 2, 3.7, 8}).Draw(t, "burst")
			w := newWorld(rate, burst, 3)
			w.now = w.now.Add(10 * time.Second)
			for range rapid.IntRange(1, 150).Draw(t, "steps") {
				w.step(t)
			}
			w.check(t)
			w.checkLeaks(t)
		}))
	}
}

// step takes one of the steps, the frequent ones of which are listed more than once.
func (w *world) step(t *rapid.T) {
	i := rapid.IntRange(0, len(w.holders)-1).Draw(t, "holder")
	switch rapid.SampledFrom([]string{
		"pass short time", "pass short time", "pass a part of a life", "pass a grant's life", "pass long time",
		"serve", "serve", "spend", "all spend", "send", "send", "deliver ask", "deliver ask", "deliver reply", "deliver reply",
		"lose", "restart holder", "take over", "tick",
	}).Draw(t, "step") {
	case "pass short time":
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
	case "pass a part of a life":
		w.now = w.now.Add(time.Duration(rapid.IntRange(100, 500).Draw(t, "ms")) * time.Millisecond)
	case "pass long time":
		w.now = w.now.Add(time.Duration(rapid.IntRange(500, 3000).Draw(t, "ms")) * time.Millisecond)
	case "pass a grant's life":
		w.now = w.now.Add(limiter.GrantLife + time.Duration(rapid.IntRange(-20, 20).Draw(t, "ms"))*time.Millisecond)
	case "serve":
		// Messages without faults are the common case, so that faults meet a system in use.
		n := rapid.IntRange(1, 8).Draw(t, "requests")
		w.send(i, n)
		for _, e := range w.asks {
			w.answer(w.deliver(e))
		}
		w.asks = nil
		if rapid.Bool().Draw(t, "spent at once") {
			w.spend(i, n)
		}
	case "spend":
		w.spend(i, rapid.IntRange(1, 8).Draw(t, "requests"))
	case "all spend":
		for i := range w.holders {
			w.spend(i, 8)
		}
	case "send":
		w.send(i, rapid.IntRange(0, 8).Draw(t, "waiting"))
	case "deliver ask":
		if len(w.asks) > 0 {
			k := rapid.IntRange(0, len(w.asks)-1).Draw(t, "ask")
			w.replies = append(w.replies, w.deliver(take(&w.asks, k, rapid.Bool().Draw(t, "repeated"))))
		}
	case "deliver reply":
		if len(w.replies) > 0 {
			k := rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply")
			w.answer(take(&w.replies, k, rapid.Bool().Draw(t, "repeated")))
		}
	case "lose":
		w.lose(t)
	case "restart holder":
		w.restart(i)
	case "take over":
		w.takeOver(rapid.IntRange(0, len(w.parts)-1).Draw(t, "part"))
	case "tick":
		for _, p := range w.parts {
			p.Tick(w.now)
		}
	}
}

// lose makes a holder give an ask up; the ask or its reply may still arrive later.
func (w *world) lose(t *rapid.T) {
	late := rapid.Bool().Draw(t, "late")
	var e askEvent
	switch {
	case len(w.replies) > 0:
		e = take(&w.replies, rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply"), late).askEvent
	case len(w.asks) > 0:
		e = take(&w.asks, rapid.IntRange(0, len(w.asks)-1).Draw(t, "ask"), late)
	default:
		return
	}
	if w.ids[e.holder] == e.id {
		w.holders[e.holder].Fail(w.now, e.ask)
	}
}

// Guards against tokens that are returned once and counted with each repetition of the report.
func TestReportsCountOnce(t *testing.T) {
	const burst = 8
	p := limiter.NewPart(limiter.PartConfig{Share: limiter.Share{Rate: limiter.Token, Burst: burst * limiter.Token}, Active: start})
	now := start.Add(time.Minute)
	a, b := limiter.HolderID{Name: "a"}, limiter.HolderID{Name: "b"}
	if r := p.Grant(now, a, limiter.Ask{Sequence: 1, Tokens: burst}); r.Tokens != burst {
		t.Fatalf("granted %d", r.Tokens)
	}
	for i, r := range []limiter.Report{{Returned: 2}, {Spent: 3, Returned: 2}, {Spent: 1, Returned: 4}, {Spent: 9, Returned: 9}} {
		r.Sequence = 1
		ask := limiter.Ask{Sequence: uint64(i + 2), Reports: []limiter.Report{r}}
		p.Grant(now, a, ask)
		p.Grant(now, a, ask)
	}
	// Of 8 tokens 2 and then 2 more were returned and the rest counts as spent.
	if r := p.Grant(now, b, limiter.Ask{Sequence: 1, Tokens: 2 * burst}); r.Tokens != 4 {
		t.Fatalf("granted %d after 4 were returned", r.Tokens)
	}
}

// Guards against yield that was lost while the part seemed full and is regained twice, or beyond what was spent.
func TestLostYieldIsRegainedOnce(t *testing.T) {
	const burst = 4
	share := limiter.Share{Rate: 10 * limiter.Token, Burst: burst * limiter.Token}
	a, b := limiter.HolderID{Name: "a"}, limiter.HolderID{Name: "b"}
	spent := func(sequence uint64, n int, age time.Duration) limiter.Ask {
		return limiter.Ask{Sequence: sequence, Reports: []limiter.Report{{Sequence: 1, Spent: n, Age: age}}}
	}
	// One token is lost in 105 ms; two reports of one token each regain it once.
	p := limiter.NewPart(limiter.PartConfig{Share: share, Active: start})
	now := start.Add(time.Minute)
	p.Grant(now, a, limiter.Ask{Sequence: 1, Tokens: 2})
	now = now.Add(105 * time.Millisecond)
	p.Grant(now, a, spent(2, 1, 105*time.Millisecond))
	p.Grant(now, a, spent(3, 2, 105*time.Millisecond))
	if r := p.Grant(now, b, limiter.Ask{Sequence: 1, Tokens: burst}); r.Tokens != 3 {
		t.Errorf("granted %d after two reports, want 3", r.Tokens)
	}
	// Five tokens are lost until the grant of the first holder lapses, but only one token of the second was spent.
	p = limiter.NewPart(limiter.PartConfig{Share: share, Active: start})
	now = start.Add(time.Minute)
	p.Grant(now, a, limiter.Ask{Sequence: 1, Tokens: 3})
	p.Grant(now.Add(time.Millisecond), b, limiter.Ask{Sequence: 1, Tokens: 1})
	now = now.Add(503 * time.Millisecond)
	p.Grant(now, b, spent(2, 1, 502*time.Millisecond))
	if r := p.Grant(now, a, limiter.Ask{Sequence: 2, Tokens: burst}); r.Tokens != 1 {
		t.Errorf("granted %d after a lapse, want 1", r.Tokens)
	}
}

// Guards against a report that makes the last token look as old as the first one spent.
func TestReportStatesAgeOfLastSpending(t *testing.T) {
	w := newWorld(10, 8, 1)
	w.now = w.now.Add(time.Minute)
	w.send(0, 2)
	w.answer(w.deliver(w.asks[0]))
	w.spend(0, 1)
	w.now = w.now.Add(60 * time.Millisecond)
	w.spend(0, 1)
	w.now = w.now.Add(limiter.DefaultReportAfter - 60*time.Millisecond)
	a, ok := w.holders[0].Next(w.now, 0)
	if want := limiter.DefaultReportAfter - 60*time.Millisecond; !ok || len(a.Reports) != 1 || a.Reports[0].Age != want {
		t.Fatalf("ask %+v, want a report with age %v", a, want)
	}
}

// Guards against rounding: asking often must not move the time at which a token is there.
func TestFractionalRatesDoNotDrift(t *testing.T) {
	for _, rate := range []float64{0.0003, 1.0 / 3, 0.7, 7.3} {
		s := limiter.Shares(rate, 1)[0]
		p := limiter.NewPart(limiter.PartConfig{Share: s, Active: start})
		const steps = 1000
		due := start.Add(p.Grant(start, limiter.HolderID{}, limiter.Ask{Sequence: 1, Tokens: 1}).RetryAfter)
		step := due.Sub(start)/steps + 13
		slack := 2*time.Second/time.Duration(s.Rate) + 1
		now, asked := start, uint64(1)
		for {
			now, asked = now.Add(step), asked+1
			r := p.Grant(now, limiter.HolderID{}, limiter.Ask{Sequence: asked, Tokens: 1})
			if r.Tokens > 0 {
				break
			}
			if d := now.Add(r.RetryAfter).Sub(due).Abs(); d > slack {
				t.Fatalf("rate %v: after %d asks the token is due %v off", rate, asked, d)
			}
		}
		if now.Sub(due) > step {
			t.Errorf("rate %v: the token came %v late", rate, now.Sub(due))
		}
	}
}

func BenchmarkTake(b *testing.B) {
	w := newWorld(1e6, 1e6, 1)
	w.now = w.now.Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		w.now = w.now.Add(20 * time.Microsecond)
		if w.holders[0].Take(w.now) {
			continue
		}
		w.now = w.now.Add(limiter.DefaultInterval)
		w.send(0, 1)
		for _, e := range w.asks {
			w.answer(w.deliver(e))
		}
		w.asks = w.asks[:0]
	}
}
