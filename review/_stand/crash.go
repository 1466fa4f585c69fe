package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// tally counts the requests on a route in steady state.
type tally struct {
	mu           sync.Mutex
	sent, served int
	statuses     map[int]int
}

func (t *tally) add(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.statuses[status]++
	if status == http.StatusOK {
		t.served++
	}
}

// crashUnderLookups crashes one target of a service, once, while callers of a route that was added later look up one page, and
// checks that this route is served at least a quarter as often as the first one when the target is back.
func crashUnderLookups(f *fleet, trouble bool) (int, error) {
	const (
		work     = 300 * time.Millisecond
		interval = 40 * time.Millisecond
		down     = 4500 * time.Millisecond
		// calm exceeds contact, which is 3 s.
		calm   = 5 * time.Second
		steady = 20 * time.Second
	)
	t := []tenant{{"sese880", "9anu6wsjnbanfqasnmgk"}}
	first, later := route{"/lepu270/", "safe", "huvo11a"}, route{"/xapu221/", "safe", "huvo11a"}
	f.targetsPerService = 8
	f.configure(1, []route{first}, t)
	if err := f.addTargets("huvo11a", work); err != nil {
		return 0, err
	}
	if err := f.startInstances(); err != nil {
		return 0, err
	}
	f.configure(2, []route{first, later}, t)
	f.record.addf("the store has acknowledged version r2, which adds the route %s", later.prefix)
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	var g sync.WaitGroup
	var current struct {
		sync.Mutex
		first, later *tally
	}
	load := func(name string, path func(int) string, pick func() *tally) {
		g.Go(func() {
			k := time.NewTicker(interval)
			defer k.Stop()
			for j := 0; ; j++ {
				select {
				case <-stop:
					return
				case <-k.C:
				}
				n := f.instances[j%len(f.instances)]
				s := sending{method: http.MethodGet, path: path(j), id: fmt.Sprintf("%s-%04d", name, j), key: t[0].key, object: fmt.Sprint(j % 24), left: 3 * time.Second}
				into := pick()
				g.Go(func() {
					c, err := f.dial(n)
					if err != nil {
						return
					}
					defer c.close()
					if c.send(s) != nil {
						return
					}
					if status, _, _ := c.receive(s); into != nil {
						into.add(status)
					}
				})
			}
		})
	}
	load("first", func(j int) string { return fmt.Sprintf("%s%d", first.prefix, j) }, func() *tally {
		current.Lock()
		defer current.Unlock()
		return current.first
	})
	load("later", func(int) string { return later.prefix + "2f" }, func() *tally {
		current.Lock()
		defer current.Unlock()
		return current.later
	})

	time.Sleep(2 * time.Second)
	if trouble {
		x := f.awaitBusy("later-", 2, 5*time.Second)
		if x == nil {
			return 0, fmt.Errorf("no target had two requests of the later route at once")
		}
		f.record.addf("target %s crashes", x.name)
		x.end()
		time.Sleep(down)
		if err := f.restart(x); err != nil {
			return 0, err
		}
		f.record.addf("target %s is back", x.name)
	}
	time.Sleep(calm)
	a, b := &tally{statuses: map[int]int{}}, &tally{statuses: map[int]int{}}
	current.Lock()
	current.first, current.later = a, b
	current.Unlock()
	f.record.addf("steady state begins")
	time.Sleep(steady)
	close(stop)
	g.Wait()
	f.record.addf("first route: %d of %d served, by status %v", a.served, a.sent, a.statuses)
	f.record.addf("later route: %d of %d served, by status %v", b.served, b.sent, b.statuses)
	if a.served == 0 || b.sent < 20 {
		return 0, fmt.Errorf("too few requests")
	}
	if 4*b.served*a.sent < a.served*b.sent {
		f.record.addf("BROKEN: the route that was added later is served less than a quarter as often as the first one")
		return 1, nil
	}
	return 0, nil
}

// awaitBusy waits for a target that works on n requests whose ids begin so.
func (f *fleet) awaitBusy(prefix string, n int, limit time.Duration) *target {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, t := range f.targets {
			if t.busy(prefix) >= n {
				return t
			}
		}
	}
	return nil
}

// restart has a target accept connections at its address again, as a new incarnation with the same id.
func (f *fleet) restart(t *target) error {
	var err error
	t.born = time.Now()
	if _, t.server, err = f.serve(t.address, t); err != nil {
		return err
	}
	f.list(t, "ready", 1)
	return nil
}
