package meter_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/meter"
)

// BenchmarkWrite measures Write and reports the size of its output and the memory per account.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{8, 80, 800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var x, y runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&x)
			m := meter.New(meter.Config{AccountHistograms: 100})
			for i := range n {
				for d := range 20 {
					m.Observe(meter.Request{Route: "map", Account: fmt.Sprint("account-", i), Duration: time.Duration(d*d+1) * time.Millisecond, Admitted: true}, now)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&y)
			var w bytes.Buffer
			for b.Loop() {
				w.Reset()
				m.Write(&w, meter.State{})
			}
			b.ReportMetric(float64(w.Len()), "B/page")
			b.ReportMetric((float64(y.HeapAlloc)-float64(x.HeapAlloc))/float64(n), "B/account")
		})
	}
}
