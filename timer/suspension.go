package timer

import (
	"sync"
	"time"
)

// SuspensionLimit is the time between two beats from which on the process counts as suspended.
const SuspensionLimit = time.Second

// Suspensions notices that the process did not run for a while, because it was stopped, its machine was suspended, or it got no
// processor time. What arrived meanwhile waits in the sockets and may be much older than the moment at which it is read. It is
// safe for concurrent use.
type Suspensions struct {
	mu          sync.Mutex
	last, ended time.Time
}

// Beat records that the process runs at a time. It is called at intervals far below SuspensionLimit.
func (s *Suspensions) Beat(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspended(now) {
		s.ended = now
	}
	if now.After(s.last) {
		s.last = now
	}
}

// Ended returns the end of the last suspension, which is now if no beat has come since, or zero if there was none.
func (s *Suspensions) Ended(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspended(now) {
		return now
	}
	return s.ended
}

// suspended reports whether the last beat is too long ago; s.mu is held.
func (s *Suspensions) suspended(now time.Time) bool {
	return !s.last.IsZero() && now.Sub(s.last) > SuspensionLimit
}
