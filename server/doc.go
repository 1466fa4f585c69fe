// Package server runs the daemon of an entry instance.
//
// It has four listeners: callers (look-ups, tickets, requests), peers and
// operators (both over mutual TLS), and metrics. A request is checked at the
// entry instance and runs through the owner of a target, which may be the same
// instance. Every refusal says whether the request ran; proof, key and deadline
// are checked once more just before the first byte goes to a target.
package server
