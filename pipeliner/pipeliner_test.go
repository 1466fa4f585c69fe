package pipeliner_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/pipeliner"
)

// patience ends a test that would hang; nothing is expected to take that long.
const patience = 20 * time.Second

// maxHeaderBytes is larger than what is read ahead.
const maxHeaderBytes = 20000

// run is a started request.
type run struct {
	path    string
	once    sync.Once
	dropped chan struct{}
}

func (r *run) Drop(pipeliner.Cause) { r.once.Do(func() { close(r.dropped) }) }

// server serves requests, of which those that begin with /safe may run early.
type server struct {
	*http.Server
	address string

	mu   sync.Mutex
	runs []*run
	// began gets the path of each request that is started or whose handler begins without a run.
	began chan string
	// refuse makes no request start.
	refuse bool
}

func serve(t testing.TB, wrapped bool, h func(s *server, w http.ResponseWriter, r *http.Request)) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String(), began: make(chan string, 1000)}
	s.Server = &http.Server{MaxHeaderBytes: maxHeaderBytes, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k, ok := pipeliner.Taken(r.Context()).(*run); !ok {
			s.began <- r.URL.Path
		} else if k.path != r.URL.Path {
			t.Errorf("the run of %s was given to %s", k.path, r.URL.Path)
		}
		h(s, w, r)
	})}
	if wrapped {
		l = pipeliner.Listen(s.Server, l, pipeliner.Config{
			Safe: func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/safe") },
			Start: func(_ context.Context, r *http.Request) pipeliner.Run {
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.refuse {
					return nil
				}
				k := &run{path: r.URL.Path, dropped: make(chan struct{})}
				s.runs = append(s.runs, k)
				s.began <- k.path
				return k
			},
		})
	}
	var g sync.WaitGroup
	g.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() {
		_ = s.Close()
		g.Wait()
	})
	return s
}

// started returns the paths of the requests that were started early.
func (s *server) started() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ps []string
	for _, k := range s.runs {
		ps = append(ps, k.path)
	}
	return ps
}

// awaitDrops waits until all runs were dropped or used.
func (s *server) awaitDrops(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	runs := slices.Clone(s.runs)
	s.mu.Unlock()
	for _, k := range runs {
		select {
		case <-k.dropped:
		case <-time.After(patience):
			t.Fatalf("%s was not dropped", k.path)
		}
	}
}

func (s *server) await(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		select {
		case <-s.began:
		case <-time.After(patience):
			t.Fatalf("%d of %d requests began", i, n)
		}
	}
}

func dial(t testing.TB, s *server) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c.(*net.TCPConn)
}

func get(paths ...string) string {
	var b strings.Builder
	for _, p := range paths {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: ice.example\r\nRequest-Id: %s\r\n\r\n", p, p)
	}
	return b.String()
}

func numbered(n int) []string {
	var ps []string
	for i := range n {
		ps = append(ps, fmt.Sprintf("/safe/%d", i))
	}
	return ps
}

func send(t testing.TB, c net.Conn, s string) {
	t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		t.Fatal(err)
	}
}

// expect reads the answers to requests with these paths.
func expect(t *testing.T, r *bufio.Reader, paths ...string) {
	t.Helper()
	for _, p := range paths {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("no answer to %s: %v", p, err)
		}
		b, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if err != nil || string(b) != p {
			t.Fatalf("answer %q, %v; want that to %s", b, err, p)
		}
	}
}

func echo(_ *server, w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }

// Guards against pipelined requests that begin only after the former answer, and against answers in another order. Each handler
// waits here until all requests of the series have begun.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	paths := numbered(pipeliner.MaxEarly + 1)
	var g sync.WaitGroup
	g.Add(1)
	s := serve(t, true, func(_ *server, w http.ResponseWriter, r *http.Request) {
		g.Wait()
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, s)
	send(t, c, get(paths...))
	s.await(t, len(paths))
	g.Done()
	expect(t, bufio.NewReader(c), paths...)
	if got := s.started(); !slices.Equal(got, paths[1:]) {
		t.Errorf("started %v, want all but the first", got)
	}
	s.awaitDrops(t)
}

