package forwarder

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"

	"celeryhead.dev/celeryhead/responder"
)

// requestBody reads the body of a request and takes over its trailers at the end.
type requestBody struct {
	x       *exchange
	in      *http.Request
	trailer http.Header
	reads   int
}

// unflushed hides bufio.Writer's type from Request.Write, which would send the header before the first byte
// of the body is there. Until then the request can still be refused as not run.
type unflushed struct{ w *bufio.Writer }

func (u unflushed) Write(p []byte) (int, error)       { return u.w.Write(p) }
func (u unflushed) WriteByte(c byte) error            { return u.w.WriteByte(c) }
func (u unflushed) WriteString(s string) (int, error) { return u.w.WriteString(s) }

// Read reads from the caller. From the second time on it first sends what was read before, so that a
// caller that sends slowly is forwarded piece by piece.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.reads++; b.reads > 1 {
		if err := b.x.link.w.Flush(); err != nil {
			return 0, err
		}
	}
	n, err := b.in.Body.Read(p)
	if n > 0 {
		b.x.bodyRead.Store(true)
	}
	if errors.Is(err, io.EOF) {
		for k := range b.trailer {
			b.trailer[k] = b.in.Trailer[k]
		}
	}
	return n, err
}

// Close does nothing: the body belongs to the caller's server.
func (b *requestBody) Close() error {
	return nil
}

// allowedTrailers returns a map of its own with the announced trailers that may be forwarded.
func allowedTrailers(in http.Header) http.Header {
	var r http.Header
	for k := range in {
		if !trailerAllowed(k) {
			continue
		}
		if r == nil {
			r = make(http.Header)
		}
		r[k] = nil
	}
	return r
}

// Answer is the answer of a server; hop-by-hop fields are removed.
type Answer struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the length is unknown.
	ContentLength int64
	// Body returns io.EOF only after the whole answer, otherwise a *Failure; a holder may wrap it.
	Body io.ReadCloser
	// Trailer is filled when Body has returned io.EOF.
	Trailer http.Header

	announced []string
	ran       responder.Ran
}

// answerBody reads the body of an answer and ends the exchange.
type answerBody struct {
	x *exchange
	p *http.Response
	a *Answer
	// keep is true if the connection may be used again after the answer.
	keep bool

	mu  sync.Mutex
	err error
}

// Read reads from the server.
func (b *answerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.p.Body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.err = io.EOF
		b.takeTrailer()
		b.x.complete(b.keep)
	default:
		b.err = b.x.fail(err)
	}
	return n, b.err
}

// Close ends the exchange; if the answer was not read to its end the connection is closed.
func (b *answerBody) Close() error {
	if !b.mu.TryLock() {
		// A Read is under way; the end of the context closes the connection unless that Read completes the answer.
		b.x.cancel()
		return nil
	}
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
		b.x.abort()
	}
	return nil
}

func (b *answerBody) takeTrailer() {
	for k, v := range b.p.Trailer {
		if !trailerAllowed(k) {
			continue
		}
		if b.a.Trailer == nil {
			b.a.Trailer = make(http.Header)
		}
		b.a.Trailer[k] = v
	}
}
