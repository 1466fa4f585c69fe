package handler

import (
	"net/netip"
	"time"

	"celeryhead.dev/celeryhead/sharer"
)

// Settings are the checked settings of one instance.
type Settings struct {
	Name                  string
	Address               netip.Addr
	Region, FailureDomain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Callers is where requests arrive.
	Callers netip.AddrPort
	// Peers is used by other instances, over UDP and TCP.
	Peers netip.AddrPort
	// Metrics is where metrics are served; invalid for nowhere.
	Metrics netip.AddrPort
	// Seeds are addresses of instances that may run.
	Seeds  []netip.Addr
	Limits Limits
}

// Limits are the settings that may change while the instance runs.
type Limits struct {
	// Retries limits the retries towards each service from all instances together.
	Retries sharer.BudgetConfig
	// HedgeShare is the number of second attempts allowed per request to a service, for requests that may be repeated; 0
	// means none.
	HedgeShare float64
	// Grace is the time from the order to stop to the forced end.
	Grace time.Duration
	// LookupLife is how long a caller may use the answer to a look-up.
	LookupLife time.Duration
	// Memory is what the process may use, in bytes; 0 if that is not known.
	Memory int64
	// Descriptors is how many descriptors the process may have; 0 if only the limit of the process itself counts.
	Descriptors int
	// Admission configures the budgets of connections.
	Admission Admission
}
