package claimer

import "github.com/cespare/xxhash/v2"

// recentGeneration is the maximum size of each of the two generations of a recentKeySet, which use about 2 MB in total.
const recentGeneration = 1 << 15

// recentKeySet contains at least the last 32,768 keys. A hash collision only causes an unnecessary read.
type recentKeySet struct {
	current, previous map[uint64]struct{}
}

func newRecent() *recentKeySet {
	return &recentKeySet{current: make(map[uint64]struct{})}
}

// add adds a key and reports whether it was already present.
func (r *recentKeySet) add(key string) bool {
	h := xxhash.Sum64String(key)
	_, ok := r.current[h]
	if !ok {
		_, ok = r.previous[h]
	}
	if len(r.current) >= recentGeneration {
		r.current, r.previous = make(map[uint64]struct{}), r.current
	}
	r.current[h] = struct{}{}
	return ok
}
