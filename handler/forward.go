package handler

import (
	"context"
	"errors"
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/breaker"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/placer"
	"celeryhead.dev/celeryhead/responder"
)

// answerPatience is how long after its time a request waits for an answer that is on its way; the platform lets a request be
// held 250 ms longer than its route states.
const answerPatience = 200 * time.Millisecond

// withdrawnKeyLife is how long after its arrival a request may be sent although its key was withdrawn meanwhile.
const withdrawnKeyLife = time.Second

// maxTried bounds the targets that a request tries to reach.
const maxTried = 6

// attempt is the end of one sending to a target.
type attempt struct {
	answer *forwarder.Answer
	// failure is set if there is no answer.
	failure *forwarder.Failure
	outcome placer.Outcome
	// whole is true if the whole answer is buffered.
	whole bool
	// refused is set if the request was stopped before its first byte, so that the target got nothing of it.
	refused *responder.Refusal
	// moved is true if another target has the address now, which did not run the request.
	moved bool
	// next is the target to which the request goes because this one was given up.
	next *placer.Lease
}

// broken reports whether the connection broke while the target had the request.
func (a *attempt) broken() bool {
	return a.failure != nil && a.failure.Broken
}

// forward has a request run on a target. A request that may have run is sent again only if it is idempotent.
func (s *Server) forward(ctx context.Context, c *call) (*forwarder.Answer, *responder.Refusal) {
	s.budget.Count(c.arrival, c.service)
	s.hedger.Count(c.arrival, c.service)
	var last *attempt
	for {
		var l *placer.Lease
		f := s.checkRetry(ctx, c, last)
		if f == nil {
			l, f = s.next(ctx, c, last)
		}
		if f != nil {
			return s.giveUp(c, last, f)
		}
		if last != nil && last.answer != nil {
			// The answer is an error of the former target; the next one may do better.
			_ = last.answer.Body.Close()
		}
		c.lease = l
		c.tried = append(c.tried, l.Target.Name)
		last = s.sendHedged(ctx, c, l)
		c.whole = last.whole
		if last.mayHaveRun() {
			c.mayHaveRun = true
		}
		if last.outcome != placer.Unreached && last.refused == nil && !last.moved {
			c.sent++
		}
		if !s.again(ctx, c, last) {
			return s.giveUp(c, last, nil)
		}
		s.meter.Retry()
	}
}

// next returns the target that was reserved for the request, or chooses one.
func (s *Server) next(ctx context.Context, c *call, last *attempt) (*placer.Lease, *responder.Refusal) {
	if last != nil && last.next != nil {
		return last.next, nil
	}
	l, f := s.place(c)
	if f != nil && s.awaitPermit(ctx, c) {
		return s.place(c)
	}
	return l, f
}

// place chooses a target; the refusal says why none may have the request.
func (s *Server) place(c *call) (*placer.Lease, *responder.Refusal) {
	// The newest targets count, whatever the version by which the request was accepted.
	p := s.book.Catalog().Pool(c.service)
	if p == nil {
		return nil, unavailable(responder.NoOwner, "the service is not configured any more")
	}
	return s.placer.Choose(s.clock(), p, c.work())
}

// work returns the request as it is placed.
func (c *call) work() placer.Work {
	return placer.Work{
		Route:     c.route,
		Service:   c.service,
		Object:    c.envelope.Object,
		Regions:   c.regions,
		Objective: c.arrival.Add(c.route.Objective),
		Deadline:  c.deadline,
		Tried:     c.tried,
	}
}

// again reports whether a request may go to another target, and takes it from the budget of retries if so.
func (s *Server) again(ctx context.Context, c *call, a *attempt) bool {
	switch {
	case a.next != nil:
		return true
	case a.answer != nil && a.outcome == placer.Answered, ctx.Err() != nil, !c.body.Whole():
		return false
	case c.mayHaveRun && !c.route.Idempotent, c.alone && a.broken():
		return false
	case c.sent >= max(c.route.MaxTargets, 1), len(c.tried) >= maxTried:
		return false
	case a.refused != nil:
		// Another target may still be there, but a withdrawn key is valid nowhere.
		return a.refused.Reason == responder.NoOwner
	case a.outcome == placer.Unreached:
		// Nothing arrived anywhere.
		return true
	}
	return s.budget.Take(s.clock(), c.service)
}

