package admitter

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	// connectionBytes is what a connection takes: goroutine, buffers and state of net/http.
	connectionBytes = 16 << 10
	// runBytes is what a request takes that runs, beside its head and body: 32 KB to copy the answer, and buffers and goroutines of
	// the connection to its target.
	runBytes = 48 << 10
	// receivedFieldBytes is what a field takes while the head is received, and runFieldBytes with the copies of a request that
	// runs. Fields of five bytes with different names took 94 and 240 bytes on the average; maps double when they grow.
	receivedFieldBytes = 160
	runFieldBytes      = 320
	// byteCopies is how often a head is held: as received, and as strings.
	byteCopies = 2
	// reserveStep is the smallest reservation for a head that grows.
	reserveStep = 4 << 10
	// headSlack is how far a head may exceed its limit; net/http allows as much, for its buffer.
	headSlack = 4 << 10
	// idleSlack is how much longer a connection may be unused than callers are told.
	idleSlack = time.Second
	// lingerTime is how long a connection stays open after the answer to a head that is too large, so that the caller can read
	// it; net/http waits as long.
	lingerTime = 500 * time.Millisecond
)

// answers are what callers are told whose heads are refused; the first one is that of net/http to a head beyond its own limit.
// To a head that is late net/http would answer 400.
var answers = map[Reason]string{
	HeadTooLarge: "431 Request Header Fields Too Large",
	HeadLate:     "408 Request Timeout",
}

const answerHeader = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// Reason is why a connection was closed or a request refused.
type Reason string

// Reasons.
const (
	// Crowded means that others needed the room.
	Crowded Reason = "crowded"
	// NoRoom means that the budget had no room for a connection, a head or a body.
	NoRoom Reason = "no_room"
	// HeadTooLarge means that a head was over the configured limit.
	HeadTooLarge Reason = "head_too_large"
	// HeadLate means that a head did not arrive in time.
	HeadLate Reason = "head_late"
	// over means that the connection was closed or refused before.
	over Reason = "over"
)

// Report is a connection that was closed, or a request that was refused.
type Report struct {
	Reason Reason
	Remote netip.AddrPort
	// Bytes is what it held.
	Bytes int64
}

// Bounds are those of the operators' configuration; 0 leaves what the server has.
type Bounds struct {
	HeadBytes int64
	HeadTime  time.Duration
	IdleTime  time.Duration
}

// Config configures a Listener.
type Config struct {
	Limits Limits
	// RunDescriptors is how many descriptors a request needs while it runs.
	RunDescriptors int
	// Bounds returns the bounds in force.
	Bounds func() Bounds
	// Report is told of connections that are closed and of requests that are refused.
	Report func(Report)
}

// ends identifies a connection by its addresses, which all layers above pass on.
type ends struct {
	remote, local netip.AddrPort
}

// Listener keeps its connections within a budget.
type Listener struct {
	net.Listener
	config Config

	mu     sync.Mutex
	budget *Budget
	open   map[*Holder]*conn
	byEnds map[ends]*conn
}

// Listen returns l with a budget. It belongs directly above the sockets, and Attach must be called once all other layers have
// set their hooks in the server.
func Listen(l net.Listener, c Config) *Listener {
	return &Listener{Listener: l, config: c, budget: NewBudget(c.Limits), open: map[*Holder]*conn{}, byEnds: map[ends]*conn{}}
}

// Limit changes the size of the budget.
func (l *Listener) Limit(b Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Limit(b)
}

// Use returns the bytes and descriptors in use.
func (l *Listener) Use() (bytes int64, descriptors int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Use()
}

// Accept returns the next connection that has room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		a, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		t, ok := a.(*net.TCPConn)
		if !ok {
			return a, nil
		}
		if c := l.admit(t); c != nil {
			return c, nil
		}
	}
}

// admit opens a holder for a connection, or closes the connection and returns nil.
func (l *Listener) admit(t *net.TCPConn) *conn {
	c := &conn{TCPConn: t, listener: l, ends: ends{remote: addrPort(t.RemoteAddr()), local: addrPort(t.LocalAddr())}}
	now := time.Now()
	l.mu.Lock()
	h, closed := l.budget.Open(now, c.ends.remote.Addr(), connectionBytes)
	if h != nil {
		c.holder = h
		l.open[h], l.byEnds[c.ends] = c, c
	}
	vs := l.take(closed)
	l.mu.Unlock()
	l.end(vs)
	if h == nil {
		_ = t.Close()
		l.config.Report(Report{Reason: NoRoom, Remote: c.ends.remote})
		return nil
	}
	return c
}

// victim is a connection whose holder the budget closed.
type victim struct {
	conn *conn
	idle bool
	held int64
}

// take returns the connections of holders that the budget closed; mu is held.
func (l *Listener) take(hs []*Holder) []victim {
	var vs []victim
	for _, h := range hs {
		c := l.open[h]
		l.forget(c)
		vs = append(vs, victim{conn: c, idle: h.Phase() == Idle, held: c.peak})
	}
	return vs
}

