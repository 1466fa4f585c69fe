// Package balancer decides which target runs a request, and when.
//
// A Pool holds the targets of one pool that this instance owns. It starts work
// only where a slot is certainly free: its own requests, requests that it gave up
// on but that may still run, and requests of an earlier owner all occupy slots.
// A Dispatcher makes a Pool usable from many goroutines. A Chooser picks the
// owner to which an entry instance forwards a request, and limits retries and
// traffic between regions.
//
// Pool and Chooser do no I/O and start no goroutine; the time is an argument of
// every call and must not decrease. They are not safe for concurrent use.
//
// A refusal by this package always says NotRun: the work has not been started.
package balancer
