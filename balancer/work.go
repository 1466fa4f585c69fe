package balancer

import (
	"time"

	"celeryhead.dev/celeryhead/responder"
)

// ID identifies a work within its Pool.
type ID uint64

// Work is a request that needs a slot.
type Work struct {
	Account string
	// Rate is the allowance of the account in requests per second; queues are served in proportion to it.
	Rate float64
	// Deadline is enforced by the target too.
	Deadline time.Time
	// Remote work comes from an instance of another region; it is never queued and leaves the reserve free.
	Remote bool
}

// Outcome says how a started work ended.
type Outcome int

// The outcomes of a work.
const (
	// Success is a whole answer that is not the target's fault.
	Success Outcome = iota
	// Shed means that the target answered that it did not run the work.
	Shed
	// Failure is a whole answer that reports a fault of the target.
	Failure
	// ConnectFailure means that no connection was made, so nothing was sent.
	ConnectFailure
	// Timeout means that no whole answer came in time; the work may still run.
	Timeout
	// Broken means that the connection broke and the target still accepts connections; the work may still run.
	Broken
	// Crash means that the connection broke and the target refused connections right after.
	Crash
	// Canceled means that the caller gave up; the work may still run.
	Canceled
	// NotSent means that nothing was sent to the target for a reason other than the target.
	NotSent
)

// mayRun reports whether a work with outcome o can still occupy a slot of its target.
func (o Outcome) mayRun() bool {
	return o == Timeout || o == Broken || o == Canceled
}

// Start is a work to send to a target now.
type Start struct {
	ID     ID
	Work   Work
	Target string
}

// Refused is a work that left the queue without being started.
type Refused struct {
	ID      ID
	Refusal *responder.Refusal
}

// Actions are the results of an event; a submitted work in neither list is queued.
type Actions struct {
	Starts  []Start
	Refused []Refused
}

func (a *Actions) refuse(id ID, r *responder.Refusal) {
	a.Refused = append(a.Refused, Refused{ID: id, Refusal: r})
}

// Residue is work that may still run on a target after its owner gave it up.
type Residue struct {
	Target string
	// Slots may exceed the slots of the target, which then counts as full.
	Slots int
	// Until is the latest deadline of the work.
	Until time.Time
}

// AllSlots is the number of slots of a residue whose size is unknown.
const AllSlots = 1 << 20

// Holding is a target that an instance owns.
type Holding struct {
	Target string
	Slots  int
	// Connections is the limit of the target, or 0 for none.
	Connections int
	// Draining targets receive no new work.
	Draining bool
	// Residues count only when the target is gained.
	Residues []Residue
}

// Signal is a reading of the health or load endpoint of a target.
type Signal struct {
	Healthy bool
	// Load is the share of the target in use, in [0,1]; it only breaks ties.
	Load float64
	// Leaving targets receive no new work until a signal says otherwise.
	Leaving bool
}