// forget removes a connection; mu is held.
func (l *Listener) forget(c *conn) {
	delete(l.open, c.holder)
	// The addresses may belong to a newer connection.
	if l.byEnds[c.ends] == c {
		delete(l.byEnds, c.ends)
	}
}

// end closes connections that the budget closed.
func (l *Listener) end(vs []victim) {
	for _, v := range vs {
		if !v.idle {
			// What the caller has not read is not worth the memory of the kernel.
			_ = v.conn.SetLinger(0)
		}
		_ = v.conn.TCPConn.Close()
		l.config.Report(Report{Reason: Crowded, Remote: v.conn.ends.remote, Bytes: v.held})
	}
}

// reserveLocked reserves further bytes and descriptors for a connection and returns the connections to end; mu is held.
func (l *Listener) reserveLocked(c *conn, n int64, d int) (bool, []victim) {
	closed, ok := l.budget.Reserve(time.Now(), c.holder, n, d)
	c.peak = max(c.peak, c.holder.Bytes())
	return ok, l.take(closed)
}

// Attach has a server tell when requests begin and end.
func (l *Listener) Attach(s *http.Server) {
	state := s.ConnState
	s.ConnState = func(k net.Conn, t http.ConnState) {
		if state != nil {
			state(k, t)
		}
		if t == http.StateIdle {
			l.idle(ends{remote: addrPort(k.RemoteAddr()), local: addrPort(k.LocalAddr())})
		}
	}
	h := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := l.find(r)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		u := l.begin(c, r)
		defer u.end()
		q := r.WithContext(context.WithValue(r.Context(), runKey{}, u))
		if u.receiving {
			q.Body = &body{ReadCloser: r.Body, run: u, request: r}
		}
		h.ServeHTTP(w, q)
	})
}

// idle records that a connection waits for a further request.
func (l *Listener) idle(e ends) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.byEnds[e]; c != nil {
		l.budget.Release(c.holder, c.head.reserved, 0)
		c.head = head{}
		c.holder.Enter(Idle)
	}
}

// find returns the connection of a request.
func (l *Listener) find(r *http.Request) *conn {
	a, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return nil
	}
	p, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byEnds[ends{remote: unmap(p), local: addrPort(a)}]
}

// begin replaces what was reserved for the head by what the request takes.
func (l *Listener) begin(c *conn, r *http.Request) *Run {
	u := &Run{conn: c, receiving: r.ContentLength != 0}
	n := int64(runBytes) + fieldBytes(r.Header, runFieldBytes) + byteCopies*int64(len(r.RequestURI))
	l.mu.Lock()
	c.holder.BeginRun()
	if u.receiving {
		c.holder.Enter(Body)
	} else {
		c.holder.Enter(Running)
	}
	l.budget.Release(c.holder, c.head.reserved, 0)
	c.head = head{}
	var ok bool
	var vs []victim
	// The caller may have been told meanwhile that the head is late or too large; the request must not run then.
	ended := c.ended
	if !ended {
		ok, vs = l.reserveLocked(c, n, l.config.RunDescriptors)
	}
	if ok {
		u.reserved, u.descriptors = n, l.config.RunDescriptors
	}
	u.refused = !ok
	d := c.deadline
	l.mu.Unlock()
	l.end(vs)
	// The time for a head ends with it.
	_ = c.TCPConn.SetReadDeadline(d)
	if u.refused && !ended {
		l.config.Report(Report{Reason: NoRoom, Remote: c.ends.remote, Bytes: c.peak})
	}
	return u
}

// addrPort returns a TCP address.
func addrPort(a net.Addr) netip.AddrPort {
	if t, ok := a.(*net.TCPAddr); ok {
		return unmap(t.AddrPort())
	}
	return netip.AddrPort{}
}

func unmap(p netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
}

// fieldBytes returns what fields take at each bytes for one.
func fieldBytes(h http.Header, each int64) int64 {
	var n int64
	for k, vs := range h {
		n += int64(len(k)) * byteCopies
		for _, v := range vs {
			n += each + int64(len(v))*byteCopies
		}
	}
	return n
}

// head is a head that is being received.
type head struct {
	began time.Time
	// bytes and lines were received.
	bytes, lines, reserved int64
}

// need returns what a head takes.
func (h *head) need() int64 {
	return h.bytes*byteCopies + h.lines*receivedFieldBytes
}

// conn embeds *net.TCPConn because net/http uses its CloseWrite.
type conn struct {
	*net.TCPConn
	listener *Listener
	ends     ends

	// The rest is guarded by the mutex of the listener.
	holder *Holder
	head   head
	// deadline is the one for reads that the server asked for.
	deadline time.Time
	// peak is the most that the connection held.
	peak int64
	// ended is true once a head was refused, so that nothing more is read and written; answered if the caller was told.
	ended, answered bool
}

// Read reads what the caller sends and reserves what a head takes before it is parsed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	var reason Reason
	if n > 0 {
		reason = c.receive(b[:n])
	} else if err != nil {
		reason = c.fail(err)
	}
	if reason == "" {
		return n, err
	}
	c.refuse(reason)
	// After any other error net/http would answer that the request is malformed.
	return 0, io.EOF
}

