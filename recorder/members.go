package recorder

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/csv"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// memberFieldCount is the number of fields of a member record: name, incarnation, region and failure domain.
const memberFieldCount = 4

// ErrInvalidMembers reports members that cannot be encoded as a list: two have the same name, or a field contains a line break.
var ErrInvalidMembers = merry.Sentinel("cannot encode member list")

// ByDigest reports whether a references its member list by digest.
func (a Assignment) ByDigest() bool {
	return a.Digest != Digest{}
}

// MarshalJSON omits the members if a references them by digest.
func (a Assignment) MarshalJSON() ([]byte, error) {
	type row Assignment
	if a.ByDigest() {
		a.Members = nil
	}
	return json.Marshal(row(a))
}

// WithMembers returns a with the members decoded from text. It returns ErrCorrupt if text is not the list referenced by a.
func (a Assignment) WithMembers(text []byte) (Assignment, error) {
	if sha256.Sum256(text) != a.Digest {
		return a, merry.Append(ErrCorrupt, "member list does not match its digest")
	}
	l, err := DecodeMembers(text)
	if err != nil {
		return a, err
	}
	if len(l) != a.Count {
		return a, merry.Appendf(ErrCorrupt, "member list has %d members, want %d", len(l), a.Count)
	}
	a.Members = l
	return a, nil
}

// EncodeMembers returns the canonical member list: one CSV record per member, sorted by name. It returns ErrInvalidMembers if the
// members cannot be encoded.
func EncodeMembers(l []Member) ([]byte, error) {
	l = slices.SortedFunc(slices.Values(l), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	for i, m := range l {
		if i > 0 && l[i-1].Name == m.Name || strings.ContainsAny(m.Name+m.Region+m.FailureDomain, "\r\n") {
			return nil, merry.Appendf(ErrInvalidMembers, "%q", m.Name)
		}
		if err := w.Write([]string{m.Name, strconv.FormatUint(m.Incarnation, 10), m.Region, m.FailureDomain}); err != nil {
			return nil, merry.Wrap(ErrInvalidMembers, merry.WithCause(err))
		}
	}
	w.Flush()
	return b.Bytes(), nil
}

// DecodeMembers decodes a list returned by EncodeMembers. It returns ErrCorrupt for any other text.
func DecodeMembers(text []byte) ([]Member, error) {
	r := csv.NewReader(bytes.NewReader(text))
	r.FieldsPerRecord = memberFieldCount
	rows, err := r.ReadAll()
	if err != nil {
		return nil, merry.Wrap(ErrCorrupt, merry.WithCause(err))
	}
	l := make([]Member, 0, len(rows))
	for _, f := range rows {
		n, err := strconv.ParseUint(f[1], 10, 64)
		if err != nil {
			return nil, merry.Wrap(ErrCorrupt, merry.WithCause(err))
		}
		l = append(l, Member{Name: f[0], Incarnation: n, Region: f[2], FailureDomain: f[3]})
	}
	if c, err := EncodeMembers(l); err != nil || !bytes.Equal(c, text) {
		return nil, merry.Append(ErrCorrupt, "member list is not canonical")
	}
	return l, nil
}
