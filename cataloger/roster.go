package cataloger

import "maps"

// Roster retains targets whose rows expired during an outage of the store, because live targets write their rows
// again soon after.
type Roster struct {
	listed, retained map[string]Target
}

// List replaces the listed targets. If keep is true, earlier targets that are missing from ts and were not leaving
// are retained.
func (r *Roster) List(ts map[string]Target, keep bool) {
	before := r.Targets()
	r.listed = ts
	if !keep {
		r.retained = nil
		return
	}
	kept := map[string]Target{}
	for n, t := range before {
		if _, ok := ts[n]; !ok && !t.Leaving {
			kept[n] = t
		}
	}
	r.retained = kept
}

// Lapse drops the retained targets and reports whether there were any.
func (r *Roster) Lapse() bool {
	n := len(r.retained)
	r.retained = nil
	return n > 0
}

// Targets returns the listed and the retained targets.
func (r *Roster) Targets() map[string]Target {
	ts := maps.Clone(r.listed)
	if ts == nil {
		ts = map[string]Target{}
	}
	maps.Copy(ts, r.retained)
	return ts
}
