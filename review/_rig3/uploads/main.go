// Command uploads sends many large bodies at once, whose backends read slowly, while ordinary clients send requests.
package main

import (
	"bufio"
	"crypto/rand"
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

// As in the site file sabkha-swap-grown, but for the number of instances and backends, and the route of the crowd.
const (
	host   = "swap.example"
	config = `{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"rider","api_keys":["key-1"],"rate_per_s":0,"burst":0},{"name":"crowd","api_keys":["key-2"],"rate_per_s":0,"burst":0}],
"listeners":[{"host":"swap.example","rules":[{"name":"r-release","kind":"unsafe","target_latency":"400ms","match":{"prefix":"/release/"},"action":{"service":"release-ledger","timeout":"4000ms","max_attempts":2,"allowed_regions":[]}},
{"name":"r-upload","kind":"upload","target_latency":"2500ms","match":{"prefix":"/upload/"},"action":{"service":"bundle-depot","timeout":"8000ms","max_attempts":2,"allowed_regions":[]}}]}],
"clusters":[{"name":"release-ledger","health_path":"/healthz","max_conns":1830,"cold_start":"3s","cold_per_s":2.9},{"name":"bundle-depot","health_path":"/healthz","max_conns":1830,"cold_start":"3s","cold_per_s":2.9}]}`

	releaseBackends, uploadBackends = 40, 70
	slots                           = 3
	releaseWork                     = 510 * time.Millisecond

	// memory is that of the smaller machines of the site, in MB.
	memory = 184
	// instances is the number of machines, of which the crowd comes to the first; the platform starts a process again after restart.
	instances, crowded = 3, 1
	restart            = time.Second
	// ordinary clients of an instance send one release after the other.
	ordinary      = 40
	ordinaryPause = 200 * time.Millisecond
	// uploaders of an instance send bodies of bodyBytes each, of 64 MB that the limits allow.
	uploaders   = 130
	bodyBytes   = 10 << 20
	pieceBytes  = 32 << 10
	uploadPause = 300 * time.Millisecond
	// slowBytes is what a backend reads at a time, and slowPause how long it rests then.
	slowBytes = 1 << 20
	slowPause = 4 * time.Second

	length  = 25 * time.Second
	ends    = 3
	allowed = 3
)

// backend runs releases, and reads uploads slowly.
type backend struct {
	name    string
	uploads bool
	ran     *sync.Map
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
	if !b.uploads {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		b.ran.Store(id, b.name)
		time.Sleep(releaseWork)
	}
	for b.uploads {
		if _, err := io.CopyN(io.Discard, r.Body, slowBytes); err == io.EOF {
			break
		} else if err != nil {
			return
		}
		time.Sleep(slowPause)
	}
	w.Header().Set("Server-Stamp", "1."+b.name+"."+id)
	_, _ = w.Write(make([]byte, 400))
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

// machine is an instance with its clients.
type machine struct {
	*rig.Instance
	record *rig.Record
	ran    *sync.Map
	quit   chan struct{}
	// ends counts how often the platform ended the process. most is the most memory that was seen, of which unread is what was received and not read.
	ends         int
	most, unread int64
	// answered, refused and unsent count the releases with an answer of a backend, with one of the instance, and those without an
	// answer that no backend ran; lost are those that a backend ran, on a connection that had been used before.
	answered, refused, unsent, lost atomic.Int64
}

// platform ends the process when it exceeds its memory, and starts it again.
func (m *machine) platform() {
	for m.wait(20 * time.Millisecond) {
		resident, unread := m.Memory()
		if n := resident + unread; n > m.most {
			m.most, m.unread = n, unread
		}
		if resident+unread <= memory<<20 {
			continue
		}
		m.ends++
		m.record.Note("%s has %d MB, and %d MB that it received and did not read, of %d MB: the platform ends it", m.Name, resident>>20, unread>>20, memory)
		m.Kill()
		if !m.wait(restart) {
			return
		}
		if err := m.Start(); err != nil {
			m.record.Note("%s does not start: %v", m.Name, err)
			return
		}
	}
}

func (m *machine) wait(d time.Duration) bool {
	select {
	case <-m.quit:
		return false
	case <-time.After(d):
		return true
	}
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
	for i := range releaseBackends + uploadBackends {
		b := &backend{name: fmt.Sprintf("i-%02d", i), uploads: i >= releaseBackends, ran: &ran}
		service := "release-ledger"
		if b.uploads {
			service = "bundle-depot"
		}
		a, stop, err := rig.Serve(b)
		if err != nil {
			return 2, err
		}
		defer stop()
		x := rig.Backend{Target: &imitator.Target{Name: b.name}, Service: service, Zone: rig.Zones[i%len(rig.Zones)].Name, Address: a, Born: time.Now().UnixMilli()}
		store.Put("servers", b.name, strings.Replace(x.Row("ready", "0ms", 1), `"slots":3`, fmt.Sprintf(`"slots":%d`, slots), 1))
	}
	store.Put("op", "config", config)
	is, err := rig.NewFleet(rig.FleetConfig{Daemon: daemon, Dir: dir, Count: instances, MemoryMB: memory, Store: func(int) string { return address }})
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
	quit := make(chan struct{})
	var g sync.WaitGroup
	var ms []*machine
	for _, i := range is {
		m := &machine{Instance: i, record: r, ran: &ran, quit: quit}
		ms = append(ms, m)
		g.Go(m.platform)
		for range ordinary {
			g.Go(m.release)
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		r.Note("%d clients each send bodies of %d MB to %d instances", uploaders, bodyBytes>>20, crowded)
		for _, m := range ms[:crowded] {
			for range uploaders {
				g.Go(m.upload)
			}
		}
	}
	time.Sleep(length)
	close(quit)
	g.Wait()
	lost, ended := int64(0), 0
	for _, m := range ms {
		r.Note("%s: ended %d times, at most %d MB, %d of them received and not read; of the releases %d were answered, %d refused, %d not run, %d passed on from kept connections to sound backends and not answered",
			m.Name, m.ends, m.most>>20, m.unread>>20, m.answered.Load(), m.refused.Load(), m.unsent.Load(), m.lost.Load())
		lost = max(lost, m.lost.Load())
		if m.ends >= ends {
			ended++
		}
		if m.answered.Load() < 100 {
			return 2, fmt.Errorf("only %d releases were answered", m.answered.Load())
		}
	}
	r.Note("the processes of %d machines ended %d times or more", ended, ends)
	if lost > allowed {
		return 1, nil
	}
	return 0, nil
}

// release sends one release after the other, on a connection as long as it lasts.
func (m *machine) release() {
	for m.wait(ordinaryPause) {
		n, err := net.DialTimeout("tcp", m.Front(), time.Second)
		if err != nil {
			continue
		}
		b := bufio.NewReader(n)
		for first := true; ; first = false {
			id := rig.ID()
			m.record.Line("release %s is sent to %s", id, m.Name)
			status, err := ask(n, b, id)
			m.count(id, status, err, first)
			if err != nil || !m.wait(ordinaryPause) {
				break
			}
		}
		_ = n.Close()
	}
}

func ask(n net.Conn, b *bufio.Reader, id string) (int, error) {
	_ = n.SetDeadline(time.Now().Add(6 * time.Second))
	body := strings.Repeat("o", 1000)
	if _, err := fmt.Fprintf(n, "POST /release/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAffinity-Key: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s", host, id, id[:2], len(body), body); err != nil {
		return 0, err
	}
	p, err := http.ReadResponse(b, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, p.Body)
	return p.StatusCode, err
}

func (m *machine) count(id string, status int, err error, first bool) {
	name, did := m.ran.Load(id)
	switch {
	case err == nil && status == http.StatusOK:
		m.answered.Add(1)
		m.record.Line("release %s is answered", id)
	case err == nil:
		m.refused.Add(1)
		m.record.Line("release %s is answered with %d", id, status)
	case did && !first:
		m.lost.Add(1)
		m.record.Line("release %s ran on %s and is lost on a kept connection: %v", id, name, err)
	default:
		m.unsent.Add(1)
		m.record.Line("release %s has no answer: %v", id, err)
	}
}

// upload sends one body after the other, as fast as the instance takes it.
func (m *machine) upload() {
	piece := make([]byte, pieceBytes)
	for m.wait(uploadPause) {
		n, err := net.DialTimeout("tcp", m.Front(), time.Second)
		if err != nil {
			continue
		}
		id := rig.ID()
		_ = n.SetDeadline(time.Now().Add(9 * time.Second))
		_, err = fmt.Fprintf(n, "POST /upload/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAffinity-Key: %s\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key-2\r\nContent-Length: %d\r\n\r\n", host, id, id, bodyBytes)
		for k := 0; err == nil && k < bodyBytes; k += len(piece) {
			_, _ = rand.Read(piece)
			_, err = n.Write(piece)
		}
		// A refusal may come before the whole body was sent.
		if p, e := http.ReadResponse(bufio.NewReader(n), nil); e == nil {
			m.record.Line("upload %s is answered with %d %s", id, p.StatusCode, p.Header.Get("Celeryhead-Reason"))
		} else {
			m.record.Line("upload %s has no answer: %v %v", id, err, e)
		}
		_ = n.Close()
	}
}
