package forwarder

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/timer"
)

// Defaults for Config.
const (
	DefaultMaxConnections    = 16
	DefaultMaxIdle           = 4
	DefaultIdleLimit         = 2 * time.Second
	DefaultDialTimeout       = time.Second
	DefaultUnresponsiveAfter = time.Second
	// DefaultMaxHeader is in bytes.
	DefaultMaxHeader = 64 << 10
	// DefaultMaxFields is what proxies usually accept. A field of six bytes takes some hundred in memory.
	DefaultMaxFields = 100
)

// Config configures a Forwarder; zero fields take their defaults.
type Config struct {
	// TLS returns the configuration of a new connection, which must not change afterwards. If TLS is nil, connections
	// use plain TCP. Without a ServerName the certificate is verified against the IP address.
	TLS func() *tls.Config
	// Dial opens a TCP connection. If nil, a net.Dialer is used.
	Dial func(context.Context, netip.AddrPort) (net.Conn, error)
	// MaxConnections limits the open connections per address.
	MaxConnections int
	// MaxIdle limits the idle connections per address.
	MaxIdle int
	// IdleLimit is the longest idle time after which a connection is reused.
	IdleLimit time.Duration
	// DialTimeout bounds establishing a connection, including the TLS handshake.
	DialTimeout time.Duration
	// UnresponsiveAfter is the time from the first write after which a canceled exchange without a byte of response
	// counts as unresponsive.
	UnresponsiveAfter time.Duration
	// AckTimeout bounds the time for which the bytes of a request without a body may stay unacknowledged, if the request can
	// be sent again. If 0, only the deadline does.
	AckTimeout time.Duration
	// MaxHeader limits the header of a response, in bytes.
	MaxHeader int
	// MaxFields limits the fields in the header of a response.
	MaxFields int
	// Protocol is the protocol of the servers on top of HTTP. If nil, the project's own protocol for targets is used.
	Protocol Protocol
	// Now is the clock for all deadlines. If nil, timer.Now is used.
	Now timer.Clock
}

// Call is one request to one address.
type Call struct {
	Address netip.AddrPort
	// Request provides the method, path, query, host, header, body and trailers to forward; it is not modified. A
	// ContentLength of 0 means no body, and -1 an unknown length. The header is sent together with the first byte of
	// the body.
	Request *http.Request
	// Deadline is the time at which the server stops processing the request. It bounds the wait for a connection and
	// the start of the request.
	Deadline time.Time
	// Patience extends the time to receive the response beyond Deadline, because the server may have finished in time.
	Patience time.Duration
	// Before is called just before the first byte is written, if it is not nil. It must not block. If it returns an
	// error, nothing is written.
	Before func() error
	// Answered is called with the head of the response that belongs to the request, before its connection can carry another
	// one, if it is not nil. It must not block.
	Answered func(status int, h http.Header)
	// Once is true if the request cannot be sent again once it may have run. It is sent only on a connection that most
	// likely still works.
	Once bool
	// Informational is called with each 1xx response. If nil, they are discarded.
	Informational func(status int, h http.Header)
}

// Forwarder sends requests over a connection pool per address.
type Forwarder struct {
	config Config
	rests  *rests

	mu     sync.Mutex
	closed bool
	pools  map[netip.AddrPort]*Pool[*connection]
}

// New returns a Forwarder without connections.
func New(c Config) *Forwarder {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Now == nil {
		c.Now = timer.Now
	}
	if c.Protocol == nil {
		c.Protocol = nativeProtocol{shed: ShedUnidentified}
	}
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.MaxIdle, DefaultMaxIdle)
	setDefault(&c.IdleLimit, DefaultIdleLimit)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.UnresponsiveAfter, DefaultUnresponsiveAfter)
	setDefault(&c.MaxHeader, DefaultMaxHeader)
	setDefault(&c.MaxFields, DefaultMaxFields)
	return &Forwarder{config: c, rests: newRests(c.IdleLimit), pools: make(map[netip.AddrPort]*Pool[*connection])}
}

