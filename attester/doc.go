// Package attester proves that an instance knows the newest heads row.
//
// A proof counts from just before the oldest request that it rests on was sent,
// never from the arrival of an answer: a change may be committed while an answer
// is on its way. It lapses Freshness later. The store must be linearizable: a
// read sees every commit that was acknowledged to, or read by, anyone before the
// read was sent.
//
// An Attester does no I/O and is not safe for concurrent use; a Gate publishes
// its expiry times to concurrent readers without locks.
package attester
