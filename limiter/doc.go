// Package limiter keeps every client account within its rate and burst over all
// instances together.
//
// The bucket of an account is divided into one or two parts, each held by one
// owner. An entry instance asks an owner for a grant of some tokens and spends
// them locally, one for each request, until the grant lapses GrantLife after it
// was asked for. The lapse is checked when a token is spent.
//
// A Part counts granted tokens as outstanding until they have lapsed, and keeps
// tokens + outstanding <= burst. What is spent in a window (t1, t2] was outstanding
// at t1, or in the part at t1, or has flowed in since, so it is at most
// rate * (t2 - t1) + burst. It follows that a part passes at most burst / GrantLife
// tokens per second, whatever its rate: a burst of at least half a second of the
// rate is needed to use the whole rate.
//
// Part and Holder do no I/O and start no goroutine; the time is an argument of
// every call. They are not safe for concurrent use. Owner and Allowance are.
//
// A refusal by this package always says NotRun: the request has not been started.
package limiter
