package forwarder

import (
	"io"
	"net/http"
	"slices"
	"sync"
)

// copyBuffer is the size of the pieces in which answers are copied, in bytes.
const copyBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// Copy sends the whole answer to w. If that fails it panics with http.ErrAbortHandler, so that the caller's
// connection breaks and a truncated answer never looks whole; a deferred function can see that it happened.
func Copy(w http.ResponseWriter, a *Answer) {
	defer func() { _ = a.Body.Close() }()
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	for _, k := range a.announced {
		if trailerAllowed(k) {
			h.Add("Trailer", k)
		}
	}
	w.WriteHeader(a.Status)
	stream := a.ContentLength < 0 && a.Body != http.NoBody
	if len(a.announced) > 0 {
		// An answer with trailers must be chunked, even if its body is short.
		flush(w)
	}
	if !copyBody(w, a.Body, stream) {
		panic(http.ErrAbortHandler)
	}
	for _, k := range a.announced {
		// A field of the same name in the header is not repeated in the trailer.
		delete(h, k)
	}
	for k, v := range a.Trailer {
		if !slices.Contains(a.announced, k) {
			k = http.TrailerPrefix + k
		}
		h[k] = v
	}
}

// copyBody reports whether all of body reached w; a streamed body is flushed piece by piece.
func copyBody(w http.ResponseWriter, body io.Reader, stream bool) bool {
	p := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(p)
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

// flush ignores writers that cannot flush, such as recorders.
func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}
