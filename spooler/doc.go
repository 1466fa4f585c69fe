// Package spooler buffers the beginning of request bodies.
//
// A body that is buffered as a whole can be sent again; a longer one is passed
// on from its caller and can be sent once. Reads end at the deadline of the
// request, so that a caller that falls silent does not hold up a shutdown.
package spooler
