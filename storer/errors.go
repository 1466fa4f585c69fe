package storer

import "github.com/ansel1/merry/v2"

// Errors of a Client, told apart by errors.Is; each carries its cause.
var (
	// ErrNotSent says that no byte of the call reached the store, so that it has no effect.
	ErrNotSent = merry.Sentinel("store call not sent")
	// ErrRejected says that the store refused the call as malformed, without effect.
	ErrRejected = merry.Sentinel("store call rejected")
	// ErrUnknown says that the call may have taken effect, or may still do so later.
	ErrUnknown = merry.Sentinel("effect of store call unknown")
	// ErrConfig says that a client cannot be built from its configuration.
	ErrConfig = merry.Sentinel("invalid store configuration")
)
