package guarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// maxStatusLine bounds the reported part of an unhandled answer, in bytes.
const maxStatusLine = 128

// Unhandled is an answer that net/http gave by itself, without calling a handler, such as 400 to a malformed request.
type Unhandled struct {
	Status int
	// Line is the status line without the protocol version; it may contain a reason.
	Line string
	// Remote is the address of the caller.
	Remote string
	// Requests is the number of requests on the connection that had reached the handler.
	Requests int64
	// BytesRead is the number of bytes read from the connection.
	BytesRead int64
}

// ReportUnhandled makes s report unhandled answers on the connections of the returned listener, and close a connection
// that ends inside a header without an answer. It replaces the hooks for connections of s and wraps its handler.
func ReportUnhandled(s *http.Server, l net.Listener, report func(Unhandled)) net.Listener {
	h := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, t http.ConnState) {
		// A connection becomes idle after each answer. It becomes active before the handler is called, but only if net/http
		// had to read for the header.
		if o, ok := c.(*conn); ok && (t == http.StateIdle || t == http.StateActive) {
			o.handled.Store(false)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if o, ok := r.Context().Value(connKey{}).(*conn); ok {
			o.handled.Store(true)
			o.requests.Add(1)
		}
		h.ServeHTTP(w, r)
	})
	return &listener{Listener: l, report: report}
}

type connKey struct{}

type listener struct {
	net.Listener
	report func(Unhandled)
}

// Accept returns a connection that reports unhandled answers.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(tcpConn)
	if !ok {
		return c, nil
	}
	return &conn{tcpConn: t, report: l.report}, nil
}

// tcpConn is a TCP connection, which a listener may have wrapped; net/http uses its CloseWrite.
type tcpConn interface {
	net.Conn
	lingerer
	CloseWrite() error
}

type conn struct {
	tcpConn
	report             func(Unhandled)
	requests, received atomic.Int64
	// handled is true from the call of the handler until its answer was written.
	handled  atomic.Bool
	reported atomic.Bool
	// ended is true once the caller sends nothing more.
	ended atomic.Bool
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.tcpConn }

// Read counts the bytes read.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.tcpConn.Read(b)
	c.received.Add(int64(n))
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
	}
	return n, err
}

// Write reports the first answer of the connection that no handler gave. It drops such an answer to a header that was cut
// off, which net/http takes for a malformed one.
func (c *conn) Write(b []byte) (int, error) {
	if c.handled.Load() {
		return c.tcpConn.Write(b)
	}
	if c.ended.Load() {
		return 0, net.ErrClosed
	}
	if !c.reported.Swap(true) {
		c.reportAnswer(b)
	}
	return c.tcpConn.Write(b)
}

func (c *conn) reportAnswer(b []byte) {
	u := Unhandled{Remote: c.RemoteAddr().String(), Requests: c.requests.Load(), BytesRead: c.received.Load()}
	line, _, _ := bytes.Cut(b[:min(len(b), maxStatusLine)], []byte("\r\n"))
	_, line, _ = bytes.Cut(line, []byte(" "))
	u.Line = string(line)
	code, _, _ := bytes.Cut(line, []byte(" "))
	// A status that is not a number stays 0.
	u.Status, _ = strconv.Atoi(string(code))
	c.report(u)
}
