package timer_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/timer"
)

// Guards against loops that start late, go on after the end of their context, or run twice at a time.
func TestLoops(t *testing.T) {
	for name, c := range map[string]struct {
		loop func(context.Context, time.Duration, func(context.Context))
		want []time.Duration
	}{
		"Every": {timer.Every, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}},
		"Poll":  {timer.Poll, []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
				defer cancel()
				start := time.Now()
				var at []time.Duration
				c.loop(ctx, time.Second, func(context.Context) {
					at = append(at, time.Since(start))
					time.Sleep(time.Second / 4)
				})
				if !slices.Equal(at, c.want) {
					t.Errorf("calls at %v, want %v", at, c.want)
				}
			})
		})
	}
}

// Guards against a pause that outlasts a shutdown, or that hides it.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start := time.Now()
		if err := timer.Sleep(ctx, time.Second); err != nil || time.Since(start) != time.Second {
			t.Errorf("whole pause: %v after %v", err, time.Since(start))
		}
		if err := timer.Sleep(ctx, time.Minute); err == nil || time.Since(start) != 3*time.Second {
			t.Errorf("ended pause: %v after %v", err, time.Since(start))
		}
	})
}
