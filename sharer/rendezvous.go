package sharer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// highest returns the n instances with the highest hash of key and instance, the same by everybody's reckoning.
func highest(key string, instances []string, n int) []string {
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
