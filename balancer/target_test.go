package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/responder"
)

// Guards against endpoint signals that take more than half of a pool out of service.
func TestSignalsLeaveHalfOfThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, now := rapid.IntRange(1, 7).Draw(t, "targets"), epoch
		p := newWarmPool(balancer.Config{}, now, n)
		for range rapid.IntRange(1, 50).Draw(t, "signals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprintf("t%d", rapid.IntRange(0, n-1).Draw(t, "target"))
			p.ApplySignal(now, name, balancer.Signal{Healthy: rapid.IntRange(0, 3).Draw(t, "healthy") == 0})
			if free := p.Load(now).Free; 2*free < n*slots {
				t.Fatalf("signals leave %d of %d slots", free, n*slots)
			}
		}
	})
}

// Guards against requests that fail everywhere and eject the healthy targets of a pool.
func TestFailuresOfRequestsLeaveHalfOfThePool(t *testing.T) {
	for _, o := range []balancer.Outcome{balancer.Failure, balancer.Timeout, balancer.Broken} {
		for n := range 5 {
			now := epoch
			p := newWarmPool(balancer.Config{}, now, n+1)
			for range 100 {
				now = now.Add(time.Second / 20)
				_, a := p.Submit(now, balancer.Work{Deadline: now})
				for _, s := range a.Starts {
					p.Finish(now, s.ID, o)
				}
				if s := suspects(p, now); 2*s > n+1 {
					t.Fatalf("outcome %d: %d of %d targets are suspect", o, s, n+1)
				}
			}
			if n > 0 && suspects(p, now) == 0 {
				t.Fatalf("outcome %d never makes one of %d targets suspect", o, n+1)
			}
		}
	}
}

func suspects(p *balancer.Pool, now time.Time) int {
	n := 0
	for _, s := range p.Statuses(now) {
		if s.State == balancer.Suspect {
			n++
		}
	}
	return n
}

// Guards against refusing a request that could not connect although another target has a free slot, trying a target
// twice, using the reserve, starting too late, and not freeing the slot of the first target.
func TestMoveToAnotherTarget(t *testing.T) {
	for _, x := range []struct {
		name    string
		targets int
		reserve float64
		remote  bool
		late    bool
		busy    int
		moves   int
	}{
		{name: "one target", targets: 1},
		{name: "each other target once", targets: 3, moves: 2},
		{name: "remote", targets: 3, reserve: 0.5, remote: true, moves: 2},
		{name: "remote, only the reserve is free", targets: 2, reserve: 0.5, remote: true, busy: 3},
		{name: "local, others are busy", targets: 2, busy: 4, moves: 1},
		{name: "local, all are taken", targets: 2, busy: 5},
		{name: "too late", targets: 3, late: true},
	} {
		now := epoch
		p := newWarmPool(balancer.Config{Reserve: x.reserve, ServiceTime: serviceTime}, now, x.targets)
		_, a := p.Submit(now, balancer.Work{Deadline: now.Add(time.Second), Remote: x.remote})
		if len(a.Starts) != 1 {
			t.Fatalf("%s: not started", x.name)
		}
		for range x.busy {
			p.Submit(now, balancer.Work{Deadline: now.Add(time.Minute)})
		}
		if x.late {
			now = now.Add(time.Second)
		}
		id, tried := a.Starts[0].ID, map[string]bool{a.Starts[0].Target: true}
		n := 0
		for {
			s, ok, _ := p.Failover(now, id)
			if !ok {
				break
			}
			if n++; tried[s] || n > x.targets {
				t.Fatalf("%s: fails over to %s again", x.name, s)
			}
			tried[s] = true
		}
		if l := p.Load(now); n != x.moves || l.Free != x.targets*slots-x.busy {
			t.Errorf("%s: %d failovers, want %d; %d slots free", x.name, n, x.moves, l.Free)
		}
	}
}

