package emulator

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// targetListener counts connections, closes those beyond the limit, and refuses all while the target is down.
type targetListener struct {
	net.Listener
	address net.Addr
	target  *Target

	mu sync.Mutex
	// up is closed while the target accepts connections.
	up chan struct{}
}

// Accept returns the next connection that the target has room for.
func (l *targetListener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if c == nil {
			continue
		}
		if k := l.target.admit(c); k != nil {
			return k, nil
		}
		// A reset tells the client that no byte of its request was read.
		if s, ok := c.(*net.TCPConn); ok {
			_ = s.SetLinger(0)
		}
		_ = c.Close()
	}
}

// accept returns nil without an error if the target went down meanwhile.
func (l *targetListener) accept() (net.Conn, error) {
	l.mu.Lock()
	up, k := l.up, l.Listener
	l.mu.Unlock()
	<-up
	c, err := k.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.up != up || l.Listener != k {
		return nil, nil
	}
	return nil, err
}

// down closes the listener, so that connections are refused, and opens it again after d.
func (l *targetListener) down(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.up:
	default:
		return
	}
	l.up = make(chan struct{})
	_ = l.Close()
	time.AfterFunc(d, l.open)
}

// open listens again, and retries while that fails.
func (l *targetListener) open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c net.ListenConfig
	k, err := c.Listen(context.Background(), l.address.Network(), l.address.String())
	if err != nil {
		time.AfterFunc(retryListen, l.open)
		return
	}
	l.Listener = k
	close(l.up)
}

// retryListen is the pause before another try to listen, while another process holds the port.
const retryListen = 50 * time.Millisecond

// admit counts a connection; it returns nil if the target has no room for it.
func (t *Target) admit(c net.Conn) net.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config.Connections > 0 && len(t.open) >= t.config.Connections {
		return nil
	}
	k := &targetConn{Conn: c, target: t}
	t.open[k] = &k.silent
	t.report.MaxConnections = max(t.report.MaxConnections, len(t.open))
	return k
}

// targetConn is an open connection of a target.
type targetConn struct {
	net.Conn
	target *Target
	silent atomic.Bool
	// closed gives the place free once, however often Close is called.
	closed sync.Once
}

// Read drops what arrives once the connection is silent.
func (c *targetConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends to send once the connection is silent.
func (c *targetConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and gives its place free.
func (c *targetConn) Close() error {
	c.closed.Do(c.release)
	return c.Conn.Close()
}

func (c *targetConn) release() {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	delete(c.target.open, c)
}
