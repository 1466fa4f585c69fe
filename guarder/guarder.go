package guarder

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/spooler"
)

// Config configures what Count does.
type Config struct {
	// InFlight is the number of requests that run.
	InFlight *atomic.Int64
	// Leaving is true once the instance leaves.
	Leaving *atomic.Bool
}

// Count counts requests that run, and asks callers of a leaving instance to open no further request on their connection.
func Count(c Config, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.InFlight.Add(1)
		defer c.InFlight.Add(-1)
		if c.Leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		spooler.LimitWrites(w, time.Now())
		h.ServeHTTP(w, r)
	})
}

// LogPanics logs a panic of a handler, which is a fault of the program, and breaks the connection.
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
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}
