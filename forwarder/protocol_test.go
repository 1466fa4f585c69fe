package forwarder_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
)

// taggedProtocol is a protocol whose responses repeat the tag of their request.
type taggedProtocol struct{}

func (taggedProtocol) Prepare(h http.Header, _ time.Time, left time.Duration) {
	h.Set("Left", fmt.Sprint(left.Milliseconds()))
}

func (taggedProtocol) ID(h http.Header) string {
	return h.Get("Tag")
}

func (taggedProtocol) Judge(sent http.Header, status int, got http.Header, _ bool) forwarder.Verdict {
	switch {
	case got.Get("Tag") != sent.Get("Tag"):
		return forwarder.Foreign
	case status == http.StatusTooManyRequests:
		return forwarder.Shed
	}
	return forwarder.Accepted
}

// scriptedServer responds to the first request of each connection with fixed bytes, then closes or resets the
// connection.
func scriptedServer(t *testing.T, answer string, reset bool) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func sendTagged(t *testing.T, a netip.AddrPort) (string, error) {
	t.Helper()
	f := forwarder.New(forwarder.Config{Protocol: taggedProtocol{}})
	t.Cleanup(f.Close)
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "ice.example", Header: http.Header{"Tag": {"mine"}}}
	x, err := f.Do(t.Context(), forwarder.Call{Address: a, Request: r, Deadline: time.Now().Add(10 * time.Second)})
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(x.Body)
	return string(b), err
}

// Guards against delivering a late response to another request as the caller's own.
func TestForeignAnswerIsSkipped(t *testing.T) {
	a := scriptedServer(t, "HTTP/1.1 200 OK\r\nTag: other\r\nContent-Length: 5\r\n\r\nwrong"+
		"HTTP/1.1 200 OK\r\nTag: mine\r\nContent-Length: 5\r\n\r\nright", false)
	if b, err := sendTagged(t, a); err != nil || b != "right" {
		t.Errorf("response %q, %v", b, err)
	}
}

// Guards against delivering a response to another request, or the end of the connection after it, as a response when no
// other arrives.
func TestOnlyForeignAnswers(t *testing.T) {
	a := scriptedServer(t, "HTTP/1.1 200 OK\r\nTag: other\r\nContent-Length: 5\r\n\r\nwrong", false)
	if b, err := sendTagged(t, a); err == nil {
		t.Errorf("response %q", b)
	}
}

// Guards against a response without length that looks complete although its connection broke.
func TestUnframedAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTag: mine\r\nConnection: close\r\n\r\nwhole"
	if b, err := sendTagged(t, scriptedServer(t, head, false)); err != nil || b != "whole" {
		t.Errorf("response %q, %v", b, err)
	}
	if b, err := sendTagged(t, scriptedServer(t, head, true)); err == nil {
		t.Errorf("response %q of a connection that was reset", b)
	}
}

// Guards against treating a protocol-specific status that means not run as anything else.
func TestShedByProtocol(t *testing.T) {
	_, err := sendTagged(t, scriptedServer(t, "HTTP/1.1 429 Too Many\r\nTag: mine\r\nContent-Length: 0\r\n\r\n", false))
	var x *forwarder.Failure
	if !errors.As(err, &x) || !errors.Is(err, forwarder.ErrShed) || x.Status != http.StatusTooManyRequests {
		t.Errorf("error %v", err)
	}
}

// Guards against an earlier shed response that a server repeats and that is believed of a later request, and against a new
// connection for each request that an instance sheds.
func TestRepeatedShedResponse(t *testing.T) {
	const shed = "HTTP/1.1 503 Busy\r\nCeleryhead-Ran: not-run\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name     string
		protocol forwarder.Protocol
		repeated string
		dialed   int
	}{
		{"target", nil, shed, 2},
		{"instance", forwarder.InstanceProtocol(), "", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &fakeServer{serve: func(n int, k net.Conn, r *bufio.Reader) {
				if n == 0 {
					_, _ = http.ReadRequest(r)
					_, _ = io.WriteString(k, shed)
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(k, c.repeated)
					reply(k, "/second")
				}
				serveEcho(n, k, r)
			}}
			f := s.forwarder(forwarder.Config{Protocol: c.protocol})
			defer s.live.Wait()
			defer f.Close()
			if _, x := exchange(t.Context(), f, get("/first"), time.Second); !errors.Is(x, forwarder.ErrShed) {
				t.Fatalf("first request: %v", x)
			}
			if b, x := exchange(t.Context(), f, get("/second"), time.Second); x != nil || b != "/second" {
				t.Errorf("second request, which ran: %q, %v", b, x)
			}
			if n := s.dialed(); n != c.dialed {
				t.Errorf("%d connections, want %d", n, c.dialed)
			}
		})
	}
}

// Guards against a connection that is reused for ever and remembers each request that was shed on it.
func TestShedRequestsPerConnectionAreBounded(t *testing.T) {
	s := &fakeServer{serve: func(_ int, k net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(k, "HTTP/1.1 429 Too Many\r\nTag: %s\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Tag"))
		}
	}}
	f := s.forwarder(forwarder.Config{Protocol: taggedProtocol{}})
	defer s.live.Wait()
	defer f.Close()
	const requests = 1000
	for i := range requests {
		r := get("/")
		r.Header.Set("Tag", fmt.Sprint(i))
		if _, x := exchange(t.Context(), f, r, time.Second); !errors.Is(x, forwarder.ErrShed) {
			t.Fatalf("request %d: %v", i, x)
		}
	}
	if n := s.dialed(); n < 2 || n > requests/10 {
		t.Errorf("%d connections for %d shed requests", n, requests)
	}
}
