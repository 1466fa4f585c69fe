package attester_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/tracker"
)

// sizes are numbers of instances, from the current deployments up to the target size.
var sizes = []int{7, 20, 60, 120, 880}

func BenchmarkGateValid(b *testing.B) {
	a := attester.New(attester.Config{Region: "a"})
	a.Adopt(1)
	a.SetMembership(membership(0, time.Hour))
	a.RecordRead(after(time.Hour), 1)
	var g attester.Gate
	g.Publish(a)
	now := after(time.Second)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if !g.Valid(attester.Fleet, now) {
				b.Fatal("no proof")
			}
		}
	})
}

// newFleet returns the tracker and the attester of one of n instances, and the contacts of its peers.
func newFleet(b testing.TB, n int) (*tracker.Tracker, *attester.Attester, []tracker.Contact) {
	self := tracker.Instance{Name: "i0", Incarnation: 1, Region: "a"}
	t, err := tracker.New(tracker.Config{Self: self})
	if err != nil {
		b.Fatal(err)
	}
	es := []tracker.Entry{{Instance: self}}
	var cs []tracker.Contact
	for i := 1; i < n; i++ {
		x := tracker.Instance{Name: fmt.Sprint("i", i), Incarnation: 1, Region: []string{"a", "b", "c"}[i%3]}
		es = append(es, tracker.Entry{Instance: x})
		cs = append(cs, tracker.Contact{From: x, State: tracker.Active, Acts: true})
	}
	t.ObserveList(start, start, es)
	for _, c := range cs {
		t.ObserveAnswer(start, start, c)
	}
	a := attester.New(attester.Config{Region: "a"})
	a.Adopt(1)
	synchronize(t, a, start)
	return t, a, cs
}

func synchronize(t *tracker.Tracker, a *attester.Attester, now time.Time) {
	m := attester.Membership{Admitted: t.Admitted(), Listed: t.ListedAt(), Newcomer: t.Newcomer(now)}
	for _, p := range t.Peers(now) {
		m.Peers = append(m.Peers, attester.Peer{Name: p.Name, Incarnation: p.Incarnation, Region: p.Region})
	}
	a.SetMembership(m)
}

func BenchmarkTick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, a, _ := newFleet(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := after(time.Duration(i) * time.Microsecond)
				t.Tick(now)
				synchronize(t, a, now)
			}
		})
	}
}

// BenchmarkRound measures one heartbeat round: it handles a heartbeat and an answer of
// each peer, and publishes the expiry times after each. An instance runs two rounds a second.
func BenchmarkRound(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, a, cs := newFleet(b, n)
			var g attester.Gate
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := after(time.Duration(i) * time.Millisecond)
				for _, c := range cs {
					t.ObserveHeartbeat(now, c)
					a.RecordVersion(c.From.Name, 1, 1, false)
					t.ObserveAnswer(now, now, c)
					a.RecordAnswer(now, attester.Answer{Name: c.From.Name, Incarnation: 1, Version: 1, Acts: true})
					g.Publish(a)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n-1), "ns/peer")
		})
	}
}

func BenchmarkObserveList(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, _, cs := newFleet(b, n)
			es := []tracker.Entry{{Instance: tracker.Instance{Name: "i0", Incarnation: 1, Region: "a"}}}
			for _, c := range cs {
				es = append(es, tracker.Entry{Instance: c.From})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := after(time.Duration(i) * time.Microsecond)
				t.ObserveList(now, now, es)
			}
		})
	}
}

// heartbeatMessage returns a heartbeat that has only the fields required for membership.
func heartbeatMessage() *messenger.Beat {
	return &messenger.Beat{
		From: &messenger.Member{
			Name: "almaty-1-instance-07", Incarnation: 1 << 60, Region: "almaty", FailureDomain: "almaty_1",
			CallerAddress: "10.11.12.13:8443", PeerAddress: "10.11.12.13:8444", State: "active",
		},
		HeadsVersion: 100_000, ConfigVersion: 90_000, ReleasedVersion: 100_000,
	}
}

// BenchmarkHeartbeatSize measures the time to encode and decode the heartbeats and
// answers that one instance sends and receives per second, and reports their size
// without transport overhead.
func BenchmarkHeartbeatSize(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				// Two heartbeats and two answers a second, each sent and received.
				for range 4 * (n - 1) {
					x, err := proto.Marshal(heartbeatMessage())
					if err != nil {
						b.Fatal(err)
					}
					var y messenger.Beat
					if err := proto.Unmarshal(x, &y); err != nil {
						b.Fatal(err)
					}
					size = len(x)
				}
			}
			b.ReportMetric(float64(size), "B/message")
			b.ReportMetric(float64(size*8*(n-1)), "B/s")
		})
	}
}
