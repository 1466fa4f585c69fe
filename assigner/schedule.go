package assigner

import (
	"slices"
	"time"
)

const (
	// joinMargin is how much longer than Freshness a join waits after the assignment before.
	joinMargin = 100 * time.Millisecond
	// writerDelay is how much longer each further instance waits before it writes a due assignment, so that writes rarely collide.
	writerDelay = 200 * time.Millisecond
)

// Schedule says when an instance writes a proposal; the zero value is ready.
type Schedule struct {
	base uint64
	due  time.Time
}

// Due reports whether the proposal p, which follows from s, may be written at now;
// with ok false there is none. The instance adopted the newest change of an
// assignment at assigned.
func (c *Schedule) Due(now, assigned time.Time, a *Assigner, s Standing, p Proposal, ok bool) bool {
	if !ok {
		c.due = time.Time{}
		return false
	}
	if c.due.IsZero() || c.base != p.Base {
		c.base = p.Base
		c.due = a.earliest(now, assigned, s, p).Add(writerDelay * time.Duration(writerRank(s)))
	}
	return !now.Before(c.due)
}

// earliest returns when the next assignment may be written. After a crash that is now. A join or a graceful leave
// waits until the owners of the assignment before the last one are certain to have stopped: an owner that releases
// a resource earlier must keep its release back, and the next owner would wait although everyone is alive.
func (a *Assigner) earliest(now, assigned time.Time, s Standing, p Proposal) time.Time {
	for n, next := range p.Scopes {
		for _, m := range a.heads.Scopes[n].Members {
			same := func(o Member) bool { return o.Name == m.Name }
			if m.Name != s.Self.Name && !slices.ContainsFunc(next.Members, same) && !slices.ContainsFunc(s.Leaving, same) {
				return now
			}
		}
	}
	return latest(now, assigned.Add(a.c.Freshness+joinMargin))
}

func writerRank(s Standing) int {
	n := make([]string, 0, len(s.Active))
	for _, m := range s.Active {
		n = append(n, m.Name)
	}
	slices.Sort(n)
	return max(0, slices.Index(n, s.Self.Name))
}
