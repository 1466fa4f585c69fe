package steerer

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryhead.dev/celeryhead/composer"
)

// blocks finds the longest configured prefix of an address; entries of one
// prefix length are sorted, which takes 32 bytes for each block.
type blocks struct {
	lengths []length
	regions []string
	// weights holds the weight of all blocks of each region, in the order of regions.
	weights []sum
}

type length struct {
	bits    int
	v4      bool
	entries []block
}

type block struct {
	address [16]byte
	weight  float64
	region  uint16
}

// Block is a block of clients as look-ups see it.
type Block struct {
	Prefix netip.Prefix
	// Region is the home region, empty for an address that no block holds.
	Region string
	Weight float64
}

func newBlocks(bs []composer.Block) *blocks {
	r := &blocks{}
	lengths := r.allot(bs)
	regions := map[string]uint16{}
	for _, b := range bs {
		p := b.Prefix.Masked()
		g, ok := regions[b.Region]
		if !ok {
			g = uint16(len(r.regions)) //nolint:gosec // A configuration has fewer than 65,536 regions.
			regions[b.Region] = g
			r.regions = append(r.regions, b.Region)
			r.weights = append(r.weights, sum{})
		}
		r.weights[g].add(b.Weight)
		l := &r.lengths[lengths[keyOf(p)]]
		l.entries = append(l.entries, block{address: p.Addr().As16(), weight: b.Weight, region: g})
	}
	for _, l := range r.lengths {
		slices.SortFunc(l.entries, func(a, b block) int { return slices.Compare(a.address[:], b.address[:]) })
	}
	slices.SortFunc(r.lengths, func(a, b length) int { return b.bits - a.bits })
	return r
}

// allot makes room for the blocks of each prefix length and returns the index of each length.
func (b *blocks) allot(bs []composer.Block) map[lengthKey]int {
	counts := map[lengthKey]int{}
	for _, v := range bs {
		counts[keyOf(v.Prefix)]++
	}
	at := make(map[lengthKey]int, len(counts))
	for k, n := range counts {
		at[k] = len(b.lengths)
		b.lengths = append(b.lengths, length{bits: k.bits, v4: k.v4, entries: make([]block, 0, n)})
	}
	return at
}

type lengthKey struct {
	bits int
	v4   bool
}

func keyOf(p netip.Prefix) lengthKey {
	return lengthKey{p.Bits(), p.Addr().Is4()}
}

// find returns the block of an address; an address outside all blocks is its own block of 24 or 48 bits.
func (b *blocks) find(a netip.Addr) Block {
	a = a.Unmap()
	for _, l := range b.lengths {
		if l.v4 != a.Is4() {
			continue
		}
		p, err := a.Prefix(l.bits)
		if err != nil {
			continue
		}
		k := p.Addr().As16()
		i, ok := slices.BinarySearchFunc(l.entries, k, func(e block, t [16]byte) int { return slices.Compare(e.address[:], t[:]) })
		if ok {
			return Block{Prefix: p, Region: b.regions[l.entries[i].region], Weight: l.entries[i].weight}
		}
	}
	return Block{Prefix: unknownBlock(a)}
}

// Widths of the blocks of addresses that the configuration does not name.
const (
	unknownBits4 = 24
	unknownBits6 = 48
)

func unknownBlock(a netip.Addr) netip.Prefix {
	n := unknownBits6
	if a.Is4() {
		n = unknownBits4
	}
	return netip.PrefixFrom(a, n).Masked()
}

// weight returns the weight of all blocks of a region.
func (b *blocks) weight(region string) sum {
	i := slices.Index(b.regions, region)
	if i < 0 {
		return sum{}
	}
	return b.weights[i]
}

// in calls f for every configured block of a region.
func (b *blocks) in(region string, f func(Block)) {
	g := slices.Index(b.regions, region)
	for _, l := range b.lengths {
		for _, e := range l.entries {
			if int(e.region) != g {
				continue
			}
			a := netip.AddrFrom16(e.address)
			if l.v4 {
				a = a.Unmap()
			}
			f(Block{Prefix: netip.PrefixFrom(a, l.bits), Region: region, Weight: e.weight})
		}
	}
}

// fraction maps a block and a name to [0,1), independently for each name.
func fraction(p netip.Prefix, name string) float64 {
	var d xxhash.Digest
	d.Reset()
	a := p.Addr().As16()
	_, _ = d.Write(a[:])
	_, _ = d.Write([]byte{byte(p.Bits())}) //nolint:gosec // A prefix has at most 128 bits.
	_, _ = d.WriteString(name)
	const mantissa = 53
	return float64(d.Sum64()>>(64-mantissa)) / (1 << mantissa)
}
