// Package storer provides access to the platform's transactional table service.
//
// A commit applies all its writes if every check succeeds, and none otherwise. After an
// error from Commit other than ErrNotSent and ErrRejected, its effect is unknown. The
// caller then repeats the same transaction; an identifier in its rows shows whether the
// earlier attempt was applied. Reads see every commit that was acknowledged before they
// began.
package storer