// Guards against sending requests to unreachable targets, and against their return to service with all slots at once.
func TestUnreachableTargetsAreEjectedAndReturn(t *testing.T) {
	for _, c := range []struct {
		outcome balancer.Outcome
		needed  int
	}{{balancer.ConnectFailure, 2}, {balancer.Crash, 1}} {
		now := epoch
		p := newWarmPool(balancer.Config{}, now, 1)
		for range c.needed {
			if suspects(p, now) != 0 {
				t.Fatalf("outcome %d ejects after fewer than %d", c.outcome, c.needed)
			}
			_, a := p.Submit(now, balancer.Work{Deadline: now.Add(time.Second)})
			p.Finish(now, a.Starts[0].ID, c.outcome)
		}
		_, a := p.Submit(now, balancer.Work{Deadline: now.Add(time.Minute)})
		if suspects(p, now) != 1 || len(a.Refused) != 1 || a.Refused[0].Refusal.RetryAfter < time.Second {
			t.Fatalf("outcome %d: %d suspects, refused %v", c.outcome, suspects(p, now), a.Refused)
		}
		if free := p.Load(now.Add(time.Second)).Free; free != 1 {
			t.Fatalf("outcome %d: the target returns with %d slots", c.outcome, free)
		}
	}
}

// Guards against an owner that attracts requests, or refuses them as overload, while requests of earlier owners occupy
// its targets.
func TestChangeOfOwnerIsNoOverload(t *testing.T) {
	until := epoch.Add(3 * time.Second)
	busy := []balancer.Residue{{Slots: 1, Until: until}}
	cases := []struct {
		name   string
		a, b   []balancer.Residue
		slots  int
		reason responder.Reason
	}{
		{name: "both occupied", a: busy, b: busy, reason: responder.NoOwner},
		{name: "one occupied", a: busy, slots: 1},
		{name: "none occupied", slots: 2},
	}
	for _, c := range cases {
		p := balancer.New(balancer.Config{Name: "desk"})
		p.SetTargets(epoch, []balancer.Holding{{Target: "a", Slots: slots, Residues: c.a}, {Target: "b", Slots: slots, Residues: c.b}})
		if n := p.Load(epoch).Slots; n != c.slots {
			t.Errorf("%s: %d slots reported, want %d", c.name, n, c.slots)
		}
		var got responder.Reason
		if _, a := p.Submit(epoch, balancer.Work{Deadline: until}); len(a.Refused) > 0 {
			got = a.Refused[0].Refusal.Reason
		}
		if got != c.reason {
			t.Errorf("%s: refused as %q, want %q", c.name, got, c.reason)
		}
		p.SetOutstanding(epoch, "a", nil)
		if _, a := p.Submit(epoch, balancer.Work{Deadline: until}); len(a.Starts) == 0 {
			t.Errorf("%s: no request starts after the report that the earlier owner's requests have ended", c.name)
		}
	}
	// Outstanding requests of this instance count as its own load.
	p := balancer.New(balancer.Config{Name: "desk", ServiceTime: time.Millisecond})
	p.SetTargets(epoch, []balancer.Holding{{Target: "a", Slots: 1}})
	_, a := p.Submit(epoch, balancer.Work{Deadline: until})
	p.Finish(epoch, a.Starts[0].ID, balancer.Timeout)
	if _, a := p.Submit(epoch, balancer.Work{Deadline: until}); len(a.Refused) == 0 || a.Refused[0].Refusal.Reason != responder.NoSlot {
		t.Errorf("outstanding own request: %+v, want a refusal as %q", a, responder.NoSlot)
	}
}

// Guards against refusing all requests of other regions while targets are cold, as after the start of a deployment, and
// against such requests using the reserve.
func TestRemoteWorkAtColdTargets(t *testing.T) {
	for n := 1; n <= 6; n++ {
		p := balancer.New(balancer.Config{Reserve: 0.2})
		var hs []balancer.Holding
		for i := range n {
			hs = append(hs, balancer.Holding{Target: fmt.Sprint(i), Slots: slots})
		}
		p.SetTargets(epoch, hs)
		started := 0
		for range n + 1 {
			_, a := p.Submit(epoch, balancer.Work{Deadline: epoch.Add(time.Second), Remote: true})
			started += len(a.Starts)
		}
		// Each cold target offers one slot; a fifth of the slots, rounded up, stays free.
		if want := n - (n+4)/5; started != want {
			t.Errorf("%d cold targets: %d remote requests started, want %d", n, started, want)
		}
	}
}
