// Package gossiper tells instances of each other.
//
// Every Interval an instance sends a datagram to a few others, most of them in
// its own region: its own state, how new its copies of the store's tables are,
// what it has in flight at targets, requests that crashed targets, and what it
// last heard of some other instances. A fleet of any size therefore costs each
// instance the same. Datagrams may be lost or late; an instance counts as gone
// when nothing was heard of it, directly or through others, for Silence.
//
// An instance finds the others in the store's table of instances, at the seeds
// of its settings, and in what it receives. Tokens of client accounts move
// between instances in datagrams too: a lost one loses its tokens, and none is
// accepted twice, so that an allowance is never exceeded.
package gossiper
