package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots      = 3
	queueLimit = 9
)

// run is what a backend did with a request that reached it.
type run struct {
	backend, id string
	at, end     time.Duration
	// ran is false for a request that was rejected.
	ran bool
}

// backend is a stand-in of a backend. It runs up to slots requests at a time and queues some more.
type backend struct {
	lab           *lab
	name, service string
	zone          string
	at            netip.AddrPort
	born          int64
	// work is how long a run takes.
	work func(r *http.Request) time.Duration
	// crash ends the backend.
	crash func()
	// began is called when a run begins; it may be nil.
	began func(b *backend, r *http.Request)

	free chan struct{}
	mu   sync.Mutex
	wait int
	runs []*run
}

func (l *lab) newBackend(name, service string, i int, work time.Duration) (*backend, error) {
	b := &backend{
		lab: l, name: name, service: service, zone: zones[i%len(zones)], born: time.Now().UnixMilli(),
		work: func(*http.Request) time.Duration { return work }, free: make(chan struct{}, slots),
	}
	var err error
	b.at, b.crash, err = l.serve(fmt.Sprintf("127.0.2.%d", 11+i), b)
	return b, err
}

// row returns the text of the backend's entry.
func (b *backend) row(state string, sequence int) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"cold_left":"0ms"}}`,
		b.at, b.born, b.service, b.zone, slots, state, sequence)
}

func (b *backend) register() { b.lab.store.Put("servers", b.name, b.row("ready", 1)) }

func (b *backend) all() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	rs := make([]run, len(b.runs))
	for i, r := range b.runs {
		rs[i] = *r
	}
	return rs
}

// ServeHTTP answers as the users' protocol says.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", b.name)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != b.name {
		h.Set("Instance-Id", b.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	left := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	if !b.acquire(r, deadline.C) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.free }()
	x := &run{backend: b.name, id: id, at: time.Since(b.lab.started), ran: true}
	b.mu.Lock()
	b.runs = append(b.runs, x)
	b.mu.Unlock()
	if b.began != nil {
		b.began(b, r)
	}
	work := time.NewTimer(b.work(r))
	defer work.Stop()
	status := http.StatusOK
	select {
	case <-work.C:
	case <-deadline.C:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		b.ended(x, "its connection closed")
		return
	}
	b.ended(x, strconv.Itoa(status))
	h.Set("Server-Stamp", "stamp-"+b.name+"-"+id)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", len(b.free), slots))
	w.WriteHeader(status)
	if strings.HasSuffix(r.URL.Path, "/big") {
		_, _ = w.Write(make([]byte, 200_000))
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %s", b.name, id)
}

func (b *backend) ended(x *run, how string) {
	b.mu.Lock()
	x.end = time.Since(b.lab.started)
	b.mu.Unlock()
	b.lab.note("%s ran %s from %.3f s: %s", b.name, x.id, x.at.Seconds(), how)
}

func (b *backend) acquire(r *http.Request, deadline <-chan time.Time) bool {
	b.mu.Lock()
	if b.wait >= queueLimit {
		b.mu.Unlock()
		return false
	}
	b.wait++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.wait--
		b.mu.Unlock()
	}()
	select {
	case b.free <- struct{}{}:
		return true
	case <-deadline:
	case <-r.Context().Done():
	}
	return false
}
