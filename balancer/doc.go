// Package balancer decides which target runs a request, and when.
//
// A Pool schedules requests on the targets of one pool that this instance owns.
// It starts a request only on a slot that is certainly free: its own requests,
// requests that it no longer waits for but that may still run, and requests of
// an earlier owner all occupy slots. A Dispatcher makes a Pool safe for
// concurrent use. A Chooser selects the owner to which an entry instance
// forwards a request, and limits retries and traffic between regions.
//
// Pool and Chooser do no I/O and start no goroutine; the time is an argument of
// every call and must not decrease. They are not safe for concurrent use.
//
// A refusal by this package always states NotRun: the request has not been
// started.
package balancer
