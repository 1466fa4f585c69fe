package admitter_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/admitter"
	"celeryhead.dev/celeryhead/guarder"
	"celeryhead.dev/celeryhead/pipeliner"
)

// server is a server with a budget.
type server struct {
	t       *testing.T
	gate    *admitter.Listener
	mu      sync.Mutex
	reports []admitter.Report
}

func serve(t *testing.T, l admitter.Limits, b admitter.Bounds, h http.HandlerFunc, layers ...func(*http.Server, net.Listener) net.Listener) *server {
	t.Helper()
	k, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t}
	s.gate = admitter.Listen(k, admitter.Config{Limits: l, Bounds: func() admitter.Bounds { return b }, Report: func(r admitter.Report) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reports = append(s.reports, r)
	}})
	x := &http.Server{Handler: h, IdleTimeout: shortTime, ReadHeaderTimeout: time.Minute}
	k = s.gate
	for _, f := range layers {
		k = f(x, k)
	}
	s.gate.Attach(x)
	ended := make(chan error, 1)
	go func() { ended <- x.Serve(k) }()
	t.Cleanup(func() {
		_ = x.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return s
}

// shortTime is the time in which the server closes unused connections if nothing else says so.
const shortTime = 50 * time.Millisecond

var wide = admitter.Limits{Bytes: 1 << 24, Descriptors: 10, AddressPercent: 100}

type caller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (s *server) dial() caller {
	s.t.Helper()
	c, err := net.Dial("tcp", s.gate.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return caller{s.t, c, bufio.NewReader(c)}
}

// ask sends a request and returns the status.
func (c caller) ask(text string) int {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c.status()
}

func (c caller) status() int {
	c.t.Helper()
	p, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, p.Body)
	_ = p.Body.Close()
	return p.StatusCode
}

// await waits until the server uses this many bytes at most, of this many connections.
func (s *server) await(connections int, bytes int64) {
	s.t.Helper()
	for range 2000 {
		if b, c := s.gate.Use(); c == connections && b <= bytes {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	b, c := s.gate.Use()
	s.t.Fatalf("%d bytes of %d connections, want %d of %d", b, c, bytes, connections)
}

// awaitMore waits until the server uses more than some bytes.
func (s *server) awaitMore(bytes int64) {
	s.t.Helper()
	for range 2000 {
		if b, _ := s.gate.Use(); b > bytes {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatal("nothing arrived")
}

// reported returns the reasons that were reported.
func (s *server) reported() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for _, r := range s.reports {
		b.WriteString(string(r.Reason) + " ")
	}
	return strings.TrimSpace(b.String())
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func ok(w http.ResponseWriter, r *http.Request) {
	if admitter.FromContext(r.Context()).Refused() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against bytes that stay reserved after a request, so that the budget runs out under usual load.
func TestRequestsGiveBackWhatTheyHeld(t *testing.T) {
	s := serve(t, wide, admitter.Bounds{IdleTime: time.Minute}, func(w http.ResponseWriter, r *http.Request) {
		if !admitter.FromContext(r.Context()).Reserve(1000) {
			t.Error("no room")
		}
		_, _ = io.Copy(io.Discard, r.Body)
		ok(w, r)
	})
	c := s.dial()
	for _, text := range []string{
		get, get + get, strings.Replace(get, "\r\n\r\n", "\r\n"+strings.Repeat("a:\n", 3000)+"\r\n", 1),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: b\r\n\r\n1\r\nx\r\n0\r\nb: c\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
	} {
		if got := c.ask(text); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
		if text == get+get {
			c.status()
		}
		s.await(1, 16<<10)
	}
	_ = c.Close()
	s.await(0, 0)
	if got := s.reported(); got != "" {
		t.Errorf("reported %s", got)
	}
}

// Guards against a caller that is not told that its head is too large, and against heads within the limit that are refused.
func TestHeadOverTheLimit(t *testing.T) {
	s := serve(t, wide, admitter.Bounds{HeadBytes: 16384, IdleTime: time.Minute}, ok)
	fields := func(n int) string {
		return strings.Replace(get, "\r\n\r\n", "\r\n"+strings.Repeat("a:\n", n/3)+"\r\n", 1)
	}
	if got := s.dial().ask(fields(16384 - len(get))); got != http.StatusOK {
		t.Errorf("within the limit: %d", got)
	}
	c := s.dial()
	if got := c.ask(fields(30000)); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("over the limit: %d", got)
	}
	if _, err := c.r.ReadByte(); err == nil {
		t.Error("the connection stayed open")
	}
	if got := s.reported(); got != "head_too_large" {
		t.Errorf("reported %s", got)
	}
}

// Guards against memory that is used before it was reserved: a head that has no room ends its connection, and a request that has
// none is refused.
func TestNoRoom(t *testing.T) {
	narrow := wide
	narrow.Bytes = 200 << 10
	s := serve(t, narrow, admitter.Bounds{IdleTime: time.Minute}, ok)
	c := s.dial()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\n", 3000))
	if b, err := c.r.ReadByte(); err == nil {
		t.Errorf("answered with %q", b)
	}
	s.await(0, 0)
	c = s.dial()
	// The head fits while it is received, but not with the copies that a request has.
	if got := c.ask(strings.Replace(get, "\r\n\r\n", "\r\n"+strings.Repeat("a:\n", 600)+"\r\n", 1)); got != http.StatusServiceUnavailable {
		t.Errorf("status %d", got)
	}
	if got := c.ask(get); got != http.StatusOK {
		t.Errorf("afterwards: %d", got)
	}
	if got := s.reported(); got != "no_room no_room" {
		t.Errorf("reported %s", got)
	}
}

// full is a connection whose caller reads nothing: after an answer all buffers to it are full.
type full struct{ net.Conn }

func (f full) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		go func() {
			// The kernel enlarges its buffers for some time.
			for f.fill() {
				time.Sleep(time.Millisecond)
			}
		}()
	}
	return f.Conn.SetWriteDeadline(t)
}

func (f full) fill() bool {
	r, err := f.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	for n := 1 << 16; n > 0; {
		if r.Write(func(fd uintptr) bool {
			if _, err := syscall.Write(int(fd), make([]byte, n)); err != nil {
				n /= 2
			}
			return true
		}) != nil {
			return false
		}
	}
	return true
}

type filling struct{ net.Listener }

func (l filling) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return full{c}, nil
}

// Guards against a caller that keeps a connection beyond the time for a head because it does not read that the time has passed.
func TestRefusedHeadIsNotRead(t *testing.T) {
	s := serve(t, wide, admitter.Bounds{HeadTime: shortTime, IdleTime: time.Minute}, ok, func(_ *http.Server, l net.Listener) net.Listener {
		return filling{l}
	})
	c := s.dial()
	if _, err := io.WriteString(c, strings.Replace(get, "\r\n\r\n", "\r\n\r\nGET / HT", 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * shortTime)
	if _, err := io.WriteString(c, "T"); err != nil {
		t.Fatal(err)
	}
	s.await(0, 0)
}

// Guards against idle connections that keep new ones out, and against closing the one that was used last.
func TestIdleConnectionMakesRoom(t *testing.T) {
	two := wide
	two.Descriptors = 2
	s := serve(t, two, admitter.Bounds{IdleTime: time.Minute}, ok)
	x, y := s.dial(), s.dial()
	x.ask(get)
	y.ask(get)
	x.ask(get)
	s.await(2, 32<<10)
	if got := s.dial().ask(get); got != http.StatusOK {
		t.Errorf("new connection: %d", got)
	}
	if got := x.ask(get); got != http.StatusOK {
		t.Errorf("connection that was used last: %d", got)
	}
	if _, err := y.r.ReadByte(); err == nil {
		t.Error("the connection that was used first stayed open")
	}
	if got := s.reported(); got != "crowded" {
		t.Errorf("reported %s", got)
	}
}

// More arrives than a head may have while a connection is between two answers of a series. Guards against an answer to it that ends
// the connection before those of requests that run: net/http gets these bytes only later, and they count then.
func TestBytesBehindSeriesAreNoHead(t *testing.T) {
	k, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = k.Close() }()
	l := admitter.Listen(k, admitter.Config{Limits: wide, Bounds: func() admitter.Bounds { return admitter.Bounds{HeadBytes: 1} }, Report: func(r admitter.Report) {
		t.Errorf("reported %s", r.Reason)
	}})
	x := &http.Server{Handler: http.HandlerFunc(ok), ReadHeaderTimeout: time.Minute}
	l.Attach(x)
	out, err := net.Dial("tcp", k.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = in.Close() }()
	in.(interface{ BeginRun() }).BeginRun()
	x.ConnState(in, http.StateIdle)
	if _, err := out.Write(make([]byte, 8<<10)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(in, make([]byte, 8<<10)); err != nil {
		t.Error(err)
	}
}

// started is a pipelined request that was started.
type started struct{}

func (started) Drop(pipeliner.Cause) {}

// A connection needs room while another one is between two answers of a series. Guards against a budget that takes it for unused
// and closes it, although a request runs behind the answer.
func TestSeriesBetweenTwoAnswersIsNotClosed(t *testing.T) {
	idle, begun, tried := make(chan struct{}, 10), make(chan struct{}), make(chan struct{})
	s := serve(t, admitter.Limits{Bytes: 1 << 24, Descriptors: 1, AddressPercent: 100}, admitter.Bounds{}, func(w http.ResponseWriter, r *http.Request) {
		<-begun
		ok(w, r)
	}, func(x *http.Server, l net.Listener) net.Listener {
		x.ConnState = func(_ net.Conn, k http.ConnState) {
			if k == http.StateIdle {
				idle <- struct{}{}
				<-tried
			}
		}
		return pipeliner.Listen(x, l, pipeliner.Config{
			Safe: func(*http.Request) bool { return true },
			Start: func(context.Context, *http.Request) pipeliner.Run {
				close(begun)
				return started{}
			},
		})
	})
	c := s.dial()
	if k := c.ask(get + get); k != http.StatusOK {
		t.Fatalf("first answer %d", k)
	}
	<-idle
	other := s.dial()
	_, _ = io.WriteString(other, get)
	if _, err := other.r.ReadByte(); err == nil {
		t.Error("the other connection had room")
	}
	close(tried)
	if k := c.status(); k != http.StatusOK {
		t.Errorf("second answer %d", k)
	}
}

// Guards against closing unused connections before callers stop to use them, and new ones that wait for their first request.
func TestIdleTime(t *testing.T) {
	s := serve(t, wide, admitter.Bounds{IdleTime: time.Minute, HeadTime: time.Minute}, ok)
	c := s.dial()
	for range 2 {
		time.Sleep(3 * shortTime)
		if got := c.ask(get); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
	}
}

// Guards against callers that do not end their heads, on a new connection and on one that was used before, and against telling
// them that the head is malformed.
func TestHeadTime(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(fmt.Sprint(used), func(t *testing.T) {
			s := serve(t, wide, admitter.Bounds{IdleTime: time.Minute, HeadTime: 3 * shortTime}, ok)
			c := s.dial()
			if used && c.ask(get) != http.StatusOK {
				t.Error("the first request was not answered")
			}
			if _, err := io.WriteString(c, "GET / HT"); err != nil {
				t.Fatal(err)
			}
			if got := c.status(); got != http.StatusRequestTimeout {
				t.Errorf("status %d", got)
			}
			if _, err := c.r.ReadByte(); err == nil {
				t.Error("the connection stayed open")
			}
			if got := s.reported(); got != "head_late" {
				t.Errorf("reported %s", got)
			}
		})
	}
}

// Guards against the time for a head that ends a request whose handler runs longer.
func TestHeadTimeEndsWithTheHead(t *testing.T) {
	s := serve(t, wide, admitter.Bounds{HeadTime: shortTime, IdleTime: time.Minute}, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGone)
		case <-time.After(4 * shortTime):
		}
	})
	if got := s.dial().ask(get); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}

