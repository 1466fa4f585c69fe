package storer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/timer"
)

const (
	defaultTimeout     = time.Second
	defaultConcurrency = 32
	// timeoutsToClose follows section 2.9 of the design: one timeout may be a slow store, two in a row are taken for silent connections.
	timeoutsToClose = 2
	// idleLimit closes a connection before reuse, because an idle one may have gone silent unnoticed.
	idleLimit       = 2 * time.Second
	maxAnswerBytes  = 64 << 20
	maxMessageBytes = 512
)

// Config configures a Client.
type Config struct {
	// Addresses are the endpoints of the table service, in order of preference; at least one.
	Addresses []netip.AddrPort
	// TLS selects https if it is not nil.
	TLS *tls.Config
	// Timeout bounds each call in addition to the deadline of its context; 1 s if zero.
	Timeout time.Duration
	// Concurrency bounds the calls in flight; 32 if zero.
	Concurrency int
	// Clock is timer.Now if nil.
	Clock timer.Clock
}

// Health is the view that a Client has of the store.
type Health struct {
	// LastSuccess is when the last answer arrived; zero if none has.
	LastSuccess time.Time
	// Failures counts the calls that failed since then; refused calls are answers.
	Failures int
}

// Client is a Store over HTTP; it never sends a call again once a byte of it may have reached the store.
type Client struct {
	config    Config
	slots     chan struct{}
	preferred atomic.Uint32
	transport atomic.Pointer[http.Transport]

	mu       sync.Mutex
	health   Health
	timeouts int
}

var _ Store = (*Client)(nil)

// New returns a client; the error is ErrConfig if c has no valid address.
func New(c Config) (*Client, error) {
	if len(c.Addresses) == 0 {
		return nil, merry.Wrap(ErrConfig, merry.AppendMessage("addresses: there is none"))
	}
	for i, a := range c.Addresses {
		if !a.IsValid() {
			return nil, merry.Wrap(ErrConfig, merry.AppendMessagef("addresses: number %d is not valid", i+1))
		}
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.Concurrency <= 0 {
		c.Concurrency = defaultConcurrency
	}
	if c.Clock == nil {
		c.Clock = timer.Now
	}
	r := &Client{config: c, slots: make(chan struct{}, c.Concurrency)}
	r.transport.Store(r.newTransport())
	return r, nil
}

// Read implements Store.
func (c *Client) Read(ctx context.Context, keys ...string) ([]Row, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	var r Rows
	if err := c.call(ctx, PathRead, ReadRequest{Keys: keys}, &r); err != nil {
		return nil, err
	}
	return r.Rows, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var r Rows
	if err := c.call(ctx, PathList, ListRequest{Prefix: prefix, After: after, Limit: limit}, &r); err != nil {
		return nil, err
	}
	return r.Rows, nil
}

// Commit implements Store; after ErrNotSent or ErrRejected the transaction has no effect, after ErrUnknown it may have one at any later time.
func (c *Client) Commit(ctx context.Context, t Txn) (Result, error) {
	var r Result
	if err := c.call(ctx, PathCommit, t, &r); err != nil {
		return Result{}, err
	}
	return r, nil
}

// Health returns the current view of the store.
func (c *Client) Health() Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.health
}

// Close closes the idle connections; calls in flight end by their own deadlines.
func (c *Client) Close() {
	c.transport.Load().CloseIdleConnections()
}

func (c *Client) newTransport() *http.Transport {
	d := &net.Dialer{Timeout: c.config.Timeout / 2}
	return &http.Transport{
		DialContext:            d.DialContext,
		TLSClientConfig:        c.config.TLS,
		TLSHandshakeTimeout:    c.config.Timeout,
		MaxIdleConnsPerHost:    c.config.Concurrency,
		IdleConnTimeout:        idleLimit,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// call sends one request and decodes its answer into result.
func (c *Client) call(ctx context.Context, path string, request, result any) error {
	b, err := json.Marshal(request)
	if err != nil {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return merry.Wrap(ErrNotSent, merry.WithCause(ctx.Err()))
	}
	defer func() { <-c.slots }()
	err = c.tryAll(ctx, path, b, result)
	c.record(err)
	return err
}

// tryAll goes to the next address only while nothing has been sent.
func (c *Client) tryAll(ctx context.Context, path string, body []byte, result any) error {
	var err error
	for range c.config.Addresses {
		i := c.preferred.Load()
		err = c.try(ctx, c.endpoint(i, path), body, result)
		if err == nil || errors.Is(err, ErrRejected) {
			return err
		}
		// Only the first of several concurrent failures moves the preference.
		c.preferred.CompareAndSwap(i, i+1)
		if !errors.Is(err, ErrNotSent) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (c *Client) endpoint(i uint32, path string) string {
	a := c.config.Addresses[int(i)%len(c.config.Addresses)]
	u := url.URL{Scheme: "http", Host: a.String(), Path: path}
	if c.config.TLS != nil {
		u.Scheme = "https"
	}
	return u.String()
}

func (c *Client) try(ctx context.Context, endpoint string, body []byte, result any) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	q, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, endpoint, bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	// Without GetBody the transport cannot send the body again on another connection.
	q.GetBody = nil
	q.Header.Set("Content-Type", "application/json")
	p, err := c.transport.Load().RoundTrip(q)
	if err != nil && !connected.Load() {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	if err != nil {
		return merry.Wrap(ErrUnknown, merry.WithCause(err))
	}
	defer func() { _ = p.Body.Close() }()
	return decode(p, result)
}

func decode(p *http.Response, result any) error {
	if p.StatusCode != http.StatusOK {
		return statusError(p)
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxAnswerBytes))
	if err != nil {
		return merry.Wrap(ErrUnknown, merry.WithCause(err))
	}
	if err := json.Unmarshal(b, result); err != nil {
		return merry.Wrap(ErrUnknown, merry.WithCause(err))
	}
	return nil
}

// statusError treats only the statuses of malformed calls as proof of no effect, since others may come from a gateway after a commit.
func statusError(p *http.Response) error {
	kind := ErrUnknown
	switch p.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		kind = ErrRejected
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxMessageBytes))
	if err != nil {
		b = nil
	}
	return merry.Wrap(kind, merry.AppendMessagef("%s: %s", p.Status, bytes.TrimSpace(b)))
}

func (c *Client) record(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || errors.Is(err, ErrRejected) {
		c.health = Health{LastSuccess: c.config.Clock()}
		c.timeouts = 0
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	c.health.Failures++
	if !errors.Is(err, context.DeadlineExceeded) {
		c.timeouts = 0
		return
	}
	c.timeouts++
	if c.timeouts < timeoutsToClose {
		return
	}
	c.timeouts = 0
	// A new transport, because the old one keeps the connections that are in use now.
	c.transport.Swap(c.newTransport()).CloseIdleConnections()
}
