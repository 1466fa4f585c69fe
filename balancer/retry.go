package balancer

import "time"

// RetryConfig configures a RetryPolicy for results of type R.
type RetryConfig[R any] struct {
	// Retryable reports whether a result proves that the request was not run.
	Retryable func(R) bool
	// MaxRetries limits the retries of one request.
	MaxRetries int
	// Ratio is the number of retries earned per first attempt; Burst is the maximum number of retries in the budget.
	Ratio, Burst float64
}

// RetryPolicy decides whether a request may be sent again after a result of type R.
type RetryPolicy[R any] struct {
	config RetryConfig[R]
	budget Bucket
}

// NewRetryPolicy returns a policy with an empty budget.
func NewRetryPolicy[R any](c RetryConfig[R]) *RetryPolicy[R] {
	return &RetryPolicy[R]{config: c, budget: Bucket{Burst: c.Burst}}
}

// RecordAttempt adds the first attempt of a request to the budget, which earns Ratio retries.
func (p *RetryPolicy[R]) RecordAttempt() {
	p.budget.Add(p.config.Ratio)
}

// Allow reports whether a request with the given result may be retried, and takes the retry from the budget if so.
// Retries is the number of earlier retries of the request; deadline is that of its first attempt.
func (p *RetryPolicy[R]) Allow(now time.Time, result R, retries int, deadline time.Time) bool {
	return p.Retryable(now, result, retries, deadline) && p.Spend(now)
}

// Retryable is like Allow but neither checks nor changes the budget.
func (p *RetryPolicy[R]) Retryable(now time.Time, result R, retries int, deadline time.Time) bool {
	return p.config.Retryable(result) && retries < p.config.MaxRetries && deadline.After(now)
}

// Spend takes one retry from the budget and reports whether there was one.
func (p *RetryPolicy[R]) Spend(now time.Time) bool {
	return p.budget.Take(now, 1)
}
