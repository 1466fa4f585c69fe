package handler_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/handler"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/pipeliner"
	"celeryhead.dev/celeryhead/sharer"
)

// patience ends a test that would hang; nothing is expected to take that long.
const patience = 20 * time.Second

// shortTimeout is that of a route whose requests give up before others.
const shortTimeout = 500 * time.Millisecond

// identified is a protocol whose requests have ids; it panics if a request asks for that.
type identified struct{ protocol }

func (identified) Envelope(r *http.Request) handler.Envelope {
	return handler.Envelope{ID: r.Header.Get("Request-Id")}
}

func (identified) Address(h http.Header, _ handler.Envelope, _ *cataloger.Target, _ string) {
	if h.Get("Panic") != "" {
		panic("asked for")
	}
}

// pipelined is an instance with a listener for callers and a target.
type pipelined struct {
	*handler.Server
	address  string
	listener *pipeliner.Listener

	mu  sync.Mutex
	log bytes.Buffer
}

func (p *pipelined) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// lines returns the numbers of lines 4101 by request.
func (p *pipelined) lines() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := map[string]int{}
	for l := range strings.Lines(p.log.String()) {
		if strings.Contains(l, `"event":4101`) {
			m[regexp.MustCompile(`"request_id":"([^"]*)"`).FindStringSubmatch(l)[1]]++
		}
	}
	return m
}

