package claimer

import (
	"time"

	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/timer"
)

const (
	defaultInterval     = 25 * time.Millisecond
	defaultInFlight     = 16
	defaultRows         = 256
	defaultBytes        = 1 << 20
	defaultBeginTimeout = 2 * time.Second
	defaultPending      = 4096
	defaultPendingBytes = 8 << 20
	defaultOwnerTimeout = time.Second
	defaultAccepted     = 8192
	defaultAcceptBytes  = 16 << 20
)

// Config configures Claims; only Store is required.
type Config struct {
	Store storer.Store
	// Clock is timer.Now if nil.
	Clock timer.Clock
	// Interval is the shortest time between the starts of two transactions; 25 ms if zero.
	Interval time.Duration
	// InFlight bounds the transactions that have started and not ended; 16 if zero.
	InFlight int
	// Rows and Bytes bound one transaction; 256 rows and 1 MiB if zero. One operation may exceed Bytes.
	Rows  int
	Bytes int
	// BeginTimeout bounds Begin in addition to the deadline of the request; 2 s if zero.
	BeginTimeout time.Duration
	// Pending and PendingBytes bound what waits; 4,096 operations and 8 MiB if zero. Beyond
	// PendingBytes outcomes are stored without their bodies.
	Pending      int
	PendingBytes int
	// Self is the name of this instance, and Fleet tells who the claim owners are; without a Fleet every instance
	// writes its own claims.
	Self  string
	Fleet Fleet
	// OwnerTimeout bounds the wait for a claim owner; an owner keeps what it accepted for three quarters of it. 1 s if zero.
	OwnerTimeout time.Duration
	// Accepted and AcceptedBytes bound what waits here for other instances; 8,192 operations and 16 MiB if zero.
	Accepted      int
	AcceptedBytes int
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = timer.Now
	}
	c.Interval = valueOr(c.Interval, defaultInterval)
	c.InFlight = valueOr(c.InFlight, defaultInFlight)
	c.Rows = valueOr(c.Rows, defaultRows)
	c.Bytes = valueOr(c.Bytes, defaultBytes)
	c.BeginTimeout = valueOr(c.BeginTimeout, defaultBeginTimeout)
	c.Pending = valueOr(c.Pending, defaultPending)
	c.PendingBytes = valueOr(c.PendingBytes, defaultPendingBytes)
	if c.Fleet == nil {
		c.Fleet = alone{}
	}
	c.OwnerTimeout = valueOr(c.OwnerTimeout, defaultOwnerTimeout)
	c.Accepted = valueOr(c.Accepted, defaultAccepted)
	c.AcceptedBytes = valueOr(c.AcceptedBytes, defaultAcceptBytes)
	return c
}

// Counters are totals since the start.
type Counters struct {
	// Transactions counts starts, and Conflicts and Failures those without effect or with an unknown one.
	Transactions, Conflicts, Failures uint64
	// Lookups counts the reads for resends.
	Lookups uint64
	// Unavailable counts the requests refused as not run because no claim could be made.
	Unavailable uint64
	// Dropped counts the outcomes and abandoned claims that the store never took.
	Dropped uint64
	// Sent counts the operations sent to claim owners, OwnerRefusals those that these refused, and Fallbacks those
	// that this instance wrote itself because an owner refused or did not answer.
	Sent, OwnerRefusals, Fallbacks uint64
	// Accepted and Refused count the operations that came from other instances.
	Accepted, Refused uint64
	// Pending is the number of operations of this instance that wait or are in flight.
	Pending int
}

func valueOr[T int | time.Duration](v, otherwise T) T {
	if v <= 0 {
		return otherwise
	}
	return v
}
