// Package abstainer keeps requests from targets that asked for none.
//
// A target says in its answers that it leaves, or that it wants no requests for
// a while. Either holds for that incarnation of it alone, and whatever a
// directory of targets says: the target's own word is newer. A target that left
// gets nothing more. After a rest, requests return by degrees: first on a part
// of its slots that grows, and at each instance with a delay of its own, so that
// a fleet does not return at the same moment.
//
// The package does no input or output and reads no clock.
package abstainer
