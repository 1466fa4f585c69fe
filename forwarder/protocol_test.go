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
