package breaker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/breaker"
)

// copied is one copy of a request that arrived at an instance.
type copied struct {
	at       time.Time
	instance int
	pass     breaker.Pass
	// ends is when the copy ends; zero while it waits.
	ends time.Time
}

// race sends copies of one request to a fleet, where instance 0 tries suspects.
type race struct {
	*fleet
	copies []copied
	// lasts is how long a copy runs, delay how long a strike takes to a peer.
	lasts, delay time.Duration
	crashing     bool
	most, done   int
}

const raceStep = 10 * time.Millisecond

// run returns when all copies have ended or are refused.
func (r *race) run(f breaker.Fingerprint) {
	for now := start; len(r.copies) > 0; now = now.Add(raceStep) {
		r.deliver(now)
		r.copies = slices.DeleteFunc(r.copies, func(c copied) bool { return !c.ends.IsZero() && !now.Before(c.ends) && r.end(now, f, c) })
		r.copies = slices.DeleteFunc(r.copies, func(c copied) bool { return !r.members[c.instance].Blocked(now, f).IsZero() && c.ends.IsZero() })
		running := 0
		for i := range r.copies {
			c := &r.copies[i]
			if c.ends.IsZero() && !now.Before(c.at) {
				r.begin(now, f, c)
			}
			if !c.ends.IsZero() {
				running++
			}
		}
		r.most = max(r.most, running)
	}
}

func (r *race) begin(now time.Time, f breaker.Fingerprint, c *copied) {
	if c.instance != 0 && r.members[c.instance].Suspect(now, f) {
		// The wait starts anew where the copy arrives.
		c.instance, c.at = 0, now
	}
	if !r.members[c.instance].Blocked(now, f).IsZero() {
		return
	}
	if p, ok := r.members[c.instance].Start(now, f, now.Sub(c.at)); ok {
		c.pass, c.ends = p, now.Add(r.lasts)
	}
}

func (r *race) end(now time.Time, f breaker.Fingerprint, c copied) bool {
	r.done++
	if r.crashing {
		r.strike(now, c.instance, f, r.delay)
	}
	for _, s := range r.members[c.instance].End(now, c.pass, !r.crashing) {
		r.send(now, s, r.delay)
	}
	return true
}

// Guards against copies of a crashing request that run at the same time on many targets.
func TestCopiesCrashFewTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "instances")
		r := race{fleet: newFleet(n), crashing: true}
		r.lasts = time.Duration(rapid.IntRange(0, 900).Draw(t, "lasts_ms")) * time.Millisecond
		r.delay = time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay_ms")) * time.Millisecond
		for range rapid.IntRange(1, 60).Draw(t, "copies") {
			at := start.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "at_ms")) * time.Millisecond)
			r.copies = append(r.copies, copied{at: at, instance: rapid.IntRange(0, n-1).Draw(t, "instance")})
		}
		// Each instance runs one copy before it knows a strike; instance 0 tries one more.
		if r.run(fingerprint("a", "/bad")); r.crashes > n+1 {
			t.Fatalf("%d targets crashed, want at most %d", r.crashes, n+1)
		}
	})
}

// Guards against copies that run side by side after a strike, and against a strike by chance that holds back a request for good.
func TestSuspectRunsAloneUntilItEndedWell(t *testing.T) {
	f := fingerprint("a", "/good")
	for _, c := range []struct {
		name   string
		struck bool
		most   int
	}{
		{"without a strike, the first copy runs alone", false, 20},
		{"after a strike, the first copy in the fleet runs alone", true, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := race{fleet: newFleet(2), lasts: 100 * time.Millisecond}
			for i := range 40 {
				r.copies = append(r.copies, copied{at: start.Add(time.Duration(i/20) * 400 * time.Millisecond), instance: i % 2})
			}
			if c.struck {
				r.strike(start, 1, f, 0)
			}
			now := start
			alone := 0
			for i := range r.copies[:20] {
				if r.begin(now, f, &r.copies[i]); !r.copies[i].ends.IsZero() {
					alone++
				}
			}
			want := 2
			if c.struck {
				want = 1
			}
			if alone != want {
				t.Errorf("%d copies run at first, want %d", alone, want)
			}
			if r.run(f); r.done != 40 || r.most < c.most-1 {
				t.Errorf("%d copies ended, want 40; at most %d at once, want %d", r.done, r.most, c.most)
			}
			for i, m := range r.members {
				if m.Suspect(start.Add(time.Second), f) {
					t.Errorf("instance %d still suspects the request", i)
				}
			}
		})
	}
}

// Guards against waits behind a copy that is slow, and behind a request whose copies were found to end well.
func TestHoldIsBounded(t *testing.T) {
	b := breaker.New(breaker.Config{Max: 10})
	for i := range 100 {
		f := fingerprint("a", fmt.Sprint("/", i))
		p, _ := b.Start(start, f, 0)
		if _, ok := b.Start(start, f, breaker.DefaultHold-1); ok {
			t.Fatal("a copy runs beside the first one")
		}
		if _, ok := b.Start(start, f, breaker.DefaultHold); !ok {
			t.Fatal("a copy waits longer than the hold")
		}
		b.End(start, p, true)
		if i%2 == 0 {
			continue
		}
		b.Start(start, f, 0)
		if _, ok := b.Start(start, f, 0); !ok {
			t.Fatal("copies of a request that ended well wait")
		}
	}
}
