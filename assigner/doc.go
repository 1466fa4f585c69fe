// Package assigner decides which instance owns a resource and when it may act on it.
//
// Owners are chosen by rendezvous hashing over the members of an assignment. A new
// owner acts once the owner of the preceding epoch has released the resource, or
// Freshness after it adopted the change, when every proof for an older epoch has
// expired. After a skipped epoch the earlier owners are not all known, so no
// release shortens the wait.
//
// While the store is down, the next eligible member in rendezvous order succeeds
// an owner that departed. Assigner.Observe explains why at most one instance acts
// on a resource during such a succession.
//
// An Assigner does no I/O and is not safe for concurrent use. Acting on a resource
// also requires a valid proof of its scope, which package attester provides.
package assigner
