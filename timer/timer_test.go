package timer_test

import (
	"testing"

	"celeryhead.dev/celeryhead/timer"
)

// Guards against a monotonic reading, which would make subtraction ignore a suspension.
func TestNowHasNoMonotonicReading(t *testing.T) {
	a := timer.Now()
	if b := a.Round(0); a != b {
		t.Fatalf("Now() = %v carries a monotonic reading", a)
	}
	if b := timer.Now(); b.Before(a) {
		t.Fatalf("time went backwards: %v then %v", a, b)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		timer.Now()
	}
}
