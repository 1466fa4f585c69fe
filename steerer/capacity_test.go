package steerer_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/steerer"
)

// fleet returns n instances in the given number of regions and a configuration with them and some blocks.
func fleet(n, regions, blocks int) ([]steerer.Instance, composer.Config) {
	c := configuration(0)
	c.Regions = nil
	for i := range regions {
		c.Regions = append(c.Regions, composer.Region{Name: fmt.Sprint("region-", i), FailureDomains: []string{fmt.Sprint("domain-", i)}})
	}
	c.Shifts[0].From, c.Shifts[0].To = c.Regions[0].Name, c.Regions[1].Name
	p := &c.Pools[0]
	p.Targets = nil
	for i, r := range c.Regions {
		p.Targets = append(p.Targets, composer.Target{Name: r.Name, FailureDomain: c.Regions[i].FailureDomains[0], Slots: 30_000})
	}
	for i := range blocks {
		a := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
		c.Blocks = append(c.Blocks, composer.Block{Prefix: netip.PrefixFrom(a, 24), Region: c.Regions[i%regions].Name, Weight: 1})
	}
	var r []steerer.Instance
	for i := range n {
		g := c.Regions[i%regions].Name
		r = append(r, steerer.Instance{Name: fmt.Sprintf("%s-instance-%03d", g, i), Region: g, FailureDomain: fmt.Sprint("domain-", i%regions)})
	}
	return r, c
}

// BenchmarkAnswerInstances has the numbers of instances of today, of growth and of the target size.
func BenchmarkAnswerInstances(b *testing.B) {
	for _, s := range []struct{ instances, regions int }{{7, 3}, {20, 3}, {60, 5}, {120, 5}, {880, 10}} {
		b.Run(fmt.Sprint(s.instances), func(b *testing.B) {
			live, c := fleet(s.instances, s.regions, 16_000)
			t, f := steerer.New(steerer.Config{Configuration: c}), steerer.NewFleet(live)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t.Answer(c.Blocks[i%len(c.Blocks)].Prefix.Addr(), f)
			}
		})
	}
}

// BenchmarkNew reports the memory that a table keeps for each block besides its time.
func BenchmarkNew(b *testing.B) {
	for _, n := range []int{1_000, 16_000, 160_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, c := fleet(7, 10, n)
			kept := heap(func() any { return steerer.New(steerer.Config{Configuration: c}) })
			b.ReportAllocs()
			for b.Loop() {
				steerer.New(steerer.Config{Configuration: c})
			}
			b.ReportMetric(kept/float64(n), "B/block")
		})
	}
}

// BenchmarkNext measures the decision on a step that is due, which an owner of a shift takes once a second: the first one
// of a configuration, and those on the table of a step, with a number of shifts that leave the same region.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{1_000, 16_000, 160_000} {
		for _, shifts := range []int{1, 2, 4} {
			_, c := fleet(7, 10, n)
			for i := range shifts - 1 {
				s := c.Shifts[0]
				s.Name = fmt.Sprint("dusk-", i)
				c.Shifts = append(c.Shifts, s)
			}
			now := start.Add(time.Hour)
			loads := map[string]steerer.Load{c.Shifts[0].To: {At: now, Expected: 1, Instances: 1}}
			decide := func(b *testing.B, t *steerer.Table) {
				if h := t.Next(c.Shifts[0].Name, steerer.Progress{Steps: 1}, loads, now); h != steerer.Advance {
					b.Fatal(h)
				}
			}
			b.Run(fmt.Sprintf("first/%d/%d", n, shifts), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					t := steerer.New(steerer.Config{Configuration: c})
					b.StartTimer()
					decide(b, t)
				}
			})
			b.Run(fmt.Sprintf("step/%d/%d", n, shifts), func(b *testing.B) {
				t := steerer.New(steerer.Config{Configuration: c})
				decide(b, t)
				b.ReportAllocs()
				for b.Loop() {
					decide(b, t.At(map[string]int{c.Shifts[0].Name: 1, "dusk-0": 1}))
				}
			})
		}
	}
}

// heap returns by how many bytes the result of f makes the heap grow.
func heap(f func() any) float64 {
	var x, y runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&x)
	v := f()
	runtime.GC()
	runtime.ReadMemStats(&y)
	runtime.KeepAlive(v)
	return float64(y.HeapAlloc) - float64(x.HeapAlloc)
}
