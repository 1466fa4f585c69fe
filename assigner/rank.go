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

// first returns the index of the member with the highest score, or -1; members of the failure domain except do not take part.
func (r ranking) first(resource uint64, skip int, except string) int {
	best, at := uint64(0), -1
	for i, h := range r.hashes {
		if i == skip || except != "" && r.members[i].FailureDomain == except {
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
	h := xxhash.Sum64String(resource)
	a := r.first(h, -1, "")
	if a < 0 {
		return Member{}, false
	}
	if part == 0 || len(r.members) == 1 {
		return r.members[a], true
	}
	b := r.first(h, a, r.members[a].FailureDomain)
	if b < 0 {
		b = r.first(h, a, "")
	}
	return r.members[b], true
}

// Owner returns the owner of a resource among members; false without members.
func Owner(resource string, members []Member) (Member, bool) {
	return rank(members).owner(resource, 0)
}

// PartOwner returns the owner of part 0 or 1 of a resource; the parts belong to
// different failure domains if the members allow it.
func PartOwner(resource string, part int, members []Member) (Member, bool) {
	return rank(members).owner(resource, part)
}
