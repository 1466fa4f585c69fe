package attester

import "time"

// Outcome is the progress of a change towards being in force.
type Outcome uint8

// The outcomes of a change.
const (
	// Pending means that an instance may still act on an older version.
	Pending Outcome = iota
	// Expired means that Freshness has passed since the commit, so an instance that
	// did not confirm the change has no valid proof until it adopts the change. This
	// holds while an instance that has the version is up, or the store is reachable.
	Expired
	// Confirmed means that every instance that may act applies the change.
	Confirmed
)

// WaitInForce identifies a change whose author waits until it is in force.
type WaitInForce struct {
	// Version is the heads version of the change.
	Version uint64
	// Learned is when the author learned of the commit and began to send Version in its heartbeat answers.
	Learned time.Time
}

// Standing is the state of the author's tracker when InForce is called.
type Standing struct {
	// Acts is the value of Tracker.Acts; without a current list reading the peer set may be incomplete.
	Acts bool
	// Departures is the value of Tracker.Departures. A departed instance is no peer but may hold a proof from a store read.
	Departures bool
}

// InForce returns the outcome of the change at now, and the names of the peers that have not confirmed it.
func (a *Attester) InForce(w WaitInForce, s Standing, now time.Time) (Outcome, []string) {
	var missing []string
	for k, p := range a.peers.All() {
		if p.confirmedVersion < w.Version {
			missing = append(missing, k)
		}
	}
	expired := !now.Before(w.Learned.Add(a.c.Freshness))
	switch {
	case !s.Acts:
		return Pending, missing
	case len(missing) == 0 && (expired || !s.Departures):
		return Confirmed, nil
	case expired:
		return Expired, missing
	default:
		return Pending, missing
	}
}