// Guards against the rest of a body that is taken for a head.
func TestUnreadBodyIsNoHead(t *testing.T) {
	s := serve(t, wide, admitter.Bounds{HeadBytes: 1000, IdleTime: time.Minute}, ok)
	c := s.dial()
	for range 2 {
		if got := c.ask("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("\n", 100000)); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
	}
	s.await(1, 16<<10)
}

func readAhead(x *http.Server, l net.Listener) net.Listener {
	return pipeliner.Listen(x, l, pipeliner.Config{
		Safe:  func(*http.Request) bool { return false },
		Start: func(_ context.Context, _ *http.Request) pipeliner.Run { return nil },
	})
}

// Guards against an unfinished head that holds memory which is not reserved, and stays open for the time of an unused connection,
// because its bytes arrived together with the request before it.
func TestUnfinishedHeadBehindARequest(t *testing.T) {
	const fields = 1000
	s := serve(t, wide, admitter.Bounds{IdleTime: time.Minute, HeadTime: 10 * shortTime}, ok, readAhead)
	c := s.dial()
	if got := c.ask(get + "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", fields)); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
	s.awaitMore(16<<10 + 100*fields)
	_ = c.SetReadDeadline(time.Now().Add(100 * shortTime))
	if got := c.status(); got != http.StatusRequestTimeout {
		t.Errorf("status %d of the unfinished head", got)
	}
	if b, err := io.ReadAll(c.r); err != nil || len(b) > 0 {
		t.Errorf("%q, %v after it", b, err)
	}
}

