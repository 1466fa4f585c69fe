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
	// Pending is the number of operations that wait or are in flight.
	Pending int
}

func valueOr[T int | time.Duration](v, otherwise T) T {
	if v <= 0 {
		return otherwise
	}
	return v
}
