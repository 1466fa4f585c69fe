// Package breaker refuses requests that crash the targets that run them.
//
// A strike records that the connection of a request broke while the request ran,
// and that its target refused new connections right after. It is stored under the
// fingerprint of the request and sent to all peers. A fingerprint with Threshold
// strikes within Window is blocked for BlockDuration, counted from the strike that
// reached the threshold.
//
// The instance that observed the crash gives the strike an identifier, so that a
// strike received over several paths counts once. Instances exchange only strikes,
// never the blocked state: each instance derives it from the strikes alone, and the
// order of their arrival does not matter.
//
// # Body digest
//
// Bodies are streamed, so the digest must be known before the body ends. An
// instance reads up to DigestPrefix bytes before it forwards the request, and
// forwards them ahead of the rest. The digest covers these bytes and the declared
// length (-1 if it is unknown and the body is longer). Larger bodies of equal
// length that differ only after the prefix share a fingerprint; account, route,
// method and path still limit which requests such a strike can block.
//
// A crash counts only against the fingerprints that ran on the crashed target. A
// target that crashes for other reasons spreads its strikes over the different
// requests it was running, and each of them stays below the threshold.
//
// # Concurrent copies
//
// The first copy of a fingerprint runs alone at an instance. The others wait until
// it has succeeded, or for Hold if there is no strike. After a strike, copies run
// one at a time until one succeeds; callers of this package send them all to the
// same instance.
//
// # Bound
//
// A request that crashes its target within Hold takes down at most one target per
// instance plus one. If its caller resends it only after the previous strike has
// reached the peers, it takes down at most Threshold.
package breaker