// Guards against requests that come while a handler runs and are left waiting, because they came in pieces or one by one.
func TestRequestsThatComeLaterRunTogether(t *testing.T) {
	hold := make(chan struct{})
	s := serve(t, true, func(_ *server, w http.ResponseWriter, r *http.Request) {
		<-hold
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, s)
	paths := numbered(4)
	for _, p := range paths {
		b := get(p)
		send(t, c, b[:len(b)/2])
		send(t, c, b[len(b)/2:])
		s.await(t, 1)
	}
	close(hold)
	expect(t, bufio.NewReader(c), paths...)
	// The connection is used again as usual.
	send(t, c, get("/safe/again"))
	expect(t, bufio.NewReader(c), "/safe/again")
}

// Guards against a body after which no request of the connection starts early any more, and no disconnect is noticed.
func TestRequestsBehindBodyRunTogether(t *testing.T) {
	body := strings.Repeat("b\r\n\r\n\n", 5000)
	for name, post := range map[string]string{
		"counted": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n5\r\n0\r\n\r\n\r\n0\r\nA: b\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			paths := numbered(5)
			hold, canceled := make(chan struct{}), make(chan struct{})
			s := serve(t, true, func(_ *server, w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				switch r.URL.Path {
				case "/post":
				case "/safe/last":
					<-r.Context().Done()
					close(canceled)
				default:
					<-hold
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})
			c := dial(t, s)
			send(t, c, "POST /post HTTP/1.1\r\nHost: ice.example\r\n"+post+get(paths...))
			s.await(t, 1+len(paths))
			close(hold)
			r := bufio.NewReader(c)
			expect(t, r, append([]string{"/post"}, paths...)...)
			send(t, c, "POST /post HTTP/1.1\r\nHost: ice.example\r\n"+post+get("/safe/last", "/safe/behind"))
			expect(t, r, "/post")
			s.await(t, 3)
			_ = c.Close()
			select {
			case <-canceled:
			case <-time.After(patience):
				t.Error("the request was not canceled")
			}
			s.awaitDrops(t)
		})
	}
}

// Guards against an end of a head that is not that of net/http, wherever the bytes are cut. A bar stands at the end of the head.
func TestHeadEnd(t *testing.T) {
	for _, marked := range []string{
		"GET / HTTP/1.1\r\nA: b\r\n\r\n|GET",
		"GET / HTTP/1.1\nA: b\n\n|GET",
		"GET / HTTP/1.1\nA: b\n\r\n|GET",
		"GET / HTTP/1.1\r\nA: b\r\n\r\r\n\n|",
		"GET / HTTP/1.1\r\nA: b\r\n",
		"\n\n|",
		"\r\n\r\n|",
		"a\r\rb\n\rc\n",
	} {
		head, rest, _ := strings.Cut(marked, "|")
		want := len(head)
		if head == marked {
			want = 0
		}
		for cut := range len(head+rest) + 1 {
			if got := pipeliner.HeadEnd(head+rest, cut); got != want {
				t.Errorf("%q cut at %d: ends at %d, want %d", marked, cut, got, want)
			}
		}
	}
}

