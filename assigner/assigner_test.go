package assigner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/assigner"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time {
	return start.Add(d)
}

func member(name string) assigner.Member {
	return assigner.Member{Name: name, Incarnation: 1, Region: name[:1], FailureDomain: name[:1] + "_" + name[1:]}
}

func heads(version, epoch uint64, names ...string) assigner.Heads {
	a := assigner.Assignment{Epoch: epoch}
	for _, n := range names {
		a.Members = append(a.Members, member(n))
	}
	return assigner.Heads{Version: version, Scopes: map[string]assigner.Assignment{"a": a}}
}

// resourceOwnedBy returns a resource of region a that x owns among x, y and z, and y owns among y and z.
func resourceOwnedBy(t testing.TB, x, y, z string) assigner.Resource {
	for i := range 10_000 {
		n := fmt.Sprint("t", i)
		o, _ := assigner.Owner(n, []assigner.Member{member(x), member(y), member(z)})
		p, _ := assigner.Owner(n, []assigner.Member{member(y), member(z)})
		if o.Name == x && p.Name == y {
			return assigner.Resource{Name: n, Scope: "a"}
		}
	}
	t.Fatal("no resource")
	return assigner.Resource{}
}

func newAssigner(self string, r assigner.Resource) *assigner.Assigner {
	a := assigner.New(assigner.Config{Self: member(self), LargestDeadline: 10 * time.Second})
	a.SetResources(start, []assigner.Resource{r})
	a.Observe(start, actingSituation)
	return a
}

// actingSituation is the situation of an instance with valid proofs for an hour and every other instance as a peer.
var actingSituation = assigner.Situation{
	Settled: true,
	Acts:    true,
	Region:  assigner.Proof{Expiry: after(time.Hour)},
	Fleet:   assigner.Proof{Expiry: after(time.Hour)},
	Listed:  after(time.Hour),
	Peer:    func(string) bool { return true },
}

// readyAt returns the first second in which the assigner may act on the resource, or -1 if there is none within 30 s.
func readyAt(a *assigner.Assigner, r assigner.Resource) int {
	return readyFrom(a, r, 0)
}

// readyFrom is like readyAt but starts at the given second.
func readyFrom(a *assigner.Assigner, r assigner.Resource, from int) int {
	for s := from; s < 30; s++ {
		a.Tick(after(time.Duration(s)*time.Second), true, true)
		if a.MayAct(r) {
			return s
		}
	}
	return -1
}

// Each case guards one rule of the hand-over from a1, the owner in epoch 2, to a2, the owner in epoch 3 from 10 s on.
func TestRuleOfHandOver(t *testing.T) {
	r := resourceOwnedBy(t, "a1", "a2", "a3")
	at := after(10 * time.Second)
	for _, c := range []struct {
		name string
		do   func(*assigner.Assigner)
		want int
	}{
		{"without a release", func(*assigner.Assigner) {}, 13},
		{"released by the earlier owner", func(a *assigner.Assigner) { a.ObserveRelease(at, member("a1"), 3, nil) }, 0},
		{"released to an owner without a proof", reassigned(assigner.Situation{Settled: true, Listed: at, Peer: actingSituation.Peer}), 13},
		{"released by an owner that was no peer", reassigned(assigner.Situation{
			Settled: true, Listed: at, Region: actingSituation.Region, Peer: func(string) bool { return false },
		}), 13},
		{"released after a store outage", reassigned(assigner.Situation{
			Settled: true, Listed: at, Region: actingSituation.Region, Peer: actingSituation.Peer, StoreRead: start.Add(-time.Minute),
		}), 13},
		{"released to an owner with a proof after the same reassignment", reassigned(actingSituation), 0},
		{"an older version released", func(a *assigner.Assigner) { a.ObserveRelease(at, member("a1"), 2, nil) }, 13},
		{"released by another instance", func(a *assigner.Assigner) { a.ObserveRelease(at, member("a3"), 3, nil) }, 13},
		{"released by another incarnation", func(a *assigner.Assigner) {
			m := member("a1")
			m.Incarnation = 2
			a.ObserveRelease(at, m, 3, nil)
		}, 13},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAssigner("a2", r)
			a.Adopt(start, heads(2, 2, "a1", "a2", "a3"))
			a.Adopt(at, heads(3, 3, "a2", "a3"))
			c.do(a)
			got := 0
			if a.Tick(at, true, true); !a.MayAct(r) {
				got = readyAt(a, r)
			}
			if got != c.want {
				t.Fatalf("ready after %d s, want %d", got, c.want)
			}
		})
	}
}

