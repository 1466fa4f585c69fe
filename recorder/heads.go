package recorder

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"maps"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrCorrupt reports a row that cannot be decoded.
var ErrCorrupt = merry.Sentinel("cannot decode store row")

// Heads is the content of the heads row.
type Heads struct {
	// ConfigVersion is 0 until the first configuration is applied.
	ConfigVersion uint64 `json:"config_version"`
	ConfigDigest  Digest `json:"config_digest"`
	// Assignments maps each scope, which is a region name or the scope of the whole fleet, to its assignment.
	Assignments map[string]Assignment `json:"assignments"`
	// Shifts maps the name of each shift to its progress.
	Shifts map[string]ShiftStep `json:"shifts"`
}

// Assignment lists the instances that own the targets or buckets of a scope.
//
// A row contains either Members, or Count and Digest of a member list that is stored in separate rows.
type Assignment struct {
	Epoch uint64 `json:"epoch"`
	// Members is sorted by name. After DecodeHeads it is empty if Digest is set.
	Members []Member `json:"members,omitempty"`
	Count   int      `json:"count,omitzero"`
	// Digest is the SHA-256 digest of the list returned by EncodeMembers, or zero if the row contains Members.
	Digest Digest `json:"digest,omitzero"`
}

// Member is one incarnation of an instance.
type Member struct {
	Name          string `json:"name"`
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// ShiftStep is the progress of a shift.
type ShiftStep struct {
	// Step is the number of completed steps.
	Step uint32 `json:"step"`
	// Time is the time of the last step.
	Time time.Time `json:"time"`
}

// Digest is a SHA-256 digest; its text form is hexadecimal.
type Digest [32]byte

// MarshalText implements encoding.TextMarshaler and returns 64 hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler and accepts exactly 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil {
		return err
	}
	if len(b) != len(d) {
		return hex.ErrLength
	}
	*d = Digest(b)
	return nil
}

// Clone returns a copy of h with cloned maps. The Members slices are shared and must be replaced, not modified.
func (h Heads) Clone() Heads {
	h.Assignments = maps.Clone(h.Assignments)
	h.Shifts = maps.Clone(h.Shifts)
	return h
}

// Encode returns the value of the heads row. Equal heads have identical encodings.
func (h Heads) Encode() ([]byte, error) {
	return encode(h)
}

// DecodeHeads decodes the value of the heads row. An empty value, as of an absent row, yields the zero Heads. It returns
// ErrCorrupt if the value is invalid.
func DecodeHeads(value []byte) (Heads, error) {
	var h Heads
	if len(value) == 0 {
		return h, nil
	}
	if err := decode(value, &h); err != nil {
		return h, err
	}
	for n, a := range h.Assignments {
		if a.ByDigest() != (a.Count > 0) || a.ByDigest() && len(a.Members) > 0 {
			return h, merry.Appendf(ErrCorrupt, "inconsistent member list in assignment of scope %q", n)
		}
	}
	return h, nil
}

// Audit is the content of an audit row.
type Audit struct {
	Version     uint64    `json:"version"`
	BaseVersion uint64    `json:"base_version"`
	Operator    string    `json:"operator"`
	Reason      string    `json:"reason"`
	Kind        string    `json:"kind"`
	Time        time.Time `json:"time"`
	Changes     []string  `json:"changes"`
	OperationID string    `json:"operation_id"`
	// Instance is the name of the instance that applied the change for the operator.
	Instance string `json:"instance"`
}

// Encode returns the value of the audit row.
func (a Audit) Encode() ([]byte, error) {
	return encode(a)
}

// DecodeAudit decodes the value of an audit row. It returns ErrCorrupt if the value is invalid.
func DecodeAudit(value []byte) (Audit, error) {
	var a Audit
	return a, decode(value, &a)
}

// EncodeVersion returns the value of an operation row.
func EncodeVersion(version uint64) []byte {
	return strconv.AppendUint(nil, version, 10)
}

// DecodeVersion decodes the value of an operation row. It returns ErrCorrupt if the value is invalid.
func DecodeVersion(value []byte) (uint64, error) {
	v, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, merry.Wrap(ErrCorrupt, merry.WithCause(err))
	}
	return v, nil
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	return b, merry.Prepend(err, "encode row")
}

func decode(value []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return merry.Wrap(ErrCorrupt, merry.WithCause(err))
	}
	if d.More() {
		return merry.Wrap(ErrCorrupt)
	}
	return nil
}