// metric returns the value of a counter.
func (p *pipelined) metric(t *testing.T, name string) int {
	t.Helper()
	var b strings.Builder
	p.WriteMetrics(&b)
	m := regexp.MustCompile(`(?m)^celeryhead_early_` + name + `_total (\d+)$`).FindStringSubmatch(b.String())
	if m == nil {
		return 0
	}
	n, err := strconv.Atoi(m[1])
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func startInstance(t *testing.T, memory int64, target http.HandlerFunc) *pipelined {
	t.Helper()
	p := &pipelined{}
	l, err := logger.New(logger.Config{Writer: p, Format: "json", Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	p.Server, err = handler.New(handler.Config{
		Settings: handler.Settings{
			Name: "n", Region: "almaty", Peers: netip.MustParseAddrPort("127.0.0.1:0"),
			Limits: handler.Limits{Memory: memory, Retries: sharer.BudgetConfig{Slack: 100, Window: 10 * time.Second}},
		},
		Protocol: identified{protocol{Protocol: forwarder.InstanceProtocol()}},
		Log:      l,
	})
	if err != nil {
		t.Fatal(err)
	}
	route := cataloger.Route{
		Name: "look", Host: "ice.example", Prefix: "/look/", Timeout: time.Minute, Objective: time.Minute, MaxTargets: 2, Open: true, Idempotent: true,
		Destinations: []cataloger.Destination{{Service: "map", Weight: 1}},
	}
	once, keyed, short := route, route, route
	short.Name, short.Prefix, short.Timeout = "short", "/short/", shortTimeout
	once.Name, once.Prefix, once.Idempotent = "book", "/book/", false
	keyed.Name, keyed.Prefix, keyed.Open = "keyed", "/keyed/", false
	p.Configure(cataloger.Configuration{
		Version:  1,
		Services: []cataloger.Service{{Name: "map"}},
		Accounts: []cataloger.Account{{Name: "bakery"}},
		Routes:   []cataloger.Route{route, once, keyed, short},
	})
	ts := map[string]cataloger.Target{}
	for _, n := range []string{"a", "b", "c"} {
		x := httptest.NewServer(target)
		t.Cleanup(x.Close)
		ts[n] = cataloger.Target{
			Name: n, Service: "map", Address: x.Listener.Addr().(*net.TCPAddr).AddrPort(), Region: "almaty", FailureDomain: "arbat", Slots: 100,
		}
	}
	p.ListTargets(ts)
	k, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.address = k.Addr().String()
	s, front := p.ServeCallers(k)
	p.listener = front
	t.Cleanup(func() { _ = s.Close() })
	return p
}

func (p *pipelined) dial(t *testing.T, series string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, series); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func get(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: ice.example\r\nRequest-Id: %s\r\n\r\n", path, path)
}

func looks(n int) (paths []string, series string) {
	for i := range n {
		paths = append(paths, fmt.Sprintf("/look/%d", i))
		series += get(paths[i])
	}
	return paths, series
}

// expectAnswer reads an answer; its body is the path of its request if the status is 200.
func expectAnswer(t *testing.T, r *bufio.Reader, path string, status int) {
	t.Helper()
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer to %s: %v", path, err)
	}
	b, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	if err != nil || a.StatusCode != status || status == http.StatusOK && string(b) != path {
		t.Fatalf("answer %d %.100q, %v; want %d to %s", a.StatusCode, b, err, status, path)
	}
}

// waitUntil waits for what other goroutines do.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func echoPath(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }

// Targets answer the last request of a series first, and some only at the second attempt. Guards against pipelined requests that
// wait for the answers before them, and against answers that reach the wrong request.
func TestPipelinedRequestsOfSlowTargets(t *testing.T) {
	const n = 9
	done := map[string]chan struct{}{}
	paths, series := looks(n)
	for _, x := range paths {
		done[x] = make(chan struct{})
	}
	var lost sync.Map
	p := startInstance(t, 0, func(w http.ResponseWriter, r *http.Request) {
		i := slices.Index(paths, r.URL.Path)
		if _, again := lost.LoadOrStore(r.URL.Path, true); i%4 == 2 && !again {
			panic(http.ErrAbortHandler)
		}
		if i < n-1 {
			select {
			case <-done[paths[i+1]]:
			case <-r.Context().Done():
			}
		}
		close(done[r.URL.Path])
		echoPath(w, r)
	})
	_, r := p.dial(t, series)
	for _, x := range paths {
		expectAnswer(t, r, x, http.StatusOK)
	}
	if a, b, c := p.metric(t, "starts"), p.metric(t, "takeovers"), p.metric(t, "drops"); a != n-1 || b != n-1 || c != 0 {
		t.Errorf("%d started, %d taken over, %d dropped", a, b, c)
	}
	waitUntil(t, "not each request has one line", func() bool {
		m := p.lines()
		return !slices.ContainsFunc(paths, func(x string) bool { return m[x] != 1 })
	})
	if b := p.BufferedBytes(); b != 0 {
		t.Errorf("%d bytes are still taken", b)
	}
}

// Guards against requests that pass one that is not idempotent or has a body, and against a refusal that takes the place of
// another answer.
func TestSeriesWithOtherRequests(t *testing.T) {
	book := "POST /book/1 HTTP/1.1\r\nHost: ice.example\r\nRequest-Id: /book/1\r\nContent-Length: 2\r\n\r\nab"
	for name, c := range map[string]struct {
		series string
		paths  []string
		status []int
		// alone are the paths of requests beside which no other one may run.
		alone []string
	}{
		"body":           {get("/look/1") + book + get("/look/2") + get("/look/3"), []string{"/look/1", "/book/1", "/look/2", "/look/3"}, []int{200, 200, 200, 200}, []string{"/book/1"}},
		"not idempotent": {get("/look/1") + get("/book/2") + get("/look/2"), []string{"/look/1", "/book/2", "/look/2"}, []int{200, 200, 200}, []string{"/book/2"}},
		"no route":       {get("/look/1") + get("/none") + get("/look/2"), []string{"/look/1", "/none", "/look/2"}, []int{200, 503, 200}, nil},
		"no key":         {get("/look/1") + get("/keyed/1") + get("/look/2"), []string{"/look/1", "/keyed/1", "/look/2"}, []int{200, 503, 200}, nil},
		"expectation": {
			get("/look/1") + strings.Replace(book, "\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n", 1) + get("/look/2"),
			[]string{"/look/1", "", "/book/1", "/look/2"}, []int{200, 100, 200, 200}, []string{"/book/1"},
		},
		"malformed": {get("/look/1") + get("/look/2") + "GET / HTTP/1.1\r\n\r\n", []string{"/look/1", "/look/2", ""}, []int{200, 200, 400}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			running := map[string]bool{}
			p := startInstance(t, 0, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				running[r.URL.Path] = true
				for _, x := range c.alone {
					if running[x] && len(running) > 1 {
						t.Errorf("%v run together", running)
					}
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				delete(running, r.URL.Path)
				mu.Unlock()
				_, _ = io.Copy(io.Discard, r.Body)
				echoPath(w, r)
			})
			_, r := p.dial(t, c.series)
			for i, x := range c.paths {
				expectAnswer(t, r, x, c.status[i])
			}
		})
	}
}

// Guards against requests that keep targets busy although their caller disconnected, with one request or several.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	for _, n := range []int{1, pipeliner.MaxEarly + 1, 400} {
		running := min(n, pipeliner.MaxEarly+1)
		began, canceled := make(chan string, 400), make(chan string, 400)
		p := startInstance(t, 0, func(_ http.ResponseWriter, r *http.Request) {
			began <- r.URL.Path
			<-r.Context().Done()
			canceled <- r.URL.Path
		})
		_, series := looks(n)
		c, _ := p.dial(t, series)
		for i := range running {
			select {
			case <-began:
			case <-time.After(patience):
				t.Fatalf("%d of %d requests began", i, running)
			}
		}
		_ = c.Close()
		for i := range running {
			select {
			case <-canceled:
			case <-time.After(patience):
				t.Fatalf("%d of %d requests were canceled", i, running)
			}
		}
		waitUntil(t, "not each request has a line", func() bool { return len(p.lines()) == running })
		waitUntil(t, "bytes are still taken", func() bool { return p.BufferedBytes() == 0 })
		if a, b := p.metric(t, "starts"), p.metric(t, "drops"); a != running-1 || b != running-1 {
			t.Errorf("%d started, %d dropped", a, b)
		}
	}
}

