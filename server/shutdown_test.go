package server_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/responder"
)

// Guards against requests that come late in a shutdown or wait for their body, and are cut at its end without an answer.
func TestRequestLateInShutdownIsNotCut(t *testing.T) {
	const limit = 4 * time.Second
	s := newServer(t)
	s.Configure(1, composer.Config{Routes: []composer.Route{{Name: "read", PathPrefix: "/read", Pool: "stock", Open: true, Idempotent: true, Deadline: time.Minute, Methods: []string{http.MethodGet, http.MethodPost}}}})
	h := httptest.NewUnstartedServer(s.CallersHandler())
	written := &timedListener{Listener: h.Listener}
	h.Listener = written
	h.Start()
	defer h.Close()
	dial := func(request string) *bufio.Reader {
		c, err := net.Dial("tcp", h.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		return bufio.NewReader(c)
	}
	reason := func(r *bufio.Reader) (int, responder.Reason) {
		p, err := http.ReadResponse(r, nil)
		if err != nil {
			return 0, ""
		}
		_ = p.Body.Close()
		return p.StatusCode, responder.Reason(p.Header.Get(responder.HeaderReason))
	}
	stalled := dial("POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
	ended := make(chan time.Time, 1)
	go func() {
		s.ShutdownWithin(limit, h.Config)
		ended <- time.Now()
		h.CloseClientConnections()
	}()
	for !s.RefusesNew() && len(ended) == 0 {
		time.Sleep(time.Millisecond)
	}
	if !s.RefusesNew() {
		t.Fatal("new requests are not refused before the end")
	}
	if status, r := reason(dial("GET /read HTTP/1.1\r\nHost: h\r\n\r\n")); status != http.StatusServiceUnavailable || r != responder.Leaving {
		t.Errorf("a late request: %d %s", status, r)
	}
	status, _ := reason(stalled)
	if status != http.StatusRequestTimeout {
		t.Errorf("a request whose body does not come: %d", status)
	}
	if end, answered := <-ended, written.last(); answered.After(end) {
		t.Errorf("answered %v after the end", answered.Sub(end))
	}
	target := httptest.NewServer(http.NotFoundHandler())
	defer target.Close()
	if f := s.RunAt(netip.MustParseAddrPort(target.Listener.Addr().String())); f == nil || f.Reason != responder.Leaving || f.Ran != responder.NotRun {
		t.Errorf("a request that is sent at the end: %+v", f)
	}
}

// timedListener records when something was last written to one of its connections. The time at which a client has read an answer
// depends on when the client runs.
type timedListener struct {
	net.Listener

	mu sync.Mutex
	at time.Time
}

func (l *timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &timedConn{Conn: c, listener: l}, err
}

func (l *timedListener) last() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at
}

type timedConn struct {
	net.Conn
	listener *timedListener
}

func (c *timedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.at = time.Now()
	return n, err
}
