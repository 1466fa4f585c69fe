// Package sharer divides fleet-wide limits among the instances.
//
// Three limits hold for the fleet as a whole: the allowance of a client account,
// the retries to a service, and the rate to a cold target. None of them needs
// coordination between instances:
//
//   - Shares: each instance fills its own share of an account's token bucket,
//     rate and burst divided by the number of holders. Instances whose share
//     runs low request tokens from others. Tokens are only moved, so the sum of
//     all shares never exceeds the account's bucket, even in a partition.
//   - Budget: each instance allows retries in proportion to the requests that it
//     sent itself, plus its part of the fixed slack.
//   - Gate: rendezvous hashing assigns each cold target one instance that may
//     send to it, within the target's rate.
//
// All three count the instances in the store's table of instances rather than
// the live ones, so that in a network partition the two sides never both use the
// whole limit.
package sharer
