// Command broke sends downloads with further safe requests behind them while some backends break off a few answers.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
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

// As in the site file sabkha-swap-grown, but for the numbers of backends and instances.
const (
	host   = "swap.example"
	config = `{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"sese880","api_keys":["key-1"],"rate_per_s":0,"burst":0}],
"listeners":[{"host":"swap.example","rules":[{"name":"r-pack","kind":"safe","target_latency":"400ms","match":{"prefix":"/pack/"},"action":{"service":"pack-registry","timeout":"1200ms","max_attempts":2,"allowed_regions":[]}},
{"name":"r-bundle","kind":"download","target_latency":"300ms","match":{"prefix":"/bundle/"},"action":{"service":"bundle-depot","timeout":"2000ms","max_attempts":2,"allowed_regions":[]}}]}],
"clusters":[{"name":"pack-registry","health_path":"/healthz","max_conns":1830,"cold_start":"3s","cold_per_s":2.9},{"name":"bundle-depot","health_path":"/healthz","max_conns":1830,"cold_start":"3s","cold_per_s":2.9}]}`

	packs, bundles = 48, 14
	packWork       = 410 * time.Millisecond
	bundleWork     = 310 * time.Millisecond
	packSize       = 1500
	bundleSize     = 300_000
	// cut is how much of an answer is sent that breaks off.
	cut = 200_000
	// spoiled backends break off one answer in spoiledEvery: 4 of 14 are less than the share of 0.35.
	spoiled, spoiledEvery = 4, 50
	troubleTime           = 5500 * time.Millisecond

	clients = 160
	behind  = 3
	allowed = 3
)

// backend does its work, then answers. While trouble is true, each spoiledEvery-th answer of a spoiled one breaks off.
type backend struct {
	name, service string
	spoiled       bool
	trouble       *atomic.Bool
	answers       atomic.Int64
	ran           *sync.Map
	record        *rig.Record
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
	b.record.Line("request %s runs on %s", id, b.name)
	size, work := packSize, packWork
	if b.service == "bundle-depot" {
		size, work = bundleSize, bundleWork
	} else {
		b.ran.Store(id, b.name)
	}
	time.Sleep(work)
	w.Header().Set("Server-Stamp", "1."+b.name+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(size))
	if b.spoiled && b.trouble.Load() && b.answers.Add(1)%spoiledEvery == 0 {
		_, _ = w.Write(make([]byte, cut))
		_ = http.NewResponseController(w).Flush()
		b.record.Line("the answer to request %s breaks off at %s", id, b.name)
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(make([]byte, size))
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

// tally counts the requests behind another one on kept connections.
type tally struct {
	mu sync.Mutex
	// answered are those with an answer, unanswered those without that were not passed on, and lost those that a sound backend ran.
	answered, unanswered int
	lost                 map[string]int
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
	var ran sync.Map
	var on atomic.Bool
	for i := range packs + bundles {
		b := &backend{name: fmt.Sprintf("i-%02d", i), service: "pack-registry", trouble: &on, ran: &ran, record: r}
		if i >= packs {
			b.service, b.spoiled = "bundle-depot", i < packs+spoiled
		}
		a, stop, err := rig.Serve(b)
		if err != nil {
			return 2, err
		}
		defer stop()
		x := rig.Backend{Target: &imitator.Target{Name: b.name}, Service: b.service, Zone: rig.Zones[i%len(rig.Zones)].Name, Address: a, Born: time.Now().UnixMilli()}
		store.Put("servers", b.name, strings.Replace(x.Row("ready", "0ms", 1), `"slots":3`, `"slots":20`, 1))
	}
	store.Put("op", "config", config)
	is, err := rig.NewFleet(rig.FleetConfig{Daemon: daemon, Dir: dir, Count: 3, MemoryMB: 536, Store: func(int) string { return address }})
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
	t := &tally{lost: map[string]int{}}
	quit := make(chan struct{})
	var g sync.WaitGroup
	for k := range clients {
		g.Add(1)
		go func() {
			defer g.Done()
			for {
				select {
				case <-quit:
					return
				default:
				}
				t.connection(r, is[k%len(is)], &ran, quit)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		r.Note("%d of %d backends of bundle-depot break off 1 in %d answers for %v", spoiled, bundles, spoiledEvery, troubleTime)
	}
	on.Store(trouble)
	time.Sleep(troubleTime)
	on.Store(false)
	time.Sleep(2 * time.Second)
	close(quit)
	g.Wait()
	most := 0
	for name, n := range t.lost {
		r.Note("%s passed on %d requests from kept connections to sound backends and closed the connection without an answer", name, n)
		most = max(most, n)
	}
	r.Note("of the requests behind others, %d were answered, %d had no answer and were not passed on", t.answered, t.unanswered)
	switch {
	case t.answered < 1000:
		return 2, fmt.Errorf("only %d requests were answered", t.answered)
	case most > allowed:
		return 1, nil
	}
	return 0, nil
}

// connection uses one connection until it ends.
func (t *tally) connection(r *rig.Record, i *rig.Instance, ran *sync.Map, quit chan struct{}) {
	c, err := net.DialTimeout("tcp", i.Front(), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	b := bufio.NewReaderSize(c, 64<<10)
	send := func(path string, ms int) string {
		id := rig.ID()
		r.Line("request %s for %s is sent to %s", id, path, i.Name)
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAffinity-Key: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n\r\n", path, host, id, id[:2], ms)
		return id
	}
	read := func(id string) bool {
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		p, err := http.ReadResponse(b, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, p.Body)
		}
		if err != nil {
			r.Line("request %s has no whole answer: %v", id, err)
			return false
		}
		r.Line("request %s is answered with %d", id, p.StatusCode)
		return true
	}
	if !read(send("/pack/1", 2500)) {
		return
	}
	for {
		select {
		case <-quit:
			return
		default:
		}
		ids := []string{send("/bundle/1", 2000)}
		for range behind {
			ids = append(ids, send("/pack/2", 2500))
		}
		whole := true
		for k, id := range ids {
			whole = whole && read(id)
			if k > 0 {
				t.count(r, i, id, whole, ran)
			}
		}
		if !whole {
			return
		}
	}
}

func (t *tally) count(r *rig.Record, i *rig.Instance, id string, answered bool, ran *sync.Map) {
	name, passed := ran.Load(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case answered:
		t.answered++
	case passed:
		t.lost[i.Name]++
		r.Line("request %s was passed on to %s by %s and is lost", id, name, i.Name)
	default:
		t.unanswered++
	}
}
