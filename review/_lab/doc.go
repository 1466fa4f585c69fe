// Command lab runs the scripted cases of the second review. Each case starts daemons on loopback addresses with stand-ins of
// the store, the backends and the clients, and writes what was sent, run and answered to a record.
package main
