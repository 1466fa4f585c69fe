package cataloger

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"celeryhead.dev/celeryhead/authenticator"
)

// Destination is one of the services that share the requests of a route.
type Destination struct {
	Service string
	// Weight is relative to the weights of the route's other destinations.
	Weight float64
}

// Route assigns the requests of a host with a path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Destinations       []Destination
	// Idempotent requests may run more than once.
	Idempotent bool
	// Open routes require no key.
	Open bool
	// Timeout is the longest time from arrival to the end of the answer.
	Timeout time.Duration
	// Objective is the time after which an answer loses part of its value to the caller.
	Objective time.Duration
	// MaxTargets is the largest number of targets that a request may be sent to.
	MaxTargets int
	// Regions lists the regions where requests may run; empty allows all.
	Regions []string
}

// Account is a client account with its fleet-wide allowance.
type Account struct {
	Name string
	Keys []authenticator.Digest
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
	// Regions lists the regions where requests may run; empty allows all.
	Regions []string
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// ColdRate is the rate that a cold target can handle from all instances together, in requests per second.
	ColdRate float64
}

// Limits bounds what callers may send.
type Limits struct {
	// BodyBytes is the size of the largest accepted body; 0 accepts all.
	BodyBytes int64
	// HeadBytes is the size of the largest accepted head; 0 leaves the server's own.
	HeadBytes int64
	// HeadTime is how long a caller may take to send a head, and IdleTime how long a connection may be unused; 0 leaves the
	// server's own.
	HeadTime, IdleTime time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Accounts []Account
	Services []Service
}

// Target is one incarnation of a back end.
type Target struct {
	Name, Service         string
	Address               netip.AddrPort
	FailureDomain, Region string
	Slots                 int
	// Started distinguishes the incarnations of a target with the same name.
	Started int64
	// Leaving targets get no new requests.
	Leaving bool
	// ColdUntil is the end of the period in which the target can handle only its service's ColdRate.
	ColdUntil time.Time
}

// Catalog is an immutable snapshot of the configuration and the targets.
type Catalog struct {
	// Version is the version of the configuration; 0 means that there is none yet.
	Version      uint64
	Limits       Limits
	routesByHost map[string][]*Route
	accounts     map[authenticator.Digest]*Account
	keysRequired bool
	services     map[string]*Pool
	// regionByAddress maps the addresses of usable targets to their regions; targetNames is the set of their names.
	regionByAddress map[netip.Addr]string
	targetNames     map[string]bool
}

// Pool is a service with its usable targets.
type Pool struct {
	Service
	Targets []*Target
}

// Find returns the route of a host with the longest prefix of the path. The host may include a port.
func (c *Catalog) Find(host, path string) (*Route, bool) {
	for _, r := range c.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Regions returns the intersection of the region limits of a host's routes, or nil if no route has a limit.
func (c *Catalog) Regions(host string) []string {
	var all []string
	for _, r := range c.routesOf(host) {
		all = Intersect(all, r.Regions)
	}
	return all
}

func (c *Catalog) routesOf(host string) []*Route {
	if rs, ok := c.routesByHost[host]; ok {
		return rs
	}
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return c.routesByHost[strings.ToLower(host)]
}

// NeedsKeys reports whether routes that are not open require a key, which is the case if there are accounts.
func (c *Catalog) NeedsKeys() bool {
	return c.keysRequired
}

// Account returns the account that holds a key.
func (c *Catalog) Account(d authenticator.Digest) (*Account, bool) {
	a, ok := c.accounts[d]
	return a, ok
}

// Accounts calls f once for each account that holds a key.
func (c *Catalog) Accounts(f func(*Account)) {
	seen := make(map[*Account]bool, len(c.accounts))
	for _, a := range c.accounts {
		if !seen[a] {
			seen[a] = true
			f(a)
		}
	}
}

// Pool returns a service with its usable targets, or nil if the service is not configured.
func (c *Catalog) Pool(service string) *Pool {
	return c.services[service]
}

// Target returns a usable target of a service.
func (c *Catalog) Target(service, name string) (*Target, bool) {
	p := c.services[service]
	if p == nil {
		return nil, false
	}
	i, ok := slices.BinarySearchFunc(p.Targets, name, func(t *Target, n string) int { return cmp.Compare(t.Name, n) })
	if !ok {
		return nil, false
	}
	return p.Targets[i], true
}

// Targets calls f for each usable target.
func (c *Catalog) Targets(f func(*Target)) {
	for _, p := range c.services {
		for _, t := range p.Targets {
			f(t)
		}
	}
}

// Has reports whether there is a usable target with the given name.
func (c *Catalog) Has(name string) bool {
	return c.targetNames[name]
}

// RegionOf returns the region of the usable target at an address, or an empty string.
func (c *Catalog) RegionOf(a netip.Addr) string {
	return c.regionByAddress[a]
}

// Counts returns the numbers of routes, accounts that hold a key, and usable targets.
func (c *Catalog) Counts() (routes, accounts, targets int) {
	for _, rs := range c.routesByHost {
		routes += len(rs)
	}
	c.Accounts(func(*Account) { accounts++ })
	for _, p := range c.services {
		targets += len(p.Targets)
	}
	return routes, accounts, targets
}

// Intersect returns the regions that are in both lists; an empty list stands for all regions.
func Intersect(a, b []string) []string {
	switch {
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	r := []string{}
	for _, s := range a {
		if slices.Contains(b, s) {
			r = append(r, s)
		}
	}
	if len(r) == 0 {
		// An empty result would mean no limit, so return a region that does not exist.
		return []string{""}
	}
	return r
}
