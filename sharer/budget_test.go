package sharer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/sharer"
)

// Guards against instances that together send more retries in a window than the limit.
func TestBudgetHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		c := sharer.BudgetConfig{Ratio: 0.2, Slack: float64(rapid.IntRange(0, 100).Draw(t, "slack")), Window: window}
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		bs := make([]*sharer.Budget, n)
		for i := range bs {
			bs[i] = sharer.NewBudget(c)
			bs[i].Adopt(c, n)
		}
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			b := bs[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				b.Count(now, "map")
				requests = append(requests, now)
			} else if b.Take(now, "map") {
				retries = append(retries, now)
			}
			q, r := within(requests, now, window), within(retries, now, window)
			// The requests of the previous window may count instead.
			q = max(q, within(requests, now.Add(-window), window))
			if float64(r) > c.Ratio*float64(q)+c.Slack+1e-6 {
				t.Fatalf("%d retries to %d requests", r, q)
			}
		}
	})
}

func within(ts []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range ts {
		if !t.After(end) && end.Sub(t) < window {
			n++
		}
	}
	return n
}

// Guards against a budget that allows no retry to a service with few requests.
func TestIdleServiceMayUseSlack(t *testing.T) {
	c := sharer.BudgetConfig{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	b := sharer.NewBudget(c)
	b.Adopt(c, 7)
	if !b.Take(start, "map") {
		t.Error("no retry although the slack is unused")
	}
}