// Account accounts for bytes that a layer above read before and that the server reads now. If it reports false, the server must
// not get them.
func (c *conn) Account(b []byte) bool {
	reason := c.receive(b)
	if reason != "" {
		c.refuse(reason)
	}
	return reason == ""
}

// refuse tells the caller why its head is refused, or closes the connection.
func (c *conn) refuse(reason Reason) {
	if a, ok := answers[reason]; ok {
		// A caller that reads nothing must not keep the connection.
		_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
		_, _ = io.WriteString(c.TCPConn, "HTTP/1.1 "+a+answerHeader+a)
		_ = c.CloseWrite()
	} else if reason == NoRoom {
		_ = c.TCPConn.Close()
	}
}

// receive accounts for received bytes. A reason means that they must not be held.
func (c *conn) receive(b []byte) Reason {
	l := c.listener
	bounds := l.config.Bounds()
	now := time.Now()
	l.mu.Lock()
	h := c.holder
	if c.ended || h.gone {
		l.mu.Unlock()
		return over
	}
	h.Receive(now)
	// While a request runs that was started early, the bytes are read ahead; they are accounted for when the server reads them.
	if h.Phase() == Idle && h.runs == 0 {
		h.Enter(Head)
	}
	if h.Phase() != Head {
		l.mu.Unlock()
		return ""
	}
	if c.head.bytes == 0 {
		c.head.began = now
		_ = c.applyDeadline(now, bounds, true)
	}
	c.head.bytes += int64(len(b))
	c.head.lines += int64(bytes.Count(b, []byte("\n")))
	var reason Reason
	var vs []victim
	if m := bounds.HeadBytes; m > 0 && c.head.bytes > m+headSlack {
		reason = HeadTooLarge
	} else if n := c.head.need() - c.head.reserved; n > 0 {
		n = max(n, reserveStep)
		var ok bool
		if ok, vs = l.reserveLocked(c, n, 0); ok {
			c.head.reserved += n
		} else {
			reason = NoRoom
		}
	}
	c.ended, c.answered = reason != "", answers[reason] != ""
	held := c.peak
	l.mu.Unlock()
	l.end(vs)
	if reason != "" {
		l.config.Report(Report{Reason: reason, Remote: c.ends.remote, Bytes: held})
	}
	return reason
}

// fail returns why a read failed with err, and refuses a head that has not arrived in time.
func (c *conn) fail(err error) Reason {
	l := c.listener
	l.mu.Lock()
	if c.ended || c.holder.gone {
		l.mu.Unlock()
		return over
	}
	late := errors.Is(err, os.ErrDeadlineExceeded) && c.holder.Phase() == Head && c.head.bytes > 0
	if late {
		c.ended, c.answered = true, true
	}
	held := c.peak
	l.mu.Unlock()
	if !late {
		return ""
	}
	l.config.Report(Report{Reason: HeadLate, Remote: c.ends.remote, Bytes: held})
	return HeadLate
}

// BeginRun and EndRun enclose a request that runs before its handler does, so that the connection counts as one with a request
// also between two answers.
func (c *conn) BeginRun() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.holder.BeginRun()
}

// EndRun is the end of BeginRun.
func (c *conn) EndRun() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.holder.EndRun()
}

// Write records how long the caller takes to read.
func (c *conn) Write(b []byte) (int, error) {
	l := c.listener
	l.mu.Lock()
	if c.ended {
		l.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.holder.BeginWrite(time.Now())
	l.mu.Unlock()
	n, err := c.TCPConn.Write(b)
	l.mu.Lock()
	c.holder.EndWrite()
	l.mu.Unlock()
	return n, err
}

// SetReadDeadline applies the bounds of the configuration to heads and to the time between requests.
func (c *conn) SetReadDeadline(t time.Time) error {
	bounds := c.listener.config.Bounds()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.deadline = t
	return c.applyDeadline(time.Now(), bounds, false)
}

// applyDeadline sets the deadline for reads; begins is true for the first byte of a head. The mutex of the listener is held.
func (c *conn) applyDeadline(now time.Time, b Bounds, begins bool) error {
	t := c.deadline
	p := c.holder.Phase()
	waits := p == Idle || p == Head && c.head.bytes == 0 && !begins
	switch {
	case !begins && !t.IsZero() && !t.After(now):
		// A time that has passed ends a read at once.
	case waits && b.IdleTime > 0 && !t.IsZero():
		t = now.Add(b.IdleTime + idleSlack)
	case p == Head && b.HeadTime > 0 && !c.head.began.IsZero():
		t = c.head.began.Add(b.HeadTime)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close gives back what the connection holds. A connection whose head was refused with an answer stays open for a moment, so that the caller
// can read why.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	linger := c.answered && !c.holder.gone
	if !linger {
		l.budget.Close(c.holder)
		l.forget(c)
	}
	l.mu.Unlock()
	if !linger {
		return c.TCPConn.Close()
	}
	time.AfterFunc(lingerTime, func() {
		l.mu.Lock()
		l.budget.Close(c.holder)
		l.forget(c)
		l.mu.Unlock()
		_ = c.TCPConn.Close()
	})
	return nil
}
