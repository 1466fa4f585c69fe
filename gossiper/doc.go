// Package gossiper exchanges membership, load and tokens between instances by
// gossip.
//
// Every Interval an instance sends a datagram to a few others, most of them in
// its own region. The datagram holds the instance's state, the versions of its
// copies of the store's tables, its requests in flight at targets, requests that
// crashed targets, and what it last heard of some other instances. The cost per
// instance is therefore independent of the fleet's size. Datagrams may be lost
// or delayed; an instance counts as gone when nothing was heard of it, directly
// or through others, for Silence.
//
// An instance discovers the others in the store's table of instances, from the
// seeds in its settings, and from the datagrams that it receives. Tokens of
// client accounts are transferred in datagrams too: a lost datagram loses its
// tokens, and none is accepted twice, so that an allowance is never exceeded.
// Permits to send to targets that state a rate are requested in the same way.
package gossiper