// answers returns all bytes that a server writes for a series of bytes that are written in pieces, without dates.
func answers(t *testing.T, s *server, series string, seed uint64) string {
	t.Helper()
	c := dial(t, s)
	x := rand.New(rand.NewPCG(seed, 1))
	go func() {
		for rest := series; rest != ""; {
			n := min(len(rest), 1+x.IntN(400))
			if seed == 0 {
				n = len(rest)
			}
			if _, err := io.WriteString(c, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
			if x.IntN(3) == 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}()
	b, _ := io.ReadAll(c)
	var out []string
	for l := range strings.Lines(string(b)) {
		if !strings.HasPrefix(l, "Date:") {
			out = append(out, l)
		}
	}
	return strings.Join(out, "")
}

// Guards against answers that differ from those of net/http alone, whatever stands in the middle of a series, and against
// requests that start although they may not.
func TestSeriesIsAnsweredAsWithoutIt(t *testing.T) {
	const (
		last = "GET /safe/last HTTP/1.1\r\nHost: ice.example\r\nConnection: close\r\n\r\n"
		post = "POST /post HTTP/1.1\r\nHost: ice.example\r\n"
	)
	a, b := get("/safe/a"), get("/safe/b")
	for _, c := range []struct {
		name, series string
		// never are the paths of requests that must not start early.
		never []string
	}{
		{"nothing else", a + b + last, nil},
		{"a body", a + post + "Content-Length: 5\r\n\r\nGET /" + b + a + last, []string{"/post"}},
		{"an empty body", a + post + "Content-Length: 0\r\n\r\n" + b + last, []string{"/post"}},
		{"a body with GET", a + "GET /safe/body HTTP/1.1\r\nHost: ice.example\r\nContent-Length: 4\r\n\r\n\r\n\r\n" + b + last, []string{"/safe/body"}},
		{"a body that looks like a request", a + post + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(get("/safe/inner"))) + get("/safe/inner") + b + last, []string{"/safe/inner", "/post"}},
		{"chunks", a + post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + b + post + "Content-Length: 2\r\n\r\nab" + b + last, []string{"/post", "/safe/b"}},
		{"a body behind chunks", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + b + post + fmt.Sprintf("Content-Length: %d\r\n\r\n", 60*len(get("/safe/inner"))) + strings.Repeat(get("/safe/inner"), 60) + last, []string{"/post", "/safe/inner"}},
		{"a body on an idempotent route", strings.Replace(post, "/post", "/safe/post", 1) + "Content-Length: 2\r\n\r\nab" + b + last, []string{"/safe/b"}},
		{"no body on an idempotent route", strings.Replace(post, "/post", "/safe/post", 1) + "Content-Length: 0\r\n\r\n" + b + last, []string{"/safe/b"}},
		{"a large body", a + post + "Content-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000) + b + last, nil},
		{"continue", a + post + "Content-Length: 2\r\nExpect: 100-continue\r\n\r\nab" + b + last, []string{"/post"}},
		{"an expectation", a + "GET /safe/tea HTTP/1.1\r\nHost: ice.example\r\nExpect: tea\r\n\r\n" + b, []string{"/safe/tea", "/safe/b"}},
		{"not idempotent", a + get("/once") + b + last, []string{"/once"}},
		{"HEAD", a + strings.Replace(b, "GET", "HEAD", 1) + b + last, nil},
		{"DELETE", a + strings.Replace(b, "GET", "DELETE", 1) + a + last, []string{"/safe/b"}},
		{"an answer that closes", a + get("/safe/close"), nil},
		{"a request that closes", a + last + get("/safe/behind"), []string{"/safe/behind"}},
		{"a request that closes, with another word", a + strings.Replace(last, "close", "x close", 1) + get("/safe/behind"), []string{"/safe/behind"}},
		{"a request that closes, in a list", a + strings.Replace(last, "close", "x,CLOSE", 1) + get("/safe/behind"), []string{"/safe/behind"}},
		{"a name with a blank", a + strings.Replace(get("/safe/x"), "Host", "A : b\r\nHost", 1) + b, []string{"/safe/x", "/safe/b"}},
		{"HTTP/1.0", a + "GET /safe/old HTTP/1.0\r\nHost: ice.example\r\n\r\n" + b, []string{"/safe/old", "/safe/b"}},
		{"an aborted answer", a + get("/safe/abort") + b, nil},
		{"malformed", a + b + "GET /safe/mal formed HTTP/1.1\r\n\r\n" + b, nil},
		{"no host", a + "GET /safe/nohost HTTP/1.1\r\n\r\n" + b, []string{"/safe/nohost", "/safe/b"}},
		{"two hosts", a + "GET /safe/hosts HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" + b + last, []string{"/safe/hosts"}},
		{"a malformed host", a + "GET /safe/host HTTP/1.1\r\nHost: a b\r\n\r\n" + b, []string{"/safe/host", "/safe/b"}},
		{"a control character", a + "GET /safe/x HTTP/1.1\r\nHost: a\r\nA: \x01\r\n\r\n" + b, []string{"/safe/x", "/safe/b"}},
		{"a continued line", a + "GET /safe/x HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n" + b + last, []string{"/safe/x"}},
		{"bare line feeds", a + "GET /safe/x HTTP/1.1\nHost: a\n\n" + b + last, []string{"/safe/x"}},
		{"mixed ends of lines", a + "GET /safe/x HTTP/1.1\nHost: a\n\r\n" + b + last, []string{"/safe/x"}},
		{"a line of one carriage return", a + "GET /safe/x HTTP/1.1\r\nHost: a\r\n\r\r\n" + b, []string{"/safe/x"}},
		{"an empty line", a + "\r\n" + b + last, nil},
		{"an empty line behind POST", post + "Content-Length: 2\r\n\r\nab\r\n" + b + last, nil},
		{"empty lines behind POST", post + "Content-Length: 2\r\n\r\nab\r\n\r\n" + b + last, nil},
		{"a long head", a + strings.Replace(b, "Host", "A: "+strings.Repeat("a", 9000)+"\r\nHost", 1) + b + last, nil},
		{"a head over the limit", a + strings.Replace(b, "Host", "A: "+strings.Repeat("a", 50000)+"\r\nHost", 1), []string{"/safe/b"}},
		{"many short fields", a + "GET /safe/short HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 100) + "\r\n" + b + last, []string{"/safe/short"}},
		{"many", strings.Repeat(a+b, 100) + last, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := func(_ *server, w http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				switch r.URL.Path {
				case "/safe/close":
					w.Header().Set("Connection", "close")
				case "/safe/abort":
					panic(http.ErrAbortHandler)
				}
				_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.Path, n)
			}
			for seed := range uint64(4) {
				var got [2]string
				for i := range got {
					s := serve(t, i == 1, h)
					got[i] = answers(t, s, c.series, seed)
					for _, p := range s.started() {
						if slices.Contains(c.never, p) {
							t.Errorf("seed %d: %s started early", seed, p)
						}
					}
					s.awaitDrops(t)
				}
				if got[0] != got[1] || got[0] == "" {
					t.Errorf("seed %d: got\n%s\nwithout the package\n%s", seed, got[1], got[0])
				}
			}
		})
	}
}

// Guards against requests that go on running although their caller disconnected: the one whose turn it is, those behind it, and
// also if more bytes came than are read ahead.
func TestDisconnectCancelsAllRequests(t *testing.T) {
	for name, extra := range map[string]int{"few requests": 0, "more than the buffer": 400} {
		t.Run(name, func(t *testing.T) {
			canceled := make(chan struct{})
			s := serve(t, true, func(_ *server, _ http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
					close(canceled)
				case <-time.After(patience):
				}
			})
			c := dial(t, s)
			send(t, c, get(numbered(pipeliner.MaxEarly+1+extra)...))
			s.await(t, pipeliner.MaxEarly+1)
			_ = c.Close()
			select {
			case <-canceled:
			case <-time.After(patience):
				t.Fatal("the handler was not canceled")
			}
			s.awaitDrops(t)
		})
	}
}

