package balancer

import "time"

// Bucket is a token bucket that fills with time, by Add, or both; it starts full if it has a rate.
type Bucket struct {
	// Rate is in tokens per second.
	Rate, Burst float64

	tokens float64
	filled time.Time
}

// Add puts n tokens in, up to the burst.
func (b *Bucket) Add(n float64) {
	b.tokens = min(b.Burst, b.tokens+n)
}

// Has reports whether n tokens are there.
func (b *Bucket) Has(now time.Time, n float64) bool {
	b.fill(now)
	return b.tokens >= n
}

// Take removes n tokens and reports whether they were there.
func (b *Bucket) Take(now time.Time, n float64) bool {
	if !b.Has(now, n) {
		return false
	}
	b.tokens -= n
	return true
}

func (b *Bucket) fill(now time.Time) {
	switch {
	case b.Rate == 0:
	case b.filled.IsZero():
		b.tokens = b.Burst
	default:
		b.Add(b.Rate * now.Sub(b.filled).Seconds())
	}
	b.filled = now
}
