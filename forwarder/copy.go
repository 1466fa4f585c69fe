package forwarder

import (
	"io"
	"net/http"
	"slices"
	"sync"
)

// copyBufferSize is the size of the buffer for copying responses, in bytes.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// Copy writes the whole response to w. On an error it panics with http.ErrAbortHandler, so that the caller's connection
// is aborted and a truncated response never looks complete. A deferred function can detect the panic.
func Copy(w http.ResponseWriter, a *Answer) {
	defer func() { _ = a.Body.Close() }()
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	for _, k := range a.announcedTrailers {
		if trailerAllowed(k) {
			h.Add("Trailer", k)
		}
	}
	w.WriteHeader(a.Status)
	stream := a.ContentLength < 0 && a.Body != http.NoBody
	if len(a.announcedTrailers) > 0 {
		// A response with trailers must be chunked, even if its body is short.
		flush(w)
	}
	if !copyBody(w, a.Body, stream) {
		panic(http.ErrAbortHandler)
	}
	for _, k := range a.announcedTrailers {
		// Fields that are also in the header are removed from the trailer.
		delete(h, k)
	}
	for k, v := range a.Trailer {
		if !slices.Contains(a.announcedTrailers, k) {
			k = http.TrailerPrefix + k
		}
		h[k] = v
	}
}

// copyBody reports whether all of body was written to w. If stream is set, it flushes after each read.
func copyBody(w http.ResponseWriter, body io.Reader, stream bool) bool {
	p := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(p)
	for {
		n, err := body.Read(p[:])
		if n > 0 {
			if _, werr := w.Write(p[:n]); werr != nil {
				return false
			}
			if stream {
				flush(w)
			}
		}
		if err != nil {
			return err == io.EOF
		}
	}
}

// flush flushes w if it supports flushing; recorders, for example, may not.
func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}
