package pipeliner

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// bufferSize is how much is read ahead, in bytes. A connection has a buffer only while bytes of further requests wait.
	bufferSize = 8 << 10
	// checkInterval is how often a connection with a full buffer is checked for a caller that disconnected; it is not read then.
	checkInterval = 200 * time.Millisecond
)

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// position is where in the stream of requests net/http reads.
type position int

const (
	// atStart is behind an empty line or a body: before the first byte of a request, or behind a head whose request was not begun
	// yet, or within a chunked body.
	atStart position = iota
	inHead
	inBody
	// unknown is anywhere; bytes are passed on as they come, and nothing starts any more.
	unknown
)

// judgment is whether further requests may run beside the one that is served.
type judgment int

const (
	unjudged judgment = iota
	alone
	beside
)

// head is a request that was started.
type head struct {
	// left is how many bytes of it net/http has not read.
	left    int
	request *http.Request
	run     Run
}

// conn gives net/http no byte beyond the request that it reads.
type conn struct {
	net.Conn
	listener *Listener
	config   *Config
	values   context.Context //nolint:containedctx // It holds the values of the connection.
	// wake gets a value when a deadline is set.
	wake chan struct{}

	mu       sync.Mutex
	position position
	scanner  scanner
	bodyLeft int64
	// chunked is true from the beginning of a request with a chunked body to that of the next one. The end of such a body is not
	// looked for: it is an empty line, at which pass stops anyway, so net/http gets nothing beyond it.
	chunked bool

	// buffer[low:high] was read ahead. It begins with the heads that were started.
	buffer    *[bufferSize]byte
	low, high int
	heads     []head
	// blocked is true if the request behind heads could not be started.
	blocked bool
	// next is the request whose head net/http has read, until its handler begins; it has no run if none was started.
	next head
	// current is the request that is served.
	current *http.Request
	judged  judgment

	deadline time.Time
	// waiting is true from the end of an answer until net/http has the whole head of the next request.
	waiting bool
	// ending is true once the connection ends with the first answer behind which no request was started; last is true from the
	// head of that answer on.
	ending, last bool
	// reading is true while a read may write to the buffer.
	reading bool
	closed  bool
	// lingering is true from the first call of Close after the last answer on.
	lingering bool
	// failure ends all reads.
	failure error
}

// Read returns bytes of one request. net/http reads single bytes only in the background, while a handler runs, and to complete a
// line of a chunked body that is as long as its buffer, which it then refuses. Such a read goes on until its deadline, by which
// net/http ends it, or until the caller disconnects.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(p) == 1 && c.position == atStart {
		c.mu.Unlock()
		return c.readAhead(p)
	}
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, c.failure
	}
	switch {
	case c.position == inBody:
		p = p[:min(int64(len(p)), c.bodyLeft)]
	case c.chunked:
		p = p[:min(len(p), bufferSize)]
	}
	if c.low < c.high {
		started := len(c.heads) > 0
		n := c.readBuffered(p)
		if started || c.account(p[:n]) {
			return n, nil
		}
		return 0, io.EOF
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if c.closed {
		// A request that crosses the end of the connection must not begin. To any other error net/http would answer 400.
		return 0, io.EOF
	}
	k := c.pass(p[:n])
	if n-k > bufferSize {
		// net/http reads heads in pieces of 4 KB.
		c.position, k = unknown, n
	}
	if k < n {
		c.keep(p[k:n])
	}
	return k, err
}

// accountant is a connection below that accounts for what net/http reads; it may close the connection instead.
type accountant interface{ Account(b []byte) bool }

// account has bytes that were read ahead accounted for, and reports whether net/http may have them; mu is held.
func (c *conn) account(b []byte) bool {
	a, ok := unwrap[accountant](c.Conn)
	if !ok {
		return true
	}
	// It may write to the caller.
	c.mu.Unlock()
	defer c.mu.Lock()
	return a.Account(b)
}

// readBuffered moves bytes that were read ahead to p.
func (c *conn) readBuffered(p []byte) int {
	b := c.buffer[c.low:c.high]
	var n int
	if len(c.heads) > 0 {
		h := c.heads[0]
		n = copy(p, b[:h.left])
		c.position = inHead
		if h.left -= n; h.left > 0 {
			c.heads[0] = h
		} else {
			c.heads = slices.Delete(c.heads, 0, 1)
			c.position, c.next, c.current, c.waiting = atStart, h, nil, false
		}
	} else {
		n = c.pass(p[:copy(p, b)])
	}
	if c.low += n; c.low == c.high {
		c.release()
	}
	return n
}

// pass follows the bytes that net/http gets and returns how many of p belong to the request that it reads.
func (c *conn) pass(p []byte) int {
	n := len(p)
	switch c.position {
	case unknown:
		c.waiting = c.waiting && n == 0
	case inBody:
		if c.bodyLeft -= int64(n); c.bodyLeft == 0 {
			c.position = atStart
		}
	case atStart, inHead:
		var ok bool
		switch n, ok = c.scanner.end(p); {
		case ok:
			c.position, c.current, c.waiting = atStart, nil, false
		case n > 0:
			c.position = inHead
		}
	}
	return n
}

// keep buffers at most bufferSize bytes; the buffer is empty.
func (c *conn) keep(p []byte) {
	if c.closed {
		return
	}
	c.buffer = buffers.Get().(*[bufferSize]byte)
	c.low, c.high = 0, copy(c.buffer[:], p)
}

// release gives the buffer back unless a read may write to it.
func (c *conn) release() {
	if c.buffer != nil && !c.reading {
		buffers.Put(c.buffer)
		c.buffer, c.low, c.high = nil, 0, 0
	}
}

