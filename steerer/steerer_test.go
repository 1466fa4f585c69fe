package steerer_test

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/steerer"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func configuration(blocks int) composer.Config {
	c := composer.Config{
		Lookup:  composer.Lookup{TimeToLive: 5 * time.Second},
		Regions: []composer.Region{{Name: "almaty", FailureDomains: []string{"almaty-a"}}, {Name: "astana", FailureDomains: []string{"astana-a"}}, {Name: "shymkent", FailureDomains: []string{"shymkent-a"}}},
		Shifts:  []composer.Shift{{Name: "dawn", From: "almaty", To: "astana", Share: 0.5, Step: 0.1, StepInterval: time.Second, Cap: 1e9, Start: start}},
	}
	p := composer.Pool{Name: "map", ServiceTime: 10 * time.Millisecond}
	for _, r := range c.Regions {
		p.Targets = append(p.Targets, composer.Target{Name: r.Name, FailureDomain: r.FailureDomains[0], Slots: 30})
	}
	c.Pools = []composer.Pool{p}
	for i := range blocks {
		a := netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0})
		c.Blocks = append(c.Blocks, composer.Block{Prefix: netip.PrefixFrom(a, 24), Region: c.Regions[i%3].Name, Weight: 1 + float64(i%5)})
	}
	return c
}

func instances() []steerer.Instance {
	var r []steerer.Instance
	for i, n := range []string{"almaty", "almaty", "almaty", "astana", "astana", "shymkent", "shymkent"} {
		r = append(r, steerer.Instance{Name: fmt.Sprintf("%s-%d", n, i), Region: n, FailureDomain: n + "-a"})
	}
	return r
}

func liveFleet() *steerer.Fleet {
	return steerer.NewFleet(instances())
}

// Guards against instances that give different answers for the same state, whatever order they learnt it in.
func TestAnswerIsPure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := configuration(64)
		steps := map[string]int{"dawn": rapid.IntRange(0, 6).Draw(t, "steps")}
		a := steerer.New(steerer.Config{Configuration: c, Steps: steps})
		c.Blocks = rapid.Permutation(c.Blocks).Draw(t, "blocks")
		b := steerer.New(steerer.Config{Configuration: c, Steps: steps})
		i := netip.AddrFrom4([4]byte{10, 0, rapid.Byte().Draw(t, "address"), 9})
		x, y := a.Answer(i, liveFleet()), b.Answer(i, steerer.NewFleet(rapid.Permutation(instances()).Draw(t, "instances")))
		if !reflect.DeepEqual(x, y) {
			t.Fatalf("answers differ: %v and %v", x, y)
		}
		if len(x.Instances) != 7 || x.Instances[0].Region != x.Region {
			t.Fatalf("answer = %v", x)
		}
	})
}

// Guards against traffic that moves without need: a dead instance moves only its own callers, a step only blocks to the new region.
func TestOnlyAffectedBlocksMove(t *testing.T) {
	c := configuration(600)
	before := steerer.New(steerer.Config{Configuration: c, Steps: map[string]int{"dawn": 1}})
	after := steerer.New(steerer.Config{Configuration: c, Steps: map[string]int{"dawn": 2}})
	live := instances()
	all, less := steerer.NewFleet(live), steerer.NewFleet(slices.Delete(slices.Clone(live), 0, 1))
	moved := 0
	for _, b := range c.Blocks {
		a := b.Prefix.Addr().Next()
		x, y, z := before.Answer(a, all), after.Answer(a, all), before.Answer(a, less)
		if x.Instances[0] != live[0] && x.Instances[0] != z.Instances[0] {
			t.Fatalf("block %v moved although its instance is live", b.Prefix)
		}
		if x.Region == y.Region {
			continue
		}
		moved++
		if x.Region != "almaty" || y.Region != "astana" {
			t.Fatalf("block %v moved from %s to %s", b.Prefix, x.Region, y.Region)
		}
	}
	if moved < 5 || moved > 40 {
		t.Fatalf("%d of 200 blocks moved with a step of a tenth", moved)
	}
}

