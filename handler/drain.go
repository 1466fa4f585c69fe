package handler

import (
	"context"
	"net/http"
	"time"
)

const (
	// drainReserve is the part of the grace that is left for the end of the process itself.
	drainReserve = 8
	// drainInterval is how often a leaving instance looks whether it is done.
	drainInterval = 20 * time.Millisecond
	// lookupSlack is how long after the end of an answer's life callers may still begin a connection.
	lookupSlack = 300 * time.Millisecond
)

// drain lets callers go elsewhere, then waits for the requests that run.
func (s *Server) drain(callers *http.Server) {
	start := s.clock()
	limit := s.limits.Load().Grace - s.limits.Load().Grace/drainReserve
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	s.log.Leaving(int(s.inFlight.Load()))
	s.leaving.Store(true)
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
	// Shutdown closes the listener and idle connections and waits for requests that run.
	if err := callers.Shutdown(ctx); err != nil {
		s.log.DrainCut(int(s.inFlight.Load()))
	}
	s.log.Stopped(s.clock().Sub(start))
}
