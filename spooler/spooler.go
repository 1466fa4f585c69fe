package spooler

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"celeryhead.dev/celeryhead/admitter"
	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/responder"
)

// BufferedBytes is how much of a body is read before the request is forwarded. A body of at most this size can be
// sent to another owner.
const BufferedBytes = 64 << 10

// Body is the body of a request: a buffered prefix, followed by the rest as streamed from the caller.
type Body struct {
	prefix  []byte
	rest    io.Reader
	trailer http.Header
	// ended is true once rest was read to its end.
	ended atomic.Bool
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// failed is the refusal of a request whose rest could not be read.
	failed atomic.Pointer[responder.Refusal]
	// deadline is that of reads from the caller, and clearReadDeadline removes it.
	deadline          time.Time
	clearReadDeadline func()
}

// writeGrace is how long after a request's deadline its caller may still read the answer.
const writeGrace = 5 * time.Second

// LimitWrites sets a deadline for writes to a stalled caller; it stays on the connection until the next request.
func LimitWrites(w http.ResponseWriter, deadline time.Time) {
	// An error means that the writer supports no deadlines, as when it is not a connection.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
}

// limitReads sets a deadline for reads from a caller. Without it, a stalled caller would delay the request, and with
// it a shutdown, until the kernel gives up on the connection. The returned function removes the deadline and must be
// called after the body was read: net/http keeps reading to detect that the caller disconnects, and an expired
// deadline would then cancel this and all later requests of the connection.
func limitReads(w http.ResponseWriter, deadline time.Time) func() {
	k := http.NewResponseController(w)
	_ = k.SetReadDeadline(deadline)
	return func() { _ = k.SetReadDeadline(time.Time{}) }
}

// Limits bounds the reading of a body.
type Limits struct {
	// Left is the time until the deadline of the request.
	Left time.Duration
	// Bytes is the size of the largest accepted body; 0 accepts all.
	Bytes int64
	// Stop ends the wait for the buffered beginning of a body when it is done; nil never does.
	Stop context.Context //nolint:containedctx // It is a signal and does not belong to the request.
	// Reserve reserves n bytes before they are buffered and reports whether there was room; nil always has room.
	Reserve func(n int) bool
}

// Read buffers the beginning of a body before the request gets a slot, so that a slow caller with a small body does
// not occupy one.
func Read(w http.ResponseWriter, r *http.Request, l Limits) (*Body, *responder.Refusal) {
	b := &Body{trailer: r.Trailer, Length: r.ContentLength, clearReadDeadline: func() {}}
	d := time.Now().Add(l.Left)
	LimitWrites(w, d)
	if r.ContentLength == 0 {
		return b, nil
	}
	b.deadline, b.clearReadDeadline = d, limitReads(w, d)
	in := io.Reader(r.Body)
	if m := l.Bytes; m > 0 {
		if r.ContentLength > m {
			return nil, bodyTooLarge()
		}
		in = http.MaxBytesReader(innermost(w), r.Body, m)
	}
	if l.Stop != nil {
		defer context.AfterFunc(l.Stop, func() { limitReads(w, time.Now()) })()
	}
	var err error
	b.prefix, err = l.readPrefix(in, r.ContentLength)
	if err != nil {
		return nil, bodyRefusal(err, d)
	}
	if len(b.prefix) > BufferedBytes {
		b.rest = in
	} else {
		b.clearReadDeadline()
		authenticator.StripHeader(b.trailer)
	}
	if b.Whole() && len(b.trailer) == 0 {
		b.Length = int64(len(b.prefix))
	}
	return b, nil
}

// innermost returns the writer below all wrappers, the only one that http.MaxBytesReader can tell to wait for a caller that still
// sends.
func innermost(w http.ResponseWriter) http.ResponseWriter {
	for {
		u, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = u.Unwrap()
	}
}

// firstBuffer is the size of the first buffer for a body, in bytes.
const firstBuffer = 4 << 10

