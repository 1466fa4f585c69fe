package limiter_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/limiter"
)

// Guards against halves too small for one request, and against halves that do not add up to the whole.
func TestParts(t *testing.T) {
	cases := []struct {
		rate, burst float64
		parts       int
	}{
		{rate: 0.1, burst: 1, parts: 1},
		{rate: 100, burst: 7.999999999, parts: 1},
		{rate: 1, burst: 8, parts: 2},
		{rate: 1.0 / 3, burst: 8.000000001, parts: 2},
		{rate: 240, burst: 480, parts: 2},
		{rate: math.Inf(1), burst: math.Inf(1), parts: 2},
		{rate: math.NaN(), burst: -1, parts: 1},
	}
	for _, c := range cases {
		ls := limiter.Parts(c.rate, c.burst)
		var r, b int64
		for _, l := range ls {
			r, b = r+l.Rate, b+l.Burst
			if len(ls) > 1 && l.Burst < 1e9 {
				t.Errorf("rate %v burst %v: half %v cannot pass a request", c.rate, c.burst, l)
			}
		}
		if len(ls) != c.parts {
			t.Errorf("rate %v burst %v: %d parts, want %d", c.rate, c.burst, len(ls), c.parts)
		}
		if c.rate < 1e9 && (r != int64(math.Round(c.rate*1e9)) || b != int64(math.Round(c.burst*1e9))) {
			t.Errorf("rate %v burst %v: sums %d and %d", c.rate, c.burst, r, b)
		}
	}
}

// Guards against retry times that are too early, so that the retry fails, or later than needed.
func TestRetry(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*runs; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		now := epoch
		l := halves(pick(r, []float64{0.3, 3, 40, 900}), pick(r, []float64{1, 3.7, 12}))[0]
		p := limiter.NewPart(now, l)
		for range 50 {
			now = now.Add(time.Duration(r.Int64N(int64(400 * time.Millisecond))))
			n := 1 + r.IntN(8)
			g, retry := p.Grant(now, limiter.Request{Tokens: n})
			if g >= n {
				continue
			}
			q := *p
			if g, _ := q.Grant(now.Add(retry-1), limiter.Request{Tokens: 1}); g != 0 {
				t.Fatalf("seed %d: a token was there before %v", seed, retry)
			}
			now = now.Add(retry)
			if g, _ := p.Grant(now, limiter.Request{Tokens: 1}); g != 1 {
				t.Fatalf("seed %d: no token after %v", seed, retry)
			}
		}
	}
}

// Guards against kept parts that lose their tokens and released parts that keep granting when ownership changes.
func TestOwnerSet(t *testing.T) {
	o, now := limiter.NewOwner(), epoch
	l := limiter.Parts(10, 20)
	both := []limiter.Owned{{Account: "kiln", Part: 0, Limit: l[0]}, {Account: "kiln", Part: 1, Limit: l[1]}}
	steps := []struct {
		after time.Duration
		owned []limiter.Owned
		want  [2]limiter.Reply
	}{
		{want: [2]limiter.Reply{{NotOwner: true}, {NotOwner: true}}},
		{owned: both, want: [2]limiter.Reply{{Life: limiter.GrantTTL, Retry: 700 * time.Millisecond}, {Life: limiter.GrantTTL, Retry: 700 * time.Millisecond}}},
		{after: time.Hour, owned: both[1:], want: [2]limiter.Reply{{NotOwner: true}, {Tokens: 1, Life: limiter.GrantTTL}}},
		{owned: both, want: [2]limiter.Reply{{Life: limiter.GrantTTL, Retry: 700 * time.Millisecond}, {Tokens: 1, Life: limiter.GrantTTL}}},
		{after: time.Second, owned: both, want: [2]limiter.Reply{{Tokens: 1, Life: limiter.GrantTTL}, {Tokens: 1, Life: limiter.GrantTTL}}},
	}
	for i, s := range steps {
		now = now.Add(s.after)
		o.Set(now, s.owned)
		for p, want := range s.want {
			got := o.Grant(now, "kiln", p, limiter.Request{Tokens: 1})
			got.Retry = got.Retry.Truncate(time.Microsecond)
			if got != want {
				t.Errorf("step %d part %d: %+v, want %+v", i, p, got, want)
			}
		}
	}
}

// Guards against a planned change of owner that leaves an account without tokens for some time, and against a new owner
// that accepts an invalid state.
func TestHandOver(t *testing.T) {
	l := limiter.Limit{Rate: 10e9, Burst: 20e9}
	cases := []struct {
		name  string
		state *limiter.State
		want  int
	}{
		{name: "no report"},
		{name: "full", state: &limiter.State{Limit: l, Tokens: 20e9}, want: 20},
		{name: "some outstanding", state: &limiter.State{Limit: l, Tokens: 5e9, Outstanding: 15e9}, want: 5},
		{name: "more than fits", state: &limiter.State{Limit: l, Tokens: 20e9, Outstanding: 15e9}, want: 5},
		{name: "all outstanding", state: &limiter.State{Limit: l, Outstanding: 30e9}},
		{name: "other limit", state: &limiter.State{Limit: limiter.Limit{Rate: 1e9, Burst: 2e9}, Tokens: 2e9}},
		{name: "negative", state: &limiter.State{Limit: l, Tokens: 5e9, Outstanding: -1}},
	}
	for _, c := range cases {
		o := limiter.NewOwner()
		o.Set(epoch, []limiter.Owned{{Account: "kiln", Limit: l, Inherited: c.state}})
		if r := o.Grant(epoch, "kiln", 0, limiter.Request{Holder: "a", Ask: 1, Tokens: 40}); r.Tokens != c.want {
			t.Errorf("%s: %d tokens at once, want %d", c.name, r.Tokens, c.want)
		}
		if r := o.Grant(epoch.Add(time.Second), "kiln", 0, limiter.Request{Holder: "a", Ask: 2, Tokens: 40}); r.Tokens != 5 {
			t.Errorf("%s: %d tokens half a second after the grants lapsed, want 5", c.name, r.Tokens)
		}
	}
}

