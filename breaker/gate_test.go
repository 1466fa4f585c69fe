package breaker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/breaker"
)

// requestCopy is one copy of a request that arrived at an instance.
type requestCopy struct {
	at       time.Time
	instance int
	pass     breaker.Pass
	// endsAt is when the copy ends; zero while it waits.
	endsAt time.Time
}

// copySimulation sends copies of one request to a fleet in which instance 0 runs all suspects.
type copySimulation struct {
	*fleet
	copies []requestCopy
	// runTime is how long a copy runs; delay is the delivery delay of a strike.
	runTime, delay    time.Duration
	crashing          bool
	maxRunning, ended int
}

const simulationStep = 10 * time.Millisecond

// run simulates until all copies have ended or are blocked.
func (r *copySimulation) run(f breaker.Fingerprint) {
	for now := start; len(r.copies) > 0; now = now.Add(simulationStep) {
		r.deliver(now)
		r.copies = slices.DeleteFunc(r.copies, func(c requestCopy) bool { return !c.endsAt.IsZero() && !now.Before(c.endsAt) && r.end(now, f, c) })
		r.copies = slices.DeleteFunc(r.copies, func(c requestCopy) bool { return !r.members[c.instance].Blocked(now, f).IsZero() && c.endsAt.IsZero() })
		running := 0
		for i := range r.copies {
			c := &r.copies[i]
			if c.endsAt.IsZero() && !now.Before(c.at) {
				r.begin(now, f, c)
			}
			if !c.endsAt.IsZero() {
				running++
			}
		}
		r.maxRunning = max(r.maxRunning, running)
	}
}

func (r *copySimulation) begin(now time.Time, f breaker.Fingerprint, c *requestCopy) {
	if c.instance != 0 && r.members[c.instance].Suspect(now, f) {
		// The wait starts over at the instance that the copy moves to.
		c.instance, c.at = 0, now
	}
	if !r.members[c.instance].Blocked(now, f).IsZero() {
		return
	}
	if p, ok := r.members[c.instance].Start(now, f, now.Sub(c.at)); ok {
		c.pass, c.endsAt = p, now.Add(r.runTime)
	}
}

func (r *copySimulation) end(now time.Time, f breaker.Fingerprint, c requestCopy) bool {
	r.ended++
	if r.crashing {
		r.strike(now, c.instance, f, r.runTime, r.delay)
	}
	for _, s := range r.members[c.instance].End(now, c.pass, !r.crashing) {
		r.send(now, s, r.delay)
	}
	return true
}

// Guards against concurrent copies of a crashing request that crash many targets.
func TestCopiesCrashFewTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "instances")
		r := copySimulation{fleet: newFleet(n), crashing: true}
		r.runTime = time.Duration(rapid.IntRange(0, 900).Draw(t, "lasts_ms")) * time.Millisecond
		r.delay = time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay_ms")) * time.Millisecond
		for range rapid.IntRange(1, 60).Draw(t, "copies") {
			at := start.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "at_ms")) * time.Millisecond)
			r.copies = append(r.copies, requestCopy{at: at, instance: rapid.IntRange(0, n-1).Draw(t, "instance")})
		}
		// Each instance runs one copy before it receives a strike; instance 0 runs one more.
		if r.run(fingerprint("a", "/bad")); r.crashes > n+1 {
			t.Fatalf("%d targets crashed, want at most %d", r.crashes, n+1)
		}
	})
}

// Guards against concurrent copies after a strike, and against a coincidental strike that serializes a request forever.
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
			r := copySimulation{fleet: newFleet(2), runTime: 100 * time.Millisecond}
			for i := range 40 {
				r.copies = append(r.copies, requestCopy{at: start.Add(time.Duration(i/20) * 400 * time.Millisecond), instance: i % 2})
			}
			if c.struck {
				r.strike(start, 1, f, 0, 0)
			}
			now := start
			alone := 0
			for i := range r.copies[:20] {
				if r.begin(now, f, &r.copies[i]); !r.copies[i].endsAt.IsZero() {
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
			if r.run(f); r.ended != 40 || r.maxRunning < c.most-1 {
				t.Errorf("%d copies ended, want 40; at most %d at once, want %d", r.ended, r.maxRunning, c.most)
			}
			for i, m := range r.members {
				if m.Suspect(start.Add(time.Second), f) {
					t.Errorf("instance %d still suspects the request", i)
				}
			}
		})
	}
}

// Guards against waits longer than Hold for a slow copy, and waits for requests of which a copy has succeeded.
func TestHoldIsBounded(t *testing.T) {
	b := breaker.New(breaker.Config{MaxFingerprints: 10})
	for i := range 100 {
		f := fingerprint("a", fmt.Sprint("/", i))
		p, _ := b.Start(start, f, 0)
		if _, ok := b.Start(start, f, breaker.DefaultHold-1); ok {
			t.Fatal("a second copy runs while the first one runs")
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
			t.Fatal("copies of a request that succeeded wait")
		}
	}
}
