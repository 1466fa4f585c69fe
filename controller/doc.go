// Package controller keeps an instance informed: membership, proofs of freshness,
// configuration and assignments.
//
// A Controller reads the store and the platform's list, exchanges heartbeats, and
// feeds the pure packages tracker, attester and assigner. The request path reads
// an immutable View and asks Valid just before a request takes effect. Content is
// adopted in the order of heads versions and never goes back.
package controller
