package claimer

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Retention is how long a claim is kept after the deadline of its request; callers must not resend later.
const Retention = 24 * time.Hour

const claimPrefix = "claim/"

// errRow says that the value of a row is not that of a claim.
var errRow = merry.Sentinel("invalid claim row")

// state is the state of a claim row.
type state string

const (
	claimed   state = "claimed"
	done      state = "done"
	abandoned state = "abandoned"
)

// row is the value of a claim row in the store.
type row struct {
	State state `json:"state"`
	// ClaimID is chosen by the sending that wrote the row; by it a repeat recognizes its earlier effect.
	ClaimID    string      `json:"claim_id"`
	Account    string      `json:"account"`
	Route      string      `json:"route"`
	Digest     []byte      `json:"request_digest"`
	DeadlineMs int64       `json:"deadline_unix_ms"`
	ExpiresMs  int64       `json:"expires_unix_ms"`
	Status     int         `json:"status,omitempty"`
	Header     http.Header `json:"header,omitempty"`
	Body       []byte      `json:"body,omitempty"`
	// Partial says that the answer was too large to be stored whole.
	Partial bool `json:"partial,omitempty"`
}

func newRow(r Request) row {
	return row{
		State:      claimed,
		ClaimID:    newID(),
		Account:    r.Account,
		Route:      r.Route,
		Digest:     r.RequestDigest[:],
		DeadlineMs: r.Deadline.UnixMilli(),
		ExpiresMs:  r.Deadline.Add(Retention).UnixMilli(),
	}
}

func (r row) deadline() time.Time {
	return time.UnixMilli(r.DeadlineMs)
}

func (r row) expires() time.Time {
	return time.UnixMilli(r.ExpiresMs)
}

// finished returns the row that stores the outcome; withBody false leaves the body out.
func (r row) finished(o Outcome, withBody bool) row {
	kept, whole := o.kept()
	if whole && !withBody {
		kept.Body, whole = nil, len(o.Body) == 0
	}
	r.State = done
	r.Status, r.Header, r.Body, r.Partial = kept.Status, kept.Header, kept.Body, !whole
	return r
}

func (r row) outcome() *Outcome {
	return &Outcome{Status: r.Status, Header: r.Header, Body: r.Body}
}

func (r row) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// The fields are strings, numbers and bytes, which always encode.
		panic("claimer: " + err.Error())
	}
	return b
}

func decodeRow(b []byte) (row, error) {
	var r row
	if err := json.Unmarshal(b, &r); err != nil {
		return row{}, merry.Wrap(errRow, merry.WithCause(err))
	}
	if r.ClaimID == "" || len(r.Digest) != sha256.Size {
		return row{}, merry.Wrap(errRow)
	}
	switch r.State {
	case claimed, abandoned:
		return r, nil
	case done:
		// net/http panics on a final status outside of this range.
		if r.Status < 200 || r.Status > 999 || len(r.Body) > MaxBodyBytes {
			return row{}, merry.Wrap(errRow)
		}
		return r, nil
	default:
		return row{}, merry.Wrap(errRow)
	}
}

// claimKey returns the key of the claim row; fields carry their lengths, so that no two requests share a key by concatenation.
func claimKey(account, route, key string) string {
	var b []byte
	for _, s := range []string{account, route, key} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	h := sha256.Sum256(b)
	return claimPrefix + hex.EncodeToString(h[:])
}

func newID() string {
	var b [16]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
