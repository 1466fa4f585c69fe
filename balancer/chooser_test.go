package balancer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/responder"
)

// Guards against forwarding to suspect, tried or distant owners while better ones exist, and against exceeding a link's
// budget.
func TestChoose(t *testing.T) {
	Convey("Given owners in two regions", t, func() {
		c := balancer.NewChooser(balancer.ChooserConfig{Name: "w1", Region: "west", Seed: 1})
		c.Adopt([]balancer.Owner{
			{Name: "w1", Region: "west"}, {Name: "w2", Region: "west"},
			{Name: "w3", Region: "west", Suspect: true}, {Name: "e1", Region: "east"},
		})
		now := epoch
		c.Report(now, "w1", balancer.Load{Slots: 3, Free: 1})
		c.Report(now, "w2", balancer.Load{Slots: 3, Free: 3})
		c.Report(now, "w3", balancer.Load{Slots: 30, Free: 30})

		Convey("the instance itself is chosen while it has a free slot", func() {
			o, ok := c.Choose(now, 1000)
			So(ok, ShouldBeTrue)
			So(o.Name, ShouldEqual, "w1")
		})
		Convey("then another owner in the region that is not suspect", func() {
			c.Report(now, "w1", balancer.Load{Slots: 3})
			o, _ := c.Choose(now, 1000, "w1")
			So(o.Name, ShouldEqual, "w2")
		})
		Convey("a suspect owner in the region only if no other is left", func() {
			o, _ := c.Choose(now, 1000, "w1", "w2")
			So(o.Name, ShouldEqual, "w3")
		})
		Convey("another region only within the budget of its link", func() {
			_, ok := c.Choose(now, 1000, "w1", "w2", "w3")
			So(ok, ShouldBeFalse)
			c.Link(now, "east", 14_000, 7)
			o, ok := c.Choose(now, 1000, "w1", "w2", "w3")
			So(ok, ShouldBeTrue)
			So(o.Name, ShouldEqual, "e1")
			_, ok = c.Choose(now, 1000, "w1", "w2", "w3")
			So(ok, ShouldBeFalse)
			now = now.Add(time.Second)
			_, ok = c.Choose(now, 1000, "w1", "w2", "w3")
			So(ok, ShouldBeTrue)
		})
	})
}

// Guards against sending every request to the same owner between two reports, and against ignoring free slots.
func TestChooseSpreadsByFreeSlots(t *testing.T) {
	c := balancer.NewChooser(balancer.ChooserConfig{Name: "entry", Region: "west", Seed: 1})
	var os []balancer.Owner
	for i := range 7 {
		os = append(os, balancer.Owner{Name: fmt.Sprint(i), Region: "west"})
	}
	c.Adopt(os)
	got := map[string]int{}
	for range 1000 {
		for i := range 7 {
			c.Report(epoch, fmt.Sprint(i), balancer.Load{Slots: 6, Free: i % 2 * 6})
		}
		round := map[string]int{}
		for range 18 {
			o, _ := c.Choose(epoch, 0)
			got[o.Name]++
			round[o.Name]++
			if round[o.Name] > 6+3 {
				t.Fatalf("%d requests in a row went to an owner with 6 free slots", round[o.Name])
			}
		}
	}
	for i := range 7 {
		n := got[fmt.Sprint(i)]
		if i%2 == 0 && n > 1000 || i%2 == 1 && n < 4500 {
			t.Fatalf("owner %d with %d free slots was chosen %d times of 18000", i, i%2*6, n)
		}
	}
}

// Guards against choosing between owners without free slots regardless of their queue lengths.
func TestChooseAvoidsLongQueues(t *testing.T) {
	c := balancer.NewChooser(balancer.ChooserConfig{Name: "entry", Region: "west", Seed: 1})
	c.Adopt([]balancer.Owner{{Name: "long", Region: "west"}, {Name: "short", Region: "west"}})
	c.Report(epoch, "long", balancer.Load{Slots: 3, Queued: 12})
	c.Report(epoch, "short", balancer.Load{Slots: 6, Queued: 13})
	for i := range 10 {
		if o, _ := c.Choose(epoch, 0); o.Name != "short" {
			t.Fatalf("request %d goes to the owner with 4 queued requests per slot, not 2", i)
		}
	}
}

