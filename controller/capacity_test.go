package controller_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"runtime/metrics"
	"slices"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/loader"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/operator"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/tracker"
)

type noHooks struct{}

func (noHooks) Reassign()               {}
func (noHooks) Fill(*messenger.Beat)    {}
func (noHooks) Receive(*messenger.Beat) {}

func newController(b testing.TB) *controller.Controller {
	l, err := logger.New(logger.Config{Level: "error", Format: "json", Writer: io.Discard})
	if err != nil {
		b.Fatal(err)
	}
	c, err := controller.New(controller.Config{
		Self: tracker.Instance{Name: "i0", Incarnation: 1, Region: "region-0"},
		Timing: loader.Timing{
			Freshness: 3 * time.Second, Heartbeat: 500 * time.Millisecond, Suspicion: 1500 * time.Millisecond,
			ListLag: 10 * time.Second, ListAge: 3 * time.Second,
		},
		Hooks: noHooks{},
		Log:   l,
		Clock: time.Now,
	})
	if err != nil {
		b.Fatal(err)
	}
	return c
}

// BenchmarkHeartbeat handles one heartbeat of a peer among n instances, without codec and transport. The answers
// to the own heartbeats take the same way, so that an instance does this 4 (n - 1) times a second.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{7, 20, 60, 120, 880} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newController(b)
			var ms []*messenger.Beat
			for i := 1; i < n; i++ {
				ms = append(ms, &messenger.Beat{From: &messenger.Member{
					Name: fmt.Sprint("i", i), Incarnation: 1, Region: fmt.Sprint("region-", i%10), FailureDomain: "d",
					CallerAddress: "10.11.12.13:8443", PeerAddress: "10.11.12.13:8444", State: "active",
				}})
			}
			beat := func(m *messenger.Beat) {
				if _, err := c.Heartbeat(context.Background(), m); err != nil {
					b.Fatal(err)
				}
			}
			for _, m := range ms {
				beat(m)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				beat(ms[i%len(ms)])
			}
			perSecond := float64(b.Elapsed().Nanoseconds()) / float64(b.N) * 4 * float64(n-1)
			b.ReportMetric(perSecond/1e7, "%core")
		})
	}
}

// BenchmarkAdopt adopts a new heads version with the same configuration, such as a step of a shift or a change of an
// assignment, and with a new configuration; it reports the memory that an adopted view keeps.
func BenchmarkAdopt(b *testing.B) {
	for _, n := range []int{1_000, 16_000, 160_000} {
		for _, k := range []string{"heads", "configuration"} {
			b.Run(fmt.Sprintf("%s/%d", k, n), func(b *testing.B) {
				text := configuration(b, n)
				before := heapInUse()
				c := newController(b)
				version := uint64(1)
				adopt(b, c, text, 1, version)
				kept := heapInUse() - before
				heads := recorder.Heads{ConfigVersion: 1, ConfigDigest: sha256.Sum256(text)}
				texts := [][]byte{text, changed(text)}
				b.ReportAllocs()
				for b.Loop() {
					version++
					if k == "configuration" {
						adopt(b, c, texts[version%2], version, version)
						continue
					}
					adoptHeads(b, c, text, heads, version)
				}
				b.ReportMetric(kept/1e6, "MB-kept")
				b.ReportMetric(float64(len(text))/float64(n), "B-text/block")
			})
		}
	}
}

// Guards against a step of a shift whose cost grows with the number of blocks, which are the same after it.
func TestStepSharesBlocks(t *testing.T) {
	const runs = 20
	allocated := map[int]uint64{}
	for _, n := range []int{1_000, 16_000} {
		text := configuration(t, n)
		c := newController(t)
		adopt(t, c, text, 1, 1)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for v := range uint64(runs) {
			adopt(t, c, text, 1, v+2)
		}
		runtime.ReadMemStats(&after)
		allocated[n] = (after.TotalAlloc - before.TotalAlloc) / runs
	}
	if allocated[16_000] > 2*allocated[1_000] {
		t.Errorf("a heads version allocates %d B with 1,000 blocks and %d B with 16,000", allocated[1_000], allocated[16_000])
	}
}

// Guards against a table of blocks that a new configuration takes over although a block changed.
func TestChangedBlockIsSteered(t *testing.T) {
	text := configuration(t, 100)
	c := newController(t)
	adopt(t, c, text, 1, 1)
	adopt(t, c, changed(text), 2, 2)
	if got := c.View().Steering.Find(netip.MustParseAddr("100.0.0.99")).Region; got != "east" {
		t.Errorf("the changed block is in %q", got)
	}
}

// heapInUse collects twice, since the pools of libraries keep their contents for one collection.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func configuration(b testing.TB, blocks int) []byte {
	c := composer.Config{
		Lookup:  composer.Lookup{TimeToLive: 5 * time.Second},
		Regions: []composer.Region{{Name: "west", FailureDomains: []string{"west_a"}}, {Name: "east", FailureDomains: []string{"east_a"}}},
	}
	for i := range blocks {
		a := netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)})
		c.Blocks = append(c.Blocks, composer.Block{Prefix: netip.PrefixFrom(a, 32), Region: "west", Weight: 2})
	}
	t, err := composer.Encode(c)
	if err != nil {
		b.Fatal(err)
	}
	return t
}

// changed returns a text in which the last block has another region.
func changed(text []byte) []byte {
	i := bytes.LastIndex(text, []byte("west"))
	return slices.Concat(text[:i], []byte("east"), text[i+len("west"):])
}

func adopt(b testing.TB, c *controller.Controller, text []byte, config, version uint64) {
	b.Helper()
	adoptHeads(b, c, text, recorder.Heads{ConfigVersion: config, ConfigDigest: sha256.Sum256(text)}, version)
}

func adoptHeads(b testing.TB, c *controller.Controller, text []byte, h recorder.Heads, version uint64) {
	v, err := h.Encode()
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// The change is adopted before Publish waits for the peers, which the cancelled context ends.
	_, _ = c.Publish(ctx, operator.Commit{Heads: storer.Row{Key: recorder.HeadsKey, Version: version, Value: v}, ConfigVersion: h.ConfigVersion, Text: text})
	if c.View().Row.Version != version {
		b.Fatalf("version %d was not adopted", version)
	}
}

// BenchmarkAdoptPeak reports by how much the heap grows at most while a configuration replaces one that differs in one block,
// beyond what the first one and both texts keep.
func BenchmarkAdoptPeak(b *testing.B) {
	for _, n := range []int{1_000, 16_000, 160_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := configuration(b, n)
			c := newController(b)
			version := uint64(1)
			texts := [][]byte{text, changed(text)}
			adopt(b, c, texts[1], version, version)
			most := 0.0
			for b.Loop() {
				before := heapInUse()
				version++
				most = max(most, peak(func() { adopt(b, c, texts[version%2], version, version) })-before)
			}
			b.ReportMetric(most/1e6, "MB-peak")
		})
	}
}

// peak returns the largest heap in bytes that is seen while f runs, garbage included.
func peak(f func()) float64 {
	done, most := make(chan struct{}), make(chan uint64)
	go func() {
		t := time.NewTicker(time.Millisecond)
		defer t.Stop()
		s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		var m uint64
		for {
			metrics.Read(s)
			m = max(m, s[0].Value.Uint64())
			select {
			case <-done:
				most <- m
				return
			case <-t.C:
			}
		}
	}()
	f()
	close(done)
	return float64(<-most)
}
