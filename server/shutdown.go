package server

import (
	"context"
	"time"
)

// shutdownInterval is how often a leaving instance looks whether it is done.
const shutdownInterval = 20 * time.Millisecond

// handOverLimit bounds the wait for an assignment without this instance, which cannot be written while the store is down.
const handOverLimit = 15 * time.Second

// stopTimeout bounds telling the peers that this incarnation has stopped.
const stopTimeout = time.Second

// shutdown lets other instances take over, then waits for callers that still use older answers and for requests that run.
func (s *Server) shutdown(ls []*listener) {
	start := s.clock()
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Timing.DrainLimit)
	defer cancel()
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
