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

// tagged is a protocol whose answers repeat the tag of their request.
type tagged struct{}

func (tagged) Prepare(h http.Header, _ time.Time, left time.Duration) {
	h.Set("Left", fmt.Sprint(left.Milliseconds()))
}

func (tagged) Judge(sent http.Header, status int, got http.Header, _ bool) forwarder.Verdict {
	switch {
	case got.Get("Tag") != sent.Get("Tag"):
		return forwarder.Foreign
	case status == http.StatusTooManyRequests:
		return forwarder.Shed
	}
	return forwarder.Accepted
}

// script answers the first request of a connection with fixed bytes and then ends the connection or keeps it.
func script(t *testing.T, answer string, reset bool) netip.AddrPort {
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

func ask(t *testing.T, a netip.AddrPort) (string, error) {
	t.Helper()
	f := forwarder.New(forwarder.Config{Protocol: tagged{}})
	t.Cleanup(f.Close)
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "ice.example", Header: http.Header{"Tag": {"mine"}}}
	x, err := f.Do(t.Context(), forwarder.Call{Address: a, Request: r, Deadline: time.Now().Add(10 * time.Second)})
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(x.Body)
	return string(b), err
}

// Guards against a late answer to another request that a caller gets as its own.
func TestForeignAnswerIsSkipped(t *testing.T) {
	a := script(t, "HTTP/1.1 200 OK\r\nTag: other\r\nContent-Length: 5\r\n\r\nwrong"+
		"HTTP/1.1 200 OK\r\nTag: mine\r\nContent-Length: 5\r\n\r\nright", false)
	if b, err := ask(t, a); err != nil || b != "right" {
		t.Errorf("answer %q, %v", b, err)
	}
}

// Guards against a caller who gets only foreign answers and takes one, or an end of them that looks like an answer.
func TestOnlyForeignAnswers(t *testing.T) {
	a := script(t, "HTTP/1.1 200 OK\r\nTag: other\r\nContent-Length: 5\r\n\r\nwrong", false)
	if b, err := ask(t, a); err == nil {
		t.Errorf("answer %q", b)
	}
}

// Guards against an answer without length that ends by a broken connection and looks whole.
func TestUnframedAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTag: mine\r\nConnection: close\r\n\r\nwhole"
	if b, err := ask(t, script(t, head, false)); err != nil || b != "whole" {
		t.Errorf("answer %q, %v", b, err)
	}
	if b, err := ask(t, script(t, head, true)); err == nil {
		t.Errorf("answer %q of a connection that was reset", b)
	}
}

// Guards against a status of the protocol's own that is not understood as not run.
func TestShedByProtocol(t *testing.T) {
	_, err := ask(t, script(t, "HTTP/1.1 429 Too Many\r\nTag: mine\r\nContent-Length: 0\r\n\r\n", false))
	var x *forwarder.Failure
	if !errors.As(err, &x) || !errors.Is(err, forwarder.ErrShed) || x.Status != http.StatusTooManyRequests {
		t.Errorf("error %v", err)
	}
}
