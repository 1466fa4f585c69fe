package composer

import "fmt"

// Mesh returns links of the same capacity, in Mbit/s, from each region to each other one.
func Mesh(megabits float64, regions ...Region) []Link {
	var out []Link
	for _, a := range regions {
		for _, b := range regions {
			if a.Name != b.Name {
				out = append(out, Link{From: a.Name, To: b.Name, Megabits: megabits})
			}
		}
	}
	return out
}

// Spread returns n targets like t, named <prefix>_01 and on, and spread evenly over the failure domains of the regions.
//
// The address of each is left to the caller.
func Spread(prefix string, n int, t Target, regions ...Region) []Target {
	domains := interleaved(regions)
	if len(domains) == 0 {
		return nil
	}
	var out []Target
	for i := range n {
		t.Name = fmt.Sprintf("%s_%02d", prefix, i+1)
		t.FailureDomain = domains[i%len(domains)]
		out = append(out, t)
	}
	return out
}

// interleaved alternates between regions, so that a remainder does not fall on one of them.
func interleaved(regions []Region) []string {
	var out []string
	for i, found := 0, true; found; i++ {
		found = false
		for _, r := range regions {
			if i < len(r.FailureDomains) {
				out = append(out, r.FailureDomains[i])
				found = true
			}
		}
	}
	return out
}
