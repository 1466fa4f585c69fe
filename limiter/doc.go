// Package limiter holds a client account to its rate and burst over all instances.
//
// The bucket of an account is divided into shares, at most two. Each share is a
// Part at its owner. Each entry instance has a Holder for the account, which asks
// the owners for grants of a few tokens and spends them locally. Both are pure
// data: the daemon carries an Ask to the owner and the Reply back, and it grants
// only while the ownership rules allow it.
//
// Promise: spent(t1, t2] <= rate * (t2 - t1) + burst for every window. A token
// that is spent is outstanding at its owner at that moment: a grant lapses at its
// holder GrantLife after the ask was sent, which is checked when a token is spent,
// and at the owner GrantLife after the ask arrived. Tokens and outstanding tokens
// of a part together never exceed its burst and grow only by its rate. A new owner
// grants nothing until all grants of an earlier owner have lapsed, and starts
// empty.
//
// An ask reports for each live grant how many tokens were spent or are returned.
// The counts are cumulative, so lost, repeated and reordered asks do no harm.
// Spent tokens are no longer outstanding and make room for new ones; without the
// reports an account would be held to its burst for each GrantLife.
//
// Amounts are integers in nanotokens and the remainder of each division is kept,
// so fractional rates and bursts do not drift.
package limiter
