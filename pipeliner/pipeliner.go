package pipeliner

import (
	"context"
	"net"
	"net/http"
)

// MaxEarly is the number of requests of one connection that may have been started before their turn at a time.
const MaxEarly = 16

// Run is a request that was started before its turn.
type Run interface {
	// Drop cancels the run unless it has ended. It is called at least once, also after the handler that took the run over, and
	// must not block. Only the first cause counts.
	Drop(c Cause)
}

// Cause is why a run is dropped, in snake case.
type Cause string

// Causes.
const (
	// CallerLeft means that the caller disconnected.
	CallerLeft Cause = "caller_left"
	// ConnectionEnded means that the connection ended on this side with requests that were started.
	ConnectionEnded Cause = "connection_ended"
	// Unmatched means that net/http read the request in another way.
	Unmatched Cause = "unmatched"
	// Served means that the handler of the request ended.
	Served Cause = "served"
)

// Config says which requests are started, and how.
type Config struct {
	// Safe reports whether a request may run while others of its connection do. It gets requests without a body, with method
	// GET or HEAD.
	Safe func(r *http.Request) bool
	// Start starts a safe request; nil means that it waits for its turn. It must not block. The context has the values of the
	// connection and is never done.
	Start func(ctx context.Context, r *http.Request) Run
}

// Listen makes s start pipelined requests on the connections of the returned listener. It wraps the hooks for connections of s,
// which get the connections of l, and its handler.
func Listen(s *http.Server, l net.Listener, config Config) *Listener {
	h, enter, change := s.Handler, s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		c, ok := n.(*conn)
		if ok {
			n = c.Conn
		}
		if enter != nil {
			ctx = enter(ctx, n)
		}
		if ok {
			c.values = ctx
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(n net.Conn, t http.ConnState) {
		if c, ok := n.(*conn); ok {
			c.setState(t)
			n = c.Conn
		}
		if change != nil {
			change(n, t)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		run := c.begin(r)
		defer c.end(run)
		if run != nil {
			r = r.WithContext(context.WithValue(r.Context(), runKey{}, run))
		}
		a := &response{ResponseWriter: w, conn: c}
		h.ServeHTTP(a, r)
		a.decide()
	})
	return &Listener{Listener: l, config: &config, open: map[*conn]struct{}{}}
}

// Taken returns the run that was started for the request with a context, or nil. The handler of the request takes it over.
func Taken(ctx context.Context) Run {
	r, _ := ctx.Value(runKey{}).(Run)
	return r
}

// Behind reports whether requests that were started wait for the answer to the one with a context.
func Behind(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.behind()
}

type (
	connKey struct{}
	runKey  struct{}
)
