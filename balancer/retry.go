package balancer

import "time"

// RetryConfig configures a RetryPolicy for results of type R.
type RetryConfig[R any] struct {
	// Retryable reports whether a result proves that the request was not run.
	Retryable func(R) bool
	// Max is the number of retries of one request.
	Max int
	// Share is the number of retries per first attempt; Burst is how many of them a quiet time saves up.
	Share, Burst float64
}

// RetryPolicy decides whether a request may be sent again after a result of type R.
type RetryPolicy[R any] struct {
	c      RetryConfig[R]
	budget Bucket
}

// NewRetryPolicy returns a policy with an empty budget.
func NewRetryPolicy[R any](c RetryConfig[R]) *RetryPolicy[R] {
	return &RetryPolicy[R]{c: c, budget: Bucket{Burst: c.Burst}}
}

// Attempt counts the first attempt of a request and so earns a part of a retry.
func (p *RetryPolicy[R]) Attempt() {
	p.budget.Add(p.c.Share)
}

// Allow reports whether a request with the given result may be retried, and spends a retry if so.
// Retries counts the earlier retries of the request; deadline is that of its first attempt.
func (p *RetryPolicy[R]) Allow(now time.Time, result R, retries int, deadline time.Time) bool {
	return p.Retryable(now, result, retries, deadline) && p.Spend(now)
}

// Retryable reports whether a request with the given result may be retried, as Allow does, whatever the budget.
func (p *RetryPolicy[R]) Retryable(now time.Time, result R, retries int, deadline time.Time) bool {
	return p.c.Retryable(result) && retries < p.c.Max && deadline.After(now)
}

// Spend takes a retry from the budget and reports whether there was one.
func (p *RetryPolicy[R]) Spend(now time.Time) bool {
	return p.budget.Take(now, 1)
}
