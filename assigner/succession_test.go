package assigner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/assigner"
)

// outageSituation returns the situation of an instance in a store outage that began at start, after a1 departed.
func outageSituation(change func(*assigner.Situation)) assigner.Situation {
	s := actingSituation
	s.ListedSince, s.StoreRead = start, start
	s.Departed = []assigner.Departure{{Name: "a1"}}
	if change != nil {
		change(&s)
	}
	return s
}

// newSuccessor returns an assigner of a2, the first successor of a1, that observes the situation at 20 s.
func newSuccessor(t testing.TB, s assigner.Situation, sole bool) (*assigner.Assigner, assigner.Resource) {
	r := resourceOwnedBy(t, "a1", "a2", "a3")
	r.Sole = sole
	a := newAssigner("a2", r)
	h := heads(2, 2, "a1", "a2", "a3")
	h.Scopes["a"].Members[0].Incarnation = 2
	a.Adopt(start, h)
	a.Observe(after(20*time.Second), s)
	return a, r
}

// Each case guards one condition for the succession of a2 to a1.
func TestRuleOfSuccession(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*assigner.Situation)
		sole   bool
		want   int
	}{
		{"all conditions hold", nil, false, 23},
		{"the store was read recently", func(s *assigner.Situation) { s.StoreRead = after(8 * time.Second) }, false, -1},
		{"the instance was off the list since it adopted the assignment", func(s *assigner.Situation) { s.ListedSince = after(time.Second) }, false, -1},
		{"the instance does not see itself listed", func(s *assigner.Situation) { s.Acts = false }, false, -1},
		{"the instance is a newcomer", func(s *assigner.Situation) { s.Settled = false }, false, -1},
		{"the owner has not departed", func(s *assigner.Situation) { s.Departed = nil }, false, -1},
		{"an earlier incarnation of the owner stopped", func(s *assigner.Situation) { s.Departed[0].Incarnation = 1 }, false, -1},
		{"the owner stopped", func(s *assigner.Situation) { s.Departed[0].Incarnation = 2 }, false, 23},
		{"a resource without successors", nil, true, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, r := newSuccessor(t, outageSituation(c.change), c.sole)
			got := readyFrom(a, r, 20)
			o, _ := a.Owner(r)
			if got != c.want || got >= 0 && o.Name != "a2" {
				t.Fatalf("ready after %d s, want %d; owner %s", got, c.want, o.Name)
			}
		})
	}
}

// Guards against a successor that keeps acting after a condition of the succession ended or the members changed, and
// against the use of slots in which requests of the earlier owner may still run.
func TestRuleOfSuccessionsEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*assigner.Assigner) bool
		want bool
	}{
		{"the store answers", func(a *assigner.Assigner) bool {
			return a.Observe(after(24*time.Second), outageSituation(func(s *assigner.Situation) { s.StoreRead = after(24 * time.Second) }))
		}, true},
		{"the owner is back", func(a *assigner.Assigner) bool {
			return a.Observe(after(24*time.Second), outageSituation(func(s *assigner.Situation) { s.Departed = nil }))
		}, true},
		{"an assignment that names the owner again", func(a *assigner.Assigner) bool {
			a.Adopt(after(24*time.Second), heads(3, 3, "a1", "a2", "a3"))
			return false
		}, false},
		{"an assignment to the successor", func(a *assigner.Assigner) bool {
			a.Adopt(after(24*time.Second), heads(3, 3, "a2", "a3"))
			return false
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, r := newSuccessor(t, outageSituation(nil), false)
			a.Tick(after(23*time.Second), true, true)
			if !a.MayAct(r) || !a.Residue(r, after(32*time.Second)).Unknown {
				t.Fatalf("acts: %v, residue %+v", a.MayAct(r), a.Residue(r, after(32*time.Second)))
			}
			if got := c.end(a); got != c.want {
				t.Errorf("Observe reports an end of the succession: %v, want %v", got, c.want)
			}
			if a.Tick(after(24*time.Second), true, true); a.MayAct(r) {
				t.Error("keeps acting after the end of the succession")
			}
		})
	}
}

// Guards against an owner that acts at once after it was a newcomer, although a successor may have acted meanwhile.
func TestRuleOfNewcomersReturn(t *testing.T) {
	r := resourceOwnedBy(t, "a1", "a2", "a3")
	a := newAssigner("a1", r)
	a.Adopt(start, heads(2, 2, "a1", "a2", "a3"))
	a.Tick(after(5*time.Second), true, true)
	a.Tick(after(20*time.Second), false, false)
	if got := readyFrom(a, r, 20); got != 23 {
		t.Errorf("acts after %d s, want 23", got)
	}
	if !a.Residue(r, after(32*time.Second)).Unknown {
		t.Error("counts no requests of a successor")
	}
}

// Guards against a successor of a bucket part that does not own the part in the following assignment, so that the part
// would move twice.
func TestSuccessorsOfParts(t *testing.T) {
	ms := fleet(6)
	again := 0
	for i := range 200 {
		r := assigner.Resource{Name: fmt.Sprint("account", i), Part: 1 + i%2}
		lost := ownerOf(r.Name, r.Part, ms)
		rest := slices.DeleteFunc(slices.Clone(ms), func(m assigner.Member) bool { return m.Name == lost })
		a := assigner.New(assigner.Config{Self: rest[0]})
		a.SetResources(start, []assigner.Resource{r})
		a.Adopt(start, assigner.Heads{Version: 1, Scopes: map[string]assigner.Assignment{assigner.FleetScope: {Epoch: 1, Members: ms}}})
		a.Observe(after(20*time.Second), outageSituation(func(s *assigner.Situation) { s.Departed[0].Name = lost }))
		o, _ := a.Owner(r)
		if o.Name == ownerOf(r.Name, r.Part, rest) {
			continue
		}
		// If the failure domains eligible for a part have no member left, the assignment divides the others anew.
		again++
		if o.Name != ownerOf(r.Name, 0, rest) {
			t.Errorf("%v: owner %s is succeeded by %s, not by the next owner", r, lost, o.Name)
		}
	}
	if again > 200/10 {
		t.Errorf("%d of 200 parts move twice", again)
	}
}
