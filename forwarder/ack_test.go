package forwarder_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/responder"
)

// unacknowledgedConn is a connection to a server that has lost power: writes go into the send buffer, and reads fail with the
// error that the system reports when nothing was acknowledged in time.
type unacknowledgedConn struct{ net.Conn }

func (unacknowledgedConn) Write(b []byte) (int, error) { return len(b), nil }
func (unacknowledgedConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}
}

// Guards against a target out of reach that counts as crashed by the request, so that the request is blocked as one that crashes
// its targets, and against kept connections to it that stay in use.
func TestUnacknowledgedRequestIsNoCrash(t *testing.T) {
	f := forwarder.New(forwarder.Config{Now: time.Now, AckTimeout: time.Second, Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		return unacknowledgedConn{near}, nil
	}})
	defer f.Close()
	_, x := exchange(t.Context(), f, get("/a"), time.Minute)
	if x == nil || x.Broken || !x.Silent || x.Ran != responder.Unknown {
		t.Errorf("failure %+v, want one that is silent, not broken, and may have run", x)
	}
}

// Guards against a request that may run once, or whose body a target may leave unread, on a connection that ends early because
// nothing is acknowledged; and against one that may be sent again and waits for its deadline.
func TestAckTimeoutIsSetForRequestsThatMayBeSentAgain(t *testing.T) {
	const limit = 1234 * time.Millisecond
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	defer s.Close()
	var mu sync.Mutex
	var last net.Conn
	f := forwarder.New(forwarder.Config{Now: time.Now, AckTimeout: limit, Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.String())
		mu.Lock()
		defer mu.Unlock()
		last = c
		return c, err
	}})
	defer f.Close()
	a := netip.MustParseAddrPort(s.Listener.Addr().String())
	for _, c := range []struct {
		name string
		body string
		once bool
		want time.Duration
	}{
		{"may be sent again", "", false, limit},
		{"once, on the same connection", "", true, 0},
		{"may be sent again, on the same connection", "", false, limit},
		{"with a body", "text", false, 0},
	} {
		r := httptest.NewRequest(http.MethodPut, "/a", bufio.NewReader(strings.NewReader(c.body)))
		r.ContentLength = int64(len(c.body))
		x, err := f.Do(t.Context(), forwarder.Call{Address: a, Request: r, Deadline: time.Now().Add(time.Minute), Once: c.once})
		if err != nil {
			t.Fatal(err)
		}
		discardAll(x.Body)
		_ = x.Body.Close()
		mu.Lock()
		got := userTimeout(t, last)
		mu.Unlock()
		if got != c.want {
			t.Errorf("%s: limit %v, want %v", c.name, got, c.want)
		}
	}
}

func userTimeout(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	s, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	ms := 0
	if cerr := s.Control(func(fd uintptr) { ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); cerr != nil || err != nil {
		t.Fatal(cerr, err)
	}
	return time.Duration(ms) * time.Millisecond
}
