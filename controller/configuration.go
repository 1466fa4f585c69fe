package controller

import (
	"net/netip"
	"time"

	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/limiter"
	"celeryhead.dev/celeryhead/router"
)

// Configuration is one version of the configuration with the tables that are made from it; it is immutable.
type Configuration struct {
	// Text is the configuration in canonical TOML.
	Text []byte
	// Tree holds the chunks of Text; it is nil before the first configuration.
	Tree     *chunker.Tree
	Config   composer.Config
	Accounts map[string]composer.Account
	Pools    map[string]composer.Pool
	// TargetRegions holds the region of each target by name.
	TargetRegions map[string]string
	Keys          *authenticator.Table
	Routes        *router.Table
	// Limits holds the limits of each bucket's parts by its name.
	Limits map[string][]limiter.Limit

	addresses map[string]netip.AddrPort
}

func parseConfig(text []byte) (composer.Config, error) {
	c, err := composer.Parse(text)
	if err != nil {
		return c, err
	}
	return c, c.Check()
}

// NewConfiguration returns the tables of c, whose text is t; t is nil before the first configuration.
func NewConfiguration(t *chunker.Tree, c composer.Config) *Configuration {
	k := &Configuration{
		Tree:          t,
		Config:        c,
		Accounts:      make(map[string]composer.Account, len(c.Accounts)),
		Pools:         make(map[string]composer.Pool, len(c.Pools)),
		TargetRegions: composer.TargetRegions(c),
		Keys:          authenticator.New(c.Accounts),
		Routes:        router.New(c.Routes),
		Limits:        limits(c),
		addresses:     map[string]netip.AddrPort{},
	}
	if t != nil {
		k.Text = t.Text
	}
	for _, a := range c.Accounts {
		k.Accounts[a.Name] = a
	}
	for _, p := range c.Pools {
		k.Pools[p.Name] = p
		for _, t := range p.Targets {
			k.addresses[t.Name] = t.Address
		}
	}
	return k
}

// Address returns the address of a target.
func (k *Configuration) Address(target string) (netip.AddrPort, bool) {
	a, ok := k.addresses[target]
	return a, ok
}

// capBurst is the time over which the requests that a shift moves may gather.
const capBurst = time.Second

// limits returns the limits of the buckets of accounts and shifts.
func limits(c composer.Config) map[string][]limiter.Limit {
	m := make(map[string][]limiter.Limit, len(c.Accounts)+len(c.Shifts))
	for _, a := range c.Accounts {
		m[a.Name] = limiter.Parts(a.Rate, a.Burst)
	}
	for _, s := range c.Shifts {
		m[ShiftBucket(s.Name)] = limiter.Parts(s.Cap, max(1, s.Cap*capBurst.Seconds()))
	}
	return m
}
