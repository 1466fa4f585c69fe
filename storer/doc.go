// Package storer reads and writes the platform's transactional table service.
//
// A commit applies all its writes if every check holds, and none otherwise. An
// error from Commit, but for ErrNotSent and ErrRejected, leaves its effect
// unknown: the caller repeats the same transaction, whose rows carry an
// identifier by which its own earlier effect is recognized. Reads see every
// commit that was acknowledged before they began.
package storer