// Guards against taking a connection that was closed for others in the middle of a head for one that sent a malformed request.
func TestClosedHeadIsNotMalformed(t *testing.T) {
	one := wide
	one.Descriptors = 1
	var reported atomic.Int64
	s := serve(t, one, admitter.Bounds{IdleTime: time.Minute}, ok, func(x *http.Server, l net.Listener) net.Listener {
		return guarder.ReportUnhandled(x, l, func(guarder.Unhandled) { reported.Add(1) })
	})
	x := s.dial()
	if _, err := io.WriteString(x, "GET / HT"); err != nil {
		t.Fatal(err)
	}
	s.awaitMore(16 << 10)
	if got := s.dial().ask(get); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
	if b, _ := io.ReadAll(x.r); len(b) > 0 {
		t.Errorf("answered with %q", b)
	}
	if n := reported.Load(); n != 0 {
		t.Errorf("%d answers of net/http", n)
	}
}

// Guards against a caller that is told 408 although its request runs: the time for a head may pass between its last byte and the
// handler, as in a process that is suspended there.
func TestLateHeadDoesNotRun(t *testing.T) {
	k, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, gate: admitter.Listen(k, admitter.Config{
		Limits: wide,
		Bounds: func() admitter.Bounds { return admitter.Bounds{HeadTime: shortTime, IdleTime: time.Minute} },
		Report: func(admitter.Report) {},
	})}
	var ran atomic.Bool
	x := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Store(!admitter.FromContext(r.Context()).Refused())
	})}
	s.gate.Attach(x)
	h := x.Handler
	x.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * shortTime)
		h.ServeHTTP(w, r)
	})
	ended := make(chan error, 1)
	go func() { ended <- x.Serve(s.gate) }()
	t.Cleanup(func() {
		_ = x.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	got := s.dial().ask(get)
	time.Sleep(8 * shortTime)
	if got == http.StatusRequestTimeout && ran.Load() {
		t.Error("a request ran whose caller was told 408")
	}
}
