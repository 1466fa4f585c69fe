package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/verifier"
)

// maxInformationalResponses limits the 1xx responses of an exchange.
const maxInformationalResponses = 8

// maxShedBody limits how much of a shed response is read so that the connection can be reused, in bytes.
const maxShedBody = 4 << 10

// shedBodyTimeout limits the wait for the rest of a shed response, during which its request is not sent elsewhere.
const shedBodyTimeout = 20 * time.Millisecond

// maxMismatchedBody limits how much of a response to another request is read to reach the next response, in bytes.
const maxMismatchedBody = 64 << 10

// exchange is one request and its response on one connection.
type exchange struct {
	f      *Forwarder
	pool   *Pool[*connection]
	pooled *PooledConn[*connection]
	conn   *connection
	call   Call
	// id identifies the request in responses; it may be empty.
	id        string
	ctx       context.Context
	cancel    context.CancelFunc
	stopAbort func() bool

	// writing is set before the first write. After it, wroteByte is set if at least one byte was written, and then
	// firstWriteDone is closed.
	writing, wroteByte atomic.Bool
	firstWriteDone     chan struct{}
	bodyRead           atomic.Bool
	// bodyTimeout is set if a read of the body exceeded the deadline for reads from the caller. Request.Write hides the
	// error of the body.
	bodyTimeout atomic.Bool

	// writes is held while the connection is written to, until the error of the write is recorded.
	writes sync.Mutex

	// Used only by the goroutine that reads.
	responded bool
	// readFailed is true after a read from the connection returned an error.
	readFailed      bool
	inHeader        bool
	headerBytesLeft int
	fields          fieldCounter
	// mismatched is true after a response to another request was received.
	mismatched bool

	mu sync.Mutex
	// aborted prevents the first write.
	aborted bool
	// firstWriteAt is the time at which the first write began.
	firstWriteAt time.Time
	// preWriteErr is the error of the checks before the first byte.
	preWriteErr error
	// writeErr is the error of a write to the connection.
	writeErr error
	// requestErr is any other error that ended the request, such as a read error of the caller's body.
	requestErr error
	// sent and received are set when the request and the response are complete.
	sent, received bool
	released       bool
}

func newExchange(ctx context.Context, cancel context.CancelFunc, f *Forwarder, p *Pool[*connection], h *PooledConn[*connection], c Call) *exchange {
	x := &exchange{f: f, pool: p, pooled: h, conn: h.Conn, call: c, ctx: ctx, cancel: cancel}
	x.firstWriteDone = make(chan struct{})
	x.conn.exchange = x
	x.conn.r.Reset(x.conn)
	x.conn.w.Reset(x.conn)
	// abort locks mu, so it never runs before stopAbort is set.
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stopAbort = context.AfterFunc(ctx, x.abort)
	return x
}

// roundTrip sends the request and reads the header of the response.
func (x *exchange) roundTrip() (*Answer, error) {
	r := x.outgoingRequest()
	if r.Body == nil {
		x.send(r)
		if !x.wroteByte.Load() {
			return nil, x.fail(nil)
		}
	} else {
		// The body is sent while the response is read, since a server may respond before it has read the body.
		go x.send(r)
	}
	a, err := x.receive(r)
	if err != nil {
		return nil, x.fail(err)
	}
	if a.ran == responder.NotRun {
		return nil, x.shedFailure(a)
	}
	return a, nil
}

// outgoingRequest returns the request to be written.
func (x *exchange) outgoingRequest() *http.Request {
	in := x.call.Request
	h := in.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	RemoveHopByHop(h)
	// The caller's server has already responded to Expect.
	h.Del("Expect")
	x.f.config.Protocol.Prepare(h, x.call.Deadline, x.call.Deadline.Sub(x.f.config.Now()))
	if _, ok := h["User-Agent"]; !ok {
		// An empty value prevents Request.Write from adding its own.
		h["User-Agent"] = []string{""}
	}
	out := &http.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: h}
	if in.ContentLength == 0 || in.Body == nil || in.Body == http.NoBody {
		return out
	}
	b := &requestBody{x: x, incoming: in, trailer: allowedTrailers(in.Trailer)}
	out.ContentLength, out.Body, out.Trailer = in.ContentLength, b, b.trailer
	return out
}

