// Package breaker refuses requests that crash the targets that run them.
//
// A strike says that a request's connection broke while it ran and that its
// target refused new connections right after. It is recorded against the
// fingerprint of the request and sent to all peers. A fingerprint with Threshold
// strikes within Window is blocked for Block, counted from the strike that
// reached the threshold.
//
// A strike carries an identifier chosen by the instance that saw the crash, so
// that a strike that arrives by several paths counts once. Only strikes are
// exchanged, never the state "blocked": every instance derives it from the
// strikes alone, in whatever order they arrive.
//
// Body digest. A body is streamed, so its digest must be known before its end. A
// holder reads up to DigestPrefix bytes before it forwards the request and puts
// them in front of the rest. The digest covers these bytes and the declared
// length (-1 if it is unknown and the body is longer). Larger bodies that differ
// only after the prefix and have equal lengths share a fingerprint; the account,
// route, method and path still bound what such a strike can block.
//
// A crash counts only against the fingerprints that ran on that target, so a
// target that dies for other reasons spreads its strikes over the different
// requests that it ran, and each of them stays below the threshold.
//
// Copies. The first copy of a fingerprint runs alone at an instance; the others
// wait until it ended well, or for Hold if there is no strike. With a strike that
// no copy ended well after, copies run one at a time; the caller sends them to one
// instance.
//
// Bound. A request that crashes its target within Hold takes down at most one
// target for each instance, and one more; at most Threshold if its caller sends
// it again only after the strike before has reached the peers.
package breaker