// A caller sends 400 requests and reads nothing. Guards against more runs than the limit, and against runs that outlive the
// connection.
func TestCallerThatReadsNothing(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	blocked := make(chan struct{})
	s := serve(t, true, func(_ *server, w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		if _, err := io.WriteString(w, long); err != nil {
			close(blocked)
		}
	})
	c := dial(t, s)
	send(t, c, get(numbered(400)...))
	select {
	case <-blocked:
	case <-time.After(patience):
		t.Fatal("no answer was blocked")
	}
	s.awaitDrops(t)
	// Each answer that fitted made room for one more run.
	if n := len(s.started()); n > 2*pipeliner.MaxEarly+20 {
		t.Errorf("%d requests were started", n)
	}
}

// Guards against runs that are kept after an answer closed the connection before their turn, or the server ended.
func TestRunsEndWithTheConnection(t *testing.T) {
	for name, end := range map[string]func(*server, http.ResponseWriter){
		"answer closes": func(_ *server, w http.ResponseWriter) { w.Header().Set("Connection", "close") },
		"answer aborts": func(*server, http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"server closes": func(s *server, _ http.ResponseWriter) { _ = s.Close() },
		"server shuts down": func(s *server, _ http.ResponseWriter) {
			go func() { _ = s.Shutdown(context.Background()) }()
		},
	} {
		t.Run(name, func(t *testing.T) {
			first := make(chan struct{})
			s := serve(t, true, func(s *server, w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/safe/0" {
					<-first
					end(s, w)
				}
				echo(s, w, r)
			})
			c := dial(t, s)
			send(t, c, get(numbered(5)...))
			s.await(t, 5)
			close(first)
			s.awaitDrops(t)
			_, _ = io.Copy(io.Discard, c)
		})
	}
}

