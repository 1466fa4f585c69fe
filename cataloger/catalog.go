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

// Destination is a service among which the requests of a route are divided.
type Destination struct {
	Service string
	// Weight is relative to the weights of the route's other destinations.
	Weight float64
}

// Route says where the requests of a host with a path prefix go.
type Route struct {
	Name, Host, Prefix string
	Destinations       []Destination
	// Idempotent requests may run more than once.
	Idempotent bool
	// Open routes need no key.
	Open bool
	// Timeout is the longest time from arrival to the end of the answer.
	Timeout time.Duration
	// Objective is the time within which an answer is of full use to its caller.
	Objective time.Duration
	// MaxTargets is the number of targets to which one request may be sent.
	MaxTargets int
	// Regions limits where requests run; empty allows all regions.
	Regions []string
}

// Account is a client account with its allowance over all instances together.
type Account struct {
	Name string
	Keys []authenticator.Digest
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
	// Regions limits where requests run; empty allows all regions.
	Regions []string
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// ColdRate is the rate that a cold target bears from all instances together, in requests per second.
	ColdRate float64
}

// Limits bounds what callers may send.
type Limits struct {
	// BodyBytes is the largest body; 0 accepts all.
	BodyBytes int64
}

// Configuration is what operators decided, as one version.
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
	// Started identifies the incarnation among those with the same name.
	Started int64
	// Leaving targets get no new requests.
	Leaving bool
	// ColdUntil is the end of the time in which the target bears only its service's ColdRate.
	ColdUntil time.Time
}

// Catalog is one state of configuration and targets.
type Catalog struct {
	// Version is that of the configuration; 0 means that none is known yet.
	Version  uint64
	Limits   Limits
	hosts    map[string][]*Route
	accounts map[authenticator.Digest]*Account
	closed   bool
	services map[string]*Pool
	// places maps the addresses of targets to their regions, and names their names.
	places map[netip.Addr]string
	names  map[string]bool
}

// Pool is a service with the targets that may be used.
type Pool struct {
	Service
	Targets []*Target
}

// Find returns the route with the longest prefix of the path on a host, which may carry a port.
func (c *Catalog) Find(host, path string) (*Route, bool) {
	for _, r := range c.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Regions returns the regions to which the routes of a host are limited, or nil if none of them is.
func (c *Catalog) Regions(host string) []string {
	var all []string
	for _, r := range c.routesOf(host) {
		all = Intersect(all, r.Regions)
	}
	return all
}

func (c *Catalog) routesOf(host string) []*Route {
	if rs, ok := c.hosts[host]; ok {
		return rs
	}
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return c.hosts[strings.ToLower(host)]
}

// NeedsKeys reports whether routes that are not open need a key, which is so once there is an account.
func (c *Catalog) NeedsKeys() bool {
	return c.closed
}

// Account returns the account that holds a key.
func (c *Catalog) Account(d authenticator.Digest) (*Account, bool) {
	a, ok := c.accounts[d]
	return a, ok
}

// Accounts calls f for each account once.
func (c *Catalog) Accounts(f func(*Account)) {
	seen := make(map[*Account]bool, len(c.accounts))
	for _, a := range c.accounts {
		if !seen[a] {
			seen[a] = true
			f(a)
		}
	}
}

// Pool returns the service with its usable targets, or nil if it is not configured.
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

// Has reports whether a usable target has a name.
func (c *Catalog) Has(name string) bool {
	return c.names[name]
}

// RegionOf returns the region of the target at an address, or an empty one.
func (c *Catalog) RegionOf(a netip.Addr) string {
	return c.places[a]
}

// Counts returns the numbers of routes, accounts and usable targets.
func (c *Catalog) Counts() (routes, accounts, targets int) {
	for _, rs := range c.hosts {
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
		// No region is in both, which differs from no limit.
		return []string{""}
	}
	return r
}
