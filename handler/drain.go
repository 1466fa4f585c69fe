package handler

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"celeryhead.dev/celeryhead/pipeliner"
	"celeryhead.dev/celeryhead/placer"
	"celeryhead.dev/celeryhead/responder"
)

const (
	// drainReserve is the part of the grace that is left for the end of the process itself.
	drainReserve = 8
	// drainInterval is how often a leaving instance looks whether it is done.
	drainInterval = 20 * time.Millisecond
	// lookupSlack is how long after the end of an answer's life callers may still begin a connection.
	lookupSlack = 300 * time.Millisecond
	// answerReserve is the time at the end of a drain for the answers to requests that no target got.
	answerReserve = 100 * time.Millisecond
)

// draining is the state of a leaving instance.
type draining struct {
	// end is when the requests that still run are cut; nil until the instance leaves.
	end atomic.Pointer[time.Time]
	// closed is true once new requests are refused.
	closed atomic.Bool
	// ending is done shortly before the end, when requests that wait are refused.
	ending context.Context //nolint:containedctx // It is a signal and belongs to no call.
	finish context.CancelFunc
}

// maySend reports whether a request that is sent now is expected to end before the instance does.
func (d *draining) maySend(now time.Time, l *placer.Lease) bool {
	e := d.end.Load()
	return e == nil || now.Add(l.Patience()).Before(*e)
}

// giveUpAtEnd cancels a request at the end of a drain if others of its connection wait for its answer; theirs may be there already.
// The returned function ends that, and reports at its first call whether the request was not canceled.
func (d *draining) giveUpAtEnd(ctx context.Context, cancel context.CancelFunc) (keep func() bool) {
	var decided atomic.Bool
	stop := context.AfterFunc(d.ending, func() {
		if pipeliner.Behind(ctx) && decided.CompareAndSwap(false, true) {
			cancel()
		}
	})
	return func() bool {
		stop()
		return decided.CompareAndSwap(false, true)
	}
}

// errLeaving is the refusal of a request that could be cut at the end of the drain.
var errLeaving = &responder.Refusal{
	Status:  http.StatusServiceUnavailable,
	Reason:  responder.Leaving,
	Ran:     responder.NotRun,
	Message: "this instance ends; use another one",
}

// drain lets callers go elsewhere, then waits for the requests that run. Until the listener closes, requests are taken. Requests
// that come later, on connections that are open, are refused, and so is what waits for its body, a connection or another attempt
// once it cannot be expected to end in time.
func (s *Server) drain(callers *pipeliner.Listener) {
	start := s.clock()
	limit := s.limits.Load().Grace - s.limits.Load().Grace/drainReserve
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	end := start.Add(limit)
	s.draining.end.Store(&end)
	defer time.AfterFunc(limit-answerReserve, func() {
		s.draining.finish()
		s.waiting.cancelAll(errLeaving)
	}).Stop()
	s.log.Leaving(int(s.inFlight.Load()))
	s.leaving.Store(true)
	callers.Leave()
	s.checkReady()
	k := time.NewTicker(drainInterval)
	defer k.Stop()
	for s.clock().Sub(start) < s.limits.Load().LookupLife+lookupSlack {
		select {
		case <-ctx.Done():
			return
		case <-k.C:
		}
	}
	s.draining.closed.Store(true)
	err := callers.Shutdown(ctx)
	// Connections may be open only for their callers to read.
	if n := int(s.inFlight.Load()); err != nil && n > 0 {
		s.log.DrainCut(n)
	}
	s.log.Stopped(s.clock().Sub(start))
}