// The answer to a series whose handler wants to close the connection. Guards against started requests behind it that are cut,
// and against requests that start or are answered afterwards.
func TestAnswerThatClosesWaitsForStartedRequests(t *testing.T) {
	first, decided := make(chan struct{}), make(chan struct{})
	s := serve(t, true, func(s *server, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/0" {
			<-first
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusOK)
			close(decided)
		}
		echo(s, w, r)
	})
	c := dial(t, s)
	send(t, c, get(numbered(3)...))
	s.await(t, 3)
	close(first)
	<-decided
	send(t, c, get("/safe/late"))
	r := bufio.NewReader(c)
	for i, x := range numbered(3) {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(x, err)
		}
		b, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if err != nil || string(b) != x || a.Close != (i == 2) {
			t.Errorf("answer %q, %v, closes %t", b, err, a.Close)
		}
	}
	if _, err := r.ReadByte(); err == nil || len(s.started()) != 2 {
		t.Errorf("%v, and %d requests started", err, len(s.started()))
	}
}

// Guards against requests that are lost if they cannot be started.
func TestRequestsWaitIfNoneCanStart(t *testing.T) {
	s := serve(t, true, echo)
	s.mu.Lock()
	s.refuse = true
	s.mu.Unlock()
	c := dial(t, s)
	paths := numbered(30)
	send(t, c, get(paths...))
	expect(t, bufio.NewReader(c), paths...)
}

// cpuTime returns the processor time of the process, caller included.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequests compares net/http alone with the package, for single requests and for series of eight.
func BenchmarkRequests(b *testing.B) {
	for _, series := range []int{1, 8} {
		for _, wrapped := range []bool{false, true} {
			b.Run(fmt.Sprintf("series=%d/wrapped=%t", series, wrapped), func(b *testing.B) {
				s := serve(b, wrapped, func(s *server, w http.ResponseWriter, r *http.Request) {
					echo(s, w, r)
				})
				go func() {
					for range s.began {
						continue
					}
				}()
				c := dial(b, s)
				_ = c.SetDeadline(time.Time{})
				q := []byte(get(numbered(series)...))
				p := make([]byte, 64<<10)
				b.ReportAllocs()
				used := cpuTime(b)
				for b.Loop() {
					if _, err := c.Write(q); err != nil {
						b.Fatal(err)
					}
					for n := 0; n < series; {
						k, err := c.Read(p)
						if err != nil {
							b.Fatal(err)
						}
						n += bytes.Count(p[:k], []byte("HTTP/1.1 200"))
					}
				}
				b.ReportMetric(float64((cpuTime(b)-used).Nanoseconds())/float64(b.N*series), "cpu-ns/request")
			})
		}
	}
}

// closing is a connection that is closed while a read is in progress.
type closing struct {
	net.Conn
	reads int
	close func()
}

func (c *closing) Read(p []byte) (int, error) {
	c.reads++
	switch c.reads {
	case 1, 2:
		if c.reads == 2 {
			c.close()
		}
		p[0] = 'G'
		return 1, nil
	}
	return 0, net.ErrClosed
}

type single struct {
	net.Listener
	conn net.Conn
}

func (s single) Accept() (net.Conn, error) { return s.conn, nil }

// Guards against a read into a buffer that was given back, and may be that of another connection.
func TestNoReadAfterClose(t *testing.T) {
	c := &closing{}
	k, err := pipeliner.Listen(&http.Server{}, single{conn: c}, pipeliner.Config{}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.close = func() { _ = k.(interface{ CloseWrite() error }).CloseWrite() }
	if _, err := k.Read(make([]byte, 1)); err == nil {
		t.Error("a read of a closed connection reported no error")
	}
	if c.reads > 2 {
		t.Error("the connection was read into a buffer that was given back")
	}
}
