package assigner

import (
	"slices"
	"strings"
)

// Standing is the membership on which the next assignment is based.
type Standing struct {
	Self Member
	// Active holds the instances that take part, the own one included if it acts.
	Active []Member
	// Doubtful holds suspected instances that stay members for now.
	Doubtful []Member
	// Leaving holds instances that leave gracefully.
	Leaving []Member
	// Peered holds the regions of the peer set and of the own instance, whatever its members' states.
	Peered []string
}

// Proposal is a conditional write of assignments.
type Proposal struct {
	// Base is the heads version that must still be the newest.
	Base uint64
	// Scopes holds the assignments that change.
	Scopes map[string]Assignment
}

// Next proposes the assignments that follow from the membership; false if nothing changes.
//
// Only instances of a region change its assignment, because the region proof
// shows only changes made by them. Others empty it, so that the fleet takes over,
// once the peer set holds no instance of the region any more.
func (a *Assigner) Next(s Standing) (Proposal, bool) {
	p := Proposal{Base: a.heads.Version, Scopes: map[string]Assignment{}}
	a.propose(&p, FleetScope, choose(a.heads.Scopes[FleetScope].Members, s, anyRegion))
	own := func(m Member) bool { return m.Region == s.Self.Region }
	a.propose(&p, s.Self.Region, choose(a.heads.Scopes[s.Self.Region].Members, s, own))
	for name := range a.heads.Scopes {
		if name != FleetScope && !slices.Contains(s.Peered, name) {
			a.propose(&p, name, nil)
		}
	}
	return p, len(p.Scopes) > 0
}

func (a *Assigner) propose(p *Proposal, name string, members []Member) {
	old := a.heads.Scopes[name]
	if !slices.Equal(old.Members, members) {
		p.Scopes[name] = Assignment{Epoch: old.Epoch + 1, Members: members}
	}
}

func anyRegion(Member) bool {
	return true
}

// choose returns the active members and those old members that are in doubt, by name.
func choose(old []Member, s Standing, in func(Member) bool) []Member {
	var r []Member
	for _, m := range s.Active {
		if in(m) {
			r = append(r, m)
		}
	}
	for _, m := range old {
		// A later incarnation was added by an instance that heard it.
		doubtful := slices.ContainsFunc(s.Doubtful, func(d Member) bool { return d.Name == m.Name && d.Incarnation <= m.Incarnation })
		if doubtful && !slices.ContainsFunc(r, m.is) {
			r = append(r, m)
		}
	}
	slices.SortFunc(r, func(x, y Member) int { return strings.Compare(x.Name, y.Name) })
	return r
}
