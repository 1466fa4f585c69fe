package handler

import (
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/abstainer"
	"celeryhead.dev/celeryhead/cataloger"
)

// heed takes in what an answer of a target says about further requests. Late answers to earlier requests of the connection do
// not get here: nothing proves whose they are, and a target repeats in its next answer what still holds.
func (s *Server) heed(t *cataloger.Target, status int, h http.Header) {
	s.abstainer.Hear(s.clock(), incarnation(t), s.protocol.Notice(status, h))
}

// endAbstentions discards the words of targets that no longer hold.
func (s *Server) endAbstentions(now time.Time) {
	s.mu.Lock()
	all := s.roster.Targets()
	s.mu.Unlock()
	s.abstainer.Tick(now, func(name string) (int64, bool) {
		t, ok := all[name]
		return t.Started, ok
	})
}

func incarnation(t *cataloger.Target) abstainer.Incarnation {
	return abstainer.Incarnation{Name: t.Name, Started: t.Started}
}
