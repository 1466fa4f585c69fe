package limiter

import (
	"math/bits"
	"time"
)

// Token is one token in nanotokens.
const Token = int64(1e9)

// GrantLife is how long a grant may be spent, from the sending of its ask.
const GrantLife = 500 * time.Millisecond

// driftShare bounds the difference in rate between the clocks of two machines: a 200th.
const driftShare = 200

// ownerLife is how long an owner counts a grant as outstanding.
const ownerLife = GrantLife + GrantLife/driftShare

// minSplitBurst is the burst below which a bucket is not divided: each share must be able to hold a whole token.
const minSplitBurst = 2 * Token

// Share is a share of a bucket.
type Share struct {
	// Rate is in nanotokens per second.
	Rate int64
	// Burst is in nanotokens.
	Burst int64
}

// Shares divides a bucket with the rate in tokens per second and the burst in tokens. The first share of the burst is
// whole, since two halves of a token in two shares cannot be spent.
func Shares(rate, burst float64) []Share {
	s := Share{Rate: int64(rate * float64(Token)), Burst: int64(burst * float64(Token))}
	if s.Burst < minSplitBurst {
		return []Share{s}
	}
	half := Share{Rate: s.Rate / 2, Burst: s.Burst / 2 / Token * Token}
	return []Share{half, {Rate: s.Rate - half.Rate, Burst: s.Burst - half.Burst}}
}

// accrue returns what the rate yields in d, given the remainder of the last division.
func accrue(rate int64, d time.Duration, rem uint64) (amount int64, left uint64) {
	if rate <= 0 || d <= 0 {
		return 0, rem
	}
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	lo, carry := bits.Add64(lo, rem, 0)
	hi += carry
	if hi >= uint64(time.Second) {
		return 1<<63 - 1, 0
	}
	q, r := bits.Div64(hi, lo, uint64(time.Second))
	if q > 1<<63-1 {
		return 1<<63 - 1, 0
	}
	return int64(q), r
}

// timeFor returns the time, rounded up, in which the rate yields the amount.
func timeFor(rate, amount int64) time.Duration {
	const most = time.Hour
	if amount <= 0 {
		return 0
	}
	if rate <= 0 {
		return most
	}
	hi, lo := bits.Mul64(uint64(amount), uint64(time.Second))
	if hi >= uint64(rate) {
		return most
	}
	q, r := bits.Div64(hi, lo, uint64(rate))
	if r > 0 {
		q++
	}
	if q > uint64(most) {
		return most
	}
	return time.Duration(q)
}

// durationOf returns the time, rounded down, in which the rate yields the amount.
func durationOf(rate, amount int64) time.Duration {
	d := timeFor(rate, amount)
	if n, _ := accrue(rate, d, 0); n > amount {
		d--
	}
	return d
}
