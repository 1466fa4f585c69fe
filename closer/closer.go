package closer

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// patience bounds how long a connection lingers; net/http waits as long for callers that still send.
const patience = 500 * time.Millisecond

// Linger closes c once its caller has closed it, or after half a second, and returns then.
func Linger(c net.Conn) {
	defer func() { _ = c.Close() }()
	w, ok := c.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil {
		return
	}
	if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c)
}

// Listener has connections that linger when they are closed.
type Listener struct {
	net.Listener
	// While is true while connections linger.
	While *atomic.Bool
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, while: l.While}, nil
}

type conn struct {
	net.Conn
	while  *atomic.Bool
	closed atomic.Bool
}

// Close returns at once, also if the connection lingers. A second call closes it.
func (c *conn) Close() error {
	if c.while.Load() && !c.closed.Swap(true) {
		go Linger(c.Conn)
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, as net/http does some time before Close.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger is that of a TCP connection. Close then closes it as the kernel is told here.
func (c *conn) SetLinger(seconds int) error {
	c.closed.Store(true)
	if t, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return t.SetLinger(seconds)
	}
	return nil
}
