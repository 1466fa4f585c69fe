package claimer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/claimer"
)

// BenchmarkTicketMemory reports the memory used per ticket of a finished request with a response body of 500 bytes.
func BenchmarkTicketMemory(b *testing.B) {
	for _, n := range []int{500, 1_000, 2_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var x, y runtime.MemStats
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&x)
				t, err := claimer.NewTickets(claimer.TicketConfig{Location: claimer.Location{Instance: "i0", Incarnation: 1}, Life: 2 * time.Minute})
				if err != nil {
					b.Fatal(err)
				}
				now := time.Now()
				for i := range n {
					runTicket(b, t, i, now)
				}
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&y)
				runtime.KeepAlive(t)
				b.ReportMetric((float64(y.HeapAlloc)-float64(x.HeapAlloc))/float64(n), "B/ticket")
			}
		})
	}
}

func runTicket(b *testing.B, t *claimer.Tickets, i int, now time.Time) {
	r := claimRequest(i)
	r.Deadline = now.Add(time.Minute)
	var err error
	if r.Key, err = t.Issue(r.Account, now); err != nil {
		b.Fatal(err)
	}
	d := t.Begin(r, now)
	if d.Verdict != claimer.Run {
		b.Fatal(d.Verdict)
	}
	if err := t.Finish(d.Ticket, claimer.Outcome{Status: 201, Body: make([]byte, 500)}); err != nil {
		b.Fatal(err)
	}
}
