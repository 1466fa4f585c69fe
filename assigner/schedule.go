package assigner

import (
	"slices"
	"time"
)

const (
	// joinMargin is added to Freshness in the interval between an assignment and a following join or graceful leave.
	joinMargin = 100 * time.Millisecond
	// writerDelay is the delay between the writes of two instances that are next to each other in order of name, so
	// that conditional writes rarely conflict.
	writerDelay = 200 * time.Millisecond
)

// Schedule determines when the local instance writes a proposal. The zero value is ready to use.
type Schedule struct {
	base uint64
	due  time.Time
}

// Due reports whether the proposal p, computed from s, may be written at now. If ok
// is false there is no proposal, and the schedule is reset. The argument assigned is
// when the instance adopted the newest change of an assignment.
func (c *Schedule) Due(now, assigned time.Time, a *Assigner, s Standing, p Proposal, ok bool) bool {
	if !ok {
		c.due = time.Time{}
		return false
	}
	if c.due.IsZero() || c.base != p.Base {
		c.base = p.Base
		c.due = a.earliestWrite(now, assigned, s, p).Add(writerDelay * time.Duration(writerRank(s)))
	}
	return !now.Before(c.due)
}

// earliestWrite returns when the proposal may be written. A proposal that removes a member which is not leaving, as
// after a crash, may be written at once. A join or a graceful leave waits until the owners of the assignment before the
// last one have stopped. Otherwise a losing owner would have to delay its release (see delayRelease), and the next owner
// would wait although all instances are up.
func (a *Assigner) earliestWrite(now, assigned time.Time, s Standing, p Proposal) time.Time {
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

// writerRank returns the index of the local instance among the active instances in order of name, or 0 if it is not
// active.
func writerRank(s Standing) int {
	n := make([]string, 0, len(s.Active))
	for _, m := range s.Active {
		n = append(n, m.Name)
	}
	slices.Sort(n)
	return max(0, slices.Index(n, s.Self.Name))
}
