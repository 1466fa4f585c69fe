// Package assigner decides which instance owns a resource and when it may act on it.
//
// Owners follow from rendezvous hashing over the members of an assignment. A new
// owner acts once the owner of the preceding epoch has released the resource, or
// Freshness after it learned of the change, when every proof for an older epoch
// has lapsed. A skipped epoch hides owners, so then only the time counts.
//
// While the store is down, the next member in the order of a resource succeeds an
// owner that departed; Assigner.Observe states why no two instances act on it then.
//
// An Assigner does no I/O and is not safe for concurrent use. Ownership also
// needs a valid proof of the scope, which package attester holds.
package assigner
