package breaker_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/breaker"
)

// ended is a copy whose target crashed, in milliseconds after start.
type ended struct {
	sent, at int
	crash    string
}

// strike records the strikes of copies and returns the time of the last crash.
func strike(b *breaker.Breaker, f breaker.Fingerprint, es ...ended) time.Time {
	var now time.Time
	for i, e := range es {
		now = start.Add(time.Duration(e.at) * time.Millisecond)
		b.Strike(now, breaker.Strike{
			ID: fmt.Sprint(e, i), Fingerprint: f, At: now, Ran: time.Duration(e.at-e.sent) * time.Millisecond, Crash: e.crash,
		})
	}
	return now
}

// Guards against a request that is refused because it was in flight when targets crashed that it did not crash.
func TestRequestInFlightAtCrashesIsNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		ended []ended
		want  breaker.Verdict
	}{
		"one copy":                         {[]ended{{0, 100, "a"}}, breaker.Free},
		"copies on one target":             {[]ended{{0, 100, "a"}, {50, 100, "a"}, {60, 110, "a"}}, breaker.Free},
		"copies on one target, one late":   {[]ended{{0, 100, "a"}, {105, 110, "a"}}, breaker.Free},
		"copies on targets of one zone":    {[]ended{{0, 100, "a"}, {50, 100, "b"}, {60, 130, "c"}}, breaker.Alone},
		"copies on targets without a name": {[]ended{{0, 100, ""}, {50, 100, ""}}, breaker.Alone},
		"one copy after the other":         {[]ended{{0, 100, "a"}, {101, 150, "b"}}, breaker.Refused},
		"one of several after another":     {[]ended{{0, 100, "a"}, {20, 100, "b"}, {101, 150, "c"}}, breaker.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			b, f := breaker.New(breaker.Config{}), fingerprint("a", "/popular")
			now := strike(b, f, c.ended...)
			if v, _, _ := b.Judge(now, f); v != c.want {
				t.Errorf("verdict %v, want %v", v, c.want)
			}
			b.Succeeded(now, f)
			if v, _, _ := b.Judge(now, f); v != breaker.Free {
				t.Errorf("verdict %v after a copy that succeeded", v)
			}
		})
	}
}

// Guards against a block that nothing ends although the targets crashed for another reason, against trials of several copies at
// once, and against trials at the same pace after each has crashed a target.
func TestBlockedRequestIsTried(t *testing.T) {
	b, f := breaker.New(breaker.Config{}), fingerprint("a", "/suspect")
	now := strike(b, f, ended{0, 100, "a"}, ended{101, 150, "b"})
	for i, wait := range []time.Duration{15 * time.Second, 2 * time.Minute, 10 * time.Minute} {
		if v, _, at := b.Judge(now, f); v != breaker.Refused || !at.Equal(now.Add(wait)) || b.Grant(now, f) {
			t.Fatalf("trial %d: verdict %v until %v after the strike, want %v", i, v, at.Sub(now), wait)
		}
		if wait == breaker.DefaultBlockDuration {
			break
		}
		now = now.Add(wait)
		if v, _, _ := b.Judge(now, f); v != breaker.Alone {
			t.Fatalf("trial %d: verdict %v", i, v)
		}
		if !b.Grant(now, f) || b.Grant(now.Add(time.Second), f) {
			t.Fatalf("trial %d: not one copy may run", i)
		}
		now = now.Add(2 * time.Second)
		b.Strike(now, breaker.Strike{ID: fmt.Sprint("trial", i), Fingerprint: f, At: now, Ran: time.Second})
	}
	if c := b.Succeeded(now, f); len(c) != 4 {
		t.Errorf("%d strikes cleared", len(c))
	}
	if v, _, _ := b.Judge(now, f); v != breaker.Free {
		t.Errorf("verdict %v after a copy that succeeded", v)
	}
	if n := len(b.ChangedSince(now, now, 10)); n != 4 {
		t.Errorf("%d cleared strikes to pass on", n)
	}
}

// run is a copy at a target, with the time at which it ends.
type run struct {
	instance   int
	sent, ends time.Time
}

