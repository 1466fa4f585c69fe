// Package breaker refuses requests that crash the targets that run them.
//
// A strike records that the connection of a request broke while the request ran,
// and that its target refused new connections right after. It is stored under the
// fingerprint of the request and sent to all peers.
//
// # Evidence
//
// A strike proves only that the request was in flight when its target crashed. How
// copies of the request may run follows from all strikes within Window (Judge):
//
//   - The strikes of one crash count as one, however many copies the target had. One
//     crash restricts nothing (Free).
//   - Several crashes that ended copies of the same moment may have one cause, such
//     as a failure domain that loses power. Copies then run one at a time in the
//     fleet (Alone); the first that succeeds ends it.
//   - Threshold successive strikes, of which each copy was sent after the crash
//     before it, block the fingerprint for BlockDuration (Refused). 15 s after the
//     last strike one copy runs alone as a trial; each trial that crashes its target
//     makes the wait for the next one longer.
//   - A copy that succeeds anywhere clears all strikes that are known there, at all
//     instances (Succeeded, End). A frequent request is often in flight when another
//     one crashes the target.
//
// A crash also counts against the path with any query. PathThreshold successive
// strikes block it in the same way; crashes of one moment do not restrict it, since
// its requests are many.
//
// Other requests that were in flight on the same target are not weighed: their
// number says nothing about which of them was the cause.
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
// reached the peers, it takes down at most Threshold, and one more in each trial.
package breaker
