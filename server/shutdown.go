package server

import (
	"context"
	"sync/atomic"
	"time"
)

// shutdownInterval is how often a leaving instance looks whether it is done.
const shutdownInterval = 20 * time.Millisecond

// handOverLimit bounds the wait for an assignment without this instance, which cannot be written while the store is down.
const handOverLimit = 15 * time.Second

// sendReserve is the part at the end of the drain limit in which no request is sent, because it could be cut.
const sendReserve = 8

// answerReserve is the time at the end of the drain limit for the answers to requests that wait for a body or a slot.
const answerReserve = 500 * time.Millisecond

// draining is the state of an instance that shuts down.
type draining struct {
	// closed is true once new requests of callers are refused.
	closed atomic.Bool
	// lastSend is when the last request may be sent; nil until the shutdown begins.
	lastSend atomic.Pointer[time.Time]
	// ending is done shortly before the end, when requests that wait are refused.
	ending context.Context //nolint:containedctx // It is a signal and belongs to no call.
	finish context.CancelFunc
}

// maySend reports whether a request may be sent to a target or an owner.
func (d *draining) maySend(now time.Time) bool {
	t := d.lastSend.Load()
	return t == nil || now.Before(*t)
}

// stopTimeout bounds telling the peers that this incarnation has stopped.
const stopTimeout = time.Second

// shutdown lets other instances take over, then waits for callers that still use older answers and for requests that run. New
// requests are refused once others own what this instance owned. Towards the end of the drain limit nothing is sent any more, and
// what waits is refused.
func (s *Server) shutdown(ls []*listener) {
	start := s.clock()
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Timing.DrainLimit)
	defer cancel()
	limit := s.settings.Timing.DrainLimit
	last := start.Add(limit - limit/sendReserve)
	s.draining.lastSend.Store(&last)
	defer time.AfterFunc(limit-answerReserve, s.draining.finish).Stop()
	s.log.Leaving(int(s.inFlight.Load()))
	s.leaving.Store(true)
	s.control.Leave()
	// Callers may use an answer for its time to live, and a peer may name this instance until its next heartbeat.
	s.wait(ctx, func() bool {
		return s.clock().Sub(start) >= s.control.View().Config.Lookup.TimeToLive+s.settings.Timing.Heartbeat
	})
	// Until another instance may own what this one owns, requests would find no owner.
	x, done := context.WithTimeout(ctx, handOverLimit)
	s.wait(x, func() bool { return !s.control.Assigned() })
	done()
	s.draining.closed.Store(true)
	s.wait(ctx, func() bool { return s.inFlight.Load() == 0 && !s.pools.busy() })
	if n := s.inFlight.Load(); n > 0 {
		s.log.DrainCut(int(n))
	}
	for _, l := range ls {
		if l.name == "callers" {
			_ = l.server.Shutdown(ctx)
		}
	}
	s.finishing.Wait()
	x, done = context.WithTimeout(context.Background(), stopTimeout)
	defer done()
	s.control.Stop(x)
	s.log.Stopped(s.clock().Sub(start))
}

func (s *Server) wait(ctx context.Context, done func() bool) {
	t := time.NewTicker(shutdownInterval)
	defer t.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
