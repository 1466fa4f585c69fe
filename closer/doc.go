// Package closer closes connections of callers so that they can read the last
// answer.
//
// If a connection is closed while bytes of its caller are unread, the kernel
// resets it and drops what the caller has not received. A connection that
// lingers is closed for writing first, and read until its caller closes it.
package closer
