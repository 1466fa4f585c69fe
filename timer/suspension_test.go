package timer_test

import (
	"testing"
	"time"

	"celeryhead.dev/celeryhead/timer"
)

// Guards against a suspension that goes unnoticed by those who ask before the first beat after it, or after later beats.
func TestSuspensionIsNoticed(t *testing.T) {
	start := time.Date(2026, 12, 6, 6, 0, 0, 0, time.UTC)
	var s timer.Suspensions
	if e := s.Ended(start); !e.IsZero() {
		t.Errorf("suspended until %v before the first beat", e)
	}
	now := start
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		s.Beat(now)
	}
	if e := s.Ended(now.Add(timer.SuspensionLimit)); !e.IsZero() {
		t.Errorf("suspended until %v while beats come", e)
	}
	now = now.Add(4 * time.Second)
	if e := s.Ended(now); !e.Equal(now) {
		t.Errorf("suspended until %v, want %v", e, now)
	}
	// A beat that was due before the suspension may be recorded late.
	s.Beat(now.Add(-4 * time.Second))
	end := now.Add(10 * time.Millisecond)
	s.Beat(end)
	s.Beat(end.Add(200 * time.Millisecond))
	if e := s.Ended(end.Add(300 * time.Millisecond)); !e.Equal(end) {
		t.Errorf("suspended until %v, want %v", e, end)
	}
}
