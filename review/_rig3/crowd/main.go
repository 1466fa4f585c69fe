// Command crowd has many clients keep connections to one instance while ordinary clients send requests.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"celeryhead.dev/celeryhead/platform/imitator"
	"celeryhead.dev/celeryhead/review/_rig3/rig"
)

// As in the site file koshe-pitch, but for the number of backends, their slots and the route's timeout, which leave room for all.
const (
	host   = "jepu9.example"
	config = `{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"sese880","api_keys":["key-1"],"rate_per_s":0,"burst":0}],
"listeners":[{"host":"jepu9.example","rules":[{"name":"r-map","kind":"safe","target_latency":"600ms","match":{"prefix":"/map/"},"action":{"service":"mapdesk","timeout":"4000ms","max_attempts":2,"allowed_regions":[]}},
{"name":"r-renewal","kind":"unsafe","target_latency":"800ms","match":{"prefix":"/renewal/"},"action":{"service":"feeledger","timeout":"4000ms","max_attempts":2,"allowed_regions":[]}}]}],
"clusters":[{"name":"mapdesk","health_path":"/healthz","max_conns":3000,"cold_start":"3s","cold_per_s":2.9},{"name":"feeledger","health_path":"/healthz","max_conns":3000,"cold_start":"3s","cold_per_s":2.9}]}`

	backends    = 12
	renewalWork = 1160 * time.Millisecond
	answerBytes = 1500

	// memory is that of the smaller machines of the site, in MB.
	memory = 284
	// ordinary clients send one renewal after the other; those of the crowd keep their connections and use them now and then.
	ordinary      = 300
	ordinaryPause = 300 * time.Millisecond
	crowd         = 3500
	crowdPause    = 8 * time.Second
	// repeat is the pause of a client whose request or connection was refused or closed.
	repeat  = 50 * time.Millisecond
	length  = 25 * time.Second
	allowed = 3
)

type backend struct {
	name string
	work time.Duration
	ran  *sync.Map
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", b.name)
		return
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != b.name {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.ran.Store(id, b.name)
	time.Sleep(b.work)
	w.Header().Set("Server-Stamp", "1."+b.name+"."+id)
	_, _ = w.Write(make([]byte, answerBytes))
}

func main() {
	daemon := flag.String("daemon", "target/celeryheadd", "program")
	dir := flag.String("dir", "", "temporary folder")
	record := flag.String("record", "record.txt", "what happened")
	flag.Parse()
	code, err := run(*daemon, *dir, *record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = 2
	}
	os.Exit(code)
}

// clients are all clients of one instance.
type clients struct {
	record   *rig.Record
	instance *rig.Instance
	ran      sync.Map
	quit     chan struct{}
	opened   atomic.Int64
	// answered, refused and unsent count the renewals with an answer of a backend, with one of the instance, and those without an
	// answer that no backend ran; lost those that a backend ran, by whether their connection had been used before.
	answered, refused, unsent, lostKept, lostNew, crowdServed atomic.Int64
}

func run(daemon, dir, path string, trouble bool) (int, error) {
	r, err := rig.NewRecord(path)
	if err != nil {
		return 2, err
	}
	defer r.Close()
	store := imitator.NewStore()
	address, stop, err := rig.Serve(store)
	if err != nil {
		return 2, err
	}
	defer stop()
	c := &clients{record: r, quit: make(chan struct{})}
	for i := range 2 * backends {
		b := &backend{name: fmt.Sprintf("i-%02d", i), ran: &c.ran}
		service := "mapdesk"
		if i >= backends {
			service, b.work = "feeledger", renewalWork
		}
		a, stop, err := rig.Serve(b)
		if err != nil {
			return 2, err
		}
		defer stop()
		x := rig.Backend{Target: &imitator.Target{Name: b.name}, Service: service, Zone: rig.Zones[i%len(rig.Zones)].Name, Address: a, Born: time.Now().UnixMilli()}
		store.Put("servers", b.name, strings.Replace(x.Row("ready", "0ms", 1), `"slots":3`, `"slots":60`, 1))
	}
	store.Put("op", "config", config)
	is, err := rig.NewFleet(rig.FleetConfig{Daemon: daemon, Dir: dir, Count: 3, MemoryMB: memory, Store: func(int) string { return address }})
	defer func() {
		for _, i := range is {
			i.Kill()
		}
	}()
	if err != nil {
		return 2, err
	}
	if err := rig.WaitReady(is, 20*time.Second); err != nil {
		return 2, err
	}
	r.Note("all instances are ready")
	c.instance = is[0]
	var g sync.WaitGroup
	for range ordinary {
		g.Go(func() { c.client(true) })
	}
	r.Note("%d ordinary clients send renewals to %s", ordinary, c.instance.Name)
	time.Sleep(3 * time.Second)
	if trouble {
		for k := range crowd {
			g.Go(func() { c.client(false) })
			if k%10 == 0 {
				time.Sleep(5 * time.Millisecond)
			}
		}
		r.Note("%d further clients came to the same instance", crowd)
	}
	time.Sleep(length)
	close(c.quit)
	g.Wait()
	ended := false
	select {
	case <-c.instance.Done():
		ended = true
		r.Note("%s ended: %v", c.instance.Name, c.instance.Err())
	default:
	}
	r.Note("of the renewals %d were answered, %d refused, %d not run; the crowd was served %d times", c.answered.Load(), c.refused.Load(), c.unsent.Load(), c.crowdServed.Load())
	r.Note("%s passed on %d renewals from kept connections to sound backends and closed the connection without an answer, and %d from new ones", c.instance.Name, c.lostKept.Load(), c.lostNew.Load())
	switch {
	case !ended && c.answered.Load() < 1000:
		return 2, fmt.Errorf("only %d renewals were answered", c.answered.Load())
	case ended || c.lostKept.Load() > allowed:
		return 1, nil
	}
	return 0, nil
}

// wait waits before the next request and reports whether there is one.
func (c *clients) wait(d time.Duration) bool {
	select {
	case <-c.quit:
		return false
	case <-time.After(d):
		return true
	}
}

// client opens connections, one after the other, and uses each until it ends.
func (c *clients) client(isOrdinary bool) {
	for c.wait(0) {
		k := c.opened.Add(1)
		// Each client has an address of its own.
		d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 90, byte(k/200%250), byte(k%200+1))}}
		n, err := d.Dial("tcp", c.instance.Front())
		if err == nil {
			c.use(n, isOrdinary)
			_ = n.Close()
		}
		if !c.wait(repeat) {
			return
		}
	}
}

