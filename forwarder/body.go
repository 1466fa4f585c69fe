package forwarder

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"

	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/verifier"
)

// requestBody reads the body of an incoming request and copies its trailers at the end.
type requestBody struct {
	x        *exchange
	incoming *http.Request
	trailer  http.Header
	reads    int
}

// noFlushWriter hides the type of bufio.Writer from Request.Write, which would otherwise flush the header before the
// first byte of the body is available. Until that flush the request can still fail as not run.
type noFlushWriter struct{ w *bufio.Writer }

func (u noFlushWriter) Write(p []byte) (int, error)       { return u.w.Write(p) }
func (u noFlushWriter) WriteByte(c byte) error            { return u.w.WriteByte(c) }
func (u noFlushWriter) WriteString(s string) (int, error) { return u.w.WriteString(s) }

// Read reads from the caller. Every call but the first flushes the previous data first, so that a slowly sent body is
// forwarded as it arrives.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.reads++; b.reads > 1 {
		if err := b.x.conn.w.Flush(); err != nil {
			return 0, err
		}
	}
	n, err := b.incoming.Body.Read(p)
	if n > 0 {
		b.x.bodyRead.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.x.bodyTimeout.Store(true)
	}
	if errors.Is(err, io.EOF) {
		for k := range b.trailer {
			b.trailer[k] = b.incoming.Trailer[k]
		}
	}
	return n, err
}

// Close does nothing, because the caller's server owns the body.
func (b *requestBody) Close() error {
	return nil
}

// allowedTrailers returns a new map with the announced trailers that may be forwarded.
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

// Answer is the response of a server, without hop-by-hop fields.
type Answer struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the length is unknown.
	ContentLength int64
	// Body returns io.EOF only after the complete response, and otherwise a *Failure. Callers of Do may wrap it.
	Body io.ReadCloser
	// Trailer is set once Body has returned io.EOF.
	Trailer http.Header

	announcedTrailers []string
	ran               responder.Ran
}

// responseBody reads the body of a response and ends the exchange.
type responseBody struct {
	x        *exchange
	response *http.Response
	result   *Answer
	// keep is true if the connection may be reused after the response.
	keep bool
	// unframed is true if the end of the connection is the end of the response.
	unframed bool

	mu  sync.Mutex
	err error
}

// Read reads from the server.
func (b *responseBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = b.endError()
	}
	if err != nil {
		b.err = b.x.fail(err)
		return n, b.err
	}
	b.err = io.EOF
	b.copyTrailers()
	b.x.complete(b.keep)
	return n, b.err
}

// endError returns why the response is not complete although its last byte was read, or nil.
func (b *responseBody) endError() error {
	if err := verifier.Fields(b.response.Trailer); err != nil {
		return errors.Join(ErrMalformed, err)
	}
	if b.unframed {
		return b.x.streamEndError()
	}
	return nil
}

// Close ends the exchange. If the response was not read to its end, the connection is closed.
func (b *responseBody) Close() error {
	if !b.mu.TryLock() {
		// A Read is in progress. Canceling the context closes the connection unless that Read completes the response.
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

func (b *responseBody) copyTrailers() {
	for k, v := range b.response.Trailer {
		if !trailerAllowed(k) {
			continue
		}
		if b.result.Trailer == nil {
			b.result.Trailer = make(http.Header)
		}
		b.result.Trailer[k] = v
	}
}
