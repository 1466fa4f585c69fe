package attester

import "time"

// Outcome says how far a change has come.
type Outcome uint8

// The outcomes of a change.
const (
	// Pending: an instance may still apply an older version.
	Pending Outcome = iota
	// Expired: Freshness has passed, so every instance that did not confirm
	// holds no proof until it learns of the change. This lasts while one
	// instance that has the version stays up, or the store answers.
	Expired
	// Confirmed: every instance that may act applies the change.
	Confirmed
)

// WaitInForce follows one change at its author.
type WaitInForce struct {
	// Version is the heads version that the change made.
	Version uint64
	// Learned is when the author learned that the store committed it; its heartbeat answers carry Version since then.
	Learned time.Time
}

// Standing is what the tracker of the author says at the time of the question.
type Standing struct {
	// Acts is tracker.Acts: without a fresh list reading the peer set may be incomplete.
	Acts bool
	// Departures is tracker.Departures: such an instance may hold a proof from a store read without being a peer.
	Departures bool
}

// InForce reports the outcome of the change at now and the peers that have not confirmed it.
func (a *Attester) InForce(w WaitInForce, s Standing, now time.Time) (Outcome, []string) {
	var missing []string
	for k, p := range a.peers.All() {
		if p.confirmed < w.Version {
			missing = append(missing, k)
		}
	}
	passed := !now.Before(w.Learned.Add(a.c.Freshness))
	switch {
	case !s.Acts:
		return Pending, missing
	case len(missing) == 0 && (passed || !s.Departures):
		return Confirmed, nil
	case passed:
		return Expired, missing
	default:
		return Pending, missing
	}
}
