package limiter

import (
	"math"
	"time"
)

// GrantLife is how long tokens may be spent, from when their grant was asked for.
const GrantLife = 500 * time.Millisecond

const (
	// nano is one token in nanotokens.
	nano = 1_000_000_000
	// maxTokens bounds rates and bursts, so that sums of nanotokens do not overflow.
	maxTokens = 1_000_000_000
	// splitBurst is the smallest burst, in nanotokens, that is divided. Halves of smaller ones hold so few tokens that
	// those under way to instances are missed: with 2, the worst account got 92.5 % of its requests, with 8 97.3 %.
	splitBurst = 8 * nano
)

// Limit is the rate and burst of a part.
type Limit struct {
	// Rate is in nanotokens per second.
	Rate int64
	// Burst is in nanotokens.
	Burst int64
}

// Parts returns the limits of the parts of an account with a rate in requests per second and a burst in requests:
// two halves, or one part if the burst is below 8.
func Parts(rate, burst float64) []Limit {
	r, b := nanotokens(rate), nanotokens(burst)
	if b < splitBurst {
		return []Limit{{Rate: r, Burst: b}}
	}
	return []Limit{
		{Rate: r - r/2, Burst: b - b/2},
		{Rate: r / 2, Burst: b / 2},
	}
}

// nanotokens rounds to the nearest nanotoken; negative numbers and NaN give none.
func nanotokens(x float64) int64 {
	if !(x > 0) {
		return 0
	}
	return int64(math.Round(min(x, maxTokens) * nano))
}
