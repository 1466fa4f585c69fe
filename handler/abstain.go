package handler

import (
	"net/http"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/abstainer"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/responder"
)

// recordNotice records what an answer of a target states about further requests. Late answers to earlier requests of the
// connection are not passed to it: nothing proves whose they are, and a target repeats in its next answer what still holds.
func (s *Server) recordNotice(c *call, t *cataloger.Target, status int, h http.Header) {
	i := incarnation(t)
	if r, ok := s.protocol.Rate(status, h); ok {
		s.recordRate(c, t, status, r)
	}
	es := s.abstainer.Record(s.clock(), i, s.protocol.Notice(status, h))
	if len(es) > 0 {
		s.waiting.cancel(i, errDeclined)
	}
	for _, e := range es {
		s.log.AbstentionBegan(i.Name, i.Started, string(e.Kind), e.Duration, c.envelope.ID, status)
		if e.Kind == abstainer.Leaving {
			s.meter.TargetLeaves()
		} else {
			s.meter.TargetRests()
		}
	}
}

// rests reports whether an answer asks for no further requests for a while.
func (s *Server) rests(status int, h http.Header) bool {
	return s.protocol.Notice(status, h).Rest > 0
}

// endAbstentions discards abstentions that no longer hold and logs their end.
func (s *Server) endAbstentions(now time.Time) {
	s.mu.Lock()
	all := s.roster.Targets()
	s.mu.Unlock()
	for _, e := range s.abstainer.Tick(now, func(name string) (int64, bool) {
		t, ok := all[name]
		return t.Started, ok
	}) {
		s.log.AbstentionEnded(e.Incarnation.Name, e.Incarnation.Started, string(e.Kind), e.Duration)
	}
}

// errDeclined keeps a request from a target that asked for none after the request was placed there.
var errDeclined = &responder.Refusal{
	Status:     http.StatusServiceUnavailable,
	Reason:     responder.NoOwner,
	Ran:        responder.NotRun,
	Message:    "the target asked for no more requests before this one was sent",
	RetryAfter: shedRetryAfter,
}

// waiters holds the attempts that wait for a connection, by what they wait for.
type waiters[K comparable] struct {
	mu      sync.Mutex
	waiting map[K]map[*watch]struct{}
}

func newWaiters[K comparable]() *waiters[K] {
	return &waiters[K]{waiting: map[K]map[*watch]struct{}{}}
}

func (s *waiters[K]) add(k K, w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[k] == nil {
		s.waiting[k] = map[*watch]struct{}{}
	}
	s.waiting[k][w] = struct{}{}
}

// remove ends the wait of an attempt, which is not canceled from then on.
func (s *waiters[K]) remove(k K, w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting[k], w)
	if len(s.waiting[k]) == 0 {
		delete(s.waiting, k)
	}
}

// cancel cancels the attempts that still wait. The lock is held meanwhile, so that none of them is sent at the same moment.
func (s *waiters[K]) cancel(k K, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.waiting[k] {
		w.cancel(cause)
	}
}

// cancelAll is like cancel for the attempts that wait for anything.
func (s *waiters[K]) cancelAll(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ws := range s.waiting {
		for w := range ws {
			w.cancel(cause)
		}
	}
}

func incarnation(t *cataloger.Target) abstainer.Incarnation {
	return abstainer.Incarnation{Name: t.Name, Started: t.Started}
}
