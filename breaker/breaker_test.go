package breaker_test

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/breaker"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fingerprint(account, path string) breaker.Fingerprint {
	return breaker.Request{Account: account, Route: "r", Method: "POST", Path: path}.Fingerprint()
}

// fleet simulates instances whose strikes are delivered to all peers twice, after delay and after twice the delay.
type fleet struct {
	members []*breaker.Breaker
	pending []delivery
	crashes int
}

type delivery struct {
	at     time.Time
	to     int
	strike breaker.Strike
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for range n {
		f.members = append(f.members, breaker.New(breaker.Config{}))
	}
	return f
}

// run sends a crashing request to instance i. It returns false if the request is blocked there.
func (f *fleet) run(now time.Time, i int, p breaker.Fingerprint, delay time.Duration) bool {
	f.deliver(now)
	if !f.members[i].Blocked(now, p).IsZero() {
		return false
	}
	f.strike(now, i, p, 0, delay)
	return true
}

func (f *fleet) deliver(now time.Time) {
	f.pending = slices.DeleteFunc(f.pending, func(d delivery) bool {
		if d.at.After(now) {
			return false
		}
		f.members[d.to].Strike(now, d.strike)
		return true
	})
}

// strike records that a copy which ran for some time at instance i crashed its target.
func (f *fleet) strike(now time.Time, i int, p breaker.Fingerprint, ran, delay time.Duration) {
	f.crashes++
	s := breaker.Strike{ID: fmt.Sprint(i, "-", f.crashes), Fingerprint: p, At: now, Ran: ran}
	f.members[i].Strike(now, s)
	f.send(now, s, delay)
}

func (f *fleet) send(now time.Time, s breaker.Strike, delay time.Duration) {
	for to := range f.members {
		f.pending = append(f.pending, delivery{now.Add(delay), to, s}, delivery{now.Add(2 * delay), to, s})
	}
}

// Guards against a crashing request that its caller resends to one instance after another, crashing a target each time.
func TestResentRequestCrashesFewTargets(t *testing.T) {
	const instances, delay, gap = 7, 100 * time.Millisecond, 500 * time.Millisecond
	for _, c := range []struct {
		name  string
		gap   time.Duration
		limit int
	}{
		{"resent after the strike reached the peers", gap, 2},
		// Before a strike arrives, each instance may run the request once.
		{"resent at once everywhere", 0, instances},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(instances)
			bad, good := fingerprint("a", "/bad"), fingerprint("a", "/good")
			now := start
			for i := range 100 {
				f.run(now, i%instances, bad, delay)
				if !f.members[i%instances].Blocked(now, good).IsZero() {
					t.Fatal("another request of the account is blocked")
				}
				now = now.Add(c.gap)
				if i%instances == instances-1 {
					now = now.Add(gap)
				}
			}
			if f.crashes > c.limit {
				t.Fatalf("%d targets crashed, want at most %d", f.crashes, c.limit)
			}
			if now = now.Add(breaker.DefaultBlockDuration); !f.run(now, 0, bad, delay) {
				t.Fatal("still blocked after the block has passed")
			}
		})
	}
}

// Guards against blocking a frequent request because it is in flight when other requests crash targets.
func TestRequestThatEndsWellIsNotBlocked(t *testing.T) {
	b := breaker.New(breaker.Config{})
	f := fingerprint("a", "/popular")
	for i := range 20 {
		now := start.Add(time.Duration(i) * 10 * time.Second)
		b.Strike(now, breaker.Strike{ID: fmt.Sprint(i), Fingerprint: f, At: now})
		if u := b.Blocked(now, f); !u.IsZero() {
			t.Fatalf("blocked until %v after %d crashes, although a copy succeeded after each", u, i+1)
		}
		p, ok := b.Start(now, f, 0)
		if !ok {
			t.Fatalf("no copy may run after crash %d", i+1)
		}
		b.End(now, p, true)
	}
}

// Guards against blocking requests that ran on a target which crashes for other reasons.
func TestDyingTargetBlocksNothing(t *testing.T) {
	b := breaker.New(breaker.Config{})
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Second)
		f := fingerprint("a", fmt.Sprint("/", i))
		b.Strike(now, breaker.Strike{ID: fmt.Sprint(i), Fingerprint: f, At: now})
		if !b.Blocked(now, f).IsZero() {
			t.Fatalf("request %d is blocked after one strike", i)
		}
	}
}

