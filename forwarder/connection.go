package forwarder

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connection is a buffered connection. All reads and writes go through the current exchange.
type connection struct {
	// stream carries the requests, over TLS if configured.
	stream net.Conn
	// tcp is the underlying TCP connection. Closing it never blocks.
	tcp      net.Conn
	r        *bufio.Reader
	w        *bufio.Writer
	exchange *exchange
	// trip is the time that opening the TCP connection took.
	trip time.Duration
	// shed holds the requests that the server shed on this connection.
	shed idSet
	// ackTimeout is the limit that setAckTimeout has set.
	ackTimeout time.Duration
}

// maxShed limits the requests that may be shed on one connection.
const maxShed = 64

// idSet is a set of identifiers of requests. The empty identifier is never a member.
type idSet map[string]struct{}

func (s idSet) contains(id string) bool {
	_, ok := s[id]
	return ok
}

// recordShed records a request that the server shed and reports whether the connection may be reused.
func (l *connection) recordShed(id string) (reuse bool) {
	if l.shed == nil {
		l.shed = make(idSet)
	}
	if id != "" {
		l.shed[id] = struct{}{}
	}
	return len(l.shed) < maxShed
}

func newConnection(stream, tcp net.Conn, trip time.Duration) *connection {
	l := &connection{stream: stream, tcp: tcp, trip: trip}
	l.r = bufio.NewReader(l)
	l.w = bufio.NewWriter(l)
	return l
}

// Read reads through the current exchange.
func (l *connection) Read(b []byte) (int, error) {
	return l.exchange.read(b)
}

// Write writes through the current exchange.
func (l *connection) Write(b []byte) (int, error) {
	return l.exchange.write(b)
}

// Close closes the TCP connection immediately, without a TLS alert.
func (l *connection) Close() error {
	return l.tcp.Close()
}

// setAckTimeout bounds the time for which the other end may leave sent bytes unacknowledged before the connection fails with
// ETIMEDOUT; 0 stands for the system's limit of minutes. Unlike the response, the acknowledgement does not wait for the server's
// work, so that its absence means that the server or the way to it is gone.
func (l *connection) setAckTimeout(d time.Duration) {
	s, ok := l.tcp.(syscall.Conn)
	if !ok || d == l.ackTimeout {
		return
	}
	c, err := s.SyscallConn()
	if err != nil {
		return
	}
	// Without the option the deadline of the request still holds.
	if c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}) == nil && err == nil {
		l.ackTimeout = d
	}
}

// staysOpen reports whether a connection that was never used is still open after a while.
func (l *connection) staysOpen(d time.Duration) bool {
	if err := l.stream.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := l.stream.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// reusable reports whether an idle connection is still open and has no unread byte. A target that shuts down closes its
// idle connections; without this check the next request would have an unknown outcome.
func (l *connection) reusable() bool {
	s, ok := l.tcp.(syscall.Conn)
	if !ok {
		return true
	}
	c, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = c.Read(func(fd uintptr) bool {
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