// Guards against a request that runs on after its caller disconnected because it was started before its turn, which has come.
func TestDisconnectCancelsRequestThatWasTakenOver(t *testing.T) {
	began, canceled := make(chan string, 3), make(chan string, 3)
	p := startInstance(t, 0, func(w http.ResponseWriter, r *http.Request) {
		began <- r.URL.Path
		if r.URL.Path == "/look/0" {
			echoPath(w, r)
			return
		}
		<-r.Context().Done()
		canceled <- r.URL.Path
	})
	paths, series := looks(2)
	c, r := p.dial(t, series)
	expectAnswer(t, r, paths[0], http.StatusOK)
	waitUntil(t, "the second request did not begin", func() bool { return len(began) == 2 })
	waitUntil(t, "the second request was not taken over", func() bool { return p.metric(t, "takeovers") == p.metric(t, "starts") })
	_ = c.Close()
	select {
	case <-canceled:
	case <-time.After(patience):
		t.Error("the second request was not canceled")
	}
}

// Guards against more memory than the limit for answers that wait for their turn, and against requests that are lost for it.
func TestEarlyAnswersTakeRoom(t *testing.T) {
	for memory, most := range map[int64]int{256 << 10: 0, 4 << 20: 4} {
		long := strings.Repeat("x", 100<<10)
		var mu sync.Mutex
		running, peak := 0, 0
		p := startInstance(t, memory, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			running++
			peak = max(peak, running)
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			mu.Lock()
			running--
			mu.Unlock()
			_, _ = io.WriteString(w, long)
		})
		paths, series := looks(30)
		_, r := p.dial(t, series)
		for i := range paths {
			if b := p.BufferedBytes(); b > memory/4 {
				t.Errorf("%d bytes are taken, allowed %d", b, memory/4)
			}
			a, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(i, err)
			}
			b, err := io.ReadAll(a.Body)
			_ = a.Body.Close()
			if err != nil || string(b) != long {
				t.Fatalf("answer %d: %d bytes, %v", i, len(b), err)
			}
		}
		if peak > most+1 {
			t.Errorf("%d requests at once with %d bytes, want %d", peak, memory, most+1)
		}
		waitUntil(t, "bytes are still taken", func() bool { return p.BufferedBytes() == 0 })
	}
}

// The first request of a series takes longer than those behind it may. Guards against a whole answer that is lost because its turn
// came after its deadline, and against a long one, whose rest cannot be had any more, that closes the connection.
func TestAnswersWhoseTurnComesLate(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	answered := make(chan string, 10)
	hold := make(chan struct{})
	p := startInstance(t, 0, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/look/0":
			<-hold
		case "/short/long":
			answered <- r.URL.Path
			_, _ = io.WriteString(w, long)
			return
		}
		answered <- r.URL.Path
		echoPath(w, r)
	})
	_, r := p.dial(t, get("/look/0")+get("/short/1")+get("/short/long")+get("/look/3"))
	waitUntil(t, "not all requests behind the first ran", func() bool { return len(answered) == 3 })
	time.Sleep(2 * shortTimeout)
	close(hold)
	expectAnswer(t, r, "/look/0", http.StatusOK)
	expectAnswer(t, r, "/short/1", http.StatusOK)
	expectAnswer(t, r, "/short/long", http.StatusGatewayTimeout)
	expectAnswer(t, r, "/look/3", http.StatusOK)
	waitUntil(t, "bytes are still taken", func() bool { return p.BufferedBytes() == 0 })
}

// Guards against a panic that ends the process because it happens outside a handler.
func TestPanicOfPipelinedRequest(t *testing.T) {
	p := startInstance(t, 0, echoPath)
	_, r := p.dial(t, get("/look/1")+strings.Replace(get("/look/2"), "Host", "Panic: yes\r\nHost", 1)+get("/look/3"))
	expectAnswer(t, r, "/look/1", http.StatusOK)
	if _, err := r.ReadByte(); err == nil {
		t.Error("an answer to a request that panics")
	}
	waitUntil(t, "not each started request has a line", func() bool { return len(p.lines()) == 1+p.metric(t, "starts") })
	_, r = p.dial(t, get("/look/4"))
	expectAnswer(t, r, "/look/4", http.StatusOK)
}

// A pipelined request has two attempts at the same time. Guards against room for its answer that both of them give back.
func TestEarlyRequestWithSecondAttempt(t *testing.T) {
	var slow atomic.Bool
	s, _, _ := newHedging(t, 0.1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" && slow.CompareAndSwap(false, true) {
			<-r.Context().Done()
			return
		}
		if r.URL.Path == "/earlier" {
			w.WriteHeader(http.StatusAccepted)
			return
		}
		echoPath(w, r)
	})
	k, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h, _ := s.ServeCallers(k)
	t.Cleanup(func() { _ = h.Close() })
	p := &pipelined{Server: s, address: k.Addr().String()}
	_, r := p.dial(t, get("/first")+get("/slow"))
	expectAnswer(t, r, "/first", http.StatusOK)
	expectAnswer(t, r, "/slow", http.StatusOK)
	if n := count(t, s, "celeryhead_hedges_total"); n != 1 {
		t.Errorf("%d second attempts", n)
	}
	waitUntil(t, "the room for answers is not what it was", func() bool { return p.BufferedBytes() == 0 })
}
