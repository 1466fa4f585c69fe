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

// Defaults of Config.
const (
	DefaultMaxConnections = 16
	DefaultMaxIdle        = 4
	DefaultIdleLimit      = 2 * time.Second
	DefaultDialTimeout    = time.Second
	DefaultSilentAfter    = time.Second
	// DefaultMaxHeader is in bytes.
	DefaultMaxHeader = 64 << 10
)

// Config configures a Forwarder; zero fields take their defaults.
type Config struct {
	// TLS returns the settings of a connection that is opened, which are not changed; it is nil for plain TCP. Without a
	// ServerName the IP address is checked.
	TLS func() *tls.Config
	// Dial opens a TCP connection; the default is a net.Dialer.
	Dial func(context.Context, netip.AddrPort) (net.Conn, error)
	// MaxConnections limits the open connections to one address.
	MaxConnections int
	// MaxIdle limits the idle connections to one address.
	MaxIdle int
	// IdleLimit is the longest idle time after which a connection is used again.
	IdleLimit time.Duration
	// DialTimeout bounds the dial, TLS handshake included.
	DialTimeout time.Duration
	// SilentAfter is the age from which a canceled exchange without a byte of answer counts as silent.
	SilentAfter time.Duration
	// MaxHeader limits the header of an answer, in bytes.
	MaxHeader int
	// Protocol is what the servers speak; the default is the project's own protocol.
	Protocol Protocol
	// Now is the clock of all deadlines; the default is timer.Now.
	Now timer.Clock
}

// Call is one request to one address.
type Call struct {
	Address netip.AddrPort
	// Request is forwarded with its method, path, query, host, header, body and trailers; it is not changed.
	// A ContentLength of 0 means no body and -1 an unknown length. The header is sent with the first byte of the body.
	Request *http.Request
	// Deadline is when the server stops to work on the request; it bounds the way there.
	Deadline time.Time
	// Patience is how long after Deadline the answer is still awaited: the server may have ended it in time.
	Patience time.Duration
	// Before runs just before the first byte is written and must not block; nil runs nothing.
	Before func() error
	// Informational receives 1xx answers; nil drops them.
	Informational func(status int, h http.Header)
}

// Forwarder keeps a pool for each address.
type Forwarder struct {
	config Config

	mu     sync.Mutex
	closed bool
	pools  map[netip.AddrPort]*Pool[*link]
}

// New returns a forwarder without connections.
func New(c Config) *Forwarder {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Now == nil {
		c.Now = timer.Now
	}
	if c.Protocol == nil {
		c.Protocol = native{}
	}
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.MaxIdle, DefaultMaxIdle)
	setDefault(&c.IdleLimit, DefaultIdleLimit)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.SilentAfter, DefaultSilentAfter)
	setDefault(&c.MaxHeader, DefaultMaxHeader)
	return &Forwarder{config: c, pools: make(map[netip.AddrPort]*Pool[*link])}
}

// Do sends the request once and returns when the header of the answer is there; every error is a *Failure.
// The caller must read Body to its end or close it.
func (f *Forwarder) Do(ctx context.Context, c Call) (*Answer, error) {
	if asksUpgrade(c.Request) {
		return nil, notRun(ErrUpgrade, responder.BadRequest)
	}
	left := c.Deadline.Sub(f.config.Now())
	if left <= 0 {
		return nil, notRun(ErrDeadline, responder.DeadlineExceeded)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, left+c.Patience, ErrDeadline)
	p := f.pool(c.Address)
	before, stop := context.WithTimeoutCause(ctx, left, ErrDeadline)
	h, err := p.Get(before)
	if err != nil && before.Err() != nil {
		err = context.Cause(before)
	}
	stop()
	if err != nil {
		cancel()
		return nil, notRun(err, responder.TargetUnreachable)
	}
	x := newExchange(ctx, cancel, f, p, h, c)
	return x.run()
}

// Probe opens a connection to the address and closes it; the error says that new connections fail.
func (f *Forwarder) Probe(ctx context.Context, address netip.AddrPort) error {
	l, err := f.dial(ctx, address)
	if err != nil {
		return err
	}
	return l.Close()
}

// Retire bars all connections to the address that were opened up to now from being used again.
func (f *Forwarder) Retire(address netip.AddrPort) {
	f.pool(address).Retire()
}

// RetireAll bars all connections that were opened up to now from being used again.
func (f *Forwarder) RetireAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.Retire()
	}
}

// Tick closes the connections that have been idle too long and returns the number of open ones.
func (f *Forwarder) Tick() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range f.pools {
		n += p.Tick()
	}
	return n
}

// Forget drops the pool of an address that is no longer used; exchanges that run end normally.
func (f *Forwarder) Forget(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pools[address]; p != nil {
		p.Close()
		delete(f.pools, address)
	}
}

// Close closes idle connections and refuses new exchanges; exchanges that run end normally.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, p := range f.pools {
		p.Close()
	}
}

func (f *Forwarder) pool(a netip.AddrPort) *Pool[*link] {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pools[a]; p != nil {
		return p
	}
	p := NewPool(PoolConfig[*link]{
		Dial:      func(ctx context.Context) (*link, error) { return f.dial(ctx, a) },
		Usable:    (*link).usable,
		Max:       f.config.MaxConnections,
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

// dial opens a connection. Its own timeout is told apart from that of ctx: the request may still go to another address.
func (f *Forwarder) dial(ctx context.Context, a netip.AddrPort) (*link, error) {
	d, cancel := context.WithTimeout(ctx, f.config.DialTimeout)
	defer cancel()
	l, err := f.connect(d, a)
	if err != nil && d.Err() != nil && ctx.Err() == nil {
		return nil, merry.Wrap(ErrDialTimeout)
	}
	return l, err
}

func (f *Forwarder) connect(ctx context.Context, a netip.AddrPort) (*link, error) {
	c, err := f.config.Dial(ctx, a)
	if err != nil {
		return nil, err
	}
	if f.config.TLS == nil {
		return newLink(c, c), nil
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
	return newLink(t, c), nil
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

func notRun(err error, other responder.Reason) *Failure {
	return &Failure{Reason: reasonOf(err, other), Ran: responder.NotRun, Err: err}
}
