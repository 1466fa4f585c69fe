package handler

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/pipeliner"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/spooler"
)

// earlyShare is the divisor of the room for buffered answers that requests started before their turn may fill. The rest is left
// to requests whose turn it is.
const earlyShare = 2

// early is a pipelined request that is served before its turn.
type early struct {
	server *Server
	call   *call
	cancel context.CancelFunc

	// done is closed once the fields up to panicked are set.
	done     chan struct{}
	answer   *forwarder.Answer
	refusal  *responder.Refusal
	panicked bool

	mu                       sync.Mutex
	taken, dropped, finished bool
	// cause is why the request was dropped.
	cause pipeliner.Cause
}

// startPipelined makes pipelined requests of callers run beside those that are served.
func (s *Server) startPipelined(callers *http.Server, l net.Listener) *pipeliner.Listener {
	return pipeliner.Listen(callers, l, pipeliner.Config{Safe: s.idempotent, Start: s.startEarly})
}

// readOneByOne makes a server read no byte of a further request before its turn, so that the budget of the listener counts it.
// Nothing starts early.
func readOneByOne(x *http.Server, l net.Listener) net.Listener {
	return pipeliner.Listen(x, l, pipeliner.Config{
		Safe:  func(*http.Request) bool { return false },
		Start: func(context.Context, *http.Request) pipeliner.Run { return nil },
	})
}

// idempotent reports whether the route of a request allows that it runs more than once.
func (s *Server) idempotent(r *http.Request) bool {
	t, ok := s.book.Catalog().Find(r.Host, sentPath(r))
	return ok && t.Idempotent
}

// startEarly serves a request up to the beginning of its answer, which takes room from here on. It returns nil if there is no
// room.
func (s *Server) startEarly(ctx context.Context, r *http.Request) pipeliner.Run {
	if !s.answers.take(bufferedAnswer, s.answersLimit()/earlyShare) {
		return nil
	}
	e := &early{
		server: s,
		call:   &call{arrival: s.clock(), envelope: s.protocol.Envelope(r), reserved: bufferedAnswer},
		done:   make(chan struct{}),
	}
	ctx, e.cancel = context.WithCancel(ctx)
	s.meter.EarlyStart()
	go e.run(r.WithContext(ctx))
	return e
}

func (e *early) run(r *http.Request) {
	defer e.finish()
	defer func() {
		// A panic in this goroutine would end the process.
		v := recover()
		e.panicked = v != nil
		//nolint:errorlint // net/http compares this value itself.
		if e.panicked && v != http.ErrAbortHandler {
			e.server.log.RequestPanicked(r.Method, fmt.Sprintf("%v\n%s", v, debug.Stack()))
		}
	}()
	e.answer, e.refusal = e.server.serve(unwritten{}, r, e.call)
}

// finish hands over the outcome.
func (e *early) finish() {
	e.server.answers.put(e.call.reserved)
	e.call.reserved = 0
	close(e.done)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finished = true
	if e.dropped {
		e.discard()
	}
}

// Drop cancels the request. If its turn has not come, it counts as not read; its outcome is only logged.
func (e *early) Drop(cause pipeliner.Cause) {
	e.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.taken || e.dropped {
		return
	}
	e.dropped, e.cause = true, cause
	e.server.meter.EarlyDrop()
	if e.finished {
		go e.discard()
	}
}

func (e *early) discard() {
	if e.answer != nil {
		_ = e.answer.Body.Close()
	}
	e.call.dropped = e.cause
	e.server.observe(e.call, e.refusal)
}

// takeOver returns the request whose turn r is, or nil if it was not started before.
func takeOver(r *http.Request) *early {
	e, ok := pipeliner.Taken(r.Context()).(*early)
	if !ok {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dropped {
		return nil
	}
	e.taken = true
	e.server.meter.EarlyTakeover()
	return e
}

// wait returns the outcome. It stands in for serve.
func (e *early) wait(w http.ResponseWriter, _ *http.Request, c *call) (*forwarder.Answer, *responder.Refusal) {
	<-e.done
	if e.panicked {
		panic(http.ErrAbortHandler)
	}
	// An answer that is late because of earlier ones may still be written.
	left := c.deadline.Sub(e.server.clock())
	spooler.LimitWrites(w, time.Now().Add(max(left, 0)))
	if e.answer != nil && !c.whole && left <= -answerPatience {
		// The rest cannot be had any more. An answer that breaks off would take those behind it with it.
		_ = e.answer.Body.Close()
		return nil, deadlinePassed()
	}
	return e.answer, e.refusal
}

// unwritten takes the place of the caller of a request that has no body, while its answer cannot be written.
type unwritten struct{}

func (unwritten) Header() http.Header         { return http.Header{} }
func (unwritten) Write(p []byte) (int, error) { return len(p), nil }
func (unwritten) WriteHeader(int)             {}
