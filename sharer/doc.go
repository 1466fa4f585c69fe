// Package sharer divides fleet-wide limits among the instances.
//
// Four limits hold for the fleet as a whole: the allowance of a client account,
// the retries to a service, the rate to a cold target, and the rate that a target
// states:
//
//   - Shares: each instance fills its own share of an account's token bucket,
//     rate and burst divided by the number of holders. Instances whose share
//     runs low request tokens from others. Tokens are only moved, so the sum of
//     all shares never exceeds the account's bucket, even in a partition.
//   - Budget: each instance allows retries in proportion to the requests that it
//     sent itself, plus its part of the fixed slack.
//   - Gate: rendezvous hashing assigns each cold target one instance that may
//     send to it, within the target's rate.
//   - Throttle: rendezvous hashing assigns each target that states a rate one live
//     instance that issues permits to all; a permit expires soon, so that unused
//     ones do not add up to a burst.
//
// The first three count the instances in the store's table of instances rather than
// the live ones, so that in a network partition the two sides never both use the
// whole limit. Shares leave out instances that the table records as gone (Absent),
// which stop filling their shares some time before (MayFill).
package sharer
