package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crashingRequest has a client repeat a request that crashes each target that begins to run it, with the same path, key and body and
// another query each time, and checks that it reaches targets in at most three retries once it has crashed three.
func crashingRequest(f *fleet, trouble bool) (int, error) {
	const (
		work     = 200 * time.Millisecond
		down     = 2 * time.Second
		repeats  = 16
		pause    = 1500 * time.Millisecond
		contact  = 3 * time.Second
		allowed  = 3
		crashing = "/lepu270/crash"
		interval = 60 * time.Millisecond
	)
	t := []tenant{{"sese880", "9anu6wsjnbanfqasnmgk"}, {"moru114", "cuyj8pjbvk9m68k7b2ex"}}
	f.targetsPerService = 8
	f.configure(1, []route{{"/lepu270/", "safe", "huvo11a"}, {"/xapu221/", "unsafe", "huvo11a"}}, t)
	if err := f.addTargets("huvo11a", work); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var third time.Time
	crashes := 0
	// late holds the retries that reached a target too late, by their ids.
	late := map[string]bool{}
	for _, x := range f.targets {
		x.began = func(r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, crashing) || !trouble {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			crashes++
			f.record.addf("target %s crashes on %s %s (crash %d)", x.name, r.Header.Get("Request-Id"), r.RequestURI, crashes)
			if crashes == 3 {
				third = time.Now()
			}
			if id := r.Header.Get("Request-Id"); crashes > 3 && time.Since(third) > contact && !late[id] {
				late[id] = true
				f.record.addf("BROKEN (retry %d): %s has reached a target %v after the third crash", len(late), id, time.Since(third))
			}
			go func() {
				x.end()
				time.Sleep(down)
				if err := f.restart(x); err != nil {
					f.record.addf("target %s does not come back: %v", x.name, err)
				}
			}()
			return true
		}
	}
	if err := f.startInstances(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	var g sync.WaitGroup
	var sent, unanswered atomic.Int64
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
			s := sending{method: http.MethodPost, path: "/xapu221/2f", id: fmt.Sprintf("booking-%04d", j), key: t[1].key, object: fmt.Sprint(j % 24), body: fmt.Sprint("pay ", j), left: 3 * time.Second}
			g.Go(func() {
				c, err := f.dial(n)
				if err != nil {
					return
				}
				defer c.close()
				if c.send(s) != nil {
					return
				}
				sent.Add(1)
				if status, _, _ := c.receive(s); status == http.StatusBadGateway || status == 0 {
					unanswered.Add(1)
				}
			})
		}
	})
	for j := range repeats {
		s := sending{method: http.MethodGet, path: fmt.Sprintf("%s?try=%d", crashing, j), id: fmt.Sprintf("crash-%04d", j), key: t[0].key, object: "17", left: 3 * time.Second}
		if os.Getenv("QUERY") == "same" {
			s.path = crashing + "?try=0"
		}
		c, err := f.dial(f.instances[j%len(f.instances)])
		if err != nil {
			return 0, err
		}
		if err := c.send(s); err != nil {
			return 0, err
		}
		_, _, _ = c.receive(s)
		c.close()
		time.Sleep(pause)
	}
	close(stop)
	g.Wait()
	f.record.addf("%d crashes; of %d bookings of another tenant %d were lost with a target (502 or no answer)", crashes, sent.Load(), unanswered.Load())
	if sent.Load() == 0 {
		return 0, fmt.Errorf("no booking was sent")
	}
	mu.Lock()
	defer mu.Unlock()
	if len(late) <= allowed {
		return 0, nil
	}
	return len(late), nil
}
