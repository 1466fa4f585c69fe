// Package attester proves that an instance applies the newest version of the heads row.
//
// A proof is valid for Freshness from the send time of the oldest request that it
// is based on. The arrival time of an answer does not count, because a change may
// be committed while the answer is in transit. The store must be linearizable: a
// read sees every commit that was acknowledged to, or read by, any client before
// the read was sent.
//
// An Attester does no I/O and is not safe for concurrent use; a Gate publishes
// its expiry times to concurrent readers without locks.
package attester
