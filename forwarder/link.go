package forwarder

import (
	"bufio"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// link is a connection with its buffers; all reads and writes go through the current exchange.
type link struct {
	// conn carries the requests, over TLS if configured.
	conn net.Conn
	// raw is the TCP connection below it; closing it never blocks.
	raw net.Conn
	r   *bufio.Reader
	w   *bufio.Writer
	x   *exchange
}

func newLink(conn, raw net.Conn) *link {
	l := &link{conn: conn, raw: raw}
	l.r = bufio.NewReader(l)
	l.w = bufio.NewWriter(l)
	return l
}

// Read reads for the current exchange.
func (l *link) Read(b []byte) (int, error) {
	return l.x.read(b)
}

// Write writes for the current exchange.
func (l *link) Write(b []byte) (int, error) {
	return l.x.write(b)
}

// Close closes the TCP connection at once, without a TLS alert.
func (l *link) Close() error {
	return l.raw.Close()
}

// usable reports whether an idle connection is still open and has no byte to read. A target that shuts
// down closes its idle connections; without this check the next request would have an unknown outcome.
func (l *link) usable() bool {
	s, ok := l.raw.(syscall.Conn)
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
