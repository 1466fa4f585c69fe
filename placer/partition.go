package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryhead.dev/celeryhead/cataloger"
)

// Adopt sets the number of instances of each region, and of each failure domain of the own region. The targets of a service are
// divided among regions in proportion to it, because callers use the instances of their own region.
func (p *Placer) Adopt(instances, domains map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !maps.Equal(p.domains, domains) {
		p.domains = maps.Clone(domains)
		clear(p.domainShares)
	}
	if maps.Equal(p.instances, instances) {
		return
	}
	p.instances = maps.Clone(instances)
	clear(p.orders)
	clear(p.preferred)
}

// preference holds what is computed once for each version of a pool.
type preference struct {
	pool *cataloger.Pool
	// targets are those that the instances of this region prefer.
	targets map[*cataloger.Target]bool
	// joined are those that had no request of this instance since they joined.
	joined []*cataloger.Target
}

// joinedTargets returns the targets of a service that wait for their first request.
func (p *Placer) joinedTargets(now time.Time, service string) []*cataloger.Target {
	f := p.preferred[service]
	if len(f.joined) == 0 {
		return nil
	}
	f.joined = slices.DeleteFunc(f.joined, func(t *cataloger.Target) bool { return !p.state(now, t).lastUsed.IsZero() })
	p.preferred[service] = f
	var ts []*cataloger.Target
	for _, t := range f.joined {
		if p.state(now, t).unused(now) {
			ts = append(ts, t)
		}
	}
	return ts
}

// preferredTargets returns the targets of a pool that are assigned to the region of this instance; all are if nothing is
// known about the instances.
func (p *Placer) preferredTargets(now time.Time, pool *cataloger.Pool) map[*cataloger.Target]bool {
	if f, ok := p.preferred[pool.Name]; ok && f.pool == pool {
		return f.targets
	}
	var joined []*cataloger.Target
	for _, t := range pool.Targets {
		if s := p.state(now, t); s.lastUsed.IsZero() && !s.joinedAt.IsZero() {
			joined = append(joined, t)
		}
	}
	m := map[*cataloger.Target]bool{}
	for t, r := range partition(pool.Targets, p.instances) {
		if r == p.config.Region {
			m[t] = true
		}
	}
	if len(m) == 0 {
		for _, t := range pool.Targets {
			m[t] = true
		}
	}
	p.preferred[pool.Name] = preference{pool: pool, targets: m, joined: joined}
	return m
}

// partition assigns each target to a region, so that each region gets slots in proportion to its weight. Targets stay
// in their own region as far as its part goes; the others are lent to regions that have too few. Which ones are lent
// depends on hashes of the names, so that all instances compute the same and few targets change when some come or go.
func partition(ts []*cataloger.Target, weights map[string]int) map[*cataloger.Target]string {
	total, slots := 0, 0
	for _, w := range weights {
		total += w
	}
	own := map[string][]*cataloger.Target{}
	for _, t := range ts {
		slots += max(t.Slots, 1)
		own[t.Region] = append(own[t.Region], t)
	}
	assigned := make(map[*cataloger.Target]string, len(ts))
	if total == 0 {
		return assigned
	}
	var lent []*cataloger.Target
	missing := map[string]int{}
	for r, w := range weights {
		missing[r] = slots * w / total
	}
	for r, all := range own {
		slices.SortFunc(all, byHash)
		for _, t := range all {
			if missing[r] <= 0 {
				lent = append(lent, t)
				continue
			}
			assigned[t] = r
			missing[r] -= max(t.Slots, 1)
		}
	}
	slices.SortFunc(lent, byHash)
	regions := slices.Sorted(maps.Keys(missing))
	for _, t := range lent {
		// Rounding leaves no region with room for the last ones.
		to := t.Region
		for _, r := range regions {
			if missing[r] > 0 {
				to = r
				break
			}
		}
		assigned[t] = to
		missing[to] -= max(t.Slots, 1)
	}
	return assigned
}

func byHash(a, b *cataloger.Target) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}
