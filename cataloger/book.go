package cataloger

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"celeryhead.dev/celeryhead/authenticator"
)

// Book keeps the newest catalog; it is safe for concurrent use.
type Book struct {
	now atomic.Pointer[Catalog]

	mu            sync.Mutex
	configuration Configuration
	targets       map[string]Target
	evacuated     map[string]bool
}

// NewBook returns a book with an empty catalog.
func NewBook() *Book {
	b := &Book{targets: map[string]Target{}, evacuated: map[string]bool{}}
	b.now.Store(&Catalog{})
	return b
}

// Catalog returns the newest catalog.
func (b *Book) Catalog() *Catalog {
	return b.now.Load()
}

// Configure takes over a configuration and reports whether it is newer than the former one.
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

// Assign replaces the targets by name.
func (b *Book) Assign(ts map[string]Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if maps.Equal(b.targets, ts) {
		return
	}
	b.targets = ts
	b.publish()
}

// Evacuate replaces the failure domains whose targets get nothing, and reports whether they changed.
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

// publish builds the catalog; mu is held.
func (b *Book) publish() {
	k := b.configuration
	c := &Catalog{
		Version:  k.Version,
		Limits:   k.Limits,
		hosts:    map[string][]*Route{},
		accounts: map[authenticator.Digest]*Account{},
		closed:   len(k.Accounts) > 0,
		services: map[string]*Pool{},
		places:   map[netip.Addr]string{},
		names:    map[string]bool{},
	}
	for i := range k.Routes {
		r := &k.Routes[i]
		h := strings.ToLower(r.Host)
		c.hosts[h] = append(c.hosts[h], r)
	}
	for _, rs := range c.hosts {
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
	b.now.Store(c)
}

func (b *Book) addTargets(c *Catalog) {
	for _, n := range slices.Sorted(maps.Keys(b.targets)) {
		t := b.targets[n]
		p := c.services[t.Service]
		if p == nil || t.Leaving || b.evacuated[t.FailureDomain] {
			continue
		}
		p.Targets = append(p.Targets, &t)
		c.places[t.Address.Addr()] = t.Region
		c.names[n] = true
	}
}
