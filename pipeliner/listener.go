package pipeliner

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// shutdownInterval is how often Shutdown looks for connections that became idle.
const shutdownInterval = 20 * time.Millisecond

// Listener has connections whose pipelined requests are started, and decides which answer is the last one of a connection.
type Listener struct {
	net.Listener
	config  *Config
	leaving atomic.Bool

	mu   sync.Mutex
	open map[*conn]struct{}
}

// Accept returns a connection whose pipelined requests are started.
func (l *Listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: n, listener: l, config: l.config, wake: make(chan struct{}, 1), waiting: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// Leave starts no further request early, and ends each connection with the first answer behind which no started request waits.
func (l *Listener) Leave() { l.leaving.Store(true) }

// Shutdown leaves, closes the listener and idle connections, and returns once all others have ended or ctx is done, with the
// error of ctx. It replaces Shutdown of the server, which ends a connection after any answer.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.Leave()
	// An error means that it was closed before.
	_ = l.Close()
	t := time.NewTicker(shutdownInterval)
	defer t.Stop()
	for !l.closeIdle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

// closeIdle closes idle connections and reports whether no other one is open.
func (l *Listener) closeIdle() bool {
	l.mu.Lock()
	cs := make([]*conn, 0, len(l.open))
	for c := range l.open {
		cs = append(cs, c)
	}
	l.mu.Unlock()
	return !slices.ContainsFunc(cs, func(c *conn) bool { return !c.closeIdle() })
}

func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}
