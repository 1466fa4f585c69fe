package cataloger

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"celeryhead.dev/celeryhead/authenticator"
)

// Book holds the current catalog; it is safe for concurrent use.
type Book struct {
	current atomic.Pointer[Catalog]

	mu            sync.Mutex
	configuration Configuration
	targets       map[string]Target
	evacuated     map[string]bool
}

// NewBook returns a book with an empty catalog.
func NewBook() *Book {
	b := &Book{targets: map[string]Target{}, evacuated: map[string]bool{}}
	b.current.Store(&Catalog{})
	return b
}

// Catalog returns the current catalog.
func (b *Book) Catalog() *Catalog {
	return b.current.Load()
}

// Configure applies a configuration and reports whether it is newer than the previous one.
func (b *Book) Configure(c Configuration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Version <= b.configuration.Version {
		return false
	}
	b.configuration = c
	b.publish()
	return true
}

// Assign replaces the targets, which are keyed by name.
func (b *Book) Assign(ts map[string]Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if maps.Equal(b.targets, ts) {
		return
	}
	b.targets = ts
	b.publish()
}

// Evacuate replaces the set of failure domains whose targets get no requests, and reports whether it changed.
func (b *Book) Evacuate(domains map[string]bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if maps.Equal(b.evacuated, domains) {
		return false
	}
	b.evacuated = domains
	b.publish()
	return true
}

// publish builds and stores a new catalog; mu is held.
func (b *Book) publish() {
	k := b.configuration
	c := &Catalog{
		Version:         k.Version,
		Limits:          k.Limits,
		routesByHost:    map[string][]*Route{},
		accounts:        map[authenticator.Digest]*Account{},
		keysRequired:    len(k.Accounts) > 0,
		services:        map[string]*Pool{},
		regionByAddress: map[netip.Addr]string{},
		targetNames:     map[string]bool{},
	}
	for i := range k.Routes {
		r := &k.Routes[i]
		h := strings.ToLower(r.Host)
		c.routesByHost[h] = append(c.routesByHost[h], r)
	}
	for _, rs := range c.routesByHost {
		slices.SortStableFunc(rs, func(x, y *Route) int { return cmp.Compare(len(y.Prefix), len(x.Prefix)) })
	}
	for i := range k.Accounts {
		for _, d := range k.Accounts[i].Keys {
			c.accounts[d] = &k.Accounts[i]
		}
	}
	for _, s := range k.Services {
		c.services[s.Name] = &Pool{Service: s}
	}
	b.addTargets(c)
	for _, p := range c.services {
		boundSlots(p.Targets)
	}
	b.current.Store(c)
}

// maxSlotsRatio is how many times as many slots as the median of its service a target is believed to have. Targets state the
// number themselves, and one that states far too many would look idle for ever.
const maxSlotsRatio = 8

// boundSlots limits what targets of a service state about their slots.
func boundSlots(ts []*Target) {
	if len(ts) == 0 {
		return
	}
	n := make([]int, len(ts))
	for i, t := range ts {
		n[i] = t.Slots
	}
	slices.Sort(n)
	// The lower median, so that of two targets the one with fewer slots counts.
	most := min(max(n[(len(n)-1)/2], 1), math.MaxInt32/maxSlotsRatio) * maxSlotsRatio
	for _, t := range ts {
		t.Slots = min(t.Slots, most)
	}
}

func (b *Book) addTargets(c *Catalog) {
	for _, n := range slices.Sorted(maps.Keys(b.targets)) {
		t := b.targets[n]
		p := c.services[t.Service]
		if p == nil || t.Leaving || b.evacuated[t.FailureDomain] {
			continue
		}
		p.Targets = append(p.Targets, &t)
		c.regionByAddress[t.Address.Addr()] = t.Region
		c.targetNames[n] = true
	}
}