// reassigned returns a function that assigns the resource to a1 and then to a2, in the situation s, and reports a release
// by a1.
func reassigned(s assigner.Situation) func(*assigner.Assigner) {
	return func(a *assigner.Assigner) {
		at := after(10 * time.Second)
		a.Observe(at, s)
		a.Adopt(at, heads(4, 4, "a1", "a2", "a3"))
		a.Adopt(at, heads(5, 5, "a2", "a3"))
		a.ObserveRelease(at, member("a1"), 5, nil)
	}
}

// Guards against an immediate takeover on a release by a known earlier owner when an epoch
// that the local instance skipped had another owner.
func TestRuleOfSkippedEpoch(t *testing.T) {
	r := resourceOwnedBy(t, "a1", "a2", "a3")
	a := newAssigner("a2", r)
	a.Adopt(start, heads(2, 2, "a1", "a2", "a3"))
	at := after(10 * time.Second)
	a.Adopt(at, heads(4, 4, "a2", "a3"))
	a.ObserveRelease(at, member("a1"), 4, nil)
	if a.Tick(at, true, true); a.MayAct(r) {
		t.Fatal("acts although the owner of the skipped epoch may act")
	}
	if got := readyAt(a, r); got != 13 {
		t.Fatalf("ready after %d s, want 13", got)
	}
	a.Adopt(after(20*time.Second), heads(6, 6, "a2", "a3"))
	if a.MayAct(r) {
		t.Fatal("keeps acting after a skipped epoch in which another instance may have owned the resource")
	}
}

// Guards against a release that is reported while the owner of an earlier epoch may still act:
// the next owner treats it as the release of all earlier owners.
func TestRuleOfReleaseBeforeTaking(t *testing.T) {
	r := resourceOwnedBy(t, "a1", "a2", "a3")
	a := newAssigner("a2", r)
	a.Adopt(start, heads(2, 2, "a1", "a2", "a3"))
	a.Release(2)
	a.Adopt(after(10*time.Second), heads(3, 3, "a2", "a3"))
	a.Release(3)
	a.Adopt(after(11*time.Second), heads(4, 4, "a3"))
	a.Release(4)
	if got := a.Released(after(12 * time.Second)); got >= 4 {
		t.Fatalf("released %d while a1 may act until 13 s", got)
	}
	if got := a.Released(after(13 * time.Second)); got != 4 {
		t.Fatalf("released %d, want 4", got)
	}
}

// Guards against a takeover without a current list reading: earlier owners may then renew their proofs without an answer
// of the local instance.
func TestRuleOfTaking(t *testing.T) {
	r := resourceOwnedBy(t, "a1", "a2", "a3")
	a := newAssigner("a1", r)
	a.Adopt(start, heads(1, 1, "a1", "a2"))
	for _, c := range []struct {
		at           time.Duration
		active, acts bool
		want         bool
	}{
		{4 * time.Second, true, false, false},
		{5 * time.Second, true, true, true},
		{6 * time.Second, true, false, true},
		{7 * time.Second, false, false, false},
		{8 * time.Second, true, false, false},
	} {
		a.Tick(after(c.at), c.active, c.acts)
		if a.MayAct(r) != c.want {
			t.Fatalf("at %v: acts %v, want %v", c.at, !c.want, c.want)
		}
	}
}

// Guards against the use of slots in which requests of the earlier owner may still run.
func TestRuleOfResidue(t *testing.T) {
	r := resourceOwnedBy(t, "a1", "a2", "a3")
	a := newAssigner("a2", r)
	a.Adopt(start, heads(2, 2, "a1", "a2", "a3"))
	a.Adopt(after(10*time.Second), heads(3, 3, "a2", "a3"))
	if got := a.Residue(r, after(22*time.Second)); !got.Unknown {
		t.Fatalf("residue %+v before freshness + largest deadline, want unknown", got)
	}
	want := assigner.Residue{Slots: 2, Until: after(15 * time.Second)}
	a.ObserveRelease(after(14*time.Second), member("a1"), 3, map[assigner.Resource]assigner.Residue{r: want})
	if got := a.Residue(r, after(14*time.Second)); got != want {
		t.Fatalf("residue %+v, want %+v", got, want)
	}
	if got := a.Residue(r, after(15*time.Second)); got != (assigner.Residue{}) {
		t.Fatalf("residue %+v after its end, want none", got)
	}
}

// Guards against slots that stay reserved until a deadline although the earlier owner reported the end of its requests,
// and against reports that arrive out of order.
func TestRuleOfLaterReports(t *testing.T) {
	r := resourceOwnedBy(t, "a1", "a2", "a3")
	a := newAssigner("a2", r)
	a.Adopt(start, heads(2, 2, "a1", "a2", "a3"))
	a.Adopt(after(10*time.Second), heads(3, 3, "a2", "a3"))
	until := after(15 * time.Second)
	for _, c := range []struct {
		reported, want int
	}{{3, 3}, {1, 1}, {2, 1}, {0, 0}, {3, 0}} {
		m := map[assigner.Resource]assigner.Residue{}
		if c.reported > 0 {
			m[r] = assigner.Residue{Slots: c.reported, Until: until}
		}
		a.ObserveRelease(after(11*time.Second), member("a1"), 3, m)
		if got := a.Residue(r, after(11*time.Second)).Slots; got != c.want {
			t.Fatalf("%d slots after a report of %d, want %d", got, c.reported, c.want)
		}
	}
}

