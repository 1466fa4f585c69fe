package composer

import (
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"time"
)

// Limits of a configuration.
const (
	// MaxNameLength, in bytes, holds for names of instances too; a ticket has room for two names.
	MaxNameLength = 64
	// MaxTimeToLive bounds how long callers may follow an old answer.
	MaxTimeToLive = time.Hour
	// MaxDeadline bounds how long a new owner of a target may have to wait for the work of the old one.
	MaxDeadline = time.Hour
	// MaxSlots and MaxConnections keep sums of counts far from overflow.
	MaxSlots       = 1_000_000
	MaxConnections = 1_000_000
)

var knownMethods = []string{
	http.MethodConnect, http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPatch, http.MethodPost, http.MethodPut, http.MethodTrace,
}

// safeMethods are defined without side effects (RFC 9110, section 9.2.1).
var safeMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

// Check returns Problems that name every fault in the meaning of c, or nil.
func (c Config) Check() error {
	k := checker{
		regions: make(map[string]bool),
		domains: make(map[string]string),
		pools:   make(map[string]Pool),
		targets: make(map[string]bool),
	}
	k.lookup(c.Lookup)
	k.allRegions(c.Regions)
	k.allLinks(c.Links)
	k.allPools(c.Pools)
	k.allRoutes(c.Routes)
	k.allAccounts(c.Accounts)
	k.allBlocks(c.Blocks)
	k.allShifts(c.Shifts)
	k.allDrains(c.Drains)
	return k.err()
}

// checker holds the names that later entities refer to.
type checker struct {
	Problems
	regions map[string]bool
	// domains maps a failure domain to its region.
	domains map[string]string
	pools   map[string]Pool
	targets map[string]bool
}

func (k *checker) lookup(v Lookup) {
	k.duration("lookup", "time_to_live", v.TimeToLive, MaxTimeToLive)
}

func (k *checker) allRegions(s []Region) {
	seen := make(map[string]bool)
	for i, v := range s {
		e := label("region", v.Name, i)
		k.name(e, v.Name, seen)
		k.regions[v.Name] = true
		if len(v.FailureDomains) == 0 {
			k.add(e, "failure_domains", "must not be empty")
		}
		for _, d := range v.FailureDomains {
			k.validName(e, "failure_domains", d)
			if other, ok := k.domains[d]; ok {
				k.add(e, "failure_domains", "%q is already in region %q", d, other)
			}
			k.domains[d] = v.Name
		}
	}
}

func (k *checker) allLinks(s []Link) {
	seen := make(map[string]bool)
	for _, v := range s {
		e := fmt.Sprintf("link %q", linkName(v))
		k.once(e, "", linkName(v), seen)
		k.pair(e, v.From, v.To)
		k.positive(e, "megabits", v.Megabits)
	}
}

func (k *checker) allPools(s []Pool) {
	seen := make(map[string]bool)
	addresses := make(map[netip.AddrPort]string)
	for i, v := range s {
		e := label("pool", v.Name, i)
		k.name(e, v.Name, seen)
		k.pools[v.Name] = v
		k.duration(e, "service_time", v.ServiceTime, MaxDeadline)
		if !(v.Reserve >= 0 && v.Reserve < 1) {
			k.add(e, "reserve", "must be at least 0 and below 1")
		}
		k.optionalPath(e, "health_path", v.HealthPath)
		k.optionalPath(e, "load_path", v.LoadPath)
		if len(v.Targets) == 0 {
			k.add(e, "targets", "must not be empty")
		}
		for j, t := range v.Targets {
			k.target(e+", "+label("target", t.Name, j), t, addresses)
		}
	}
}

func (k *checker) target(e string, t Target, addresses map[netip.AddrPort]string) {
	k.name(e, t.Name, k.targets)
	k.address(e, t, addresses)
	k.knownDomain(e, "failure_domain", t.FailureDomain)
	if t.Slots < 1 || t.Slots > MaxSlots {
		k.add(e, "slots", "must be from 1 to %d", MaxSlots)
	}
	if t.Connections < t.Slots || t.Connections > MaxConnections {
		k.add(e, "connections", "must be from the number of slots to %d", MaxConnections)
	}
}

func (k *checker) address(e string, t Target, addresses map[netip.AddrPort]string) {
	a := t.Address
	ip := a.Addr()
	if !a.IsValid() || a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Is4In6() || ip.Zone() != "" {
		k.add(e, "address", "must be a unicast IP address without zone, and a port")
		return
	}
	if other, ok := addresses[a]; ok {
		k.add(e, "address", "%s is already used by target %q", a, other)
	}
	addresses[a] = t.Name
}

func (k *checker) allRoutes(s []Route) {
	seen := make(map[string]bool)
	byPrefix := make(map[string][]Route)
	for i, v := range s {
		e := label("route", v.Name, i)
		k.name(e, v.Name, seen)
		if !isPath(v.PathPrefix) {
			k.add(e, "path_prefix", "must begin with '/' and have only printable ASCII, no '?', '#' or '%%', and no empty, '.' or '..' segment")
		}
		k.methods(e, v)
		for _, other := range byPrefix[v.PathPrefix] {
			if shareMethod(v, other) {
				k.add(e, "path_prefix", "%q is already used by route %q with the same method", v.PathPrefix, other.Name)
			}
		}
		byPrefix[v.PathPrefix] = append(byPrefix[v.PathPrefix], v)
		k.duration(e, "deadline", v.Deadline, MaxDeadline)
		p, ok := k.pools[v.Pool]
		if !ok {
			k.add(e, "pool", "%q is not a pool", v.Pool)
		} else if v.Deadline > 0 && v.Deadline < p.ServiceTime {
			k.add(e, "deadline", "is shorter than the service time of pool %q", v.Pool)
		}
		// Claims and tickets belong to an account, which an open route does not have.
		if v.Open && !v.Idempotent {
			k.add(e, "open", "a route that is not idempotent needs a key")
		}
	}
}

