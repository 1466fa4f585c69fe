package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	usualWork = 350 * time.Millisecond
	slowX     = 6
	slowTime  = 9 * time.Second
	// loweredAfter is when the operator lowers the timeout of the later route while its backends are slow.
	loweredAfter = 8 * time.Second
	counted      = 20 * time.Second
)

// tally counts the answers of a route.
type tally struct {
	mu            sync.Mutex
	asked, served int
	statuses      map[int]int
}

// timeoutWhileSlow lowers the timeout of a route while the only backends of its home are slow, and counts what is served once they
// are as fast as before.
func timeoutWhileSlow(l *lab) (bool, error) {
	var slow atomic.Bool
	for i := range 6 {
		b, err := l.newBackend(fmt.Sprintf("i-feeledger-%d", i+1), "feeledger", i, usualWork)
		if err != nil {
			return false, err
		}
		if i%len(zones) == 0 {
			b.work = func(*http.Request) time.Duration {
				if slow.Load() {
					return slowX * usualWork
				}
				return usualWork
			}
		}
		b.register()
	}
	first := route{service: "feeledger", kind: "unsafe", timeout: "3000ms"}
	later := func(timeout string) route {
		return route{service: "feeledger", kind: "unsafe", timeout: timeout, name: "renewal", regions: regions[:1]}
	}
	if err := l.configure(1, first); err != nil {
		return false, err
	}
	if err := l.startNodes(machines, machineMB); err != nil {
		return false, err
	}
	if err := l.configure(2, first, later("3000ms")); err != nil {
		return false, err
	}
	time.Sleep(contact)
	over := make(chan struct{})
	var counting atomic.Bool
	var g sync.WaitGroup
	ts := map[string]*tally{"feeledger": {statuses: map[int]int{}}, "renewal": {statuses: map[int]int{}}}
	for name, t := range ts {
		for _, n := range l.nodes {
			g.Go(func() {
				for i := 0; !isClosed(over); i++ {
					time.Sleep(1250 * time.Millisecond)
					g.Go(func() {
						c := counting.Load()
						a := l.send(n, request{id: fmt.Sprintf("%s-%s-%d", name, n.name, i), method: "POST", path: "/" + name + "/fee", body: "x", deadline: 6 * time.Second})
						t.mu.Lock()
						defer t.mu.Unlock()
						if !c {
							return
						}
						t.asked++
						t.statuses[a.status]++
						if a.status == http.StatusOK {
							t.served++
						}
					})
				}
			})
		}
	}
	time.Sleep(15 * time.Second)
	if l.trouble {
		l.note("two of six backends, those of the home of the later route, take %d times as long", slowX)
		slow.Store(true)
	}
	time.Sleep(loweredAfter)
	if err := l.configure(3, first, later("1000ms")); err != nil {
		return false, err
	}
	time.Sleep(slowTime - loweredAfter)
	slow.Store(false)
	l.note("all backends take as long as before")
	time.Sleep(contact + 2*time.Second)
	counting.Store(true)
	time.Sleep(counted)
	close(over)
	g.Wait()
	f, r := ts["feeledger"], ts["renewal"]
	l.note("first route: %d asked, %d served, %v", f.asked, f.served, f.statuses)
	l.note("later route: %d asked, %d served, %v", r.asked, r.served, r.statuses)
	return r.asked >= 20 && 4*r.served*f.asked < f.served*r.asked, nil
}
