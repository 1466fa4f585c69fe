package assigner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Member identifies an incarnation of an instance in an assignment.
type Member struct {
	Name          string
	Incarnation   uint64
	Region        string
	FailureDomain string
}

func (m Member) sameIncarnation(o Member) bool {
	return m.Name == o.Name && m.Incarnation == o.Incarnation
}

// Assignment holds the members of a scope; each change increments Epoch.
type Assignment struct {
	Epoch   uint64
	Members []Member
}

// hashedMembers holds members with the hashes of their names, for rendezvous hashing.
type hashedMembers struct {
	members []Member
	hashes  []uint64
}

func hashMembers(members []Member) hashedMembers {
	r := hashedMembers{members: members, hashes: make([]uint64, len(members))}
	for i, m := range members {
		r.hashes[i] = xxhash.Sum64String(m.Name)
	}
	return r
}

// score returns the rendezvous weight of a member for a resource.
func score(resource, member uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:], resource)
	binary.LittleEndian.PutUint64(b[8:], member)
	return xxhash.Sum64(b[:])
}

// highest returns the index of the member with the highest score among those accepted by filter, or -1. Equal scores
// are decided by name.
func (r hashedMembers) highest(resource uint64, filter func(i int) bool) int {
	best, at := uint64(0), -1
	for i, h := range r.hashes {
		if !filter(i) {
			continue
		}
		s := score(resource, h)
		if at < 0 || s > best || s == best && r.members[i].Name < r.members[at].Name {
			best, at = s, i
		}
	}
	return at
}

func (r hashedMembers) owner(resource string, part int) (Member, bool) {
	return r.successor(resource, part, anyMember)
}

func anyMember(int) bool {
	return true
}

// successor returns the owner of a part among the members accepted by filter. If none of them is eligible for the part,
// it chooses among all of them.
func (r hashedMembers) successor(resource string, part int, filter func(i int) bool) (Member, bool) {
	h := xxhash.Sum64String(resource)
	eligible := r.eligible(h, part)
	at := r.highest(h, func(i int) bool { return eligible(i) && filter(i) })
	if at < 0 {
		at = r.highest(h, filter)
	}
	if at < 0 {
		return Member{}, false
	}
	return r.members[at], true
}

// eligible returns a filter that accepts the members that may own a part.
func (r hashedMembers) eligible(resource uint64, part int) func(i int) bool {
	switch {
	case part == 0 || len(r.members) == 0:
	case r.coversBothParts(resource):
		return func(i int) bool { return r.partOf(resource, i) == part }
	case part == 2:
		return r.separatedFrom(r.highest(resource, anyMember))
	}
	return anyMember
}

// separatedFrom returns a filter that accepts the members outside the failure domain of the member at index base. If
// there are none it accepts every other member, and a single member itself.
func (r hashedMembers) separatedFrom(base int) func(int) bool {
	for i := range r.members {
		if r.members[i].FailureDomain != r.members[base].FailureDomain {
			return func(k int) bool { return r.members[k].FailureDomain != r.members[base].FailureDomain }
		}
	}
	return func(k int) bool { return k != base || len(r.members) == 1 }
}

// partOf returns the part for which a member is eligible. It is the same for all members of a failure domain, and
// depends on the resource so that the load spreads evenly.
func (r hashedMembers) partOf(resource uint64, i int) int {
	return 1 + int(score(resource, xxhash.Sum64String(r.members[i].FailureDomain))&1)
}

// coversBothParts reports whether each of the two parts has an eligible member.
func (r hashedMembers) coversBothParts(resource uint64) bool {
	var seen [3]bool
	for i := range r.members {
		seen[r.partOf(resource, i)] = true
	}
	return seen[1] && seen[2]
}

// Owner returns the owner of an undivided resource among members; false if there are no members.
func Owner(resource string, members []Member) (Member, bool) {
	return hashMembers(members).owner(resource, 0)
}

// PartOwner returns the owner of part 1 or 2 of a divided resource, or of an undivided resource for part 0; false if
// there are no members.
//
// The parts have owners in different failure domains if the members are in more than one. A member that is added or
// removed changes the owner of at most one part, unless the failure domains eligible for a part have no member before or
// after the change.
func PartOwner(resource string, part int, members []Member) (Member, bool) {
	return hashMembers(members).owner(resource, part)
}
