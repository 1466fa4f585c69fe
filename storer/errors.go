package storer

import "github.com/ansel1/merry/v2"

// Errors returned by a Client. Use errors.Is to distinguish them; each wraps its cause.
var (
	// ErrNotSent reports that no part of the call reached the store, so that it has no effect.
	ErrNotSent = merry.Sentinel("store call not sent")
	// ErrRejected reports that the store rejected the call as malformed. It has no effect.
	ErrRejected = merry.Sentinel("store call rejected")
	// ErrUnknown reports that the call may have been applied or may still be applied later.
	ErrUnknown = merry.Sentinel("effect of store call unknown")
	// ErrConfig reports an invalid Config.
	ErrConfig = merry.Sentinel("invalid store configuration")
)
