package limiter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/limiter"
)

var accountCounts = []int{8, 80, 800}

func owned(n int) []limiter.Owned {
	var r []limiter.Owned
	for i := range n {
		for p, l := range limiter.Parts(100, 200) {
			r = append(r, limiter.Owned{Account: fmt.Sprint("account-", i), Part: p, Limit: l})
		}
	}
	return r
}

// BenchmarkSet measures Set with unchanged parts, as called on each tick, and reports the memory per account.
func BenchmarkSet(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var x, y runtime.MemStats
			w := owned(n)
			runtime.GC()
			runtime.ReadMemStats(&x)
			o := limiter.NewOwner()
			o.Set(epoch, w)
			runtime.GC()
			runtime.ReadMemStats(&y)
			for b.Loop() {
				o.Set(epoch, w)
			}
			b.ReportMetric((float64(y.HeapAlloc)-float64(x.HeapAlloc))/float64(n), "B/account")
		})
	}
}

// BenchmarkGrant measures grants of one owner of all parts to 880 holders in turn.
func BenchmarkGrant(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o, w, now := limiter.NewOwner(), owned(n), epoch
			o.Set(epoch, w)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Microsecond)
				k := w[i%len(w)]
				o.Grant(now, k.Account, k.Part, limiter.Request{Holder: fmt.Sprint("i", i%880), Incarnation: 1, Ask: uint64(i), Tokens: 1})
			}
		})
	}
}
