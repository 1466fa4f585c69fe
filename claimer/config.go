package claimer

import (
	"time"

	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/timer"
)

const (
	defaultInterval         = 25 * time.Millisecond
	defaultMaxInFlight      = 16
	defaultMaxRows          = 256
	defaultMaxBytes         = 1 << 20
	defaultBeginTimeout     = 2 * time.Second
	defaultMaxPending       = 4096
	defaultMaxPendingBytes  = 8 << 20
	defaultOwnerTimeout     = time.Second
	defaultMaxAccepted      = 8192
	defaultMaxAcceptedBytes = 16 << 20
)

// Config configures Claims. Only Store is required.
type Config struct {
	Store storer.Store
	// Clock defaults to timer.Now.
	Clock timer.Clock
	// Interval is the minimum time between the starts of two transactions; the default is 25 ms.
	Interval time.Duration
	// MaxInFlight limits the number of concurrent transactions; the default is 16.
	MaxInFlight int
	// MaxRows and MaxBytes limit the size of one transaction; the defaults are 256 rows and 1 MiB. A single operation may
	// exceed MaxBytes.
	MaxRows  int
	MaxBytes int
	// BeginTimeout limits the duration of Begin in addition to the request deadline; the default is 2 s.
	BeginTimeout time.Duration
	// MaxPending and MaxPendingBytes limit the operations without a result; the defaults are 4,096 operations and 8 MiB.
	// When MaxPendingBytes is exceeded, outcomes are stored without their bodies.
	MaxPending      int
	MaxPendingBytes int
	// Self is the name of this instance, and Fleet provides the claim owners. Without a Fleet, every instance writes its
	// own claims.
	Self  string
	Fleet Fleet
	// OwnerTimeout limits the wait for a reply from a claim owner; the default is 1 s. An owner keeps an accepted operation
	// for three quarters of its own OwnerTimeout.
	OwnerTimeout time.Duration
	// MaxAccepted and MaxAcceptedBytes limit the operations queued here for other instances; the defaults are 8,192
	// operations and 16 MiB.
	MaxAccepted      int
	MaxAcceptedBytes int
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = timer.Now
	}
	c.Interval = positiveOr(c.Interval, defaultInterval)
	c.MaxInFlight = positiveOr(c.MaxInFlight, defaultMaxInFlight)
	c.MaxRows = positiveOr(c.MaxRows, defaultMaxRows)
	c.MaxBytes = positiveOr(c.MaxBytes, defaultMaxBytes)
	c.BeginTimeout = positiveOr(c.BeginTimeout, defaultBeginTimeout)
	c.MaxPending = positiveOr(c.MaxPending, defaultMaxPending)
	c.MaxPendingBytes = positiveOr(c.MaxPendingBytes, defaultMaxPendingBytes)
	if c.Fleet == nil {
		c.Fleet = noOwners{}
	}
	c.OwnerTimeout = positiveOr(c.OwnerTimeout, defaultOwnerTimeout)
	c.MaxAccepted = positiveOr(c.MaxAccepted, defaultMaxAccepted)
	c.MaxAcceptedBytes = positiveOr(c.MaxAcceptedBytes, defaultMaxAcceptedBytes)
	return c
}

// Counters holds totals since the start, except for Pending.
type Counters struct {
	// Transactions counts started transactions, Conflicts those rejected by a failed check, and Failures those that
	// returned an error, so that they had no effect or an unknown one.
	Transactions, Conflicts, Failures uint64
	// Lookups counts batched reads of claim rows before an insert or a fallback write.
	Lookups uint64
	// Unavailable counts requests rejected as not run because no claim could be acquired.
	Unavailable uint64
	// Dropped counts outcomes and abandoned claims that were discarded without being stored.
	Dropped uint64
	// Sent counts operations sent to claim owners, OwnerRefusals those refused by an owner, and Fallbacks those written
	// by this instance because an owner refused them or did not reply.
	Sent, OwnerRefusals, Fallbacks uint64
	// Accepted and Refused count operations received from other instances.
	Accepted, Refused uint64
	// Pending is the current number of operations of this instance without a result.
	Pending int
}

func positiveOr[T int | time.Duration](v, otherwise T) T {
	if v <= 0 {
		return otherwise
	}
	return v
}
