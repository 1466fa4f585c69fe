package assigner

import (
	"slices"
	"strings"
)

// Standing is the membership from which the next assignments are computed.
type Standing struct {
	// Self is the local instance.
	Self Member
	// Active holds the active instances, including the local one if it is active.
	Active []Member
	// Doubtful holds suspected instances that are not yet due for removal.
	Doubtful []Member
	// Leaving holds instances that leave gracefully.
	Leaving []Member
	// Peered holds the regions of the local instance and of all peers, whatever their states.
	Peered []string
}

// Proposal is a set of new assignments for a conditional write of the heads row.
type Proposal struct {
	// Base is the heads version that the write requires to be the newest.
	Base uint64
	// Scopes holds the assignments that change.
	Scopes map[string]Assignment
}

// Next returns the assignments that change to match the membership s; false if none does.
//
// Only instances of a region change the members of its assignment, because the
// region proof covers only their changes. An instance of another region empties the
// assignment once the peer set has no instance of the region; the fleet then owns
// its resources.
func (a *Assigner) Next(s Standing) (Proposal, bool) {
	p := Proposal{Base: a.heads.Version, Scopes: map[string]Assignment{}}
	a.addScope(&p, FleetScope, nextMembers(a.heads.Scopes[FleetScope].Members, s, anyRegion))
	own := func(m Member) bool { return m.Region == s.Self.Region }
	a.addScope(&p, s.Self.Region, nextMembers(a.heads.Scopes[s.Self.Region].Members, s, own))
	for name := range a.heads.Scopes {
		if name != FleetScope && !slices.Contains(s.Peered, name) {
			a.addScope(&p, name, nil)
		}
	}
	return p, len(p.Scopes) > 0
}

// addScope adds the assignment of a scope to the proposal if its members change.
func (a *Assigner) addScope(p *Proposal, name string, members []Member) {
	old := a.heads.Scopes[name]
	if !slices.Equal(old.Members, members) {
		p.Scopes[name] = Assignment{Epoch: old.Epoch + 1, Members: members}
	}
}

func anyRegion(Member) bool {
	return true
}

// nextMembers returns the active instances accepted by filter and the old members
// that are not yet due for removal, sorted by name.
func nextMembers(old []Member, s Standing, filter func(Member) bool) []Member {
	var r []Member
	for _, m := range s.Active {
		if filter(m) {
			r = append(r, m)
		}
	}
	for _, m := range old {
		// A member with a later incarnation than the local record was added by an instance that received its messages.
		doubtful := slices.ContainsFunc(s.Doubtful, func(d Member) bool { return d.Name == m.Name && d.Incarnation <= m.Incarnation })
		if doubtful && !slices.ContainsFunc(r, m.sameIncarnation) {
			r = append(r, m)
		}
	}
	slices.SortFunc(r, func(x, y Member) int { return strings.Compare(x.Name, y.Name) })
	return r
}