// Guards against unnecessary changes of assignments, and against changes by instances of other regions.
func TestRuleOfNext(t *testing.T) {
	h := heads(7, 3, "a1", "a2")
	h.Scopes["b"] = assigner.Assignment{Epoch: 2, Members: []assigner.Member{member("b1")}}
	h.Scopes[assigner.FleetScope] = assigner.Assignment{Epoch: 5, Members: []assigner.Member{member("a1"), member("a2"), member("b1")}}
	a1, a2, b1 := member("a1"), member("a2"), member("b1")
	for _, c := range []struct {
		name string
		s    assigner.Standing
		want string
	}{
		{"nothing changed", assigner.Standing{Self: a1, Active: []assigner.Member{a2, b1, a1}, Peered: []string{"a", "b"}}, "map[]"},
		{"a suspected member stays until it is due", assigner.Standing{Self: a1, Active: []assigner.Member{a1, b1}, Doubtful: []assigner.Member{a2}, Peered: []string{"a", "b"}}, "map[]"},
		{"a member of the own region is removed", assigner.Standing{Self: a1, Active: []assigner.Member{a1, b1}, Peered: []string{"a", "b"}}, "map[:6:2 a:4:1]"},
		{"a silent region keeps its members", assigner.Standing{Self: a1, Active: []assigner.Member{a1, a2}, Peered: []string{"a", "b"}}, "map[:6:2]"},
		{"a region without instances falls back", assigner.Standing{Self: a1, Active: []assigner.Member{a1, a2}, Peered: []string{"a"}}, "map[:6:2 b:3:0]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := assigner.New(assigner.Config{Self: a1})
			a.Adopt(start, h)
			p, ok := a.Next(c.s)
			got := map[string]string{}
			for k, v := range p.Scopes {
				got[k] = fmt.Sprintf("%d:%d", v.Epoch, len(v.Members))
			}
			if fmt.Sprint(got) != c.want || ok != (len(got) > 0) || p.Base != 7 {
				t.Fatalf("proposal %v, want %s", got, c.want)
			}
		})
	}
}

// Guards against owners of both parts of a bucket in the same failure domain.
func TestRuleOfParts(t *testing.T) {
	ms := []assigner.Member{
		{Name: "a1", FailureDomain: "x"}, {Name: "a2", FailureDomain: "x"}, {Name: "a3", FailureDomain: "x"}, {Name: "b1", FailureDomain: "y"},
	}
	for i := range 1000 {
		n := fmt.Sprint("account", i)
		p, _ := assigner.PartOwner(n, 1, ms)
		q, _ := assigner.PartOwner(n, 2, ms)
		if p.FailureDomain == q.FailureDomain {
			t.Fatalf("parts of %s at %s and %s", n, p.Name, q.Name)
		}
		if p, q := ownerOf(n, 1, ms[:3]), ownerOf(n, 2, ms[:3]); p == q {
			t.Fatalf("both parts of %s are owned by %s", n, p)
		}
		if ownerOf(n, 1, ms[:1]) != "a1" || ownerOf(n, 2, ms[:1]) != "a1" {
			t.Fatal("a single member does not own both parts")
		}
	}
}

// Guards against a departure that moves both parts of a bucket: both would be empty, and the account would get no
// tokens until they fill.
func TestDepartureMovesOnePart(t *testing.T) {
	var ms []assigner.Member
	for i := range 7 {
		ms = append(ms, assigner.Member{Name: fmt.Sprint("i", i), FailureDomain: fmt.Sprint("d", i%6)})
	}
	one, both := 0, 0
	for i := range 1000 {
		n := fmt.Sprint("account", i)
		for k := range ms {
			rest := slices.Delete(slices.Clone(ms), k, k+1)
			p, q := ownerOf(n, 1, ms) != ownerOf(n, 1, rest), ownerOf(n, 2, ms) != ownerOf(n, 2, rest)
			switch {
			case p && q:
				both++
			case p || q:
				one++
			}
		}
	}
	// Both parts move only if the failure domains eligible for a part have no member before or after the departure.
	if both > one/10 {
		t.Fatalf("%d departures moved both parts, %d one part", both, one)
	}
}

func ownerOf(n string, part int, ms []assigner.Member) string {
	m, _ := assigner.PartOwner(n, part, ms)
	return m.Name
}
