package assigner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Member is one incarnation of an instance in an assignment.
type Member struct {
	Name          string
	Incarnation   uint64
	Region        string
	FailureDomain string
}

func (m Member) is(o Member) bool {
	return m.Name == o.Name && m.Incarnation == o.Incarnation
}

// Assignment is the membership of one scope; each change raises Epoch by one.
type Assignment struct {
	Epoch   uint64
	Members []Member
}

// ranking holds members with the hashes of their names.
type ranking struct {
	members []Member
	hashes  []uint64
}

func rank(members []Member) ranking {
	r := ranking{members: members, hashes: make([]uint64, len(members))}
	for i, m := range members {
		r.hashes[i] = xxhash.Sum64String(m.Name)
	}
	return r
}

func score(resource, member uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:], resource)
	binary.LittleEndian.PutUint64(b[8:], member)
	return xxhash.Sum64(b[:])
}

// first returns the index of the member with the highest score among those for which in is true, or -1.
func (r ranking) first(resource uint64, in func(i int) bool) int {
	best, at := uint64(0), -1
	for i, h := range r.hashes {
		if !in(i) {
			continue
		}
		s := score(resource, h)
		if at < 0 || s > best || s == best && r.members[i].Name < r.members[at].Name {
			best, at = s, i
		}
	}
	return at
}

func (r ranking) owner(resource string, part int) (Member, bool) {
	return r.successor(resource, part, all)
}

func all(int) bool {
	return true
}

// successor returns the owner among the members for which in is true; without one that may own the part, any of them.
func (r ranking) successor(resource string, part int, in func(i int) bool) (Member, bool) {
	h := xxhash.Sum64String(resource)
	may := r.eligible(h, part)
	at := r.first(h, func(i int) bool { return may(i) && in(i) })
	if at < 0 {
		at = r.first(h, in)
	}
	if at < 0 {
		return Member{}, false
	}
	return r.members[at], true
}

// eligible returns which members may own a part.
func (r ranking) eligible(resource uint64, part int) func(i int) bool {
	switch {
	case part == 0 || len(r.members) == 0:
	case r.divided(resource):
		return func(i int) bool { return r.half(resource, i) == part }
	case part == 2:
		return r.others(r.first(resource, all))
	}
	return all
}

// others returns which members are as far from one as possible: in other failure domains, or at least other members.
func (r ranking) others(one int) func(int) bool {
	for i := range r.members {
		if r.members[i].FailureDomain != r.members[one].FailureDomain {
			return func(k int) bool { return r.members[k].FailureDomain != r.members[one].FailureDomain }
		}
	}
	return func(k int) bool { return k != one || len(r.members) == 1 }
}

// half returns the part whose owner a member may be. It goes by failure domain, and differs between resources so that
// they spread evenly.
func (r ranking) half(resource uint64, i int) int {
	return 1 + int(score(resource, xxhash.Sum64String(r.members[i].FailureDomain))&1)
}

// divided reports whether both halves have members.
func (r ranking) divided(resource uint64) bool {
	var seen [3]bool
	for i := range r.members {
		seen[r.half(resource, i)] = true
	}
	return seen[1] && seen[2]
}

// Owner returns the owner of a resource among members; false without members.
func Owner(resource string, members []Member) (Member, bool) {
	return rank(members).owner(resource, 0)
}

// PartOwner returns the owner of part 1 or 2 of a divided resource, or of an undivided one for part 0.
//
// The parts belong to different failure domains if the members allow it, and a member that comes or goes moves one
// part at most, unless a half of the failure domains has no member left.
func PartOwner(resource string, part int, members []Member) (Member, bool) {
	return rank(members).owner(resource, part)
}
