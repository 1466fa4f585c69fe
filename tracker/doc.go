// Package tracker computes membership and the peer set from list readings and heartbeats.
//
// The platform's list lags by at most Config.ListLag: a reading requested at t
// shows every instance that was listed throughout [t - ListLag, t], and none
// that was unlisted from t - ListLag until the reading arrived. A name belongs to
// one process at a time, and a later process of the same name has a larger
// incarnation. Times come from the boot-time clock of the caller.
//
// An instance leaves the peer set only when it certainly no longer acts: it
// announced that this incarnation stopped, or it was neither heard nor shown by
// any reading, from one that arrived at t to one requested at t + ListLag +
// ListAge or later.
//
// Departed requires a longer absence. After it, an instance that is listed again
// has seen its absence in its own readings, or its readings are more than ListAge
// apart.
//
// A silent instance is due for removal from the assignments, unless only a link to
// it may have failed: a peer that is heard hears the instance, the backoff after a
// false removal has not passed, or the local instance was itself removed.
//
// A Tracker does no I/O and is not safe for concurrent use.
package tracker