// Guards against state that depends on the order or number of deliveries, and against missing, wrong, too long or too short
// blocks.
func TestBlocksMatchModel(t *testing.T) {
	paths := []breaker.Fingerprint{fingerprint("a", "/1"), fingerprint("a", "/2"), fingerprint("b", "/1")}
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) breaker.Strike {
			return breaker.Strike{
				ID:          rapid.StringMatching("[a-z]{6}").Draw(t, "id"),
				Fingerprint: rapid.SampledFrom(paths).Draw(t, "fingerprint"),
				At:          start.Add(time.Duration(rapid.IntRange(0, 15*60).Draw(t, "second")) * time.Second),
				Cleared:     rapid.Bool().Draw(t, "cleared"),
			}
		}), 0, 8).Draw(t, "strikes")
		now := start.Add(15 * time.Minute)
		a, b := breaker.New(breaker.Config{}), breaker.New(breaker.Config{})
		for _, s := range all {
			a.Strike(now, s)
		}
		late := slices.Clone(all)
		for i := range late {
			// A strike sent before it was cleared may arrive after the cleared one.
			late[i].Cleared = false
		}
		for _, s := range rapid.Permutation(append(late, all...)).Draw(t, "deliveries") {
			b.Strike(now, s)
		}
		// The third instance receives strikes only from the second.
		c := breaker.New(breaker.Config{})
		for _, s := range b.Strikes(now, 100) {
			c.Strike(now, s)
		}
		for _, f := range paths {
			want := model(all, f, now)
			for _, m := range []*breaker.Breaker{a, b, c} {
				if got := m.Blocked(now, f); !got.Equal(want) {
					t.Fatalf("blocked until %v, want %v", got, want)
				}
				if m.Tick(now); !m.Blocked(now, f).Equal(want) {
					t.Fatalf("Tick changed the block")
				}
			}
		}
	})
}

// model computes the end of a block by comparing all pairs of uncleared strikes.
func model(all []breaker.Strike, f breaker.Fingerprint, now time.Time) (until time.Time) {
	for _, x := range all {
		for _, y := range all {
			d := y.At.Sub(x.At)
			if x.Cleared || y.Cleared || x.ID == y.ID || x.Fingerprint != f || y.Fingerprint != f || d < 0 || d > breaker.DefaultWindow {
				continue
			}
			if u := y.At.Add(breaker.DefaultBlockDuration); u.After(until) && now.Before(u) {
				until = u
			}
		}
	}
	return until
}

// Guards against memory that grows with the number of crashing requests, and against evicting a blocked fingerprint in
// favour of one with a single strike.
func TestTableIsBounded(t *testing.T) {
	const limit = 10
	b := breaker.New(breaker.Config{MaxFingerprints: limit})
	bad := fingerprint("a", "/bad")
	for i := range 100 * limit {
		f := fingerprint("a", fmt.Sprint("/", i))
		if i < breaker.DefaultThreshold {
			f = bad
		}
		b.Strike(start, breaker.Strike{ID: fmt.Sprint(i), Fingerprint: f, At: start.Add(time.Duration(i))})
	}
	if b.Len() != limit || b.Blocked(start, bad).IsZero() {
		t.Fatalf("%d fingerprints, blocked until %v", b.Len(), b.Blocked(start, bad))
	}
	if b.Tick(start.Add(time.Hour)); b.Len() != 0 {
		t.Fatalf("%d fingerprints left after an hour", b.Len())
	}
}

// Guards against bodies that are altered by taking their digest, equal digests of different bodies, and digests that depend
// on whether the length was declared.
func TestBodyDigest(t *testing.T) {
	seen := map[breaker.BodyDigest]string{}
	for _, n := range []int{0, 1, breaker.DigestPrefix - 1, breaker.DigestPrefix, breaker.DigestPrefix + 1, 3 * breaker.DigestPrefix} {
		for _, fill := range []string{"a", "b"} {
			body := strings.Repeat(fill, n)
			d, r, err := breaker.ReadBody(strings.NewReader(body), int64(n))
			var b []byte
			if r != nil {
				b, _ = io.ReadAll(r)
			}
			if err != nil || !bytes.Equal(b, []byte(body)) {
				t.Fatalf("%d bytes: %v, body of %d bytes", n, err, len(b))
			}
			if o, ok := seen[d]; ok && o != body {
				t.Fatalf("%d bytes of %q share a digest with %d of %q", n, fill, len(o), o[:1])
			}
			seen[d] = body
			if u, _, _ := breaker.ReadBody(strings.NewReader(body), -1); n > 0 && n < breaker.DigestPrefix && u != d {
				t.Fatalf("%d bytes: the digest depends on the declared length", n)
			}
		}
	}
}

func BenchmarkBlocked(b *testing.B) {
	k := breaker.New(breaker.Config{})
	for i := range breaker.DefaultMaxFingerprints {
		k.Strike(start, breaker.Strike{ID: "x", Fingerprint: fingerprint("a", fmt.Sprint(i)), At: start})
	}
	b.ReportAllocs()
	for b.Loop() {
		k.Blocked(start, fingerprint("a", "17"))
	}
}
