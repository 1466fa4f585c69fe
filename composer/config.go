package composer

import (
	"net/netip"
	"time"
)

// Config is the whole configuration of one deployment.
type Config struct {
	Lookup   Lookup
	Regions  []Region
	Links    []Link
	Pools    []Pool
	Routes   []Route
	Accounts []Account
	Blocks   []Block
	Shifts   []Shift
	Drains   []Drain
}

// Lookup configures the answers that tell callers which instances to use.
type Lookup struct {
	// TimeToLive is how long a caller may keep an answer.
	TimeToLive time.Duration
}

// Region is a group of failure domains with low latency between them.
type Region struct {
	Name           string
	FailureDomains []string
}

// Link limits the traffic between two regions, in each direction.
type Link struct {
	From, To string
	// Megabits is the capacity in Mbit/s.
	Megabits float64
}

// Pool is a group of targets that serve the same routes.
type Pool struct {
	Name    string
	Targets []Target
	// ServiceTime is how long a request usually holds a slot; capacity is computed from it.
	ServiceTime time.Duration
	// Reserve is the share of each owner's slots, in [0,1), that requests from other regions cannot use.
	Reserve float64
	// HealthPath and LoadPath are optional endpoints of each target.
	HealthPath, LoadPath string
}

// Target serves requests in a limited number of slots.
type Target struct {
	Name          string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	Connections   int
}

// Route maps requests to a pool by the longest matching path prefix.
type Route struct {
	Name       string
	PathPrefix string
	// Methods is empty for any method.
	Methods []string
	Pool    string
	// Open routes need no key.
	Open bool
	// Idempotent requests need no Idempotency-Key.
	Idempotent bool
	// Deadline is the longest time from arrival at the first instance to the end of the answer.
	Deadline time.Duration
}

// Account is a client account with its allowance over all instances together.
type Account struct {
	Name string
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
	Keys  []Key
}

// Key is the SHA-256 digest of a secret key that callers of an account present.
type Key struct {
	Name   string
	Digest [32]byte
}

// Block is a prefix of client addresses with its home region.
type Block struct {
	Prefix netip.Prefix
	Region string
	// Weight is the expected rate in requests per second.
	Weight float64
}

// Shift moves blocks of clients from one region to another in steps.
type Shift struct {
	Name     string
	From, To string
	// Share is the part of the blocks of From, in (0,1], that has moved at the end.
	Share float64
	// Step is the part that moves with each step, in (0,1].
	Step float64
	// StepInterval is the shortest time between two steps.
	StepInterval time.Duration
	// Cap is the largest rate in requests per second that the shift may move.
	Cap   float64
	Start time.Time
}

// Drain takes one target, failure domain, instance or region out of use.
type Drain struct {
	Name string
	Kind DrainKind
	// Of is the name of the target, failure domain, instance or region.
	Of string
}

// DrainKind says what a drain takes out of use.
type DrainKind string

// The kinds of drains.
const (
	DrainTarget        DrainKind = "target"
	DrainFailureDomain DrainKind = "failure_domain"
	DrainInstance      DrainKind = "instance"
	DrainRegion        DrainKind = "region"
)
