package limiter

import (
	"math"
	"time"
)

// GrantTTL is how long the tokens of a grant can be spent, counted from when they were requested.
const GrantTTL = 500 * time.Millisecond

const (
	// nano is the number of nanotokens in a token and of nanoseconds in a second.
	nano = 1_000_000_000
	// maxTokens caps rates (tokens per second) and bursts (tokens), so that sums of nanotokens do not overflow.
	maxTokens = 1_000_000_000
	// minSplitBurst is the smallest burst, in nanotokens, that is divided into two parts. The halves of a smaller bucket
	// hold so few tokens that those in flight to instances starve the account.
	minSplitBurst = 8 * nano
)

// Limit is the rate and burst of a bucket part.
type Limit struct {
	// Rate is in nanotokens per second.
	Rate int64
	// Burst is in nanotokens.
	Burst int64
}

// Parts divides the bucket of an account with a rate in requests per second and a burst in requests into two halves, or
// into a single part if the burst is below 8.
func Parts(rate, burst float64) []Limit {
	r, b := nanotokens(rate), nanotokens(burst)
	if b < minSplitBurst {
		return []Limit{{Rate: r, Burst: b}}
	}
	return []Limit{
		{Rate: r - r/2, Burst: b - b/2},
		{Rate: r / 2, Burst: b / 2},
	}
}

// nanotokens rounds x tokens to the nearest nanotoken, capped at maxTokens; it returns 0 for negative numbers and NaN.
func nanotokens(x float64) int64 {
	if !(x > 0) {
		return 0
	}
	return int64(math.Round(min(x, maxTokens) * nano))
}
