package handler

import (
	"context"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/placer"
)

// watch looks after a request whose target may be gone: its connection stays open and silent.
type watch struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc

	mu   sync.Mutex
	over bool
	// next is where the request goes instead; the attempt was cut if it is set.
	next *placer.Lease
}

// watch suspects the target of a request that takes much longer than usual while the target answers nothing else. New
// requests then go elsewhere; this one does too if it may run twice and another target has room for it. Otherwise it
// waits for its answer until its deadline, and so do all requests of a leaving instance.
func (s *Server) watch(ctx context.Context, c *call, l *placer.Lease) (context.Context, *watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{cancel: cancel}
	p := l.Patience()
	w.timer = time.AfterFunc(p, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		// A target may wait for the rest of a body.
		if w.over || !c.body.Complete() || !s.placer.Suspect(s.clock(), l) {
			return
		}
		s.log.TargetSuspected(c.envelope.ID, l.Target.Name, p)
		if c.hedged != nil && c.hedged.Load() {
			return
		}
		if !c.route.Idempotent || c.alone || !c.body.Whole() || c.sent+1 >= c.route.MaxTargets || s.leaving.Load() {
			return
		}
		if w.next = s.reserve(c); w.next != nil {
			cancel(nil)
		}
	})
	return ctx, w
}

// stop ends the exchange.
func (w *watch) stop() {
	w.cancel(nil)
}

// reserve places a request on a further target within the budget of retries; nil means that there is none.
func (s *Server) reserve(c *call) *placer.Lease {
	l, f := s.place(c)
	if f != nil {
		return nil
	}
	if !s.budget.Take(s.clock(), c.service) {
		s.placer.End(s.clock(), l, placer.Canceled)
		return nil
	}
	return l
}

// end ends the watch and returns where the request goes instead, if its attempt was cut.
func (w *watch) end() *placer.Lease {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	return w.next
}
