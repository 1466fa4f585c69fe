package timer

import (
	"context"
	"time"
)

// Every calls f after each interval until ctx ends; the first call comes after one interval, and calls never overlap.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	onTicks(ctx, t, f)
}

// Poll calls f at once, even if ctx has ended, and then as Every does.
func Poll(ctx context.Context, interval time.Duration, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	f(ctx)
	onTicks(ctx, t, f)
}

func onTicks(ctx context.Context, t *time.Ticker, f func(context.Context)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}

// Sleep waits for d, or until ctx ends, and returns the error of ctx, which is nil if it has not ended.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return ctx.Err()
}
