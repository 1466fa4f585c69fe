// Package pipeliner starts pipelined requests of a connection before their turn.
//
// net/http serves the requests of an HTTP/1.1 connection one after the other.
// The connections of this package give net/http the bytes of one request at a
// time. While a handler runs, net/http reads in the background to notice that
// the caller disconnects; that read goes on here into a bounded buffer, and the
// complete heads in it are started by a function of the caller of this package.
// net/http then reads the same bytes in order, and its handler finds the run
// that was started for them (Taken). Order and refusals remain those of
// net/http, which also decides what a valid request is. The Listener decides
// which answer is the last one of a connection, because net/http does not know
// of the requests that run behind it.
//
// A run that no handler takes over is dropped. What cannot be started waits, as
// with net/http alone.
package pipeliner