func (k *checker) methods(e string, v Route) {
	seen := make(map[string]bool)
	for _, m := range v.Methods {
		if !slices.Contains(knownMethods, m) || m == http.MethodConnect {
			k.add(e, "methods", "%q is not a method of HTTP requests that can be forwarded", m)
		}
		if !v.Idempotent && slices.Contains(safeMethods, m) {
			k.add(e, "methods", "%s is idempotent by definition, but the route is not", m)
		}
		k.once(e, "methods", m, seen)
	}
}

func shareMethod(a, b Route) bool {
	if len(a.Methods) == 0 || len(b.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(a.Methods, func(m string) bool { return slices.Contains(b.Methods, m) })
}

func (k *checker) allAccounts(s []Account) {
	seen := make(map[string]bool)
	digests := make(map[[32]byte]string)
	for i, v := range s {
		e := label("account", v.Name, i)
		k.name(e, v.Name, seen)
		if !isKeyName(v.Name) {
			k.add(e, "name", "must be of a-z, 0-9 and '-'")
		}
		k.positive(e, "rate", v.Rate)
		if !(v.Burst >= 1) || math.IsInf(v.Burst, 0) {
			k.add(e, "burst", "must be at least 1 and finite")
		}
		k.keys(e, v, digests)
	}
}

func (k *checker) keys(e string, a Account, digests map[[32]byte]string) {
	seen := make(map[string]bool)
	for i, v := range a.Keys {
		ke := e + ", " + label("key", v.Name, i)
		k.name(ke, v.Name, seen)
		if !isKeyName(v.Name) {
			k.add(ke, "name", "must be of a-z, 0-9 and '-'")
		}
		if v.Digest == [32]byte{} {
			k.add(ke, "digest", "is missing")
			continue
		}
		if other, ok := digests[v.Digest]; ok {
			k.add(ke, "digest", "is already the digest of key %q", other)
		}
		digests[v.Digest] = a.Name + "/" + v.Name
	}
}

func (k *checker) allBlocks(s []Block) {
	duplicate := duplicates(s)
	for i, v := range s {
		p := v.Prefix
		if !p.IsValid() || p != p.Masked() || p.Addr().Is4In6() {
			k.add(label("block", p.String(), i), "prefix", "must be an address prefix without bits after its length")
		}
		if duplicate(i) {
			k.add(label("block", p.String(), i), "prefix", "is a duplicate")
		}
		if !k.regions[v.Region] {
			k.add(label("block", p.String(), i), "region", "%q is not a region", v.Region)
		}
		if !(v.Weight >= 0) || math.IsInf(v.Weight, 0) {
			k.add(label("block", p.String(), i), "weight", "must be at least 0 and finite")
		}
	}
}

// duplicates returns a function that tells, for each block in turn, whether its prefix is that of an earlier one. Blocks
// in canonical order need no table of prefixes, which would take 13 MB for 160,000.
func duplicates(s []Block) func(i int) bool {
	if slices.IsSortedFunc(s, compareBlocks) {
		return func(i int) bool { return i > 0 && s[i].Prefix == s[i-1].Prefix }
	}
	seen := make(map[netip.Prefix]bool, len(s))
	return func(i int) bool {
		p := s[i].Prefix
		defer func() { seen[p] = true }()
		return seen[p]
	}
}

func (k *checker) allShifts(s []Shift) {
	seen := make(map[string]bool)
	for i, v := range s {
		e := label("shift", v.Name, i)
		k.name(e, v.Name, seen)
		k.pair(e, v.From, v.To)
		k.share(e, "share", v.Share)
		k.share(e, "step", v.Step)
		k.positive(e, "cap", v.Cap)
		if v.StepInterval <= 0 {
			k.add(e, "step_interval", "must be positive")
		}
		if y := v.Start.UTC().Year(); y < 1 || y > 9999 {
			k.add(e, "start", "is out of range")
		}
	}
}

func (k *checker) allDrains(s []Drain) {
	seen, drained := make(map[string]bool), make(map[string]bool)
	for i, v := range s {
		e := label("drain", v.Name, i)
		k.name(e, v.Name, seen)
		k.once(e, "of", string(v.Kind)+" "+v.Of, drained)
		switch v.Kind {
		case DrainTarget:
			k.known(e, "of", v.Of, "target", k.targets[v.Of])
		case DrainFailureDomain:
			k.knownDomain(e, "of", v.Of)
		case DrainRegion:
			k.known(e, "of", v.Of, "region", k.regions[v.Of])
		case DrainInstance:
			if v.Of == "" {
				k.add(e, "of", "must not be empty")
			}
		default:
			k.add(e, "kind", "%q is not one of target, failure_domain, instance and region", v.Kind)
		}
	}
}