// giveUp returns the last target's answer, or what its failure means to the caller. f says why no further target may
// have the request, if that was the reason.
func (s *Server) giveUp(c *call, last *attempt, f *responder.Refusal) (*forwarder.Answer, *responder.Refusal) {
	switch {
	case last == nil:
		return nil, f
	case last.answer != nil && !c.route.Idempotent && s.protocol.PromisesNotRun(last.answer.Status):
		// The target did not state that, or its answer would have been a shed one.
		_ = last.answer.Body.Close()
		return nil, targetFailed("the target's answer does not state whether the request ran")
	case last.answer != nil:
		return last.answer, nil
	case !c.mayHaveRun && f != nil:
		return nil, f
	}
	return nil, s.refusalOf(c, last.failure)
}

// refusalOf returns what the caller of a request without an answer is told.
func (s *Server) refusalOf(c *call, x *forwarder.Failure) *responder.Refusal {
	var own *responder.Refusal
	switch {
	case c.mayHaveRun && x.Reason == responder.DeadlineExceeded:
		return deadlinePassed()
	case c.mayHaveRun:
		return targetFailed("the target gave no whole answer")
	case errors.As(x.Err, &own):
		return own
	case x.Reason == responder.BadRequest:
		return refusal(http.StatusBadRequest, x.Reason, "the request cannot be forwarded")
	}
	f := unavailable(x.Reason, "no target took the request")
	f.RetryAfter = shedRetryAfter
	return f
}

func deadlinePassed() *responder.Refusal {
	return &responder.Refusal{Status: http.StatusGatewayTimeout, Reason: responder.DeadlineExceeded, Ran: responder.Unknown, Message: "the deadline passed"}
}

func targetFailed(message string) *responder.Refusal {
	return &responder.Refusal{Status: http.StatusBadGateway, Reason: responder.TargetFailed, Ran: responder.Unknown, Message: message}
}

// send has one target run the request and ends the lease when the answer is there.
func (s *Server) send(ctx context.Context, c *call, l *placer.Lease) *attempt {
	r := *c.request
	r.Header = c.request.Header.Clone()
	s.protocol.Address(r.Header, c.envelope, l.Target, c.accountName())
	r.Body = c.body.Open()
	ctx, w := s.watch(ctx, c, l)
	i := incarnation(l.Target)
	s.waiting.add(i, w)
	defer s.waiting.remove(i, w)
	var sent time.Time
	x, err := s.targets.Do(ctx, forwarder.Call{
		Address:  l.Target.Address,
		Request:  &r,
		Deadline: c.deadline,
		Patience: answerPatience,
		Once:     c.lastTry(),
		Before: func() error {
			s.waiting.remove(i, w)
			sent = s.clock()
			s.placer.Sent(sent, l)
			return s.mayRun(c, l.Target)
		},
		Answered: func(status int, h http.Header) { s.recordNotice(c, l.Target, status, h) },
	})
	if err != nil {
		return s.failed(ctx, c, l, w, sent, err)
	}
	s.recordLoad(l, x.Header)
	whole, err := s.buffer(c, x, w.stop)
	if err != nil {
		return s.failed(ctx, c, l, w, sent, err)
	}
	if n := w.end(); n != nil {
		// The answer came at the moment at which it was given up.
		s.placer.End(s.clock(), n, placer.Canceled)
	}
	a := &attempt{answer: x, outcome: placer.Answered, whole: whole}
	switch {
	case s.rests(x.Status, x.Header):
		a.outcome = placer.Declined
	case x.Status >= http.StatusInternalServerError:
		a.outcome = placer.Failed
	}
	s.placer.End(s.clock(), l, a.outcome)
	if whole && a.outcome != placer.Declined {
		s.survived(c)
	}
	return a
}

