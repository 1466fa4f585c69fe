package claimer

import (
	"context"
	"encoding/hex"
	"slices"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/messenger"
)

// MaxOwners is the number of claim owners; with at most as many members every instance writes its own claims.
const MaxOwners = 7

// ownersResource is the name by whose rendezvous order claim owners are chosen.
const ownersResource = "claims"

// Fleet tells who the claim owners are and carries messages to them. Claims call it while they hold a lock.
type Fleet interface {
	// ClaimOwners returns the names of the claim owners in rendezvous order; none if every instance writes its own claims.
	ClaimOwners() []string
	// Claim sends a message to the claim owner of that name; after an error its effect is unknown.
	Claim(ctx context.Context, owner string, m *messenger.ClaimRequest) (*messenger.ClaimReply, error)
}

// alone is the fleet in which every instance writes its own claims.
type alone struct{}

func (alone) ClaimOwners() []string { return nil }

func (alone) Claim(context.Context, string, *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	return &messenger.ClaimReply{Refused: true}, nil
}

// Owners returns the names of the claim owners among the members of the fleet assignment, in rendezvous order, or none
// if there are at most 7 members.
func Owners(members []assigner.Member) []string {
	if len(members) <= MaxOwners {
		return nil
	}
	rest := slices.Clone(members)
	var names []string
	for len(names) < MaxOwners {
		m, ok := assigner.Owner(ownersResource, rest)
		if !ok {
			break
		}
		names = append(names, m.Name)
		rest = slices.DeleteFunc(rest, func(o assigner.Member) bool { return o.Name == m.Name })
	}
	return names
}

// rangeOf returns the first byte of a digest in hexadecimal, or 0 for an unreadable one; modulo their number it selects a claim owner.
func rangeOf(digest string) int {
	b, err := hex.DecodeString(digest[:min(2, len(digest))])
	if err != nil || len(b) == 0 {
		return 0
	}
	return int(b[0])
}
