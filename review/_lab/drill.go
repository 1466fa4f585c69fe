package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// coldFor is how long a backend is cold, and coldRate the requests per second that it tolerates meanwhile.
	coldFor  = 3 * time.Second
	coldRate = 2.9
	// coldOverage and coldSlack are those of the site.
	coldOverage = 1.5
	coldSlack   = 5
	heartbeat   = 1500 * time.Millisecond
	// crashRate is the number of requests in a second that crash a cold backend; it is well above coldRate.
	crashRate = 14
	pace      = 10 * time.Millisecond
)

// crashWhenCold has a backend crash that gets too many requests while it is cold; the result tells whether it did.
func (b *backend) crashWhenCold(cold func() bool) *atomic.Bool {
	var crashed atomic.Bool
	var mu sync.Mutex
	var times []time.Time
	b.began = func(b *backend, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		times = slices.DeleteFunc(times, func(t time.Time) bool { return now.Sub(t) > time.Second })
		if !cold() {
			return
		}
		times = append(times, now)
		if len(times) == crashRate {
			b.lab.note("%s had %d requests within a second while it was cold and crashes", b.name, crashRate)
			crashed.Store(true)
			go b.crash()
		}
	}
	return &crashed
}

// coldInDrill restores the store from a copy that is older than a backend's statement that it is cold again.
func coldInDrill(l *lab) (bool, error) {
	var bs []*backend
	for i := range 6 {
		b, err := l.newBackend(fmt.Sprintf("i-pitchbook-%d", i+1), "pitchbook", i, 40*time.Millisecond)
		if err != nil {
			return false, err
		}
		b.register()
		bs = append(bs, b)
	}
	b := bs[0]
	var coldUntil atomic.Int64
	crashed := b.crashWhenCold(func() bool { return int64(time.Since(l.started)) < coldUntil.Load() })
	if err := l.configure(1, route{service: "pitchbook", kind: "unsafe", timeout: "3000ms", public: true}); err != nil {
		return false, err
	}
	if err := l.startNodes(machines, machineMB); err != nil {
		return false, err
	}
	over := make(chan struct{})
	var g sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for _, n := range l.nodes {
		g.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				case <-time.After(pace):
				}
				g.Go(func() {
					a := l.send(n, request{id: fmt.Sprintf("%s-%d", n.name, i), method: "PUT", path: "/pitchbook/booking", body: "x", deadline: 3 * time.Second})
					mu.Lock()
					defer mu.Unlock()
					statuses[a.status]++
				})
			}
		})
	}
	time.Sleep(5 * time.Second)
	copied := l.store.Snapshot()
	time.Sleep(500 * time.Millisecond)
	cold := time.Since(l.started)
	coldUntil.Store(int64(cold + coldFor))
	l.note("%s is cold for %v", b.name, coldFor)
	l.store.Put("servers", b.name, b.coldRow(2, coldFor))
	time.Sleep(time.Second)
	if l.trouble {
		l.note("the store goes away")
		l.store.Restore(copied, 300*time.Millisecond)
		l.note("the store is back from a copy that is %v old", time.Since(l.started)-cold+500*time.Millisecond)
		time.Sleep(heartbeat)
	} else {
		time.Sleep(heartbeat + 300*time.Millisecond)
	}
	if left := max(coldFor-(time.Since(l.started)-cold), 0); !crashed.Load() {
		l.note("%s writes its entry again, cold for %v", b.name, left)
		l.store.Put("servers", b.name, b.coldRow(3, left))
	}
	time.Sleep(2 * time.Second)
	close(over)
	g.Wait()
	var times []time.Duration
	for _, r := range b.all() {
		if r.at >= cold+400*time.Millisecond && r.at < cold+coldFor {
			times = append(times, r.at)
		}
	}
	slices.Sort(times)
	most, from := 0, time.Duration(0)
	for i, t := range times {
		n := 0
		for _, u := range times[i:] {
			if u < t+time.Second {
				n++
			}
		}
		if n > most {
			most, from = n, t
		}
	}
	allowed := coldRate*coldOverage + coldSlack
	l.note("%s began to run %d requests in the second from %.3f s, %.2f are allowed; answers by status: %v", b.name, most, from.Seconds(), allowed, statuses)
	return float64(most) > allowed, nil
}

// coldRow returns the text of the entry of a ready backend that is cold for a time.
func (b *backend) coldRow(sequence int, left time.Duration) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"cold_left":"%dms"}}`,
		b.at, b.born, b.service, b.zone, slots, sequence, left.Milliseconds())
}
