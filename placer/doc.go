// Package placer decides on which target a request runs, or that it is rejected.
//
// It answers three loads. Objects: a target answers much faster for an object
// that it handled recently, so requests for an object are kept on as few targets
// as their rate needs. Peaks: when every target has a queue, a request that could
// only be answered late is rejected at once, with the time after which the queue
// will be short enough, so that the targets' time goes to requests that are
// answered in time. Faults: targets that are slow, that fail, or that cannot be
// reached get less or nothing, and come back with one request at a time.
//
// For each candidate the placer estimates when the answer would be there: the
// wait for a slot, the work, which is longer for an object that the target does
// not know, and the way there and back. The earliest wins. All estimates come
// from the answers themselves; targets are not probed.
//
// The package does no input or output and reads no clock.
package placer
