// Package placer selects the target that runs a request, or rejects the request.
//
// It handles three conditions. Objects: a target answers much faster for an
// object that it handled recently and still caches, so requests for an object go
// to as few targets as their rate needs. Peaks: when every target has a queue, a
// request that could only be answered late is rejected at once, with the time
// after which the queue will be short enough. The targets' capacity then goes to
// requests that are answered in time. Faults: targets that are slow, fail, or
// cannot be reached get fewer requests or none, and are readmitted with one
// request at a time.
//
// Slow machines: a target may state how much slower than usual it is at present.
// Bytes: a target in the own failure domain is preferred, and one in the own
// region, where that costs no cached object and no queue.
//
// Targets that said that they leave, or that they want nothing for a while, get
// nothing, as package abstainer knows. They keep their objects, and after a rest
// requests return to their slots by degrees.
//
// For each candidate the placer estimates the time until the answer arrives: the
// wait for a slot, the processing time, which is longer for an object that the
// target has not cached, and the network round trip. The earliest answer wins.
// All estimates come from answers to real requests; targets are not probed.
//
// The package does no input or output and reads no clock.
package placer
