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
	// Usable is asked before an idle connection is used again; nil accepts all.
	Usable func(C) bool
	// Max limits the open connections, idle ones included.
	Max int
	// MaxIdle limits the idle connections.
	MaxIdle int
	// IdleLimit is the longest time that a connection may be idle and still be used again.
	IdleLimit time.Duration
	Now       timer.Clock
}

// Pool keeps the connections to one address.
type Pool[C io.Closer] struct {
	config PoolConfig[C]
	// places holds an element for each connection in use or being opened. Because
	// a connection is opened only while none is idle, open connections never exceed
	// its capacity.
	places chan struct{}

	mu         sync.Mutex
	generation uint64
	idle       []*Held[C]
	closed     bool
}

// Held is a connection taken from a pool; it must be given to Put or Discard once.
type Held[C io.Closer] struct {
	Conn C
	// Reused is true if an earlier exchange used the connection.
	Reused     bool
	generation uint64
	idleSince  time.Time
}

// NewPool returns a pool without connections.
func NewPool[C io.Closer](c PoolConfig[C]) *Pool[C] {
	return &Pool[C]{config: c, places: make(chan struct{}, c.Max)}
}

// Get returns the connection that was used last, or opens one; it waits while Max connections are in use.
func (p *Pool[C]) Get(ctx context.Context) (*Held[C], error) {
	select {
	case p.places <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	h, g, err := p.takeIdle()
	if err != nil {
		<-p.places
		return nil, err
	}
	if h != nil {
		return h, nil
	}
	c, err := p.config.Dial(ctx)
	if err != nil {
		<-p.places
		return nil, err
	}
	return &Held[C]{Conn: c, generation: g}, nil
}

// Put returns a connection whose exchange has ended completely.
func (p *Pool[C]) Put(h *Held[C]) {
	if !p.keep(h) {
		closeAll([]*Held[C]{h})
	}
	<-p.places
}

// Discard closes a connection.
func (p *Pool[C]) Discard(h *Held[C]) {
	closeAll([]*Held[C]{h})
	<-p.places
}

// Retire bars all connections opened up to now from being used again and closes the idle ones.
func (p *Pool[C]) Retire() {
	p.mu.Lock()
	p.generation++
	old := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(old)
}

// Tick closes the connections that have been idle too long and returns the number of open ones.
func (p *Pool[C]) Tick() int {
	now := p.config.Now()
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && p.expired(p.idle[n], now) {
		n++
	}
	old := p.idle[:n:n]
	p.idle = p.idle[n:]
	open := len(p.idle) + len(p.places)
	p.mu.Unlock()
	closeAll(old)
	return open
}

// Close closes the idle connections, and those in use when they are returned.
func (p *Pool[C]) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retire()
}

// takeIdle returns a usable idle connection or nil, and the generation of connections opened from now on.
func (p *Pool[C]) takeIdle() (*Held[C], uint64, error) {
	for {
		h, g, err := p.popIdle()
		if h == nil || err != nil {
			return nil, g, err
		}
		late := p.expired(h, p.config.Now())
		if !late && (p.config.Usable == nil || p.config.Usable(h.Conn)) {
			return h, g, nil
		}
		closeAll([]*Held[C]{h})
	}
}

func (p *Pool[C]) popIdle() (*Held[C], uint64, error) {
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

func (p *Pool[C]) keep(h *Held[C]) bool {
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

func (p *Pool[C]) expired(h *Held[C], now time.Time) bool {
	return now.Sub(h.idleSince) > p.config.IdleLimit
}

// closeAll drops the errors: a connection that cannot be closed cleanly is not used again either.
func closeAll[C io.Closer](hs []*Held[C]) {
	for _, h := range hs {
		_ = h.Conn.Close()
	}
}
