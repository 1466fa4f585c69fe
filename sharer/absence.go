package sharer

import (
	"cmp"
	"slices"
	"time"
)

// GoneAfter is how long an instance is silent before another one records it as gone. It exceeds the time for which an instance
// without contact fills its shares; with TakeoverWait it exceeds the time for which that instance uses their tokens.
const GoneAfter = 5 * time.Second

// Peer is a listed instance as another one sees it.
type Peer struct {
	Instance
	// Lapses is true if its program stops filling its shares without contact. Others are never recorded as gone.
	Lapses bool
	// Alive is true if it was heard lately.
	Alive bool
	// Silence is the time since it was heard.
	Silence time.Duration
	// Age is the time since it was added to the list, or 0 if it was there when this process began.
	Age time.Duration
	// Unheard is true if it was not heard since it registered again: it reaches the store and does not reach this instance.
	Unheard bool
}

// Absent returns the names of the instances that an instance has to record as gone, out of all listed ones including itself. It
// is empty unless the instance hears most of them, so that in a partition one side at most records the other one. Instances that
// were added after the silent one was last heard do not count: it may hear most of those that it knows. The first living instance
// of a region records those of the region, and the first one of all those of a region without a living one.
func Absent(self string, listed []Peer) []string {
	i := slices.IndexFunc(listed, func(p Peer) bool { return p.Name == self })
	if i < 0 || listed[i].Gone {
		return nil
	}
	var r []string
	for _, p := range listed {
		if p.Gone || p.Alive || !p.Lapses || p.Unheard || p.Silence < GoneAfter {
			continue
		}
		if recorder(p, listed) == self {
			r = append(r, p.Name)
		}
	}
	return r
}

// recorder returns the name of the instance that records a silent one as gone, which is empty if no majority is heard.
func recorder(silent Peer, listed []Peer) string {
	alive := 0
	first, near := "", ""
	for _, p := range listed {
		if !p.Alive || p.Age > 0 && p.Age <= silent.Silence {
			continue
		}
		alive++
		if p.Gone || !p.Lapses {
			continue
		}
		if first == "" || p.Name < first {
			first = p.Name
		}
		if p.Region == silent.Region && (near == "" || p.Name < near) {
			near = p.Name
		}
	}
	if 2*alive <= len(listed) {
		return ""
	}
	return cmp.Or(near, first)
}

// MayFill reports whether an instance that hears some of the listed instances, itself included, may fill its shares. Touch is the
// age of the newest sign that the store answers, here or at an instance from which signs arrive, fleet that of its last answer to
// any instance, as far as known, and contact that of the last answer here. An instance without such a sign fills its shares only
// while no majority of others can exist that records it as gone, and unless it hears all only until others that reach the store may
// remove its row.
func MayFill(heard, listed int, touch, fleet, contact time.Duration) bool {
	switch {
	case touch <= touchLife, heard == listed, 2*heard > listed && fleet <= majorityLife:
		return true
	}
	return 2*heard == listed && contact <= halfLife
}

const (
	// touchLife is how long an instance fills its shares after a sign that the store answers.
	touchLife = 2500 * time.Millisecond
	// halfLife is how long an instance that hears half of the fleet fills its shares without the store. Rows of silent instances
	// are removed after 10 min.
	halfLife = 5 * time.Minute
	// majorityLife is how long an instance that hears most of the fleet fills its shares while the store answers none of them. A
	// minority that reaches the store removes the rows of the others after 10 min and divides the accounts without them.
	majorityLife = 9 * time.Minute
)

// presence tells since when an instance is gone, or since when it is back.
type presence struct {
	gone bool
	// since is when this instance learned of it; zero if the instance was never gone.
	since time.Time
}

// observe records which instances are gone or back; mu is held. A process does not know what came before its first list. Its
// own row that is missing later counts as gone.
func (s *Shares) observe(now time.Time) {
	next := make(map[string]presence, len(s.instances))
	for _, i := range s.instances {
		p := s.presences[i.Name]
		if p.gone != i.Gone {
			p = presence{gone: i.Gone, since: now}
		}
		next[i.Name] = p
	}
	if p, known := s.presences[s.self]; known {
		if _, listed := next[s.self]; !listed {
			if !p.gone {
				p = presence{gone: true, since: now}
			}
			next[s.self] = p
		}
	}
	s.presences = next
}

// present returns the instances among which the accounts are divided, and whether this one fills its shares; mu is held. What
// makes shares smaller counts at once; what makes them larger counts after TakeoverWait.
func (s *Shares) present(now time.Time) (is []Instance, fills bool) {
	s.nextDivision = time.Time{}
	fills = true
	for _, i := range s.instances {
		p := s.presences[i.Name]
		due := p.since.Add(TakeoverWait)
		waits := !p.since.IsZero() && now.Before(due)
		if waits && (s.nextDivision.IsZero() || due.Before(s.nextDivision)) {
			s.nextDivision = due
		}
		if i.Name == s.self && waits {
			fills = false
		}
		if !i.Gone || waits && i.Name != s.self {
			is = append(is, i)
		}
	}
	return is, fills
}
