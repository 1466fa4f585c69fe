package cataloger

import "maps"

// Roster keeps targets whose rows lapsed during an outage of the store: targets that live write them again soon after.
type Roster struct {
	listed, kept map[string]Target
}

// List takes over the rows that exist. While keep is true, targets that were used before and are not listed now stay.
func (r *Roster) List(ts map[string]Target, keep bool) {
	before := r.Targets()
	r.listed = ts
	if !keep {
		r.kept = nil
		return
	}
	kept := map[string]Target{}
	for n, t := range before {
		if _, ok := ts[n]; !ok && !t.Leaving {
			kept[n] = t
		}
	}
	r.kept = kept
}

// Lapse drops the targets that are not listed and reports whether there were any.
func (r *Roster) Lapse() bool {
	n := len(r.kept)
	r.kept = nil
	return n > 0
}

// Targets returns the targets that are listed or kept.
func (r *Roster) Targets() map[string]Target {
	ts := maps.Clone(r.listed)
	if ts == nil {
		ts = map[string]Target{}
	}
	maps.Copy(ts, r.kept)
	return ts
}