func (c *clients) use(n net.Conn, isOrdinary bool) {
	b := bufio.NewReader(n)
	for first := true; ; first = false {
		id := rig.ID()
		status, err := c.ask(n, b, id, isOrdinary)
		switch {
		case isOrdinary:
			c.count(id, status, err, first)
		case err == nil && status == http.StatusOK:
			c.crowdServed.Add(1)
		}
		pause := crowdPause/2 + rand.N(crowdPause)
		if isOrdinary {
			pause = ordinaryPause
		}
		if err == nil && status != http.StatusOK {
			pause = repeat
		}
		if err != nil || !c.wait(pause) {
			return
		}
	}
}

// ask sends a request and reads its answer.
func (c *clients) ask(n net.Conn, b *bufio.Reader, id string, isOrdinary bool) (int, error) {
	_ = n.SetDeadline(time.Now().Add(6 * time.Second))
	line, body := "GET /map/1", ""
	if isOrdinary {
		line, body = "POST /renewal/1", strings.Repeat("r", 1000)
		c.record.Line("renewal %s is sent", id)
	}
	_, err := fmt.Fprintf(n, "%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAffinity-Key: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s", line, host, id, id[:2], len(body), body)
	if err != nil {
		return 0, err
	}
	p, err := http.ReadResponse(b, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, p.Body)
	return p.StatusCode, err
}

func (c *clients) count(id string, status int, err error, first bool) {
	name, did := c.ran.Load(id)
	switch {
	case err == nil && status == http.StatusOK:
		c.answered.Add(1)
		c.record.Line("renewal %s is answered", id)
	case err == nil:
		c.refused.Add(1)
		c.record.Line("renewal %s is answered with %d", id, status)
	case !did:
		c.unsent.Add(1)
		c.record.Line("renewal %s has no answer and did not run: %v", id, err)
	case first:
		c.lostNew.Add(1)
		c.record.Line("renewal %s ran on %s and is lost on a new connection: %v", id, name, err)
	default:
		c.lostKept.Add(1)
		c.record.Line("renewal %s ran on %s and is lost on a kept connection: %v", id, name, err)
	}
}
