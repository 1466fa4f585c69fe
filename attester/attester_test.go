package attester_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/attester"
)

func after(d time.Duration) time.Time {
	return start.Add(d)
}

func membership(admitted, listed time.Duration, names ...string) attester.Membership {
	m := attester.Membership{Admitted: after(admitted), Listed: after(listed)}
	for _, n := range names {
		m.Peers = append(m.Peers, attester.Peer{Name: n, Incarnation: 1, Region: n[:1]})
	}
	return m
}

func answer(name string, version uint64) attester.Answer {
	return attester.Answer{Name: name, Incarnation: 1, Version: version, Acts: true}
}

// Each case guards one rule of which evidence counts for a proof. The expected value holds the
// expiry of the fleet and region proofs in seconds after the start, 0 for no proof.
func TestRuleOfEvidence(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		name string
		do   func(*attester.Attester)
		want string
	}{
		{"a read counts from its sending", func(a *attester.Attester) { a.RecordRead(after(12*s), 5) }, "15 15"},
		{"a read from before the admission does not count", func(a *attester.Attester) { a.RecordRead(after(9*s), 5) }, "0 0"},
		{"a read of an unknown version does not count", func(a *attester.Attester) { a.RecordRead(after(12*s), 6) }, "0 0"},
		{"it counts from its sending once adopted", func(a *attester.Attester) {
			a.RecordRead(after(12*s), 6)
			a.Adopt(6)
		}, "15 15"},
		{"a round counts from its oldest sending", func(a *attester.Attester) {
			a.RecordAnswer(after(12*s), answer("a2", 5))
			a.RecordAnswer(after(11*s), answer("b1", 5))
		}, "14 15"},
		{"a round without all peers proves the own region", func(a *attester.Attester) {
			a.RecordAnswer(after(12*s), answer("a2", 5))
		}, "0 15"},
		{"an answer of another incarnation does not count", func(a *attester.Attester) {
			a.RecordAnswer(after(12*s), attester.Answer{Name: "a2", Incarnation: 2, Version: 5, Acts: true})
			a.RecordAnswer(after(12*s), answer("b1", 5))
		}, "0 0"},
		{"an answer with a newer version does not count", func(a *attester.Attester) {
			a.RecordAnswer(after(12*s), answer("a2", 6))
			a.RecordAnswer(after(12*s), answer("b1", 5))
		}, "0 0"},
		{"a round expires with the list reading", func(a *attester.Attester) {
			a.RecordAnswer(after(16*s), answer("a2", 5))
			a.RecordAnswer(after(16*s), answer("b1", 5))
		}, "18 18"},
		{"answers of instances that do not act are not a first proof", func(a *attester.Attester) {
			a.RecordAnswer(after(12*s), attester.Answer{Name: "a2", Incarnation: 1, Version: 5})
			a.RecordAnswer(after(12*s), attester.Answer{Name: "b1", Incarnation: 1, Version: 5})
		}, "0 0"},
		{"the last version of a stopped peer must be adopted", func(a *attester.Attester) {
			a.RecordAnswer(after(12*s), answer("a2", 5))
			a.RecordAnswer(after(12*s), answer("b1", 5))
			a.RecordVersion("b1", 1, 6, true)
		}, "0 0"},
		{"a repeated admission drops earlier evidence", func(a *attester.Attester) {
			a.RecordRead(after(12*s), 5)
			a.SetMembership(membership(13*s, 15*s, "a2", "b1"))
		}, "0 0"},
		{"a newcomer's read expires with the list reading", func(a *attester.Attester) {
			m := membership(10*s, 15*s, "a2", "b1")
			m.Newcomer = true
			a.SetMembership(m)
			a.RecordRead(after(17*s), 5)
		}, "18 18"},
		{"an older version is ignored", func(a *attester.Attester) {
			a.Adopt(4)
			a.RecordRead(after(12*s), 5)
		}, "15 15"},
		{"a new peer must answer", func(a *attester.Attester) {
			a.RecordAnswer(after(12*s), answer("a2", 5))
			a.RecordAnswer(after(12*s), answer("b1", 5))
			a.SetMembership(membership(10*s, 15*s, "a2", "b1", "b2"))
		}, "0 15"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := attester.New(attester.Config{Region: "a"})
			a.Adopt(5)
			a.SetMembership(membership(10*s, 15*s, "a2", "b1"))
			c.do(a)
			if got := expiries(a); got != c.want {
				t.Fatalf("expiry %s, want %s", got, c.want)
			}
		})
	}
}

