package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	contact = 3 * time.Second
	// backAfter is how long a crashed backend is down, and rowLife how long its entry stays.
	backAfter = 3 * time.Second
	rowLife   = 4500 * time.Millisecond
	// crashDelay is how long a backend has run the request when it crashes.
	crashDelay = 200 * time.Millisecond
)

// crasher is a backend that crashes when it begins to run a request with "poison" in its path, and is back some seconds later.
type crasher struct {
	lab     *lab
	service string
	index   int
	address string

	mu     sync.Mutex
	starts int
	server *http.Server
}

// arrivals are the times at which a backend began to run the poisonous request, by the request's identifier.
type arrivals struct {
	mu    sync.Mutex
	ids   []string
	times []time.Duration
}

func (a *arrivals) add(id string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids, a.times = append(a.ids, id), append(a.times, at)
}

// start starts an incarnation of the backend with a name of its own.
func (c *crasher) start(found *arrivals, work time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address == "" {
		c.address = fmt.Sprintf("127.0.2.%d:0", 11+c.index)
	}
	k, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	c.address = k.Addr().String()
	c.starts++
	b := &backend{
		lab: c.lab, name: fmt.Sprintf("i-%s-%d-%d", c.service, c.index+1, c.starts), service: c.service, zone: zones[c.index%len(zones)],
		born: time.Now().UnixMilli(), at: k.Addr().(*net.TCPAddr).AddrPort(), free: make(chan struct{}, slots),
		work: func(*http.Request) time.Duration { return work },
	}
	s := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	c.server = s
	b.began = func(b *backend, r *http.Request) {
		if !strings.Contains(r.URL.Path, "poison") {
			return
		}
		found.add(r.Header.Get("Request-Id"), time.Since(c.lab.started))
		c.lab.note("%s begins to run %s and crashes", b.name, r.Header.Get("Request-Id"))
		time.Sleep(crashDelay)
		_ = s.Close()
		time.AfterFunc(rowLife, func() { c.lab.store.Remove("servers", b.name) })
		time.AfterFunc(backAfter, func() {
			if err := c.start(found, work); err != nil {
				c.lab.note("%s is not back: %v", b.name, err)
			}
		})
	}
	go func() { _ = s.Serve(k) }()
	b.register()
	return nil
}

// crashAfterRestart sends a request that crashes the backends that run it, and kills all daemons at once meanwhile.
func crashAfterRestart(l *lab) (bool, error) {
	var found arrivals
	var cs []*crasher
	for i := range 21 {
		c := &crasher{lab: l, service: "desk", index: i}
		if err := c.start(&found, 300*time.Millisecond); err != nil {
			return false, err
		}
		cs = append(cs, c)
	}
	l.ends = append(l.ends, func() {
		for _, c := range cs {
			c.mu.Lock()
			_ = c.server.Close()
			c.mu.Unlock()
		}
	})
	if err := l.configure(1, route{service: "desk", kind: "unsafe", timeout: "3000ms"}); err != nil {
		return false, err
	}
	if err := l.startNodes(maxNodes, machineMB); err != nil {
		return false, err
	}
	// Ordinary requests of the same route show what the crashes cost other clients.
	var g sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	over := make(chan struct{})
	for _, n := range l.nodes {
		g.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				case <-time.After(100 * time.Millisecond):
				}
				g.Go(func() {
					a := l.send(n, request{id: fmt.Sprintf("%s-ordinary-%d", n.name, i), method: "POST", path: "/desk/ordinary", body: "x", deadline: 3 * time.Second})
					if a.status == http.StatusBadGateway {
						mu.Lock()
						failed++
						mu.Unlock()
					}
				})
			}
		})
	}
	sent := map[string]time.Duration{}
	nodeOf := map[string]int{}
	copies := 0
	sendCopies := func() {
		var w sync.WaitGroup
		for i, n := range l.nodes {
			copies++
			id := fmt.Sprintf("poison-%d", copies)
			sent[id], nodeOf[id] = time.Since(l.started), i
			w.Go(func() {
				l.send(n, request{id: id, method: "POST", path: "/desk/poison", body: "same", deadline: 3 * time.Second})
			})
		}
		w.Wait()
	}
	time.Sleep(2 * time.Second)
	for len(found.times) < 3 && copies < 30 {
		sendCopies()
		time.Sleep(2 * time.Second)
	}
	if len(found.times) < 3 {
		return false, fmt.Errorf("the request crashed %d backends only", len(found.times))
	}
	third := found.times[2]
	l.note("the request crashed the third backend at %.3f s", third.Seconds())
	started := make([]time.Duration, len(l.nodes))
	time.Sleep(third + 5*time.Second - time.Since(l.started))
	if l.trouble {
		l.note("all daemons are killed")
		for _, n := range l.nodes {
			n.kill()
		}
		time.Sleep(time.Second)
		for i, n := range l.nodes {
			if err := n.start(); err != nil {
				return false, err
			}
			started[i] = time.Since(l.started)
		}
		if err := l.awaitReady(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(2 * time.Second)
	}
	time.Sleep(third + 10500*time.Millisecond - time.Since(l.started))
	for range 4 {
		sendCopies()
		time.Sleep(4 * time.Second)
	}
	close(over)
	g.Wait()
	late := 0
	found.mu.Lock()
	defer found.mu.Unlock()
	for i, id := range found.ids {
		if at := sent[id]; at > third+contact && at > started[nodeOf[id]]+contact {
			l.note("%s, sent at %.3f s by a machine in touch, reached a backend at %.3f s", id, at.Seconds(), found.times[i].Seconds())
			late++
		}
	}
	l.note("%d copies reached backends, %d of them in retries that count; %d ordinary requests ended with 502", len(found.ids), late, failed)
	return late > 3, nil
}
