package handler

import (
	"context"
	"sync/atomic"
	"time"

	"celeryhead.dev/celeryhead/placer"
)

// watch looks after a request whose target may be gone: its connection stays open and silent.
type watch struct {
	timer  *time.Timer
	cancel context.CancelFunc
	// gaveUp is set before the attempt is cut.
	gaveUp atomic.Bool
}

// watch suspects the target of a request that takes much longer than usual while the target answers nothing else. New
// requests then go elsewhere; this one does too if it may run twice and has the time. One that may run only once waits
// for its answer until its deadline.
func (s *Server) watch(ctx context.Context, c *call, l *placer.Lease) (context.Context, *watch) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{cancel: cancel}
	p := l.Patience()
	w.timer = time.AfterFunc(p, func() {
		if !s.placer.Suspect(s.clock(), l) {
			return
		}
		s.log.TargetSuspected(c.envelope.ID, l.Target.Name, p)
		if left := c.deadline.Sub(s.clock()); c.route.Idempotent && c.body.Whole() && left > l.Run && c.sent+1 < c.route.MaxTargets {
			w.gaveUp.Store(true)
			cancel()
		}
	})
	return ctx, w
}

func (w *watch) stop() {
	w.timer.Stop()
	w.cancel()
}
