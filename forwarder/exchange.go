package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"celeryhead.dev/celeryhead/responder"
)

// maxInformational limits the 1xx answers of an exchange.
const maxInformational = 8

// maxShedBody limits how much of a shed answer is read to keep the connection, in bytes.
const maxShedBody = 4 << 10

// maxForeignBody limits how much of an answer to another request is read to find the next one, in bytes.
const maxForeignBody = 64 << 10

// exchange is one request and its answer on one connection.
type exchange struct {
	f      *Forwarder
	pool   *Pool[*link]
	held   *Held[*link]
	link   *link
	call   Call
	ctx    context.Context
	cancel context.CancelFunc
	stop   func() bool

	// writing is set before the first write; begun is set after it if it wrote a byte, and then firstDone is closed.
	writing, begun atomic.Bool
	firstDone      chan struct{}
	bodyRead       atomic.Bool

	// Used by the reading goroutine only.
	answered   bool
	inHeader   bool
	headerLeft int
	// foreign is true once an answer to another request came.
	foreign bool

	mu sync.Mutex
	// aborted bars the first write.
	aborted bool
	// first is when the first write began.
	first time.Time
	// refused is the error of the checks before the first byte.
	refused error
	// connErr is the error of a write to the connection.
	connErr error
	// sendErr is any other error that ended the request, such as one of the caller's body.
	sendErr error
	// sent and received are set when the request and the answer are complete.
	sent, received bool
	settled        bool
}

func newExchange(ctx context.Context, cancel context.CancelFunc, f *Forwarder, p *Pool[*link], h *Held[*link], c Call) *exchange {
	x := &exchange{f: f, pool: p, held: h, link: h.Conn, call: c, ctx: ctx, cancel: cancel}
	x.firstDone = make(chan struct{})
	x.link.x = x
	x.link.r.Reset(x.link)
	x.link.w.Reset(x.link)
	// abort waits for mu, so it never sees stop unset.
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop = context.AfterFunc(ctx, x.abort)
	return x
}

// run sends the request and reads the header of the answer.
func (x *exchange) run() (*Answer, error) {
	r := x.outgoing()
	if r.Body == nil {
		x.send(r)
		if !x.begun.Load() {
			return nil, x.fail(nil)
		}
	} else {
		// The body is sent while the answer is read, since a server may answer before it has read the body.
		go x.send(r)
	}
	a, err := x.receive(r)
	if err != nil {
		return nil, x.fail(err)
	}
	if a.ran == responder.NotRun {
		return nil, x.shed(a)
	}
	return a, nil
}

// outgoing returns the request as it is written.
func (x *exchange) outgoing() *http.Request {
	in := x.call.Request
	h := in.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	RemoveHopByHop(h)
	// The caller's own server has answered Expect already.
	h.Del("Expect")
	x.f.config.Protocol.Prepare(h, x.call.Deadline, x.call.Deadline.Sub(x.f.config.Now()))
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps Request.Write from adding its own.
		h["User-Agent"] = []string{""}
	}
	out := &http.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: h}
	if in.ContentLength == 0 || in.Body == nil || in.Body == http.NoBody {
		return out
	}
	b := &requestBody{x: x, in: in, trailer: allowedTrailers(in.Trailer)}
	out.ContentLength, out.Body, out.Trailer = in.ContentLength, b, b.trailer
	return out
}