// simulate sends a copy of a request to a random instance of n at each gap for a time. A target crashes when its copy ends if
// crashes says so. It returns how many copies were sent and refused, and when those that crashed a target were sent.
func simulate(t *rapid.T, n int, gap, lasts, delay, total time.Duration, crashes func(now time.Time) bool) (sent, refused int, at []time.Time) {
	f := fingerprint("a", "/x")
	fl := newFleet(n)
	var runs []run
	next := start
	for now := start; now.Before(start.Add(total)); now = now.Add(simulationStep) {
		fl.deliver(now)
		var left []run
		for _, r := range runs {
			switch {
			case crashes(now) || now.Equal(r.ends) && crashes(r.ends):
				fl.strike(now, r.instance, f, now.Sub(r.sent), delay)
				at = append(at, r.sent)
			case now.Before(r.ends):
				left = append(left, r)
			default:
				for _, s := range fl.members[r.instance].Succeeded(now, f) {
					fl.send(now, s, delay)
				}
			}
		}
		runs = left
		if now.Before(next) {
			continue
		}
		next = next.Add(gap)
		sent++
		i := rapid.IntRange(0, n-1).Draw(t, "instance")
		v, _, _ := fl.members[i].Judge(now, f)
		if v == breaker.Refused || v == breaker.Alone && !fl.members[0].Grant(now, f) {
			refused++
			continue
		}
		runs = append(runs, run{instance: i, sent: now, ends: now.Add(lasts)})
	}
	return sent, refused, at
}

// Guards against a crashing request that reaches more than three targets later than 3 s after its third crash, and against one
// that keeps crashing targets because copies run at once.
func TestCrashingRequestIsStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "instances")
		gap := time.Duration(rapid.IntRange(2, 100).Draw(t, "gap")) * simulationStep
		delay := time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * simulationStep
		_, _, at := simulate(t, n, gap, simulationStep, delay, time.Minute, func(time.Time) bool { return true })
		late := 0
		for i, a := range at {
			if i > 2 && a.Sub(at[2]) > 3*time.Second {
				late++
			}
		}
		if late > 3 {
			t.Fatalf("%d copies crashed targets later than 3 s after the third crash: %v", late, at)
		}
	})
}

// Guards against a frequent request that is refused for long because all targets that have it crash at one moment, as when a
// failure domain loses power, once or several times.
func TestFrequentRequestSurvivesCrashesOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "instances")
		gap := time.Duration(rapid.IntRange(2, 10).Draw(t, "gap")) * simulationStep
		lasts := time.Duration(rapid.IntRange(1, 40).Draw(t, "lasts")) * simulationStep
		delay := time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * simulationStep
		down := map[time.Time]bool{}
		for range rapid.IntRange(1, 2).Draw(t, "outages") {
			down[start.Add(time.Duration(rapid.IntRange(50, 1000).Draw(t, "outage"))*simulationStep)] = true
		}
		sent, refused, at := simulate(t, n, gap, lasts, delay, time.Minute, func(now time.Time) bool { return down[now] })
		// Each outage may hold the request up until a trial after it: two in succession block it for 15 s, a third one for 2 min.
		if refused > sent*3/4 {
			t.Fatalf("%d of %d refused after %d crashes", refused, sent, len(at))
		}
		if len(down) == 1 && time.Duration(refused)*gap > 2*time.Second+lasts {
			t.Fatalf("%d of %d refused after one outage with %d crashes", refused, sent, len(at))
		}
	})
}

// Guards against a crashing request that goes on because each copy has another query, and against a path that is refused although
// other queries are answered, or because several targets that ran its requests crash at one moment.
func TestPathWithAnyQueryIsBlocked(t *testing.T) {
	request := func(query string) [2]breaker.Fingerprint {
		r := breaker.Request{Account: "a", Route: "r", Method: "GET", Path: "/find?" + query}
		return [2]breaker.Fingerprint{r.Fingerprint(), r.PathFingerprint()}
	}
	crash := func(b *breaker.Breaker, now time.Time, fs [2]breaker.Fingerprint, ran time.Duration) {
		for i, f := range fs {
			b.Strike(now, breaker.Strike{ID: fmt.Sprint(now, i, f), Fingerprint: f, At: now, Ran: ran, Path: i > 0})
		}
	}
	for _, answered := range []bool{false, true} {
		b, now := breaker.New(breaker.Config{}), start
		for i := range 3 {
			fs := request(fmt.Sprint(i))
			if v, _, _ := b.Judge(now, fs[:]...); v != breaker.Free {
				t.Errorf("verdict %v after %d crashes of other queries", v, i)
			}
			crash(b, now, fs, 0)
			now = now.Add(time.Second)
			if answered {
				well := request("well")
				b.Succeeded(now, well[:]...)
			}
		}
		next := request("next")
		v, by, _ := b.Judge(now, next[:]...)
		if want := map[bool]breaker.Verdict{false: breaker.Refused, true: breaker.Free}[answered]; v != want || v == breaker.Refused && by != next[1] {
			t.Errorf("verdict %v after three crashes, other queries answered: %t", v, answered)
		}
	}
	b := breaker.New(breaker.Config{})
	for i := range 10 {
		crash(b, start.Add(time.Duration(i)*time.Millisecond), request(fmt.Sprint(i)), time.Second)
	}
	next := request("next")
	if v, _, _ := b.Judge(start.Add(time.Second), next[:]...); v != breaker.Free {
		t.Errorf("verdict %v after crashes of one moment", v)
	}
}
