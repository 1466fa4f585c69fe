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
	"celeryhead.dev/celeryhead/verifier"
)

const (
	defaultTimeout     = time.Second
	defaultConcurrency = 32
	// timeoutsToClose is the number of consecutive timeouts after which connections are replaced: a single timeout may be
	// caused by a slow store, but two indicate connections that no longer respond (design, section 2.9).
	timeoutsToClose = 2
	// idleTimeout is short because an idle connection may stop responding without being closed.
	idleTimeout      = 2 * time.Second
	maxResponseBytes = 64 << 20
	maxPieceBytes    = 32 << 10
	// maxTrailingBytes bounds the blanks after the value of a response.
	maxTrailingBytes = 512
	maxErrorBytes    = 512
)

// Config configures a Client. Only Addresses is required.
type Config struct {
	// Addresses lists the endpoints of the table service in order of preference.
	Addresses []netip.AddrPort
	// TLS enables HTTPS if it is not nil.
	TLS *tls.Config
	// Timeout limits each call in addition to the deadline of its context; the default is 1 s.
	Timeout time.Duration
	// Concurrency limits the concurrent calls; the default is 32.
	Concurrency int
	// Clock defaults to timer.Now.
	Clock timer.Clock
}

// Health summarizes the recent calls of a Client.
type Health struct {
	// LastSuccess is the time of the last successful or rejected call, or zero if there was none.
	LastSuccess time.Time
	// Failures is the number of failed calls since LastSuccess. Rejected and canceled calls are not counted.
	Failures int
}

// Client implements Store over HTTP. It never resends a call of which the store may have received any byte.
type Client struct {
	config       Config
	slots        chan struct{}
	addressIndex atomic.Uint32
	transport    atomic.Pointer[http.Transport]

	mu                  sync.Mutex
	health              Health
	consecutiveTimeouts int
}

var _ Store = (*Client)(nil)

// New returns a Client. It returns ErrConfig if c has no address or an invalid one.
func New(c Config) (*Client, error) {
	if len(c.Addresses) == 0 {
		return nil, merry.Wrap(ErrConfig, merry.AppendMessage("addresses: at least one is required"))
	}
	for i, a := range c.Addresses {
		if !a.IsValid() {
			return nil, merry.Wrap(ErrConfig, merry.AppendMessagef("addresses: address %d is invalid", i+1))
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

// Commit implements Store. After ErrNotSent or ErrRejected the transaction has no effect. After ErrUnknown it may have been
// applied or may still be applied later.
func (c *Client) Commit(ctx context.Context, t Txn) (Result, error) {
	var r Result
	if err := c.call(ctx, PathCommit, t, &r); err != nil {
		return Result{}, err
	}
	return r, nil
}

// Health returns the current health of the store connection.
func (c *Client) Health() Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.health
}

// Close closes the idle connections. Calls in flight end at their own deadlines.
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
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// call sends one request and decodes the response into result.
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
	err = c.sendWithFailover(ctx, path, b, result)
	c.recordResult(err)
	return err
}

// sendWithFailover tries the next address only if the request was not sent.
func (c *Client) sendWithFailover(ctx context.Context, path string, body []byte, result any) error {
	var err error
	for range c.config.Addresses {
		i := c.addressIndex.Load()
		err = c.send(ctx, c.endpoint(i, path), body, result)
		if err == nil || errors.Is(err, ErrRejected) {
			return err
		}
		// Of several concurrent failures, only the first one switches to the next address.
		c.addressIndex.CompareAndSwap(i, i+1)
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

func (c *Client) send(ctx context.Context, endpoint string, body []byte, result any) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	q, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, endpoint, bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	// Without GetBody the transport cannot resend the body on another connection.
	q.GetBody = nil
	q.Header.Set("Content-Type", "application/json")
	p, err := verifier.Transport(c.transport.Load()).RoundTrip(q)
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
	// The text is checked as it arrives, so that a malformed response ends the call at once and a long one at its deadline.
	d := json.NewDecoder(pieces{io.LimitReader(p.Body, maxResponseBytes)})
	if err := d.Decode(result); err != nil {
		return merry.Wrap(ErrUnknown, merry.WithCause(err))
	}
	rest, err := io.ReadAll(io.LimitReader(io.MultiReader(d.Buffered(), p.Body), maxTrailingBytes+1))
	if err != nil {
		return merry.Wrap(ErrUnknown, merry.WithCause(err))
	}
	if len(rest) > maxTrailingBytes || len(bytes.TrimSpace(rest)) > 0 {
		return merry.Wrap(ErrUnknown, merry.AppendMessage("response goes on after its value"))
	}
	return nil
}

// pieces limits the size of each read. A decoder checks all that it has read before it notices an error of the next read.
type pieces struct{ io.Reader }

// Read reads up to maxPieceBytes.
func (p pieces) Read(b []byte) (int, error) {
	return p.Reader.Read(b[:min(len(b), maxPieceBytes)])
}

// maxStatus is the highest valid status (RFC 9110, section 15).
const maxStatus = 599

// statusError maps only the statuses of malformed calls to ErrRejected. A gateway may return any other status after a commit.
func statusError(p *http.Response) error {
	kind := ErrUnknown
	if p.StatusCode < http.StatusOK || p.StatusCode > maxStatus {
		// Nothing may end the body of a response with an invalid status.
		return merry.Wrap(kind, merry.AppendMessagef("invalid status %q", p.Status))
	}
	switch p.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		kind = ErrRejected
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxErrorBytes))
	if err != nil {
		b = nil
	}
	return merry.Wrap(kind, merry.AppendMessagef("%s: %s", p.Status, bytes.TrimSpace(b)))
}

func (c *Client) recordResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || errors.Is(err, ErrRejected) {
		c.health = Health{LastSuccess: c.config.Clock()}
		c.consecutiveTimeouts = 0
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	c.health.Failures++
	if !errors.Is(err, context.DeadlineExceeded) {
		c.consecutiveTimeouts = 0
		return
	}
	c.consecutiveTimeouts++
	if c.consecutiveTimeouts < timeoutsToClose {
		return
	}
	c.consecutiveTimeouts = 0
	// The transport is replaced because the old one keeps the connections that are in use.
	c.transport.Swap(c.newTransport()).CloseIdleConnections()
}
