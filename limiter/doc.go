// Package limiter keeps every client account within its rate and burst over all
// instances together.
//
// The bucket of an account is divided into one or two parts, each held by one
// owner. An entry instance asks an owner for a grant of some tokens and spends
// them locally, one for each request, until the grant lapses GrantLife after it
// was asked for. The lapse is checked when a token is spent.
//
// A Part counts granted tokens as outstanding until they have lapsed, or until their
// holder has said with a later request that it no longer holds them, and keeps
// tokens + outstanding <= burst. What is spent in a window (t1, t2] was outstanding
// at t1, or in the part at t1, or has flowed in since, so it is at most
// rate * (t2 - t1) + burst. A bucket that is full does not fill while tokens are
// outstanding, so an account whose burst is less than half a second of its rate may
// not be able to use its whole rate.
//
// A token is spent when Allowance.Take returns; a pause of the process after that is
// bounded only by the deadline of the request.
//
// Part and Holder do no I/O and start no goroutine; the time is an argument of
// every call. They are not safe for concurrent use. Owner and Allowance are.
//
// A refusal by this package always says NotRun: the request has not been started.
package limiter