// send writes the request. It returns before the connection is reused.
func (x *exchange) send(r *http.Request) {
	err := r.Write(noFlushWriter{x.conn.w})
	if err == nil {
		err = x.conn.w.Flush()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = err == nil
	if err == nil {
		if x.received {
			x.release(true)
		}
		return
	}
	if x.writeErr != nil && x.wroteByte.Load() {
		// The server may have responded before it closed the connection, so the response is still read.
		return
	}
	if x.preWriteErr == nil && x.writeErr == nil {
		cause := ErrRequest
		if x.bodyTimeout.Load() {
			cause = ErrBodyTimeout
		}
		x.requestErr = errors.Join(cause, err)
	}
	_ = x.conn.Close()
}

// write writes to the connection. Before the first byte it makes the checks of startWriting.
func (x *exchange) write(b []byte) (int, error) {
	x.writes.Lock()
	defer x.writes.Unlock()
	if x.wroteByte.Load() {
		n, err := x.conn.stream.Write(b)
		if err != nil {
			x.recordWriteError(err)
		}
		return n, err
	}
	if err := x.startWriting(); err != nil {
		return 0, err
	}
	defer close(x.firstWriteDone)
	n, err := x.conn.stream.Write(b)
	x.wroteByte.Store(n > 0)
	x.recordWriteError(err)
	return n, err
}

func (x *exchange) recordWriteError(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.writeErr = err
}

// startWriting makes the checks before the first byte and records the start of the write.
func (x *exchange) startWriting() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.preWriteErr = x.checkBeforeWrite(); x.preWriteErr != nil {
		return x.preWriteErr
	}
	x.conn.setAckTimeout(x.ackTimeout())
	x.firstWriteAt = x.f.config.Now()
	x.writing.Store(true)
	return nil
}

// ackTimeout returns the limit for unacknowledged bytes. A server may leave a body unread, and a request that cannot be sent
// again gains nothing from an early end.
func (x *exchange) ackTimeout() time.Duration {
	if x.call.Once || x.call.Request.ContentLength != 0 {
		return 0
	}
	return x.f.config.AckTimeout
}

