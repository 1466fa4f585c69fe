package claimer

import (
	"context"
	"encoding/hex"
	"slices"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/messenger"
)

// MaxOwners is the number of claim owners. In fleets with at most this many members, every instance writes its own claims.
const MaxOwners = 7

// ownersResource is the resource name used for the rendezvous hashing of claim owners.
const ownersResource = "claims"

// Fleet provides the claim owners and sends messages to them. Claims calls ClaimOwners while holding a lock.
type Fleet interface {
	// ClaimOwners returns the names of the claim owners in rendezvous order, or none if every instance writes its own claims.
	ClaimOwners() []string
	// Claim sends a message to the named claim owner. After an error its effect is unknown.
	Claim(ctx context.Context, owner string, m *messenger.ClaimRequest) (*messenger.ClaimReply, error)
}

// noOwners is a Fleet without claim owners, so that the instance writes its own claims.
type noOwners struct{}

func (noOwners) ClaimOwners() []string { return nil }

func (noOwners) Claim(context.Context, string, *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	return &messenger.ClaimReply{Refused: true}, nil
}

// Owners selects the claim owners from the members of the fleet assignment and returns their names in rendezvous order. It
// returns none if there are at most 7 members.
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

// keyRange returns the range of a hexadecimal digest: its first byte, or 0 if that is invalid. The range modulo the number
// of claim owners selects the owner.
func keyRange(digest string) int {
	b, err := hex.DecodeString(digest[:min(2, len(digest))])
	if err != nil || len(b) == 0 {
		return 0
	}
	return int(b[0])
}
