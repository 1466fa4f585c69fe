package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/balancer"
)

// newWarmPool returns a pool that owns n targets with all slots usable.
func newWarmPool(c balancer.Config, now time.Time, n int) *balancer.Pool {
	p := balancer.New(c)
	var hs []balancer.Holding
	for i := range n {
		hs = append(hs, balancer.Holding{Target: fmt.Sprintf("t%d", i), Slots: slots})
	}
	p.SetTargets(now, hs)
	for p.Load(now).Free < n*slots {
		_, a := p.Submit(now, balancer.Work{Deadline: now.Add(time.Second)})
		p.Finish(now, a.Starts[0].ID, balancer.Success)
	}
	return p
}

// Guards against an account that is served less than its weighted share while others keep the queue full.
func TestQueueSharesByRate(t *testing.T) {
	const served = 500
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(1, 100), 2, 8).Draw(t, "rates")
		p := newWarmPool(balancer.Config{QueuePerSlot: 100}, epoch, 1)
		total := 0.0
		for _, r := range rates {
			total += r
		}
		got := make(map[string]int)
		started := fill(p, rates)
		for range served {
			a := p.Finish(epoch, started[0].ID, balancer.Success)
			started = append(started[1:], a.Starts...)
			w := a.Starts[0].Request
			got[w.Account]++
			_, a = p.Submit(epoch, w)
			started = append(started, a.Starts...)
		}
		for i, r := range rates {
			// Deficit round robin bounds the lag of each account by one request, so the sum of lags by the number of
			// accounts.
			want, slack := served*r/total, float64(len(rates))
			if n := float64(got[fmt.Sprint(i)]); n < want-slack || n > want+slack {
				t.Fatalf("account %d with rate %g of %g was served %g times, want %g", i, r, total, n, want)
			}
		}
	})
}

// fill occupies all slots and queues requests of each account.
func fill(p *balancer.Pool, rates []float64) []balancer.Start {
	var started []balancer.Start
	for range slots {
		_, a := p.Submit(epoch, balancer.Work{Account: "first", Rate: 1, Deadline: epoch.Add(time.Hour)})
		started = append(started, a.Starts...)
	}
	for i, r := range rates {
		for range 5 {
			p.Submit(epoch, balancer.Work{Account: fmt.Sprint(i), Rate: r, Deadline: epoch.Add(time.Hour)})
		}
	}
	return started
}

// Guards against refusing the request of an account within its share when the queue is full.
func TestFullQueueRefusesLongestAccount(t *testing.T) {
	p := newWarmPool(balancer.Config{QueuePerSlot: 2}, epoch, 1)
	submit := func(account string) (balancer.ID, balancer.Actions) {
		return p.Submit(epoch, balancer.Work{Account: account, Rate: 1, Deadline: epoch.Add(time.Hour)})
	}
	var newest balancer.ID
	for range slots + 2*slots {
		newest, _ = submit("kiln")
	}
	id, a := submit("loom")
	if len(a.Refused) != 1 || a.Refused[0].ID != newest || a.Refused[0].Refusal.RetryAfter <= 0 {
		t.Fatalf("submitting %d refused %v, want %d with a retry time", id, a.Refused, newest)
	}
	id, a = submit("kiln")
	if len(a.Refused) != 1 || a.Refused[0].ID != id {
		t.Fatalf("submitting %d refused %v, want itself", id, a.Refused)
	}
}

func BenchmarkSubmitFinish(b *testing.B) {
	now := epoch
	p := newWarmPool(balancer.Config{}, now, 4)
	var started []balancer.Start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		w := balancer.Work{Account: fmt.Sprint(i % 8), Rate: float64(1 + i%8), Deadline: now.Add(time.Second)}
		_, a := p.Submit(now, w)
		started = append(started, a.Starts...)
		if len(started) < 4*slots {
			continue
		}
		a = p.Finish(now, started[0].ID, balancer.Success)
		started = append(started[1:], a.Starts...)
	}
}