// Guards against retry storms, and against running a request a second time.
func TestRetryBudget(t *testing.T) {
	c := balancer.NewChooser(balancer.ChooserConfig{})
	refusal := &responder.Refusal{Ran: responder.NotRun}
	n := 0
	for range 10_000 {
		c.Attempt()
		if c.Retry(epoch, refusal, epoch.Add(time.Second), "a") {
			n++
		}
	}
	if n > 1000 || n < 990 {
		t.Fatalf("%d retries of 10000 requests, want a tenth", n)
	}
	for range 100 {
		c.Attempt()
	}
	tried := []string{"a", "b", "c"}
	for r := range tried {
		if ok := c.Retry(epoch, refusal, epoch.Add(time.Second), tried[:r+1]...); ok != (r < 2) {
			t.Fatalf("retry %d of one request allowed: %t", r+1, ok)
		}
	}
	if c.Retry(epoch, refusal, epoch, "a") {
		t.Fatal("retry after the deadline")
	}
	if c.Retry(epoch, &responder.Refusal{Ran: responder.Unknown}, epoch.Add(time.Second), "a") {
		t.Fatal("retry of a request that may have run")
	}
}

// Guards against refusing a request for lack of retry budget although another owner has free slots, as at an instance
// that has just started and has no budget yet. Guards also against retries beyond the budget to owners whose slots are
// occupied or whose reports are missing or old.
func TestRetryToFreeSlots(t *testing.T) {
	refusal := &responder.Refusal{Ran: responder.NotRun}
	cases := []struct {
		name    string
		load    balancer.Load
		age     time.Duration
		suspect bool
		tried   []string
		want    bool
	}{
		{name: "free slots", load: balancer.Load{Slots: 3, Free: 1}, tried: []string{"a"}, want: true},
		{name: "no free slots", load: balancer.Load{Slots: 3}, tried: []string{"a"}},
		{name: "free slots and queued requests", load: balancer.Load{Slots: 3, Free: 1, Queued: 1}, tried: []string{"a"}},
		{name: "an old report", load: balancer.Load{Slots: 3, Free: 3}, age: 2 * time.Second, tried: []string{"a"}},
		{name: "a suspect", load: balancer.Load{Slots: 3, Free: 3}, suspect: true, tried: []string{"a"}},
		{name: "tried already", load: balancer.Load{Slots: 3, Free: 3}, tried: []string{"a", "b"}},
	}
	for _, x := range cases {
		c := balancer.NewChooser(balancer.ChooserConfig{})
		c.Adopt([]balancer.Owner{{Name: "a"}, {Name: "b", Suspect: x.suspect}})
		c.Report(epoch, "b", x.load)
		now := epoch.Add(x.age)
		if got := c.Retry(now, refusal, now.Add(time.Second), x.tried...); got != x.want {
			t.Errorf("%s: retry %t, want %t", x.name, got, x.want)
		}
		if c.Retry(now, refusal, now.Add(time.Second), "a", "b", "c") {
			t.Errorf("%s: a third retry", x.name)
		}
	}
}