// Guards P1 and P2: whatever measurements say, planned load stays under the cap and the capacity.
func TestShiftStaysUnderCapAndCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := configuration(300)
		c.Shifts[0].Cap = rapid.Float64Range(1, 400).Draw(t, "cap")
		room := rapid.Float64Range(0, 400).Draw(t, "room")
		base := steerer.New(steerer.Config{Configuration: c}).Planned()["astana"]
		c.Pools[0].Targets[1].Slots = int(math.Ceil((base + room) / 100))
		limit := composer.Capacity(c)["astana"]
		p := steerer.Progress{}
		now := start
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			l := map[string]steerer.Load{}
			if rapid.Bool().Draw(t, "measured") {
				l["astana"] = steerer.Load{
					Rate:      rapid.Float64Range(0, limit*1.2).Draw(t, "rate"),
					At:        now.Add(time.Duration(rapid.IntRange(-9000, 1000).Draw(t, "age")) * time.Millisecond),
					Instances: rapid.IntRange(0, 2).Draw(t, "reports"),
					Expected:  2,
				}
			}
			k := steerer.New(steerer.Config{Configuration: c, Steps: map[string]int{"dawn": p.Steps}})
			if k.Next("dawn", p, l, now) != steerer.Advance {
				continue
			}
			if now.Sub(p.At) < 5*time.Second {
				t.Fatalf("step after %v, while answers of the step before are in use", now.Sub(p.At))
			}
			m, ok := l["astana"]
			if !ok || m.Instances < 2 || now.Sub(m.At) > 5*time.Second || m.At.After(now) {
				t.Fatalf("step without a complete and fresh measurement: %+v", m)
			}
			added := k.MovedWeight(c.Shifts[0], p.Steps+1) - k.MovedWeight(c.Shifts[0], p.Steps)
			if m.Rate+added > limit {
				t.Fatalf("step over measured capacity")
			}
			p = steerer.Progress{Steps: p.Steps + 1, At: now}
			k = steerer.New(steerer.Config{Configuration: c, Steps: map[string]int{"dawn": p.Steps}})
			if w := k.MovedWeight(c.Shifts[0], p.Steps); w > c.Shifts[0].Cap {
				t.Fatalf("moved %v requests/s over the cap of %v", w, c.Shifts[0].Cap)
			}
			if k.Planned()["astana"] > limit {
				t.Fatalf("region planned above its capacity")
			}
		}
	})
}

// Guards against a prefix that hides a longer one, and against callers outside all blocks who get no answer.
func TestLongestPrefixAndUnknownCallers(t *testing.T) {
	c := configuration(0)
	c.Blocks = []composer.Block{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Region: "almaty"},
		{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "astana"},
		{Prefix: netip.MustParsePrefix("2001:db8::/32"), Region: "shymkent"},
	}
	k := steerer.New(steerer.Config{Configuration: c})
	for a, want := range map[string]string{"10.2.0.1": "almaty", "10.1.0.1": "astana", "::ffff:10.1.0.1": "astana", "2001:db8::1": "shymkent"} {
		if got := k.Answer(netip.MustParseAddr(a), liveFleet()).Region; got != want {
			t.Errorf("%s: %s, want %s", a, got, want)
		}
	}
	if got := k.Answer(netip.MustParseAddr("192.0.2.1"), liveFleet()); len(got.Instances) != 7 {
		t.Errorf("unknown caller got %v", got)
	}
}

// Guards against a drained region, failure domain or instance that is still named.
func TestDrainedIsNotNamed(t *testing.T) {
	c := configuration(30)
	c.Drains = []composer.Drain{{Name: "d", Kind: composer.DrainRegion, Of: "almaty"}, {Name: "e", Kind: composer.DrainInstance, Of: "astana-3"}}
	k := steerer.New(steerer.Config{Configuration: c})
	for _, b := range c.Blocks {
		a := k.Answer(b.Prefix.Addr(), liveFleet())
		if len(a.Instances) != 3 {
			t.Fatalf("answer = %v", a)
		}
	}
}

func BenchmarkAnswer(b *testing.B) {
	for _, n := range []int{1_000, 16_000, 160_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := configuration(0)
			for i := range n {
				a := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
				c.Blocks = append(c.Blocks, composer.Block{Prefix: netip.PrefixFrom(a, 24), Region: c.Regions[i%3].Name, Weight: 1})
			}
			k := steerer.New(steerer.Config{Configuration: c})
			live := liveFleet()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k.Answer(c.Blocks[i%n].Prefix.Addr(), live)
			}
		})
	}
}
