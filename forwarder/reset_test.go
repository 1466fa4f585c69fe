package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/platform/imitator"
	"celeryhead.dev/celeryhead/responder"
)

// writeFirstConn is a connection whose reads after the first one wait until a write has failed. The system reports a reset to only one
// of both.
type writeFirstConn struct {
	*net.TCPConn
	begun  bool
	once   sync.Once
	failed chan struct{}
}

func (c *writeFirstConn) Read(b []byte) (int, error) {
	if c.begun {
		<-c.failed
	}
	c.begun = true
	return c.TCPConn.Read(b)
}

func (c *writeFirstConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

func (c *writeFirstConn) Close() error {
	c.once.Do(func() { close(c.failed) })
	return c.TCPConn.Close()
}

// endlessBody is a body that goes on for as long as it is read.
type endlessBody struct{}

func (endlessBody) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// Guards against a part of a response that looks whole because its connection was reset while the request was written, and against a
// whole one that is refused for that.
func TestResponseDuringUploadIsWholeUnlessReset(t *testing.T) {
	for _, size := range []int{0, 600, 40_000} {
		body := strings.Repeat("x", size)
		const tooLong, chunked = "Content-Length: 40001\r\n", "Transfer-Encoding: chunked\r\n"
		length := fmt.Sprintf("Content-Length: %d\r\n", size)
		chunks := ""
		if size > 0 {
			chunks = fmt.Sprintf("%x\r\n%s\r\n", size, body)
		}
		for _, c := range []struct {
			name, fields, sent string
			end                func(*net.TCPConn)
			// whole is true if the response is complete; native is the same for the project's own protocol.
			whole, native bool
		}{
			{"no length, reset", "", body, imitator.Reset, false, false},
			{"no length, ended and reset", "", body, imitator.EndThenReset, true, false},
			{"length, reset", length, body, imitator.Reset, true, true},
			{"length, reset early", tooLong, body, imitator.Reset, false, false},
			{"length, ended early and reset", tooLong, body, imitator.EndThenReset, false, false},
			{"chunks, reset", chunked, chunks + "0\r\n\r\n", imitator.Reset, true, true},
			{"chunks, reset early", chunked, chunks, imitator.Reset, false, false},
			{"chunks, ended early and reset", chunked, chunks, imitator.EndThenReset, false, false},
		} {
			for name, p := range map[string]forwarder.Protocol{"native": nil, "tagged": taggedProtocol{}} {
				whole := c.whole
				if p == nil {
					whole = c.native
				}
				for _, declared := range []int64{-1, 1 << 40} {
					for _, method := range []string{http.MethodPost, http.MethodGet} {
						for _, writeFirst := range []bool{false, true} {
							t.Run(fmt.Sprintf("%s, %d bytes, %s, %s of %d, write first %t", c.name, size, name, method, declared, writeFirst), func(t *testing.T) {
								t.Parallel()
								f := forwarder.New(forwarder.Config{Protocol: p, Dial: func(_ context.Context, a netip.AddrPort) (net.Conn, error) {
									k, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(a))
									if err != nil || !writeFirst {
										return k, err
									}
									return &writeFirstConn{TCPConn: k, failed: make(chan struct{})}, nil
								}})
								defer f.Close()
								got, err := uploadTo(t, f, imitator.BrokenAnswer{Fields: c.fields, Body: c.sent, End: c.end}, method, declared)
								var x *forwarder.Failure
								switch {
								case whole && (err != nil || got != body):
									t.Errorf("%d bytes, %v; want all %d", len(got), err, size)
								case !whole && err == nil:
									t.Errorf("%d bytes look whole", len(got))
								case !whole && (!errors.As(err, &x) || x.Ran != responder.Unknown || x.Reason != responder.TargetFailed):
									t.Errorf("failure %v", err)
								}
							})
						}
					}
				}
			}
		}
	}
}

// Guards against a whole response without a length whose end the caller learns only at the deadline, because the server does not read
// the rest of the request.
func TestResponseEndsUnreadUpload(t *testing.T) {
	a := imitator.BrokenAnswer{Body: "whole", End: func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-t.Context().Done()
		_ = c.Close()
	}}
	f := forwarder.New(forwarder.Config{Protocol: taggedProtocol{}})
	defer f.Close()
	at := time.Now()
	if got, err := uploadTo(t, f, a, http.MethodPost, -1); err != nil || got != "whole" || time.Since(at) > uploadTime/2 {
		t.Errorf("%q, %v after %v", got, err, time.Since(at))
	}
}

// uploadTime is the time left for an upload.
const uploadTime = 10 * time.Second

// uploadTo sends a request with a body without end to a server that gives an answer at once, and returns the body of the response.
func uploadTo(t *testing.T, f *forwarder.Forwarder, answer imitator.BrokenAnswer, method string, length int64) (string, error) {
	t.Helper()
	answer.Status = "200 OK"
	answer.Fields += "Tag: mine\r\n"
	s := httptest.NewServer(answer)
	t.Cleanup(s.Close)
	r := httptest.NewRequest(method, "/", endlessBody{})
	r.ContentLength = length
	r.Header.Set("Tag", "mine")
	a := s.Listener.Addr().(*net.TCPAddr).AddrPort()
	x, err := f.Do(t.Context(), forwarder.Call{Address: a, Request: r, Deadline: time.Now().Add(uploadTime)})
	if err != nil {
		return "", err
	}
	defer func() { _ = x.Body.Close() }()
	b, err := io.ReadAll(x.Body)
	return string(b), err
}
