package pacer_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/pacer"
)

// trickle is a reader without end that returns some bytes after each interval.
type trickle struct {
	interval time.Duration
	bytes    int
}

func (d trickle) Read(b []byte) (int, error) {
	time.Sleep(d.interval)
	return min(d.bytes, len(b)), nil
}

// Guards against calls that end although their answer arrives, and against calls that last although it does not.
func TestBounds(t *testing.T) {
	config := pacer.Config{Begin: time.Second, Pause: 500 * time.Millisecond, Rate: 1000}
	for name, c := range map[string]struct {
		answer io.Reader
		// want is when the call ends.
		want time.Duration
	}{
		"no answer":   {trickle{time.Hour, 1}, time.Second},
		"at its rate": {io.LimitReader(trickle{100 * time.Millisecond, 200}, 10_000), 5 * time.Second},
		// Each 100 ms bring 20 bytes, which allow 20 ms more.
		"below its rate":  {trickle{100 * time.Millisecond, 20}, 1240 * time.Millisecond},
		"with a pause":    {io.MultiReader(io.LimitReader(trickle{100 * time.Millisecond, 1000}, 2000), trickle{time.Hour, 1}), 700 * time.Millisecond},
		"ends by itself":  {io.LimitReader(trickle{100 * time.Millisecond, 1}, 1), 100 * time.Millisecond},
		"byte at the end": {trickle{time.Second - time.Nanosecond, 500}, time.Second - time.Nanosecond + 500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, cancel := pacer.Bound(t.Context(), config)
				defer cancel()
				stalled := make(chan time.Duration, 1)
				context.AfterFunc(ctx, func() {
					if errors.Is(context.Cause(ctx), pacer.ErrStalled) {
						stalled <- time.Since(start)
					}
				})
				r, b := pacer.Reader(ctx, c.answer), make([]byte, 4096)
				var err error
				for err == nil && ctx.Err() == nil {
					_, err = r.Read(b)
				}
				d := time.Since(start)
				if err == nil {
					d = <-stalled
				}
				if d != c.want {
					t.Errorf("ended after %v, want %v", d, c.want)
				}
			})
		})
	}
}

// Guards against readers that need bounds, and against a released context that ends as stalled.
func TestWithoutBounds(t *testing.T) {
	r := io.LimitReader(trickle{0, 1}, 5)
	if pacer.Reader(t.Context(), r) != r {
		t.Error("a reader without bounds is wrapped")
	}
	ctx, cancel := pacer.Bound(t.Context(), pacer.Config{Begin: time.Millisecond})
	cancel()
	time.Sleep(2 * time.Millisecond)
	if !errors.Is(context.Cause(ctx), context.Canceled) {
		t.Errorf("cause %v", context.Cause(ctx))
	}
}
