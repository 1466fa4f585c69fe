package handler

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/hedger"
	"celeryhead.dev/celeryhead/placer"
	"celeryhead.dev/celeryhead/responder"
)

// hedgeConfig returns the limit of second attempts.
func (l *Limits) hedgeConfig() hedger.Config {
	return hedger.Config{Share: l.HedgeShare, Window: l.Retries.Window}
}

// sendHedged has one target run the request, and a second one if the first takes long and the request may run there too. The
// answer that comes first counts; the other attempt is canceled.
func (s *Server) sendHedged(ctx context.Context, c *call, l *placer.Lease) *attempt {
	begun := s.clock()
	delay, ok := s.hedger.Delay(c.route.Name, c.service)
	if !ok || !s.mayHedge(c) || !begun.Add(delay).Before(c.deadline) {
		a := s.send(ctx, c, l)
		s.observeFirst(c, a, s.clock().Sub(begun))
		return a
	}
	c.hedged = &atomic.Bool{}
	first := s.launch(ctx, c, l)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-first.done:
		s.observeFirst(c, a, s.clock().Sub(begun))
		return a
	case <-timer.C:
	}
	k := s.reserveHedge(ctx, c, l)
	if k == nil {
		a := <-first.done
		s.observeFirst(c, a, s.clock().Sub(begun))
		return a
	}
	c.hedged.Store(true)
	s.meter.Hedge()
	c.tried = append(c.tried, k.Target.Name)
	second := s.launch(ctx, c, k)
	winner, loser := first, second
	var a *attempt
	select {
	case a = <-first.done:
	case a = <-second.done:
		winner, loser = second, first
	}
	if a.answer == nil || a.outcome != placer.Answered {
		// The other one may do better.
		b := <-loser.done
		c.mayHaveRun = c.mayHaveRun || a.mayHaveRun() || b.mayHaveRun()
		if better(b, a) {
			winner, a, b = loser, b, a
		}
		s.discard(b)
		s.release(a)
	} else {
		loser.cancel(errHedged)
		go func() { s.discard(<-loser.done) }()
	}
	if winner == second {
		s.meter.HedgeWon()
		c.lease = k
	}
	// Both targets had the request, unless nothing arrived at one of them; the forward loop counts the other one.
	c.sent++
	s.hedger.Observe(c.route.Name, c.service, s.clock().Sub(begun))
	return a
}

// observeFirst records the time of a request without a second attempt.
func (s *Server) observeFirst(c *call, a *attempt, d time.Duration) {
	if c.route.Idempotent && a.outcome == placer.Answered {
		s.hedger.Observe(c.route.Name, c.service, d)
	}
}

// errHedged cancels the attempt whose answer does not count.
var errHedged = merry.Sentinel("another target answered first")

// better reports whether b rather than a is what the caller gets, or what decides on a further attempt.
func better(b, a *attempt) bool {
	if b.answer == nil {
		return false
	}
	return a.answer == nil || b.outcome == placer.Answered
}

// flight is one of two attempts that run at the same time.
type flight struct {
	done   chan *attempt
	cancel context.CancelCauseFunc
}

// launch sends the request to a target with a call of its own, because both attempts change it.
func (s *Server) launch(ctx context.Context, c *call, l *placer.Lease) *flight {
	ctx, cancel := context.WithCancelCause(ctx)
	f := &flight{done: make(chan *attempt, 1), cancel: cancel}
	own := *c
	// What was reserved for one answer does not suffice for two, and is released with the request.
	own.lease, own.reserved = l, 0
	go func() { f.done <- s.sendApart(ctx, &own, l) }()
	return f
}

// sendApart is send outside of the handler, where a panic would end the process.
func (s *Server) sendApart(ctx context.Context, c *call, l *placer.Lease) (a *attempt) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		s.log.RequestPanicked(c.request.Method, fmt.Sprintf("%v\n%s", v, debug.Stack()))
		s.placer.End(s.clock(), l, placer.Canceled)
		a = &attempt{failure: &forwarder.Failure{Reason: responder.TargetFailed, Ran: responder.Unknown, Err: errPanicked}, outcome: placer.Canceled}
	}()
	return s.send(ctx, c, l)
}

// errPanicked is the cause of an attempt that ended with a panic.
var errPanicked = merry.Sentinel("the attempt panicked")

// discard releases what an attempt holds that does not count.
func (s *Server) discard(a *attempt) {
	if a.answer != nil {
		_ = a.answer.Body.Close()
	}
	s.release(a)
}

// release releases the target that was reserved for the request after an attempt.
func (s *Server) release(a *attempt) {
	if a.next != nil {
		s.placer.End(s.clock(), a.next, placer.Canceled)
		a.next = nil
	}
}

// mayHaveRun reports whether the target may have run the request.
func (a *attempt) mayHaveRun() bool {
	return a.failure == nil || a.failure.Ran != responder.NotRun
}

// mayHedge reports whether a request may have a second attempt at the same time as the next one.
func (s *Server) mayHedge(c *call) bool {
	return c.route.Idempotent && !c.alone && c.body.Whole() && c.sent+2 <= c.route.MaxTargets && len(c.tried) < maxTried && !s.leaving.Load()
}

// reserveHedge places the second attempt of a request; nil means that there is none.
func (s *Server) reserveHedge(ctx context.Context, c *call, first *placer.Lease) *placer.Lease {
	now := s.clock()
	p := s.book.Catalog().Pool(c.service)
	if p == nil || ctx.Err() != nil || !c.body.Complete() || s.leaving.Load() {
		return nil
	}
	l := s.placer.Spare(now, p, c.work(), first.Target)
	if l == nil {
		return nil
	}
	if !s.hedger.Take(now, c.service) || !s.budget.Take(now, c.service) {
		s.placer.End(now, l, placer.Canceled)
		return nil
	}
	return l
}
