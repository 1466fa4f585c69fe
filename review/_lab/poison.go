package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	contact = 3 * time.Second
	// backAfter is how long a crashed backend is down, and rowLife how long its entry stays.
	backAfter = 3 * time.Second
	rowLife   = 4500 * time.Millisecond
	// crashDelay is how long a backend has run the request when it crashes.
	crashDelay = 200 * time.Millisecond
	// startDelay is the time from the end of a daemon to its next start, restartGap that from its being ready to the next SIGTERM.
	startDelay = 500 * time.Millisecond
	restartGap = 2500 * time.Millisecond
	// calm is how long the restarts take about.
	calm         = 30 * time.Second
	requestTime  = 3 * time.Second
	bookingPause = 40 * time.Millisecond
	corners      = 20
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

// crashers starts the backends of the service.
func (l *lab) crashers(found *arrivals) error {
	var cs []*crasher
	l.ends = append(l.ends, func() {
		for _, c := range cs {
			c.mu.Lock()
			_ = c.server.Close()
			c.mu.Unlock()
		}
	})
	for i := range 21 {
		c := &crasher{lab: l, service: "desk", index: i}
		if err := c.start(found, 300*time.Millisecond); err != nil {
			return err
		}
		cs = append(cs, c)
	}
	return nil
}

// book sends ordinary requests to all daemons until over is closed, and returns how many ended with 502. They show what the crashes
// cost other clients.
func (l *lab) book(over <-chan struct{}) int {
	var g sync.WaitGroup
	var failed atomic.Int64
	for _, n := range l.nodes {
		g.Go(func() {
			t := time.NewTicker(bookingPause)
			defer t.Stop()
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				case <-t.C:
				}
				g.Go(func() {
					a := l.send(n, request{
						id: fmt.Sprintf("%s-booking-%d", n.name, i), method: "POST", path: fmt.Sprintf("/desk/corner-%d", i%corners),
						body: fmt.Sprintf("booking %s %d", n.name, i), deadline: requestTime,
					})
					if a.status == http.StatusBadGateway {
						failed.Add(1)
					}
				})
			}
		})
	}
	g.Wait()
	return int(failed.Load())
}

// copies are those of requests that crash backends, by their identifiers.
type copies struct {
	sent map[string]time.Duration
	// touched tells whether the daemon was in touch when the copy was sent.
	touched map[string]bool
}

// send sends a copy of a crashing request to each daemon at the same time. The daemons' last starts are those in started.
func (c *copies) send(l *lab, name string, started []time.Duration) {
	var w sync.WaitGroup
	for i, n := range l.nodes {
		id := fmt.Sprintf("%s-%d", name, len(c.sent)+1)
		c.sent[id] = time.Since(l.started)
		c.touched[id] = c.sent[id] > started[i]+contact
		w.Go(func() {
			l.send(n, request{id: id, method: "POST", path: "/desk/" + name, body: "same", deadline: requestTime})
		})
	}
	w.Wait()
}

// of returns the times at which copies of a request began to run, in order, and the copies.
func (a *arrivals) of(name string) (ids []string, times []time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, id := range a.ids {
		if strings.HasPrefix(id, name+"-") {
			ids, times = append(ids, id), append(times, a.times[i])
		}
	}
	return ids, times
}

// restart stops the daemons one after the other with SIGTERM and starts each again. It sets their last starts.
func (l *lab) restart(started []time.Duration) error {
	for i, n := range l.nodes {
		n.signal(syscall.SIGTERM)
		<-n.done
		time.Sleep(startDelay)
		if err := n.start(); err != nil {
			return err
		}
		started[i] = time.Since(l.started)
		if err := l.awaitReady(); err != nil {
			return err
		}
		time.Sleep(restartGap)
	}
	return nil
}

// crashAfterRoll sends two requests that crash the backends that run them. It restarts all daemons one after the other, and then the
// first request comes again.
func crashAfterRoll(l *lab) (bool, error) {
	const first, second = "poison-a", "poison-b"
	var found arrivals
	if err := l.crashers(&found); err != nil {
		return false, err
	}
	if err := l.configure(1, route{service: "desk", kind: "unsafe", timeout: "3000ms", public: true}); err != nil {
		return false, err
	}
	if err := l.startNodes(maxNodes, machineMB); err != nil {
		return false, err
	}
	over, failed := make(chan struct{}), make(chan int, 1)
	go func() { failed <- l.book(over) }()
	c := copies{sent: map[string]time.Duration{}, touched: map[string]bool{}}
	started := make([]time.Duration, len(l.nodes))
	time.Sleep(contact)
	for _, name := range []string{first, second} {
		c.send(l, name, started)
		time.Sleep(2 * contact)
	}
	_, times := found.of(first)
	if len(times) < 3 {
		return false, fmt.Errorf("the first request crashed %d backends only", len(times))
	}
	third := times[2]
	l.note("the first request crashed the third backend at %.3f s", third.Seconds())
	if l.trouble {
		if err := l.restart(started); err != nil {
			return false, err
		}
	} else {
		time.Sleep(calm)
	}
	time.Sleep(contact)
	for range 3 {
		c.send(l, first, started)
		time.Sleep(4 * time.Second)
	}
	close(over)
	lost := <-failed
	late := map[string]bool{}
	ids, times := found.of(first)
	for i, id := range ids {
		if c.sent[id] > third+contact && c.touched[id] {
			l.note("%s, sent at %.3f s by a machine in touch, reached a backend at %.3f s", id, c.sent[id].Seconds(), times[i].Seconds())
			late[id] = true
		}
	}
	l.note("the first request reached a backend %d times; retries that count: %d, 3 are allowed; %d bookings of others ended with 502", len(ids), len(late), lost)
	return len(late) > 3, nil
}
