package balancer

import (
	"time"

	"celeryhead.dev/celeryhead/responder"
)

// ID identifies a request within its Pool.
type ID uint64

// Work is a request that needs a slot on a target.
type Work struct {
	Account string
	// Rate is the rate limit of the account in requests per second; queues are served in proportion to it.
	Rate float64
	// Deadline is the time until which the request may run; the target enforces it too.
	Deadline time.Time
	// Remote is true for a request from an instance of another region. Such a request is never queued and leaves the
	// reserve free.
	Remote bool
}

// Outcome is how a started request ended.
type Outcome int

// Outcomes of a request.
const (
	// Success is a complete response that reports no fault of the target.
	Success Outcome = iota
	// Shed means that the target responded that it did not run the request.
	Shed
	// Failure is a complete response that reports a fault of the target.
	Failure
	// ConnectFailure means that no connection was made, so nothing was sent.
	ConnectFailure
	// Timeout means that no complete response arrived in time; the request may still run.
	Timeout
	// Broken means that the connection broke but the target still accepts connections; the request may still run.
	Broken
	// Crash means that the connection broke and the target refused a new connection right after.
	Crash
	// Canceled means that the caller canceled the request, which may still run.
	Canceled
	// NotSent means that nothing was sent to the target, for a reason other than the target.
	NotSent
)

// mayRun reports whether a request with outcome o can still occupy a slot of its target.
func (o Outcome) mayRun() bool {
	return o == Timeout || o == Broken || o == Canceled
}

// Start tells the caller to send a request to a target now.
type Start struct {
	ID      ID
	Request Work
	Target  string
}

// Refused is a request that was refused without being started.
type Refused struct {
	ID      ID
	Refusal *responder.Refusal
}

// Actions are the results of an event. A submitted request that is in neither list is queued.
type Actions struct {
	Starts  []Start
	Refused []Refused
}

func (a *Actions) refuse(id ID, r *responder.Refusal) {
	a.Refused = append(a.Refused, Refused{ID: id, Refusal: r})
}

// Residue describes the outstanding requests on a target: requests that may still run there although its current owner
// did not start them, or no longer waits for them.
type Residue struct {
	Target string
	// Slots is the number of slots that may be occupied. It may exceed the slots of the target, which then counts as
	// full.
	Slots int
	// Until is the latest deadline of the requests plus the grace.
	Until time.Time
}

// AllSlots stands for an unknown number of slots in a Residue.
const AllSlots = 1 << 20

// Holding is the assignment of a target to an instance.
type Holding struct {
	Target string
	Slots  int
	// Connections limits the concurrent requests to the target; 0 means no limit.
	Connections int
	// Draining targets receive no new requests.
	Draining bool
	// Residues are the outstanding requests of earlier owners, used only when the target is newly acquired.
	Residues []Residue
}

// Signal is a reading of the health or load endpoint of a target.
type Signal struct {
	Healthy bool
	// Load is the utilization of the target, in [0,1]. It decides only between targets that are otherwise equal.
	Load float64
	// Leaving targets receive no new requests until a healthy signal without Leaving.
	Leaving bool
}