// lastTry reports whether the request cannot go to a further target once the next one may have run it.
func (c *call) lastTry() bool {
	return !c.route.Idempotent || !c.body.Whole() || c.sent+1 >= c.route.MaxTargets
}

// mayRun is asked just before the first byte goes to a target: what the request was accepted by may not hold any more.
func (s *Server) mayRun(c *call, t *cataloger.Target) error {
	k := s.book.Catalog()
	if n, ok := k.Target(t.Service, t.Name); !ok || n.Started != t.Started {
		return unavailable(responder.NoOwner, "the target left before the request was sent")
	}
	if !s.draining.maySend(s.clock(), c.lease) {
		return errLeaving
	}
	if s.abstainer.Share(s.clock(), incarnation(t)) == 0 {
		return errDeclined
	}
	if !c.mayUseKey(k, s.clock()) {
		return unavailable(responder.Stale, "the key was withdrawn before the request was sent")
	}
	return nil
}

// mayUseKey reports whether a request with a key may still be sent under a catalog that may be newer than the one by which
// it was accepted. Its caller had a valid key, so it is not refused as unauthorized: it would not be sent again.
func (c *call) mayUseKey(k *cataloger.Catalog, now time.Time) bool {
	if c.account == nil || k == c.catalog {
		return true
	}
	if a, ok := k.Account(c.key); ok {
		return a.Name == c.account.Name
	}
	return now.Sub(c.arrival) < withdrawnKeyLife
}

// failed ends the lease of a request without an answer that was sent at a time.
func (s *Server) failed(ctx context.Context, c *call, l *placer.Lease, w *watch, sent time.Time, err error) *attempt {
	var x *forwarder.Failure
	if !errors.As(err, &x) {
		x = &forwarder.Failure{Reason: responder.TargetFailed, Ran: responder.Unknown, Err: err}
	}
	now := s.clock()
	a := &attempt{failure: x, outcome: s.outcome(ctx, c, x), next: w.end()}
	w.stop()
	if x.Ran == responder.NotRun {
		_ = errors.As(x.Err, &a.refused)
	}
	if a.next != nil {
		a.outcome = placer.Silent
	}
	s.placer.End(now, l, a.outcome)
	if x.Status != 0 {
		s.recordLoad(l, x.Header)
		if a.moved = s.protocol.Moved(x.Status); a.moved {
			s.placer.Lose(now, l.Target)
		}
	}
	s.log.AttemptFailed(c.envelope.ID, l.Target.Name, now.Sub(c.arrival), err)
	if x.Broken {
		k := breaker.Strike{At: now, Ran: now.Sub(sent)}
		go s.crashed(c.accountName(), c.route.Name, l.Target, c.fingerprints(), k) //nolint:gosec // The probe outlives the request.
	}
	return a
}

// recordLoad records the load that an answer reports.
func (s *Server) recordLoad(l *placer.Lease, h http.Header) {
	r := s.protocol.Load(h)
	if r.Unreadable {
		s.meter.LoadUnreadable()
	}
	if r.Stated {
		s.placer.Told(s.clock(), l, r.Load)
	}
}

// outcome classifies a failure for the placer.
func (s *Server) outcome(ctx context.Context, c *call, x *forwarder.Failure) placer.Outcome {
	switch {
	case errors.Is(x.Err, forwarder.ErrShed) && s.rests(x.Status, x.Header):
		return placer.Declined
	case errors.Is(x.Err, forwarder.ErrShed):
		return placer.Shed
	case x.Ran == responder.NotRun && x.Reason == responder.TargetUnreachable:
		return placer.Unreached
	case x.Ran == responder.NotRun:
		return placer.Canceled
	case !x.Broken && !c.body.Complete():
		return placer.Canceled
	case x.Silent, !s.clock().Before(c.deadline):
		return placer.Silent
	case ctx.Err() != nil:
		return placer.Canceled
	}
	return placer.Broken
}
