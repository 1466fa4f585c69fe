package placer

import (
	"slices"
	"time"

	"celeryhead.dev/celeryhead/cataloger"
)

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

// preferredTargets returns the targets of a pool that the instances of this region prefer.
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
	for _, t := range pool.Targets {
		m[t] = true
	}
	p.preferred[pool.Name] = preference{pool: pool, targets: m, joined: joined}
	return m
}
