// Package timer reads a clock that runs on while the machine is suspended, and waits.
//
// The monotonic reading in time.Time comes from CLOCK_MONOTONIC, which stops
// during a suspension, so that a lease held by a resumed machine would look
// younger than it is. Package timer derives its times from CLOCK_BOOTTIME. They
// carry no monotonic reading, so that arithmetic on them uses this clock alone.
//
// Suspensions tells when the process did not run, so that what waited in its
// sockets meanwhile is not taken for news.
//
// Every, Poll and Sleep only pace work: their intervals are those of package
// time and grow by a suspension. What must end at a certain time compares Now.
package timer
