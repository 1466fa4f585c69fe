package handler_test

import (
	"crypto/sha256"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/abstainer"
	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/handler"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/timer"
)

// Guards against destinations that get more or less than their weight in a short run of requests.
func TestSplitFollowsWeights(t *testing.T) {
	r := &cataloger.Route{Host: "ice.example", Prefix: "/a/", Destinations: []cataloger.Destination{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for range 20 {
		if m := handler.Shares(r, 50); m["b"] < 4 || m["b"] > 6 {
			t.Errorf("%v of 50 requests, want 45 and 5", m)
		}
	}
	r.Destinations = r.Destinations[:1]
	if m := handler.Shares(r, 5); m["a"] != 5 {
		t.Errorf("%v of 5 requests with one destination", m)
	}
}

// Guards against a single slow connection that makes a region look far, and a region that stays near for ever.
func TestTripIsTheShortestOfLate(t *testing.T) {
	const near, far = 5 * time.Millisecond, 60 * time.Millisecond
	if d := handler.TripAfter(time.Second, far, near, far); d != near {
		t.Errorf("trip %v, want %v", d, near)
	}
	if d := handler.TripAfter(6*time.Second, near, far, far, far, far, far); d != far {
		t.Errorf("trip %v after 30 s of %v", d, far)
	}
}

// Guards against a request that is refused for the withdrawal of its key right after it was accepted, one that still uses the
// key much later, and one that runs for an account that has lost the key to another one.
func TestKeyOfAcceptedRequest(t *testing.T) {
	k := authenticator.Digest(sha256.Sum256([]byte("k")))
	catalog := func(version uint64, holder string) *cataloger.Catalog {
		b := cataloger.NewBook()
		b.Configure(cataloger.Configuration{Version: version, Accounts: []cataloger.Account{{Name: holder, Keys: []authenticator.Digest{k}}, {Name: "other"}}})
		return b.Catalog()
	}
	none := cataloger.NewBook()
	none.Configure(cataloger.Configuration{Version: 2, Accounts: []cataloger.Account{{Name: "bakery"}}})
	accepted := catalog(1, "bakery")
	for name, c := range map[string]struct {
		current *cataloger.Catalog
		waited  time.Duration
		want    bool
	}{
		"same catalog":             {accepted, time.Minute, true},
		"still held":               {catalog(2, "bakery"), time.Minute, true},
		"withdrawn, short wait":    {none.Catalog(), 900 * time.Millisecond, true},
		"withdrawn, long wait":     {none.Catalog(), time.Second, false},
		"moved to another account": {catalog(2, "other"), 0, false},
	} {
		if got := handler.MayUseKey(k, accepted, c.current, c.waited); got != c.want {
			t.Errorf("%s: %t after %v, want %t", name, got, c.waited, c.want)
		}
	}
}

// Guards against a request that was placed at a target before that asked for none, and is sent there.
func TestPlacedRequestIsStopped(t *testing.T) {
	g := cataloger.Target{Name: "oven", Service: "map", Started: 5}
	b, a := cataloger.NewBook(), abstainer.New(abstainer.Config{})
	b.Configure(cataloger.Configuration{Version: 1, Services: []cataloger.Service{{Name: "map"}}})
	b.Assign(map[string]cataloger.Target{g.Name: g})
	if err := handler.MayRun(b, a, &g); err != nil {
		t.Error(err)
	}
	for _, n := range []abstainer.Notice{{Rest: time.Minute}, {Leaving: true}} {
		a := abstainer.New(abstainer.Config{})
		a.Record(timer.Now(), abstainer.Incarnation{Name: g.Name, Started: g.Started}, n)
		var f *responder.Refusal
		if err := handler.MayRun(b, a, &g); !errors.As(err, &f) || f.Ran != responder.NotRun || f.Status != http.StatusServiceUnavailable {
			t.Errorf("after %+v: %v, want 503, not run", n, err)
		}
	}
}

// Guards against an instance that asks a peer that ended again and again, while another peer has the newer configuration.
func TestPeerWithoutAnswerIsNotAskedAgain(t *testing.T) {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	member := func(n byte, region string) gossiper.Member {
		return gossiper.Member{Address: netip.AddrFrom4([4]byte{10, 0, 0, n}), Region: region}
	}
	far, dead, well, old := member(1, "astana"), member(2, "almaty"), member(3, "almaty"), member(4, "almaty")
	alive := []gossiper.Member{far, dead, well, old}
	p := handler.NewPeers("almaty")
	ask := func(want gossiper.Member) {
		t.Helper()
		if a, ok := p.Newest(now, alive, 5); !ok || a != want.Address {
			t.Errorf("asks %v, %t; want %v", a, ok, want.Address)
		}
	}
	p.Hear(old.Address, 5)
	p.Hear(dead.Address, 7)
	ask(dead)
	p.Hear(far.Address, 7)
	ask(dead)
	p.Answered(now, dead.Address, false)
	ask(far)
	p.Hear(well.Address, 7)
	ask(well)
	p.Answered(now, well.Address, false)
	p.Answered(now, far.Address, false)
	ask(dead)
	p.Answered(now, well.Address, true)
	ask(well)
	p.Hear(dead.Address, 8)
	now = now.Add(gossiper.Silence + time.Millisecond)
	ask(dead)
	if a, ok := p.Newest(now, alive, 8); ok {
		t.Errorf("asks %v, which is not ahead", a)
	}
}

// Guards against a claim that looks younger, or comes from another origin, once it was passed on.
func TestClaimIsPassedOnWithItsOriginAndAge(t *testing.T) {
	h := handler.NewPassiveInstance("b", "almaty")
	a := gossiper.Member{Name: "a", Address: netip.AddrFrom4([4]byte{10, 0, 0, 1}), Region: "almaty"}
	if c := h.Claim(); c != nil {
		t.Errorf("claim %+v of an instance that heard nothing", c)
	}
	h.ReceiveState(a, gossiper.State{Configuration: &gossiper.Claim{Origin: "o", Sequence: 7, AgeMilliseconds: 300}})
	h.Advance(400 * time.Millisecond)
	if c := h.Claim(); c == nil || *c != (gossiper.Claim{Origin: "o", Sequence: 7, AgeMilliseconds: 700}) {
		t.Errorf("passes on %+v", c)
	}
}

// Guards against an instance that leaves the calls to others although nobody proves that its configuration is new.
func TestInstanceWithOldConfigurationCallsTheStore(t *testing.T) {
	h := handler.NewPassiveInstance("b", "almaty")
	a := gossiper.Member{Name: "a", Address: netip.AddrFrom4([4]byte{10, 0, 0, 1}), Region: "almaty"}
	for _, c := range []struct {
		claim *gossiper.Claim
		want  bool
	}{
		{nil, true},
		{&gossiper.Claim{Origin: "a", Sequence: 1, AgeMilliseconds: 100}, false},
		{&gossiper.Claim{Origin: "a", Sequence: 2, Content: 1, AgeMilliseconds: 100}, true},
	} {
		h.Advance(2100 * time.Millisecond)
		h.ReceiveState(a, gossiper.State{Configuration: c.claim})
		if got := h.Follows(); got != c.want {
			t.Errorf("claim %+v: calls the store %t, want %t", c.claim, got, c.want)
		}
	}
}

// Guards against denials by a configuration that is old, or that was replaced after the request came.
func TestDenialNeedsTheNewestConfiguration(t *testing.T) {
	for _, c := range []struct {
		age               time.Duration
		accepted, current uint64
		status            int
	}{
		{0, 8, 8, 404},
		{2500 * time.Millisecond, 8, 8, 404},
		{2501 * time.Millisecond, 8, 8, 503},
		{0, 8, 9, 503},
	} {
		h := handler.NewPassiveInstance("b", "almaty")
		if f := h.Deny(c.accepted, c.accepted); f.Status != 503 {
			t.Errorf("denied with %+v by a configuration of unknown age", f)
		}
		h = handler.NewPassiveInstance("b", "almaty")
		h.ReceiveState(gossiper.Member{Name: "a"}, gossiper.State{Configuration: &gossiper.Claim{Origin: "a", Sequence: 1}})
		h.Advance(c.age)
		if f := h.Deny(c.accepted, c.current); f.Status != c.status || f.Ran != responder.NotRun || (f.RetryAfter > 0) != (c.status == 503) {
			t.Errorf("age %v, version %d replaced by %d: %+v, want %d", c.age, c.accepted, c.current, f, c.status)
		}
	}
}

// Guards against a request that is refused as unauthorized although its key was valid when it came.
func TestWithdrawnKeyOfWaitingRequestIsNotDenied(t *testing.T) {
	k := authenticator.Digest(sha256.Sum256([]byte("k")))
	b := cataloger.NewBook()
	b.Configure(cataloger.Configuration{Version: 1, Accounts: []cataloger.Account{{Name: "bakery", Keys: []authenticator.Digest{k}}}})
	for waited, want := range map[time.Duration]int{0: 0, 2 * time.Second: 503} {
		status := 0
		var f *responder.Refusal
		err := handler.NewPassiveInstance("a", "almaty").MayRun(k, b.Catalog(), cataloger.Configuration{Version: 2, Accounts: []cataloger.Account{{Name: "bakery"}}}, waited)
		if errors.As(err, &f) {
			status = f.Status
		}
		if status != want || (err != nil) != (want != 0) {
			t.Errorf("after %v: %v", waited, err)
		}
	}
}

// Guards against lines from which nobody can tell when an instance learnt that a target leaves.
func TestDepartedTargetsAreNamed(t *testing.T) {
	before := map[string]cataloger.Target{
		"gone": {}, "leaves": {}, "restarted": {Started: 1}, "stays": {}, "left before": {Leaving: true},
	}
	now := map[string]cataloger.Target{"leaves": {Leaving: true}, "restarted": {Started: 2}, "stays": {}, "new": {}}
	if ns := handler.Departed(before, now); !slices.Equal(ns, []string{"gone", "leaves", "restarted"}) {
		t.Errorf("%v", ns)
	}
}

// The store turns one instance away for 8 s and answers the others. Guards against an instance that keeps targets which were
// removed meanwhile, as if they had lapsed in an outage, and sends to them until 2 s after the store takes it back.
func TestRemovedTargetIsNotKeptWhileStoreAnswersOthers(t *testing.T) {
	start := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	var o handler.Outages
	for d := time.Duration(0); d < 12*time.Second; d += 250 * time.Millisecond {
		now := start.Add(d)
		returned := now
		if d > 8*time.Second {
			returned = start.Add(8 * time.Second)
		}
		// Others tell of answers that are up to 1.6 s old.
		if contact := now.Add(-time.Duration(d.Milliseconds()%1600) * time.Millisecond); o.Lapsing(now, contact, returned) {
			t.Errorf("after %v, 8 s of which the store turned only this instance away, removed targets are kept", d)
		}
	}
}

// The store is away for everybody from 1 to 6 s. Guards against targets that are dropped because their rows lapsed meanwhile:
// they may come back until 2 s after its return, which others may see first.
func TestLapsedTargetIsKeptAfterOutage(t *testing.T) {
	start := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	var o handler.Outages
	for d := time.Duration(0); d < 12*time.Second; d += 250 * time.Millisecond {
		now, contact, returned := start.Add(d), start.Add(d), time.Time{}
		if d > time.Second {
			returned = now
			contact = start.Add(time.Second)
		}
		if d > 6*time.Second {
			contact = now
		}
		if d > 6500*time.Millisecond {
			returned = start.Add(6500 * time.Millisecond)
		}
		got := o.Lapsing(now, contact, returned)
		// Before contactLimit has passed nobody has newer rows than this instance.
		if want := d > 6*time.Second && d <= 8*time.Second; want && !got {
			t.Errorf("%v after the return of the store lapsed targets are not kept", d-6*time.Second)
		}
		if d > 8500*time.Millisecond && got {
			t.Errorf("%v after the return of the store lapsed targets are still kept", d-6*time.Second)
		}
	}
}
