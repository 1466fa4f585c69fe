// Package sharer divides what all instances together may use among them.
//
// Three limits hold for the fleet as a whole: the allowance of a client
// account, the retries towards a service, and the rate towards a cold target.
// None of them waits for an agreement:
//
//   - Shares: each instance fills its own part of an account's bucket, rate and
//     burst divided by the number of instances. Instances whose part runs low
//     ask others for tokens. Tokens only move, so the sum of all parts never
//     exceeds the account's bucket, whoever is cut off.
//   - Budget: each instance allows retries as a part of the requests that it sent
//     itself, and its part of the fixed slack.
//   - Gate: each cold target has one instance that may send to it, the same by
//     everybody's reckoning, within the target's rate.
//
// All three count instances by the store's table of instances, not by who is
// alive, so that the two halves of a cut fleet never both use the whole.
package sharer
