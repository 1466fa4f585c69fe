package sharer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rendezvous returns the n instances with the highest hash of key and name; every instance computes the same result.
func rendezvous(key string, instances []string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	ss := make([]scored, len(instances))
	for i, m := range instances {
		ss[i] = scored{name: m, score: xxhash.Sum64String(key + "\x00" + m)}
	}
	slices.SortFunc(ss, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
	r := make([]string, 0, min(n, len(ss)))
	for _, s := range ss[:min(n, len(ss))] {
		r = append(r, s.name)
	}
	return r
}

// Instance is an instance among which limits are divided.
type Instance struct {
	Name, Region string
	// Gone is true if the list records that the instance does not fill its shares.
	Gone bool
}

// selectHolders returns the instances that hold a share of an account: one per region as far as the burst allows,
// then as many as leave each at least minShareTokens.
func selectHolders(account string, instances []Instance, burst float64) []string {
	regions := map[string][]string{}
	for _, i := range instances {
		regions[i.Region] = append(regions[i.Region], i.Name)
	}
	n := max(min(len(regions), int(burst)), int(burst/minShareTokens), 1)
	for r, names := range regions {
		regions[r] = rendezvous(account, names, len(names))
	}
	var hs []string
	order := rendezvous(account, slices.Sorted(maps.Keys(regions)), len(regions))
	for round := 0; len(hs) < min(n, len(instances)); round++ {
		for _, r := range order {
			if round < len(regions[r]) && len(hs) < n {
				hs = append(hs, regions[r][round])
			}
		}
	}
	return hs
}
