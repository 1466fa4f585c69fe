package guarder

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/spooler"
)

// restTimeout bounds how long net/http waits for the rest of a body after the answer.
const restTimeout = time.Second

// Config holds the state that Count updates and reads.
type Config struct {
	// InFlight is incremented while a request is being served.
	InFlight *atomic.Int64
	// Leaving is true once the instance has begun to shut down; nil if the listener decides when connections end.
	Leaving *atomic.Bool
}

// Count tracks the requests in flight, sets a first write deadline on the connection, bounds the wait for the rest of a body
// after the answer, and sets "Connection: close" on answers while the instance shuts down, so that callers send no further
// request on the connection.
func Count(c Config, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.InFlight.Add(1)
		defer c.InFlight.Add(-1)
		if c.Leaving != nil && c.Leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		spooler.LimitWrites(w, time.Now())
		if r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(w, r)
		// An error means that the writer is not a connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
	})
}

// LogPanics recovers a panic of the handler, logs it with its stack, and aborts the connection. http.ErrAbortHandler is
// not logged, because handlers raise it on purpose.
func LogPanics(l *logger.Logger, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			//nolint:errorlint // net/http compares this value itself.
			if v != http.ErrAbortHandler {
				l.RequestPanicked(r.Method, fmt.Sprintf("%v\n%s", v, debug.Stack()))
			}
			if !r.ProtoAtLeast(1, 1) {
				reset(w)
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}

// lingerer is a TCP connection, which a listener may have wrapped.
type lingerer interface {
	SetLinger(seconds int) error
}

// reset resets the connection of an HTTP/1.0 caller. An answer without a length ends with its connection there, so an
// orderly close would make a truncated one look complete.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*tls.Conn); ok {
		// Without the alert of an orderly close.
		c = t.NetConn()
	}
	if t, ok := c.(lingerer); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