// Do sends the request once and returns after the header of the response has arrived. Every error is a *Failure. The
// caller must read Body to its end or close it.
func (f *Forwarder) Do(ctx context.Context, c Call) (*Answer, error) {
	if c.Request.Method == http.MethodConnect {
		return nil, notRunFailure(ErrConnect, responder.BadRequest)
	}
	left := c.Deadline.Sub(f.config.Now())
	if left <= 0 {
		return nil, notRunFailure(ErrDeadline, responder.DeadlineExceeded)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, left+c.Patience, ErrDeadline)
	p := f.pool(c.Address)
	before, stop := context.WithTimeoutCause(ctx, left, ErrDeadline)
	id := f.config.Protocol.ID(c.Request.Header)
	rest := f.rests.limit(f.config.Now(), c.Address, c.Once)
	h, err := p.Get(before, rest)
	for err == nil && h.Conn.shed.contains(id) {
		// A second shed response could not be distinguished from a repetition of the first one.
		p.Discard(h)
		h, err = p.Get(before, rest)
	}
	if err != nil && before.Err() != nil {
		err = context.Cause(before)
	}
	stop()
	if err != nil {
		cancel()
		return nil, notRunFailure(err, responder.TargetUnreachable)
	}
	x := newExchange(ctx, cancel, f, p, h, c)
	x.id = id
	return x.roundTrip()
}

// probeHold is how long Probe keeps a connection. When a process ends, its listener may be closed after its connections and
// resets those that it took in between.
const probeHold = 50 * time.Millisecond

// Probe opens a connection to the address and closes it. An error means that new connections fail. A connection that breaks
// within 50 ms does not count as open.
func (f *Forwarder) Probe(ctx context.Context, address netip.AddrPort) error {
	l, err := f.dial(ctx, address)
	if err != nil {
		return err
	}
	open := l.staysOpen(probeHold)
	_ = l.Close()
	if open {
		return nil
	}
	// The listener is closed by now if the process is ending.
	if l, err = f.dial(ctx, address); err != nil {
		return err
	}
	return l.Close()
}

// Retire prevents reuse of all connections to the address that are open now.
func (f *Forwarder) Retire(address netip.AddrPort) {
	f.pool(address).Retire()
}

// RetireAll prevents reuse of all connections that are open now.
func (f *Forwarder) RetireAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.Retire()
	}
}

// Tick closes connections that have been idle longer than IdleLimit and returns the number of open connections.
func (f *Forwarder) Tick() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rests.tick(f.config.Now())
	n := 0
	for _, p := range f.pools {
		n += p.Tick()
	}
	return n
}

// RemoveAddress removes the pool of an address that is no longer used. Running exchanges end normally.
func (f *Forwarder) RemoveAddress(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pools[address]; p != nil {
		p.Close()
		delete(f.pools, address)
	}
	f.rests.forget(address)
}

// Close closes idle connections and rejects new exchanges. Running exchanges end normally.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, p := range f.pools {
		p.Close()
	}
}

func (f *Forwarder) pool(a netip.AddrPort) *Pool[*connection] {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pools[a]; p != nil {
		return p
	}
	p := NewPool(PoolConfig[*connection]{
		Dial:      func(ctx context.Context) (*connection, error) { return f.dial(ctx, a) },
		Usable:    (*connection).reusable,
		MaxOpen:   f.config.MaxConnections,
		MaxIdle:   f.config.MaxIdle,
		IdleLimit: f.config.IdleLimit,
		Now:       f.config.Now,
	})
	if f.closed {
		p.Close()
	}
	f.pools[a] = p
	return p
}

// dial opens a connection. It reports its own timeout as ErrDialTimeout, distinct from the end of ctx, because the
// request may still be sent to another address.
func (f *Forwarder) dial(ctx context.Context, a netip.AddrPort) (*connection, error) {
	d, cancel := context.WithTimeout(ctx, f.config.DialTimeout)
	defer cancel()
	l, err := f.connect(d, a)
	if err != nil && d.Err() != nil && ctx.Err() == nil {
		return nil, merry.Wrap(ErrDialTimeout)
	}
	return l, err
}

func (f *Forwarder) connect(ctx context.Context, a netip.AddrPort) (*connection, error) {
	start := f.config.Now()
	c, err := f.config.Dial(ctx, a)
	if err != nil {
		return nil, err
	}
	trip := f.config.Now().Sub(start)
	if f.config.TLS == nil {
		return newConnection(c, c, trip), nil
	}
	s := f.config.TLS()
	if s.ServerName == "" {
		s = s.Clone()
		s.ServerName = a.Addr().String()
	}
	t := tls.Client(c, s)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return newConnection(t, c, trip), nil
}

func dialTCP(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", a.String())
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func notRunFailure(err error, other responder.Reason) *Failure {
	return &Failure{Reason: reasonOf(err, other), Ran: responder.NotRun, Err: err}
}