// Guards against retries that use up a request's deadline at owners that cannot respond, as in a region that is cut
// off.
func TestNoRetryToOwnersThatDoNotServe(t *testing.T) {
	refusal := &responder.Refusal{Ran: responder.NotRun}
	for _, x := range []struct {
		name  string
		other balancer.Owner
		slots int
		want  bool
	}{
		{name: "serving", other: balancer.Owner{Name: "b"}, slots: 3, want: true},
		{name: "suspect", other: balancer.Owner{Name: "b", Suspect: true}, slots: 3},
		{name: "without slots", other: balancer.Owner{Name: "b"}},
	} {
		c := balancer.NewChooser(balancer.ChooserConfig{})
		c.Adopt([]balancer.Owner{{Name: "a"}, x.other})
		c.Report(epoch, "b", balancer.Load{Slots: x.slots})
		for range 100 {
			c.Attempt()
		}
		if got := c.Retry(epoch, refusal, epoch.Add(time.Second), "a"); got != x.want {
			t.Errorf("%s: retry %t, want %t", x.name, got, x.want)
		}
	}
}

// Guards against refusing a request as unreachable while other owners have free slots. The free slots that they
// reported are used up between heartbeats, and a few requests earn no retry budget.
func TestRetryOfUnreachedSpendsNoBudget(t *testing.T) {
	for reason, want := range map[responder.Reason]bool{responder.TargetUnreachable: true, responder.NoSlot: false} {
		c := balancer.NewChooser(balancer.ChooserConfig{})
		c.Adopt([]balancer.Owner{{Name: "a"}, {Name: "b"}})
		c.Report(epoch, "b", balancer.Load{Slots: 3})
		refusal := &responder.Refusal{Reason: reason, Ran: responder.NotRun}
		for range 3 {
			c.Attempt()
			if got := c.Retry(epoch, refusal, epoch.Add(time.Second), "a"); got != want {
				t.Errorf("%s: retry %t, want %t", reason, got, want)
			}
		}
	}
}

// Guards against refusing requests as overload while no owner serves the targets of their region yet.
func TestWaitsWhileRegionIsUnowned(t *testing.T) {
	for _, x := range []struct {
		name   string
		reason responder.Reason
		ran    responder.Ran
		own    balancer.Owner
		slots  int
		want   bool
	}{
		{name: "no owner", reason: responder.NoSlot, ran: responder.NotRun, want: true},
		{name: "no owner, target unreachable", reason: responder.TargetUnreachable, ran: responder.NotRun, want: true},
		{name: "no owner, shed", reason: responder.TargetShed, ran: responder.NotRun},
		{name: "no owner, may have run", reason: responder.NoSlot, ran: responder.Unknown},
		{name: "owner", reason: responder.NoSlot, ran: responder.NotRun, own: balancer.Owner{Name: "w", Region: "west"}, slots: 3},
		{name: "owner that waits", reason: responder.NoSlot, ran: responder.NotRun, own: balancer.Owner{Name: "w", Region: "west"}, want: true},
		{name: "suspect owner", reason: responder.NoSlot, ran: responder.NotRun, own: balancer.Owner{Name: "w", Region: "west", Suspect: true}, slots: 3, want: true},
		{name: "owner that waits, as its answer", reason: responder.NoOwner, ran: responder.NotRun, own: balancer.Owner{Name: "w", Region: "west"}, slots: 3, want: true},
	} {
		c := balancer.NewChooser(balancer.ChooserConfig{Region: "west"})
		os := []balancer.Owner{{Name: "e", Region: "east"}}
		if x.own.Name != "" {
			os = append(os, x.own)
		}
		c.Adopt(os)
		c.Report(epoch, "e", balancer.Load{Slots: 3, Free: 3})
		c.Report(epoch, "w", balancer.Load{Slots: x.slots})
		if got := c.Waits(epoch, &responder.Refusal{Reason: x.reason, Ran: x.ran}); got != x.want {
			t.Errorf("%s: waits %t, want %t", x.name, got, x.want)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	c := balancer.NewChooser(balancer.ChooserConfig{Name: "entry", Region: "west", Seed: 1})
	var os []balancer.Owner
	for i := range 24 {
		os = append(os, balancer.Owner{Name: fmt.Sprint(i), Region: "west"})
	}
	c.Adopt(os)
	for b.Loop() {
		c.Choose(epoch, 0)
	}
}
