package composer

// CheckChange returns Problems that forbid the change from a to b, or nil.
//
// A target keeps its region: ownership is assigned for each region on its own, so
// a target that moved under its name could have an owner in both for a moment.
func CheckChange(a, b Config) error {
	var p Problems
	before := TargetRegions(a)
	for n, r := range TargetRegions(b) {
		if o, ok := before[n]; ok && o != r {
			p.add("target "+n, "failure_domain", "must stay in region %s; give the target in region %s another name", o, r)
		}
	}
	return p.err()
}

// TargetRegions returns the region of each target by its name.
func TargetRegions(c Config) map[string]string {
	region := make(map[string]string)
	for _, r := range c.Regions {
		for _, d := range r.FailureDomains {
			region[d] = r.Name
		}
	}
	m := make(map[string]string)
	for _, p := range c.Pools {
		for _, t := range p.Targets {
			m[t.Name] = region[t.FailureDomain]
		}
	}
	return m
}