// readPrefix reads up to one byte more than a body may have that is buffered whole. The buffer doubles as bytes arrive,
// because a caller may never send what it declared.
func (l Limits) readPrefix(in io.Reader, length int64) ([]byte, error) {
	// The byte beyond the end lets the end be read.
	most := BufferedBytes + 1
	if length >= 0 && length < BufferedBytes {
		most = int(length) + 1
	}
	var b []byte
	for {
		if len(b) == cap(b) {
			if len(b) >= most {
				return b, nil
			}
			n := min(max(2*cap(b), firstBuffer), most)
			if l.Reserve != nil && !l.Reserve(n-cap(b)) {
				return nil, admitter.ErrNoRoom
			}
			g := make([]byte, len(b), n)
			copy(g, b)
			b = g
		}
		n, err := in.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// bodyRefusal returns the refusal of a request whose body failed with err. A request of which a part is missing may be
// valid; the path from the caller may have failed.
func bodyRefusal(err error, deadline time.Time) *responder.Refusal {
	var m *http.MaxBytesError
	var n net.Error
	switch {
	case errors.As(err, &m):
		return bodyTooLarge()
	case errors.Is(err, admitter.ErrNoRoom):
		return refusal(http.StatusServiceUnavailable, responder.Overloaded, "there is no room for the body; send the request again")
	// net/http replaces the error of a read that times out in the trailer.
	case errors.Is(err, os.ErrDeadlineExceeded), !time.Now().Before(deadline):
		return refusal(http.StatusRequestTimeout, responder.DeadlineExceeded, "the body did not come in time")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &n):
		return refusal(http.StatusRequestTimeout, responder.BodyIncomplete, "the connection ended before the body")
	}
	return badRequest("the body could not be read")
}

// Whole reports whether the body is buffered completely and can be sent again.
func (b *Body) Whole() bool {
	return b.rest == nil
}

// Complete reports whether the body was received completely.
func (b *Body) Complete() bool {
	return b.Whole() || b.ended.Load()
}

// Failed returns the refusal of a request whose rest could not be read, or nil. It says "not run", although the request may
// have run by then.
func (b *Body) Failed() *responder.Refusal {
	return b.failed.Load()
}

// CloseUnread sets "Connection: close" on the answer to a request whose body was not received completely; b is nil if it was
// not read at all. Otherwise net/http would read the rest before it sends the header, and take it from the request that is
// still being forwarded.
func CloseUnread(w http.ResponseWriter, r *http.Request, b *Body) {
	if b == nil && r.ContentLength != 0 || b != nil && !b.Complete() {
		w.Header().Set("Connection", "close")
	}
}

// Open returns a reader of the body. A body that is not whole can be opened once.
func (b *Body) Open() io.ReadCloser {
	return &reader{body: b, prefix: bytes.NewReader(b.prefix)}
}

// Digest returns a digest of the buffered prefix and the length.
func (b *Body) Digest() [sha256.Size]byte {
	h := sha256.New()
	_, _ = h.Write(b.prefix)
	_ = binary.Write(h, binary.BigEndian, b.Length)
	return [sha256.Size]byte(h.Sum(nil))
}

// reader reads a body for one attempt.
type reader struct {
	body   *Body
	prefix *bytes.Reader
}

// Read returns the buffered prefix, then the rest.
func (r *reader) Read(p []byte) (int, error) {
	if r.prefix.Len() > 0 || r.body.rest == nil {
		return r.prefix.Read(p)
	}
	n, err := r.body.rest.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		r.body.ended.Store(true)
		r.body.clearReadDeadline()
		authenticator.StripHeader(r.body.trailer)
	default:
		r.body.failed.Store(bodyRefusal(err, r.body.deadline))
	}
	return n, err
}

// Close does nothing, because the server that received the request closes the body.
func (r *reader) Close() error {
	return nil
}

// Buffered returns the number of buffered bytes.
func (b *Body) Buffered() int {
	return len(b.prefix)
}

func bodyTooLarge() *responder.Refusal {
	return refusal(http.StatusRequestEntityTooLarge, responder.BodyTooLarge, "the body is larger than this instance accepts")
}

func badRequest(message string) *responder.Refusal {
	return refusal(http.StatusBadRequest, responder.BadRequest, message)
}

func refusal(status int, r responder.Reason, message string) *responder.Refusal {
	return &responder.Refusal{Status: status, Reason: r, Ran: responder.NotRun, Message: message}
}
