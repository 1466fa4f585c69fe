package spooler

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/responder"
)

// BufferedBytes is how much of a body is read before the request is forwarded; such bodies can be sent to another owner.
const BufferedBytes = 64 << 10

// Body is the body of a request: its buffered beginning, then the rest from the caller.
type Body struct {
	head    []byte
	rest    io.Reader
	trailer http.Header
	// Length is that of the request in bytes, or -1.
	Length int64
	// read ends the limit on reads.
	read func()
}

// connectionSlack is how long after the deadline of a request its caller may take the rest of the answer.
const connectionSlack = 5 * time.Second

// LimitWrites ends writes to a caller that has gone silent; the limit stays with the connection until the next request.
func LimitWrites(w http.ResponseWriter, deadline time.Time) {
	// Writers without deadlines are no connections.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(connectionSlack))
}

// limitReads ends reads of a body from a caller that has gone silent; without a limit the request, and with it a
// shutdown, would wait until the kernel gives up. The returned function ends the limit and must be called once
// the body was read: net/http reads on to see the caller leave, and a limit that passes then cancels this and all
// later requests of the connection.
func limitReads(w http.ResponseWriter, deadline time.Time) func() {
	k := http.NewResponseController(w)
	_ = k.SetReadDeadline(deadline)
	return func() { _ = k.SetReadDeadline(time.Time{}) }
}

// Limits bounds the reading of a body.
type Limits struct {
	// Left is the time until the deadline of the request.
	Left time.Duration
	// Bytes is the largest body that is accepted; 0 accepts all.
	Bytes int64
}

// Read reads the beginning of a body, so that a slow caller does not occupy a slot with a small one.
func Read(w http.ResponseWriter, r *http.Request, l Limits) (*Body, *responder.Refusal) {
	b := &Body{trailer: r.Trailer, Length: r.ContentLength, read: func() {}}
	d := time.Now().Add(l.Left)
	LimitWrites(w, d)
	if r.ContentLength == 0 {
		return b, nil
	}
	b.read = limitReads(w, d)
	in := io.Reader(r.Body)
	if m := l.Bytes; m > 0 {
		if r.ContentLength > m {
			return nil, bodyTooLarge()
		}
		in = http.MaxBytesReader(w, r.Body, m)
	}
	var err error
	b.head, err = io.ReadAll(io.LimitReader(in, BufferedBytes+1))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	if len(b.head) > BufferedBytes {
		b.rest = in
	} else {
		b.read()
		authenticator.StripHeader(b.trailer)
	}
	if b.Whole() && len(b.trailer) == 0 {
		b.Length = int64(len(b.head))
	}
	return b, nil
}

func bodyRefusal(err error) *responder.Refusal {
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return bodyTooLarge()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The request may be a proper one whose way here fails.
		return badBody(http.StatusRequestTimeout, responder.DeadlineExceeded, "the body did not come in time")
	}
	return badRequest("the body could not be read")
}

// Whole reports whether the body is buffered as a whole and can be sent again.
func (b *Body) Whole() bool {
	return b.rest == nil
}

// Open returns a reader of the body; a body that is not whole can be opened once.
func (b *Body) Open() io.ReadCloser {
	return &reader{body: b, head: bytes.NewReader(b.head)}
}

// Digest covers the buffered beginning and the length.
func (b *Body) Digest() [sha256.Size]byte {
	h := sha256.New()
	_, _ = h.Write(b.head)
	_ = binary.Write(h, binary.BigEndian, b.Length)
	return [sha256.Size]byte(h.Sum(nil))
}

// reader reads a body for one sending.
type reader struct {
	body *Body
	head *bytes.Reader
}

// Read returns the buffered beginning, then the rest.
func (r *reader) Read(p []byte) (int, error) {
	if r.head.Len() > 0 || r.body.rest == nil {
		return r.head.Read(p)
	}
	n, err := r.body.rest.Read(p)
	if errors.Is(err, io.EOF) {
		r.body.read()
		authenticator.StripHeader(r.body.trailer)
	}
	return n, err
}

// Close does nothing: the caller's server closes the body.
func (r *reader) Close() error {
	return nil
}

// Buffered returns the number of bytes that are buffered.
func (b *Body) Buffered() int {
	return len(b.head)
}

func bodyTooLarge() *responder.Refusal {
	return badBody(http.StatusRequestEntityTooLarge, responder.BodyTooLarge, "the body is larger than this instance accepts")
}

func badRequest(message string) *responder.Refusal {
	return badBody(http.StatusBadRequest, responder.BadRequest, message)
}

func badBody(status int, r responder.Reason, message string) *responder.Refusal {
	return &responder.Refusal{Status: status, Reason: r, Ran: responder.NotRun, Message: message}
}