// Guards against attributing held tokens to grants that expire before the tokens do.
func TestSettle(t *testing.T) {
	p := limiter.NewPart(epoch.Add(-time.Hour), limiter.Limit{Rate: 1e12, Burst: 6e9})
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	p.Grant(at(0), limiter.Request{Holder: "a", Ask: 1, Tokens: 2})
	p.Grant(at(400), limiter.Request{Holder: "a", Ask: 2, Tokens: 2, Held: 2})
	p.Grant(at(450), limiter.Request{Holder: "a", Ask: 3, Held: 2})
	for _, c := range []struct{ ms, want int }{{499, 4}, {899, 0}, {950, 2}, {998, 0}, {1050, 4}} {
		if n, _ := p.Grant(at(c.ms), limiter.Request{Holder: "b", Tokens: 6}); n != c.want {
			t.Errorf("%d tokens after %d ms, want %d", n, c.ms, c.want)
		}
	}
}

// Guards against an owner that stops counting held tokens as outstanding because the holder does not report them.
func TestHeld(t *testing.T) {
	h, now := limiter.NewHolder(limiter.HolderConfig{}), epoch
	granted, taken, reported := 0, 0, 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		_, a := h.Take(now, "kiln", now.Add(time.Second))
		for len(a.Fetches) > 0 {
			taken += len(a.Admitted)
			k := a.Fetches[0]
			if k.Part == 1 {
				a = h.Failed(now, k)
				continue
			}
			if k.Held != granted-taken {
				t.Fatalf("%d tokens held, but %d reported to the owner", granted-taken, k.Held)
			}
			reported += k.Held
			granted += k.Tokens
			a = h.Granted(now, k, limiter.Reply{Tokens: k.Tokens, Life: limiter.GrantTTL})
		}
		taken += len(a.Admitted)
	}
	if reported == 0 {
		t.Fatal("no token request was made while tokens were held")
	}
}

// BenchmarkTakeOverloaded measures Take for an account with a long queue of waiting requests.
func BenchmarkTakeOverloaded(b *testing.B) {
	h, now := limiter.NewHolder(limiter.HolderConfig{}), epoch
	for b.Loop() {
		now = now.Add(400 * time.Microsecond)
		_, a := h.Take(now, "kiln", now.Add(time.Second))
		for _, k := range a.Fetches {
			h.Granted(now, k, limiter.Reply{Tokens: 1, Life: limiter.GrantTTL, Retry: time.Millisecond})
		}
	}
}

func BenchmarkTake(b *testing.B) {
	h, now := limiter.NewHolder(limiter.HolderConfig{}), epoch
	l := limiter.Parts(1e6, 2e6)
	parts := [2]*limiter.Part{limiter.NewPart(now.Add(-time.Hour), l[0]), limiter.NewPart(now.Add(-time.Hour), l[1])}
	for b.Loop() {
		now = now.Add(50 * time.Microsecond)
		_, a := h.Take(now, "kiln", now.Add(time.Second))
		for _, k := range a.Fetches {
			n, retry := parts[k.Part].Grant(now, limiter.Request{Ask: k.ID, Tokens: k.Tokens, Held: k.Held})
			h.Granted(now, k, limiter.Reply{Tokens: n, Life: limiter.GrantTTL, Retry: retry})
		}
	}
}

// Guards against a change of rate or burst that creates tokens.
func TestSetLimit(t *testing.T) {
	const token = 1_000_000_000
	cases := []struct {
		name   string
		first  int
		wait   time.Duration
		limit  limiter.Limit
		atOnce int
		// later is the number of tokens added in the second after the change; 0 is not checked.
		later int
	}{
		{name: "rate raised", first: 10, wait: 1500 * time.Millisecond, limit: limiter.Limit{Rate: 8 * token, Burst: 10 * token}, atOnce: 1, later: 8},
		{name: "rate lowered", first: 10, wait: 3500 * time.Millisecond, limit: limiter.Limit{Rate: token, Burst: 10 * token}, atOnce: 3, later: 1},
		{name: "burst raised", first: 0, wait: time.Minute, limit: limiter.Limit{Rate: token, Burst: 90 * token}, atOnce: 10, later: 1},
		{name: "burst lowered", first: 0, wait: time.Minute, limit: limiter.Limit{Rate: token, Burst: 4 * token}, atOnce: 4},
		{name: "burst lowered below what is outstanding", first: 6, wait: 0, limit: limiter.Limit{Rate: token, Burst: 5 * token}, atOnce: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := limiter.NewPart(epoch.Add(-time.Hour), limiter.Limit{Rate: token, Burst: 10 * token})
			p.Grant(epoch, limiter.Request{Tokens: c.first})
			now := epoch.Add(c.wait)
			p.SetLimit(now, c.limit)
			if n, _ := p.Grant(now, limiter.Request{Tokens: 100}); n != c.atOnce {
				t.Fatalf("%d tokens at once, want %d", n, c.atOnce)
			}
			if n, _ := p.Grant(now.Add(time.Second), limiter.Request{Tokens: 100}); c.later > 0 && n != c.later {
				t.Fatalf("%d tokens later, want %d", n, c.later)
			}
		})
	}
}
