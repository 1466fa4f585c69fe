package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryhead.dev/celeryhead/cataloger"
)

// minSpareShare is the fraction of a service's targets with a free slot from which on the service has capacity for second
// attempts. It is far above minFreeShare, since a peak that begins needs the free slots itself.
const minSpareShare = 0.4

// Spare assigns the second attempt of a request whose first one is unanswered at a target, or returns nil. It takes a free slot of a
// target in another failure domain, or in the same one if no other has any. A target that is cold, new, rests, states a rate, or is
// suspected gets none, and no target does while the service is short of capacity. The caller must end the lease.
func (p *Placer) Spare(now time.Time, pool *cataloger.Pool, w Work, first *cataloger.Target) *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.expire(now)
	w.key = objectKey(w)
	w.object = uint32(xxhash.Sum64String(w.key)) //nolint:gosec // A part of the hash is enough.
	cs := slices.DeleteFunc(p.candidates(now, p.order(now, pool, w), w, unlimited), func(c candidate) bool {
		return c.wait > 0 || !p.isSound(now, c)
	})
	usable := 0
	for _, t := range pool.Targets {
		if w.mayRunOn(t) {
			usable++
		}
	}
	if float64(len(cs)) < minSpareShare*float64(usable) {
		return nil
	}
	w.hasHeadroom = true
	far := slices.DeleteFunc(slices.Clone(cs), func(c candidate) bool { return c.target.FailureDomain == first.FailureDomain })
	if len(far) > 0 {
		cs = far
	}
	if len(cs) == 0 {
		return nil
	}
	c := cs[cheapest(cs)]
	if p.reject(now, w, c) != nil || p.answerTime(now, c).After(w.Deadline) || !c.cached && !p.replicationFor(w.Service).covers(c.run) {
		return nil
	}
	if !p.admits(now, pool, c.target) {
		return nil
	}
	if !c.cached {
		p.replicationFor(w.Service).spend(c.run)
	}
	return p.start(now, w, c)
}

// isSound reports whether a target is warm, in use, and neither limited nor at fault.
func (p *Placer) isSound(now time.Time, c candidate) bool {
	t, s := c.target, c.state
	return !now.Before(t.ColdUntil) && (s.joinedAt.IsZero() || !s.lastUsed.IsZero()) && !s.halfOpen && s.consecutiveFaults == 0 && s.consecutiveSheds == 0 &&
		p.config.Abstainer.Share(now, incarnation(t)) >= 1 && p.config.Throttle.Interval(t.Name, t.Started) == 0
}
