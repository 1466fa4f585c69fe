package forwarder

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/timer"
)

// ErrPoolClosed is returned by Get after Close.
var ErrPoolClosed = merry.Sentinel("connection pool is closed")

// PoolConfig configures a Pool.
type PoolConfig[C io.Closer] struct {
	// Dial opens a connection.
	Dial func(context.Context) (C, error)
	// Usable reports whether an idle connection may be reused. If nil, all are reused.
	Usable func(C) bool
	// MaxOpen limits the open connections, including idle ones.
	MaxOpen int
	// MaxIdle limits the idle connections.
	MaxIdle int
	// IdleLimit is the longest idle time after which a connection is reused.
	IdleLimit time.Duration
	Now       timer.Clock
}

// Pool is a pool of connections to one address.
type Pool[C io.Closer] struct {
	config PoolConfig[C]
	// permits holds an element for each connection in use or being opened. Because a connection is opened only while
	// none is idle, open connections never exceed its capacity.
	permits chan struct{}

	mu         sync.Mutex
	generation uint64
	idle       []*PooledConn[C]
	closed     bool
}

// PooledConn is a connection taken from a pool. It must be passed to Put or Discard exactly once.
type PooledConn[C io.Closer] struct {
	Conn C
	// Reused is true if an earlier exchange used the connection.
	Reused bool
	// Rested is the time for which the connection was idle before this exchange.
	Rested     time.Duration
	generation uint64
	idleSince  time.Time
}

// NewPool returns a pool without connections.
func NewPool[C io.Closer](c PoolConfig[C]) *Pool[C] {
	return &Pool[C]{config: c, permits: make(chan struct{}, c.MaxOpen)}
}

// Get returns the most recently used idle connection, or opens one if it has rested for longer than rest. It waits while
// MaxOpen connections are in use.
func (p *Pool[C]) Get(ctx context.Context, rest time.Duration) (*PooledConn[C], error) {
	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	h, g, err := p.takeIdle(rest)
	if err != nil {
		<-p.permits
		return nil, err
	}
	if h != nil {
		return h, nil
	}
	c, err := p.config.Dial(ctx)
	if err != nil {
		<-p.permits
		return nil, err
	}
	return &PooledConn[C]{Conn: c, generation: g}, nil
}

// Put returns a connection whose exchange is complete.
func (p *Pool[C]) Put(h *PooledConn[C]) {
	if !p.putIdle(h) {
		closeAll([]*PooledConn[C]{h})
	}
	<-p.permits
}

// Discard closes a connection.
func (p *Pool[C]) Discard(h *PooledConn[C]) {
	closeAll([]*PooledConn[C]{h})
	<-p.permits
}

// Retire prevents reuse of all connections that are open now and closes the idle ones.
func (p *Pool[C]) Retire() {
	p.mu.Lock()
	p.generation++
	old := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(old)
}

// Tick closes connections that have been idle longer than IdleLimit and returns the number of open connections.
func (p *Pool[C]) Tick() int {
	now := p.config.Now()
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && p.expired(p.idle[n], now) {
		n++
	}
	old := p.idle[:n:n]
	p.idle = p.idle[n:]
	open := len(p.idle) + len(p.permits)
	p.mu.Unlock()
	closeAll(old)
	return open
}

// Close closes the idle connections immediately, and those in use when they are returned.
func (p *Pool[C]) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retire()
}

// takeIdle returns a usable idle connection or nil, and the generation of connections opened from now on.
func (p *Pool[C]) takeIdle(rest time.Duration) (*PooledConn[C], uint64, error) {
	for {
		h, g, err := p.popIdle()
		if h == nil || err != nil {
			return nil, g, err
		}
		h.Rested = p.config.Now().Sub(h.idleSince)
		late := h.Rested > p.config.IdleLimit
		if !late && h.Rested > rest {
			// The others have rested even longer, but may do for another request.
			closeAll([]*PooledConn[C]{h})
			return nil, g, nil
		}
		if !late && (p.config.Usable == nil || p.config.Usable(h.Conn)) {
			return h, g, nil
		}
		closeAll([]*PooledConn[C]{h})
	}
}

func (p *Pool[C]) popIdle() (*PooledConn[C], uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, p.generation, ErrPoolClosed
	}
	if len(p.idle) == 0 {
		return nil, p.generation, nil
	}
	h := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return h, p.generation, nil
}

func (p *Pool[C]) putIdle(h *PooledConn[C]) bool {
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || h.generation != p.generation || len(p.idle) >= p.config.MaxIdle {
		return false
	}
	h.Reused, h.idleSince = true, now
	p.idle = append(p.idle, h)
	return true
}

func (p *Pool[C]) expired(h *PooledConn[C], now time.Time) bool {
	return now.Sub(h.idleSince) > p.config.IdleLimit
}

// closeAll ignores errors, because a connection that cannot be closed cleanly is not reused either.
func closeAll[C io.Closer](hs []*PooledConn[C]) {
	for _, h := range hs {
		_ = h.Conn.Close()
	}
}
