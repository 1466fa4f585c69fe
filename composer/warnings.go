package composer

import (
	"fmt"
	"slices"
)

// Warnings returns what an operator should know before changing a to b: shifts
// that cannot reach their share under their cap, and regions (or all regions
// together) whose expected load exceeds their capacity. What was already so in a, with the same figures, is left out.
//
// The capacity of a region is the slots of its targets that are not drained,
// divided by the service time, less the reserve. The expected load is the
// weight of its blocks after all shifts have ended.
func Warnings(a, b Config) []string {
	before := forecast(a)
	return slices.DeleteFunc(forecast(b), func(s string) bool { return slices.Contains(before, s) })
}

func forecast(c Config) []string {
	c = c.ordered()
	home := make(map[string]float64)
	for _, v := range c.Blocks {
		home[v.Region] += v.Weight
	}
	load := make(map[string]float64)
	for r, w := range home {
		load[r] = w
	}
	var out []string
	for _, v := range c.Shifts {
		moved := v.Share * home[v.From]
		if moved > v.Cap {
			out = append(out, fmt.Sprintf("shift %q: its share of %g moves %.1f requests/s, but its cap of %.1f stops it before",
				v.Name, v.Share, moved, v.Cap))
			moved = v.Cap
		}
		load[v.From] -= moved
		load[v.To] += moved
	}
	return append(out, overloads(c, load)...)
}

// overloads leaves out drained regions, whose load the others take over.
func overloads(c Config, load map[string]float64) []string {
	var out []string
	var loads, capacities float64
	capacity := Capacity(c)
	for _, r := range c.Regions {
		loads += load[r.Name]
		capacities += capacity[r.Name]
		drained := slices.ContainsFunc(c.Drains, func(d Drain) bool { return d.Kind == DrainRegion && d.Of == r.Name })
		if !drained && load[r.Name] > capacity[r.Name] {
			out = append(out, fmt.Sprintf("region %q: an expected load of %.1f requests/s exceeds its capacity of %.1f",
				r.Name, load[r.Name], capacity[r.Name]))
		}
	}
	if loads > capacities {
		out = append(out, fmt.Sprintf("all regions: an expected load of %.1f requests/s exceeds the capacity of %.1f",
			loads, capacities))
	}
	return out
}

// Capacity returns the requests per second that each region's targets can serve, without reserves and drained targets.
func Capacity(c Config) map[string]float64 {
	region := TargetRegions(c)
	drained := make(map[Drain]bool)
	for _, v := range c.Drains {
		drained[Drain{Kind: v.Kind, Of: v.Of}] = true
	}
	capacity := make(map[string]float64)
	for _, p := range c.Pools {
		for _, t := range p.Targets {
			r := region[t.Name]
			out := drained[Drain{Kind: DrainTarget, Of: t.Name}] ||
				drained[Drain{Kind: DrainFailureDomain, Of: t.FailureDomain}] ||
				drained[Drain{Kind: DrainRegion, Of: r}]
			if !out && p.ServiceTime > 0 {
				capacity[r] += float64(t.Slots) / p.ServiceTime.Seconds() * (1 - p.Reserve)
			}
		}
	}
	return capacity
}