func (x *exchange) checkBeforeWrite() error {
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

// read reads from the connection.
func (x *exchange) read(b []byte) (int, error) {
	n, err := x.readChecked(b)
	x.readFailed = x.readFailed || err != nil
	return n, err
}

// readChecked reads from the connection what the exchange may take.
func (x *exchange) readChecked(b []byte) (int, error) {
	n, err := x.conn.stream.Read(b)
	if n == 0 {
		return n, err
	}
	if !x.writing.Load() {
		return 0, ErrUnsolicited
	}
	if !x.responded && x.pooled.Reused {
		x.f.rests.survived(x.call.Address, x.pooled.Rested)
	}
	x.responded = true
	// Context timers do not advance while the machine is suspended; the clock does.
	if x.f.config.Now().After(x.call.Deadline.Add(x.call.Patience)) {
		return 0, ErrDeadline
	}
	if x.inHeader {
		x.headerBytesLeft -= n
		if x.headerBytesLeft < 0 || x.fields.count(b[:n]) > x.f.config.MaxFields {
			return 0, ErrHeaderTooLarge
		}
	}
	return n, err
}

// receive reads the header of the final response.
func (x *exchange) receive(r *http.Request) (*Answer, error) {
	for range maxInformationalResponses {
		x.inHeader, x.headerBytesLeft, x.fields = true, x.f.config.MaxHeader, fieldCounter{}
		// The beginning may have arrived with an informational response.
		if b, err := x.conn.r.Peek(x.conn.r.Buffered()); err != nil || x.fields.count(b) > x.f.config.MaxFields {
			return nil, errors.Join(ErrHeaderTooLarge, err)
		}
		p, err := http.ReadResponse(x.conn.r, r) //nolint:bodyclose // The body belongs to Answer.
		x.inHeader = false
		switch {
		case err != nil && !x.readFailed:
			// All bytes arrived, and they are no response.
			return nil, errors.Join(ErrMalformed, err)
		case err != nil:
			return nil, err
		}
		// Whatever the response is, its framing may have been misread.
		if err := verifier.Fields(p.Header); err != nil {
			return nil, errors.Join(ErrMalformed, err)
		}
		if x.fields.folded {
			return nil, merry.Wrap(ErrMalformed, merry.AppendMessage("a line of the header begins with a blank"))
		}
		switch {
		case p.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrSwitchedProtocols
		case p.StatusCode >= http.StatusOK, !isValidStatus(p):
			a, mismatched, err := x.buildResponse(r, p)
			if !mismatched {
				return a, err
			}
			if err := x.discardMismatched(p); err != nil {
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

// isValidStatus reports whether the status has three digits and is in one of the five classes of RFC 9110, section 15. A sign counts
// as a digit for net/http.
func isValidStatus(p *http.Response) bool {
	return p.StatusCode >= http.StatusContinue && p.StatusCode < 600 && p.Status[0] != '+' && p.Status[0] != '-'
}

// discardMismatched discards a response to another request and prevents reuse of the connection.
func (x *exchange) discardMismatched(p *http.Response) error {
	x.mismatched = true
	if _, err := io.CopyN(io.Discard, p.Body, maxMismatchedBody); !errors.Is(err, io.EOF) {
		return errors.Join(ErrMismatched, err)
	}
	return p.Body.Close()
}

// buildResponse returns the response for p. Mismatched is true if p belongs to another request.
func (x *exchange) buildResponse(r *http.Request, p *http.Response) (a *Answer, mismatched bool, err error) {
	a = &Answer{Status: p.StatusCode, ContentLength: p.ContentLength, Header: p.Header}
	keep := !p.Close && !x.mismatched
	unframed := p.Body != http.NoBody && p.ContentLength < 0 && len(p.TransferEncoding) == 0
	verdict := x.f.config.Protocol.Judge(r.Header, p.StatusCode, p.Header, unframed)
	if verdict != Foreign && !isValidStatus(p) {
		return nil, false, merry.Wrap(ErrMalformed, merry.AppendMessagef("status %q", p.Status))
	}
	switch verdict {
	case Foreign:
		return nil, true, nil
	case Invalid:
		return nil, false, ErrInvalid
	case Unframed:
		return nil, false, ErrUnframed
	case Shed:
		a.ran = responder.NotRun
		keep = x.conn.recordShed(x.id) && keep
	case ShedUnidentified:
		if x.mayBeRepeated() {
			return nil, false, ErrRepeated
		}
		a.ran = responder.NotRun
		keep = false
	case Accepted:
	}
	RemoveHopByHop(a.Header)
	if x.call.Answered != nil {
		x.call.Answered(a.Status, a.Header)
	}
	if p.Body == http.NoBody {
		a.Body = http.NoBody
		x.complete(keep)
		return a, false, nil
	}
	b := &responseBody{x: x, response: p, result: a, keep: keep, unframed: unframed}
	for k := range p.Trailer {
		a.announcedTrailers = append(a.announcedTrailers, k)
	}
	a.Body = b
	return a, false, nil
}

// streamEndError returns why the end of the stream does not end a response without a length; nil means that it does. The system
// reports a reset once, to a read or to a write. After a write that failed with it, reads see the end of the stream. A reset that
// follows the end of the stream is reported as EPIPE.
func (x *exchange) streamEndError() error {
	// A write that waits for the server ends, since the connection is not used further.
	if err := x.conn.stream.SetWriteDeadline(expired); err != nil {
		return err
	}
	x.writes.Lock()
	defer x.writes.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	if errors.Is(x.writeErr, os.ErrDeadlineExceeded) || errors.Is(x.writeErr, syscall.EPIPE) {
		return nil
	}
	return x.writeErr
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// mayBeRepeated reports whether a shed response that does not identify the request may belong to an earlier one. Servers
// that otherwise identify requests are believed only on a new connection. Other connections are closed after a shed
// response, so that no repetition of it is received.
func (x *exchange) mayBeRepeated() bool {
	return x.mismatched || x.id != "" && x.pooled.Reused
}

// shedFailure returns the failure for a response that states that the server did not run the request.
func (x *exchange) shedFailure(a *Answer) *Failure {
	// A read error does not invalidate the statement in the header. The connection is closed either by that error or by
	// Close.
	k := time.AfterFunc(shedBodyTimeout, x.abort)
	defer k.Stop()
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

// complete ends the exchange after the last byte of the response.
func (x *exchange) complete(keep bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.received = true
	switch {
	case !keep || x.writeErr != nil || x.requestErr != nil || x.preWriteErr != nil:
		x.release(false)
	case x.sent:
		x.release(true)
	}
	// Otherwise the request is still being written, and send or abort releases the connection.
}

// abort ends the exchange early. After the end of the exchange it has no effect, since the connection may carry another
// one.
func (x *exchange) abort() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = true
	x.release(false)
}

// release returns the connection to the pool once, for reuse if keep is set; mu must be held.
func (x *exchange) release(keep bool) {
	if x.released {
		return
	}
	x.released = true
	// If the context ended first, abort has closed the connection or is about to close it.
	stopped := x.stopAbort()
	x.cancel()
	if keep && stopped && x.conn.r.Buffered() == 0 {
		x.pool.Put(x.pooled)
		return
	}
	x.pool.Discard(x.pooled)
}

// fail closes the connection and reports whether the request may have run.
func (x *exchange) fail(err error) *Failure {
	// release cancels the context, so the context's own end is recorded first.
	ended := x.ctx.Err() != nil
	cause := context.Cause(x.ctx)
	x.abort()
	if x.writing.Load() {
		// The connection is closed, so a first write in progress returns immediately.
		<-x.firstWriteDone
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	f := &Failure{Ran: responder.NotRun, BodyRead: x.bodyRead.Load()}
	begun := x.wroteByte.Load()
	if begun {
		f.Ran = responder.Unknown
	}
	switch {
	case ended:
		f.Err = cause
	case x.preWriteErr != nil:
		f.Err = x.preWriteErr
	case x.requestErr != nil:
		f.Err = x.requestErr
	case x.writeErr != nil && !begun:
		f.Err = x.writeErr
	default:
		f.Err = err
		f.Broken = begun && isConnectionError(err)
	}
	if f.Broken {
		x.learnFromLoss()
	}
	f.Reason = reasonOf(f.Err, x.defaultReason(begun))
	f.Silent = begun && !x.responded && x.waitedInFull(f.Err)
	if f.Silent {
		x.pool.Retire()
	}
	return f
}

// learnFromLoss records a connection that ended as soon as the server received the first bytes; mu must be held. Later ends
// have other causes than a connection that the server forgot.
func (x *exchange) learnFromLoss() {
	now := x.f.config.Now()
	switch {
	case x.responded, now.Sub(x.firstWriteAt) > 2*x.conn.trip+lossSlack:
	case x.pooled.Reused:
		x.f.rests.lost(now, x.call.Address, x.pooled.Rested)
	default:
		x.f.rests.lostNew()
	}
}

// waitedInFull reports whether the server had the full time to send a first byte, or for the acknowledgement of the request; mu
// must be held.
func (x *exchange) waitedInFull(err error) bool {
	if errors.Is(err, ErrDeadline) || errors.Is(err, syscall.ETIMEDOUT) {
		return true
	}
	return errors.Is(err, context.Canceled) && x.f.config.Now().Sub(x.firstWriteAt) >= x.f.config.UnresponsiveAfter
}

// defaultReason returns the reason of failures caused neither by the caller nor by the deadline; mu must be held.
func (x *exchange) defaultReason(begun bool) responder.Reason {
	switch {
	case begun:
		return responder.TargetFailed
	case x.preWriteErr != nil:
		return responder.Stale
	}
	return responder.TargetUnreachable
}

// isConnectionError reports whether err comes from the connection rather than from data that the server sent, or from the silence
// of a server that is out of reach.
func isConnectionError(err error) bool {
	for _, e := range []error{ErrUnsolicited, ErrMismatched, ErrRepeated, ErrInvalid, ErrUnframed, ErrMalformed, ErrSwitchedProtocols, ErrInformational, ErrHeaderTooLarge, ErrDeadline, syscall.ETIMEDOUT} {
		if errors.Is(err, e) {
			return false
		}
	}
	return true
}
