package steerer

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryhead.dev/celeryhead/composer"
)

// blocks finds the longest configured prefix of an address. It refers to the blocks of the configuration, which takes 4
// bytes for each block in place of a copy.
type blocks struct {
	all     []composer.Block
	lengths []length
	// weights holds the weight of all blocks of each region.
	weights map[string]sum
}

type length struct {
	bits int
	v4   bool
	// entries are indices of blocks, in order of their addresses.
	entries []uint32
}

// Block is a block of clients as look-ups see it.
type Block struct {
	Prefix netip.Prefix
	// Region is the home region, empty for an address that no block holds.
	Region string
	Weight float64
}

func newBlocks(all []composer.Block) *blocks {
	r := &blocks{all: all, weights: map[string]sum{}}
	lengths := r.allot()
	for i, b := range all {
		w := r.weights[b.Region]
		w.add(b.Weight)
		r.weights[b.Region] = w
		l := &r.lengths[lengths[keyOf(b.Prefix)]]
		l.entries = append(l.entries, uint32(i)) //nolint:gosec // A configuration has fewer than 2^32 blocks.
	}
	for _, l := range r.lengths {
		slices.SortFunc(l.entries, func(a, b uint32) int { return r.address(a).Compare(r.address(b)) })
	}
	slices.SortFunc(r.lengths, func(a, b length) int { return b.bits - a.bits })
	return r
}

func (b *blocks) address(i uint32) netip.Addr {
	return b.all[i].Prefix.Addr()
}

// allot makes room for the blocks of each prefix length and returns the index of each length.
func (b *blocks) allot() map[lengthKey]int {
	counts := map[lengthKey]int{}
	for _, v := range b.all {
		counts[keyOf(v.Prefix)]++
	}
	at := make(map[lengthKey]int, len(counts))
	for k, n := range counts {
		at[k] = len(b.lengths)
		b.lengths = append(b.lengths, length{bits: k.bits, v4: k.v4, entries: make([]uint32, 0, n)})
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
		i, ok := slices.BinarySearchFunc(l.entries, p.Addr(), func(e uint32, t netip.Addr) int { return b.address(e).Compare(t) })
		if ok {
			return Block(b.all[l.entries[i]])
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

// in calls f for every configured block of a region.
func (b *blocks) in(region string, f func(Block)) {
	for _, v := range b.all {
		if v.Region == region {
			f(Block(v))
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
