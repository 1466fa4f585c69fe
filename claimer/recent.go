package claimer

import "github.com/cespare/xxhash/v2"

// recentKeys bounds each of the two generations of a recent set, which take about 2 MB together.
const recentKeys = 1 << 15

// recent remembers at least the last 32,768 keys; a collision of hashes costs one needless read.
type recent struct {
	current, previous map[uint64]struct{}
}

func newRecent() *recent {
	return &recent{current: make(map[uint64]struct{})}
}

// add records a key and reports whether it was there.
func (r *recent) add(key string) bool {
	h := xxhash.Sum64String(key)
	_, ok := r.current[h]
	if !ok {
		_, ok = r.previous[h]
	}
	if len(r.current) >= recentKeys {
		r.current, r.previous = make(map[uint64]struct{}), r.current
	}
	r.current[h] = struct{}{}
	return ok
}
