// Package spooler buffers the beginning of request bodies.
//
// A body that is buffered completely can be sent again; a longer one is streamed
// from its caller and can be sent once. Reads end at the deadline of the
// request, so that a stalled caller does not delay a shutdown.
package spooler