// send writes the request; it ends before the connection is used again.
func (x *exchange) send(r *http.Request) {
	err := r.Write(unflushed{x.link.w})
	if err == nil {
		err = x.link.w.Flush()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = err == nil
	if err == nil {
		if x.received {
			x.settle(true)
		}
		return
	}
	if x.connErr != nil && x.begun.Load() {
		// The server may have answered before it closed its side, so the answer is still read.
		return
	}
	if x.refused == nil && x.connErr == nil {
		x.sendErr = errors.Join(ErrRequest, err)
	}
	_ = x.link.Close()
}

// write passes bytes to the connection, after the checks if they are the first ones.
func (x *exchange) write(b []byte) (int, error) {
	if x.begun.Load() {
		n, err := x.link.conn.Write(b)
		if err != nil {
			x.noteWrite(err)
		}
		return n, err
	}
	if err := x.begin(); err != nil {
		return 0, err
	}
	defer close(x.firstDone)
	n, err := x.link.conn.Write(b)
	x.begun.Store(n > 0)
	x.noteWrite(err)
	return n, err
}

func (x *exchange) noteWrite(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.connErr = err
}

// begin makes the checks before the first byte.
func (x *exchange) begin() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.refused = x.mayBegin(); x.refused != nil {
		return x.refused
	}
	x.first = x.f.config.Now()
	x.writing.Store(true)
	return nil
}

func (x *exchange) mayBegin() error {
	if x.aborted || x.ctx.Err() != nil {
		return context.Cause(x.ctx)
	}
	if !x.f.config.Now().Before(x.call.Deadline) {
		return ErrDeadline
	}
	if x.call.Before == nil {
		return nil
	}
	return x.call.Before()
}

// read passes bytes from the connection.
func (x *exchange) read(b []byte) (int, error) {
	n, err := x.link.conn.Read(b)
	if n == 0 {
		return n, err
	}
	if !x.writing.Load() {
		return 0, ErrUnsolicited
	}
	x.answered = true
	// The timers of the context stand still while the machine is suspended; the clock does not.
	if x.f.config.Now().After(x.call.Deadline.Add(x.call.Patience)) {
		return 0, ErrDeadline
	}
	if x.inHeader {
		x.headerLeft -= n
		if x.headerLeft < 0 {
			return 0, ErrHeaderTooLarge
		}
	}
	return n, err
}

// receive reads the header of the final answer.
func (x *exchange) receive(r *http.Request) (*Answer, error) {
	for range maxInformational {
		x.inHeader, x.headerLeft = true, x.f.config.MaxHeader
		p, err := http.ReadResponse(x.link.r, r) //nolint:bodyclose // The body belongs to Answer.
		x.inHeader = false
		switch {
		case err != nil:
			return nil, err
		case p.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrSwitched
		case p.StatusCode >= http.StatusOK:
			a, foreign, err := x.accept(r, p)
			if !foreign {
				return a, err
			}
			if err := x.skip(p); err != nil {
				return nil, err
			}
			continue
		}
		if x.call.Informational != nil {
			RemoveHopByHop(p.Header)
			x.call.Informational(p.StatusCode, p.Header)
		}
	}
	return nil, ErrInformational
}

// skip drops an answer that belongs to another request, with which the connection cannot be used again.
func (x *exchange) skip(p *http.Response) error {
	x.foreign = true
	if _, err := io.CopyN(io.Discard, p.Body, maxForeignBody); !errors.Is(err, io.EOF) {
		return errors.Join(ErrForeign, err)
	}
	return p.Body.Close()
}

// accept returns the answer that p begins; foreign is true if p belongs to another request.
func (x *exchange) accept(r *http.Request, p *http.Response) (a *Answer, foreign bool, err error) {
	a = &Answer{Status: p.StatusCode, ContentLength: p.ContentLength, Header: p.Header}
	unframed := p.Body != http.NoBody && p.ContentLength < 0 && len(p.TransferEncoding) == 0
	switch x.f.config.Protocol.Judge(r.Header, p.StatusCode, p.Header, unframed) {
	case Foreign:
		return nil, true, nil
	case Invalid:
		return nil, false, ErrInvalid
	case Unframed:
		return nil, false, ErrUnframed
	case Shed:
		a.ran = responder.NotRun
	case Accepted:
	}
	RemoveHopByHop(a.Header)
	keep := !p.Close && !x.foreign
	if p.Body == http.NoBody {
		a.Body = http.NoBody
		x.complete(keep)
		return a, false, nil
	}
	b := &answerBody{x: x, p: p, a: a, keep: keep}
	for k := range p.Trailer {
		a.announced = append(a.announced, k)
	}
	a.Body = b
	return a, false, nil
}

