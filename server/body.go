package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/responder"
)

// bufferedBytes is how much of a body is read before the request is forwarded; such bodies can be sent to another owner.
const bufferedBytes = 64 << 10

// body is the body of a request: its buffered beginning, then the rest from the caller.
type body struct {
	head    []byte
	rest    io.Reader
	trailer http.Header
	// length is that of the request, or -1.
	length int64
	// read ends the limit on reads.
	read func()
}

// connectionSlack is how long after the deadline of a request its caller may take the rest of the answer.
const connectionSlack = 5 * time.Second

// limitWrites ends writes to a caller that has gone silent; the limit stays with the connection until the next request.
func limitWrites(w http.ResponseWriter, deadline time.Time) {
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

// readBody reads the beginning of a body, so that a slow caller does not occupy a slot with a small one.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (*body, *responder.Refusal) {
	b := &body{trailer: r.Trailer, length: r.ContentLength, read: func() {}}
	d := time.Now().Add(deadline.Sub(s.clock()))
	limitWrites(w, d)
	if r.ContentLength == 0 {
		return b, nil
	}
	b.read = limitReads(w, d)
	in := io.Reader(r.Body)
	if m := s.settings.Limits.BodyBytes; m > 0 {
		if r.ContentLength > m {
			return nil, bodyTooLarge()
		}
		in = http.MaxBytesReader(w, r.Body, m)
	}
	var err error
	b.head, err = io.ReadAll(io.LimitReader(in, bufferedBytes+1))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	if len(b.head) > bufferedBytes {
		b.rest = in
	} else {
		b.read()
		authenticator.StripHeader(b.trailer)
	}
	if b.whole() && len(b.trailer) == 0 {
		b.length = int64(len(b.head))
	}
	return b, nil
}

func bodyRefusal(err error) *responder.Refusal {
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return bodyTooLarge()
	}
	return badRequest("the body could not be read")
}

// whole reports whether the body is buffered as a whole and can be sent again.
func (b *body) whole() bool {
	return b.rest == nil
}

// open returns a reader of the body; a body that is not whole can be opened once.
func (b *body) open() io.ReadCloser {
	return &bodyReader{body: b, head: bytes.NewReader(b.head)}
}

// digest covers the buffered beginning and the length.
func (b *body) digest() [sha256.Size]byte {
	h := sha256.New()
	_, _ = h.Write(b.head)
	_ = binary.Write(h, binary.BigEndian, b.length)
	return [sha256.Size]byte(h.Sum(nil))
}

// bodyReader reads a body for one sending.
type bodyReader struct {
	body *body
	head *bytes.Reader
}

// Read returns the buffered beginning, then the rest.
func (r *bodyReader) Read(p []byte) (int, error) {
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
func (r *bodyReader) Close() error {
	return nil
}
