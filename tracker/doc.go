// Package tracker derives membership and the peer set from list readings and heartbeats.
//
// The platform's list lags by at most Config.ListLag: a reading requested at t
// shows every instance that was listed throughout [t - ListLag, t], and none
// that was not listed at some moment since t - ListLag. A name belongs to one
// process at a time, and a later process of the same name has a larger
// incarnation. Times come from the boot-time clock of the caller.
//
// The peer set only shrinks when it is certain that the instance no longer
// acts: it said that this incarnation stopped, or it was absent from every
// reading for ListLag + ListAge after the first reading without it arrived.
//
// Departed asks for a longer absence, after which an instance that is listed again
// knows that it was off the list, or has gaps between its own readings.
//
// A silent instance is due for removal from the assignments unless only a link to
// it may have failed: an instance that is heard hears it, its last removal was
// false, or the own instance was left out itself.
//
// A Tracker does no I/O and is not safe for concurrent use.
package tracker
