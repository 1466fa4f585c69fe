package exemplifier

import (
	"crypto/sha256"
	"net/netip"
	"time"

	"celeryhead.dev/celeryhead/composer"
)

const (
	// targetSlots and the connections are per target.
	targetSlots       = 3
	connectionsKoshe  = 330
	connectionsEsBatu = 360
	// The capacities of links are in Mbit/s.
	linkKoshe  = 4000
	linkEsBatu = 280
	targetPort = 8080
	// reserve is the share of each owner's slots that is kept for requests of its own region.
	reserve = 0.34
)

// Settings replaces what differs between a deployment and a trial of it; the zero value replaces nothing.
type Settings struct {
	// Addresses holds addresses by target name.
	Addresses map[string]netip.AddrPort
	// Digests holds digests of secrets by account/key.
	Digests map[string][32]byte
}

// digest defaults to the digest of a text that is not of the form of a secret, so that no caller can present it.
func (s Settings) digest(account, key string) [32]byte {
	name := account + "/" + key
	if d, ok := s.Digests[name]; ok {
		return d
	}
	return sha256.Sum256([]byte("no secret: " + name))
}

// addresses numbers the targets of all pools within one private network.
func (s Settings) addresses(pools []composer.Pool) []composer.Pool {
	next := netip.MustParseAddr("192.168.1.1")
	for _, p := range pools {
		for i, t := range p.Targets {
			a, ok := s.Addresses[t.Name]
			if !ok {
				a = netip.AddrPortFrom(next, targetPort)
			}
			p.Targets[i].Address = a
			next = next.Next()
		}
	}
	return pools
}

// region has two failure domains.
func region(name string) composer.Region {
	return composer.Region{Name: name, FailureDomains: []string{name + "_a", name + "_b"}}
}

func pool(name string, serviceTime time.Duration, targets []composer.Target) composer.Pool {
	return composer.Pool{
		Name:        name,
		Targets:     targets,
		ServiceTime: serviceTime,
		Reserve:     reserve,
		HealthPath:  "/health",
		LoadPath:    "/load",
	}
}

// account has one key, named first.
func (s Settings) account(name string, rate, burst float64) composer.Account {
	const key = "first"
	return composer.Account{
		Name:  name,
		Rate:  rate,
		Burst: burst,
		Keys:  []composer.Key{{Name: key, Digest: s.digest(name, key)}},
	}
}

// blocks splits 10.<net>.0.0/16 into eight blocks of clients with the given rates.
func blocks(net byte, r composer.Region, weights [8]float64) []composer.Block {
	const bits, size = 19, 32
	var out []composer.Block
	for i, w := range weights {
		a := netip.AddrFrom4([4]byte{10, net, byte(i * size), 0})
		out = append(out, composer.Block{Prefix: netip.PrefixFrom(a, bits), Region: r.Name, Weight: w})
	}
	return out
}