func expiries(a *attester.Attester) string {
	var g attester.Gate
	g.Publish(a)
	r := []int{}
	for _, s := range []attester.Scope{attester.Fleet, attester.Region} {
		e := a.Expiry(s)
		if !e.Equal(g.Expiry(s)) {
			return "gate differs"
		}
		if e.IsZero() {
			r = append(r, 0)
			continue
		}
		if !g.Valid(s, e.Add(-1)) || g.Valid(s, e) {
			return "valid differs from expiry"
		}
		r = append(r, int(e.Sub(start)/time.Second))
	}
	return fmt.Sprint(r[0], r[1])
}

// Each case guards one rule of the outcome of a change.
func TestRuleOfInForce(t *testing.T) {
	acts, departed := attester.Standing{Acts: true}, attester.Standing{Acts: true, Departures: true}
	for _, c := range []struct {
		name      string
		confirmed []string
		standing  attester.Standing
		at        time.Duration
		want      attester.Outcome
		missing   []string
	}{
		{"a peer is missing", []string{"a2"}, acts, 2 * time.Second, attester.Pending, []string{"b1"}},
		{"a peer is missing after freshness", []string{"a2"}, acts, 3 * time.Second, attester.Expired, []string{"b1"}},
		{"all confirmed", []string{"a2", "b1"}, acts, 0, attester.Confirmed, nil},
		{"all confirmed after a departure", []string{"a2", "b1"}, departed, 0, attester.Pending, nil},
		{"all confirmed and freshness after a departure", []string{"a2", "b1"}, departed, 3 * time.Second, attester.Confirmed, nil},
		{"the author does not act", []string{"a2", "b1"}, attester.Standing{}, 3 * time.Second, attester.Pending, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := attester.New(attester.Config{Region: "a"})
			a.SetMembership(membership(0, 0, "a2", "b1"))
			a.Adopt(7)
			for _, n := range c.confirmed {
				a.RecordVersion(n, 1, 7, false)
			}
			got, missing := a.InForce(attester.WaitInForce{Version: 7, Learned: start}, c.standing, after(c.at))
			if got != c.want || !slices.Equal(missing, c.missing) {
				t.Fatalf("outcome %v missing %v, want %v %v", got, missing, c.want, c.missing)
			}
		})
	}
}

// Guards against a cached oldest answer that differs from the minimum over all peers.
func TestRuleOfOldestAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a2", "a3", "b1", "b2"}
		a := attester.New(attester.Config{Region: "a"})
		a.Adopt(1)
		a.SetMembership(membership(0, time.Hour, names...))
		sent := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			n := rapid.SampledFrom(names).Draw(t, "peer")
			s := rapid.IntRange(1, 100).Draw(t, "sent")
			a.RecordAnswer(after(time.Duration(s)*time.Second), answer(n, 1))
			sent[n] = max(sent[n], s)
			want := [2]int{minSent(sent, names), minSent(sent, names[:2])}
			for i := range want {
				e := a.Expiry(attester.Scope(i))
				if want[i] == 0 && !e.IsZero() || want[i] > 0 && !e.Equal(after(time.Duration(want[i]+3)*time.Second)) {
					t.Fatalf("scope %d expires at %v, want %d s + 3 s", i, e.Sub(start), want[i])
				}
			}
		}
	})
}

func minSent(sent map[string]int, names []string) int {
	r := sent[names[0]]
	for _, n := range names {
		r = min(r, sent[n])
	}
	return r
}