// shed reports an answer by which the server says that it did not run the request.
func (x *exchange) shed(a *Answer) *Failure {
	// An error leaves the statement of the header intact; the connection is closed by it or by Close.
	_, _ = io.CopyN(io.Discard, a.Body, maxShedBody+1)
	_ = a.Body.Close()
	return &Failure{
		Reason:   responder.TargetShed,
		Ran:      responder.NotRun,
		BodyRead: x.bodyRead.Load(),
		Status:   a.Status,
		Header:   a.Header,
		Err:      ErrShed,
	}
}

// complete ends the exchange after the last byte of the answer.
func (x *exchange) complete(keep bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.received = true
	switch {
	case !keep || x.connErr != nil || x.sendErr != nil || x.refused != nil:
		x.settle(false)
	case x.sent:
		x.settle(true)
	}
	// Otherwise the request is still being written: send or abort settles.
}

// abort ends the exchange before its end; after its end it does nothing, since the connection may carry another one.
func (x *exchange) abort() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = true
	x.settle(false)
}

// settle gives the connection back once; mu is held.
func (x *exchange) settle(keep bool) {
	if x.settled {
		return
	}
	x.settled = true
	// If the context ended first, the connection is closed already or about to be.
	stopped := x.stop()
	x.cancel()
	if keep && stopped && x.link.r.Buffered() == 0 {
		x.pool.Put(x.held)
		return
	}
	x.pool.Discard(x.held)
}

// fail closes the connection and states whether the request may have run.
func (x *exchange) fail(err error) *Failure {
	// settle cancels the context, so its own end is noted first.
	ended := x.ctx.Err() != nil
	cause := context.Cause(x.ctx)
	x.abort()
	if x.writing.Load() {
		// The connection is closed, so a first write that still runs ends at once.
		<-x.firstDone
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	f := &Failure{Ran: responder.NotRun, BodyRead: x.bodyRead.Load()}
	begun := x.begun.Load()
	if begun {
		f.Ran = responder.Unknown
	}
	switch {
	case ended:
		f.Err = cause
	case x.refused != nil:
		f.Err = x.refused
	case x.sendErr != nil:
		f.Err = x.sendErr
	case x.connErr != nil && !begun:
		f.Err = x.connErr
	default:
		f.Err = err
		f.Broken = begun && isBroken(err)
	}
	f.Reason = reasonOf(f.Err, x.otherReason(begun))
	f.Silent = begun && !x.answered && x.outlasted(f.Err)
	if f.Silent {
		x.pool.Retire()
	}
	return f
}

// outlasted reports whether the server had its full time to send a first byte; mu is held.
func (x *exchange) outlasted(err error) bool {
	if errors.Is(err, ErrDeadline) {
		return true
	}
	return errors.Is(err, context.Canceled) && x.f.config.Now().Sub(x.first) >= x.f.config.SilentAfter
}

// otherReason returns the reason of failures that are neither the caller's nor the deadline's; mu is held.
func (x *exchange) otherReason(begun bool) responder.Reason {
	switch {
	case begun:
		return responder.TargetFailed
	case x.refused != nil:
		return responder.Stale
	}
	return responder.TargetUnreachable
}

// isBroken reports whether err comes from the connection rather than from what the server sent over it.
func isBroken(err error) bool {
	for _, e := range []error{ErrUnsolicited, ErrForeign, ErrInvalid, ErrUnframed, ErrSwitched, ErrInformational, ErrHeaderTooLarge, ErrDeadline} {
		if errors.Is(err, e) {
			return false
		}
	}
	return true
}
