// Package limiter enforces the rate and burst of each client account across all
// instances together.
//
// The token bucket of an account is divided into one or two parts, each owned by
// one instance. An entry instance requests a grant of tokens from the owner of a
// part and spends them locally, one per client request, until the grant expires
// GrantTTL after it was requested. Expiry is checked when a token is spent.
//
// A Part counts granted tokens as outstanding until they have expired, or until
// a later request of their holder reports that it no longer holds them, and
// maintains tokens + outstanding <= burst. A token spent in a window (t1, t2] was
// outstanding at t1, was in the part at t1, or was refilled after t1, so at most
// rate * (t2 - t1) + burst tokens are spent in the window. A full bucket does not
// refill while tokens are outstanding, so an account whose burst is less than half
// a second of its rate may not be able to use its full rate.
//
// A token counts as spent when Allowance.Take returns. If the process is paused
// after that, only the request deadline limits the delay until the request runs.
//
// Part and Holder do no I/O and start no goroutines; they take the current time as
// an argument. They are not safe for concurrent use. Owner and Allowance are.
//
// Every refusal of this package has Ran set to NotRun: the request was not started.
package limiter
