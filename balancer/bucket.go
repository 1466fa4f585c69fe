package balancer

import "time"

// Bucket is a token bucket that is refilled over time at Rate, by Add, or both. With a Rate it starts full, otherwise
// empty.
type Bucket struct {
	// Rate is in tokens per second; Burst is the capacity in tokens.
	Rate, Burst float64

	tokens   float64
	refilled time.Time
}

// Add adds n tokens, up to the burst.
func (b *Bucket) Add(n float64) {
	b.tokens = min(b.Burst, b.tokens+n)
}

// Has reports whether at least n tokens are available.
func (b *Bucket) Has(now time.Time, n float64) bool {
	b.refill(now)
	return b.tokens >= n
}

// Take removes n tokens if they are available and reports whether it did.
func (b *Bucket) Take(now time.Time, n float64) bool {
	if !b.Has(now, n) {
		return false
	}
	b.tokens -= n
	return true
}

func (b *Bucket) refill(now time.Time) {
	switch {
	case b.Rate == 0:
	case b.refilled.IsZero():
		b.tokens = b.Burst
	default:
		b.Add(b.Rate * now.Sub(b.refilled).Seconds())
	}
	b.refilled = now
}