// readAhead reads further requests into the buffer and starts them. It returns an error only, so that net/http finds all bytes
// when it reads the next request.
func (c *conn) readAhead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.failure == nil {
		c.start()
		first := c.low == c.high
		if !first {
			p = c.space()
		}
		c.reading = true
		c.mu.Unlock()
		var n int
		var err error
		if len(p) > 0 {
			n, err = c.Conn.Read(p)
		} else {
			err = c.wait()
		}
		c.mu.Lock()
		c.reading = false
		switch {
		case first && n > 0:
			c.keep(p[:n])
		default:
			c.high += n
		}
		if c.closed {
			c.release()
		}
		if err == nil && c.closed {
			// The buffer may be that of another connection by now.
			err = net.ErrClosed
		}
		if err == nil {
			continue
		}
		if t, ok := errors.AsType[net.Error](err); !ok || !t.Timeout() {
			c.failure = err
			c.drop(CallerLeft)
		}
		return 0, err
	}
	return 0, c.failure
}

// space returns the unused end of the buffer.
func (c *conn) space() []byte {
	if c.high == bufferSize && c.low > 0 {
		c.high = copy(c.buffer[:], c.buffer[c.low:c.high])
		c.low = 0
	}
	return c.buffer[c.high:]
}

// start starts the buffered requests that may run beside the one that is served. A request that cannot be started keeps those
// behind it waiting.
func (c *conn) start() {
	if c.closed || c.failure != nil || c.current == nil || c.position != atStart || c.low == c.high {
		return
	}
	if c.ending || c.last || c.listener.leaving.Load() {
		return
	}
	if c.judged == unjudged {
		c.judged = alone
		if plain(c.current) && !closes(c.current) && c.config.Safe(c.current) {
			c.judged = beside
		}
	}
	from := c.low
	for _, h := range c.heads {
		from += h.left
	}
	for c.judged == beside && !c.blocked && len(c.heads) < MaxEarly {
		if k := len(c.heads); k > 0 && closes(c.heads[k-1].request) {
			return
		}
		var s scanner
		n, ok := s.end(c.buffer[from:c.high])
		if !ok {
			return
		}
		h := head{left: n, request: parse(c.buffer[from : from+n])}
		if h.request != nil && c.config.Safe(h.request) {
			h.run = c.config.Start(c.values, h.request)
		}
		if h.run == nil {
			c.blocked = true
			return
		}
		if a, ok := unwrap[runCounter](c.Conn); ok {
			a.BeginRun()
		}
		c.heads = append(c.heads, h)
		from += n
	}
}

// begin is called when the handler of r begins, and returns the run that was started for it.
func (c *conn) begin(r *http.Request) Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.next
	c.next, c.current, c.judged, c.blocked = head{}, r, unjudged, false
	c.chunked = r.ContentLength < 0
	switch {
	case c.position != atStart:
		c.position = unknown
	case r.ContentLength > 0:
		c.position, c.bodyLeft = inBody, r.ContentLength
	}
	c.start()
	switch {
	case h.run == nil:
		return nil
	case !same(h.request, r):
		// The server of net/http read the head in another way.
		h.run.Drop(Unmatched)
		h.run = nil
	}
	c.endRun()
	return h.run
}

// runCounter is a connection below that is not closed for others while requests run that were started early.
type runCounter interface {
	BeginRun()
	EndRun()
}

func (c *conn) endRun() {
	if a, ok := unwrap[runCounter](c.Conn); ok {
		a.EndRun()
	}
}

// end is called when a handler ends that may have taken over a run.
func (c *conn) end(r Run) {
	if r != nil {
		r.Drop(Served)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
}

// drop drops the runs of requests that net/http has not read.
func (c *conn) drop(cause Cause) {
	for _, h := range c.heads {
		c.endRun()
		h.run.Drop(cause)
	}
	c.heads = nil
}

// wait returns once the read deadline passes or the caller disconnects.
func (c *conn) wait() error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		c.mu.Lock()
		d, closed := c.deadline, c.closed
		c.mu.Unlock()
		switch {
		case closed:
			return net.ErrClosed
		case !d.IsZero() && !time.Now().Before(d):
			return os.ErrDeadlineExceeded
		case c.disconnected():
			return io.EOF
		}
		select {
		case <-c.wake:
		case <-t.C:
		}
	}
}

// disconnected reports whether the caller closed the connection, without reading from it.
func (c *conn) disconnected() bool {
	s, ok := unwrap[syscall.Conn](c.Conn)
	if !ok {
		return false
	}
	r, err := s.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = r.Control(func(fd uintptr) {
		f := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // Descriptors are small.
		n, err := unix.Poll(f, 0)
		gone = err == nil && n > 0
	})
	return gone || err != nil
}

// unwrap returns the outermost connection below n that implements T.
func unwrap[T any](n net.Conn) (T, bool) {
	for {
		if t, ok := n.(T); ok {
			return t, true
		}
		u, ok := n.(interface{ NetConn() net.Conn })
		if !ok {
			var none T
			return none, false
		}
		n = u.NetConn()
	}
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline also ends the wait of a read for which the buffer has no space.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.notify()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

func (c *conn) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// CloseWrite is called by net/http some time before Close; no further request is read then.
func (c *conn) CloseWrite() error {
	c.stop()
	if t, ok := unwrap[interface{ CloseWrite() error }](c.Conn); ok {
		return t.CloseWrite()
	}
	return nil
}

func (c *conn) stop() {
	c.mu.Lock()
	c.closed = true
	if c.next.run != nil {
		c.endRun()
		c.next.run.Drop(ConnectionEnded)
		c.next = head{}
	}
	c.drop(ConnectionEnded)
	c.release()
	c.mu.Unlock()
	c.notify()
}
