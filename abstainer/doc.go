// Package abstainer keeps requests from targets that asked for none.
//
// A target states in its answers that it leaves, or that it wants no requests
// for a while (a rest). The statement holds for that incarnation alone and takes
// precedence over the directory of targets, which may be older. A leaving target
// gets no more requests. After a rest the usable share of its slots grows from
// nearly none to all, and each instance adds a delay of its own, so that a fleet
// does not return at the same moment.
//
// The package does no input or output and reads no clock.
package abstainer
