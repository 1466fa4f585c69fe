package chunker

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"celeryhead.dev/celeryhead/messenger"
)

// Limits of what is read from others.
const (
	// MaxText bounds a text in bytes; it is the largest answer that the clients of the store accept.
	MaxText = 64 << 20
	// MaxChunk bounds a chunk in bytes, with room for larger sizes than those of today.
	MaxChunk = 64 << 10
	// maxRoot is how many names a manifest holds before their list is split; 4 KB.
	maxRoot = 128
	// maxNames is how many names are accepted in a manifest.
	maxNames = 4 * maxRoot
	// maxDepth suffices for MaxText with the smallest chunks.
	maxDepth = 4
)

const nameSize = sha256.Size

// Errors of this package.
var (
	// ErrManifest is the error of a manifest that cannot be decoded or does not fit its text.
	ErrManifest = merry.Sentinel("manifest is not valid")
	// ErrMissing is the error of a text whose chunks are not all held.
	ErrMissing = merry.Sentinel("chunk is not held")
)

// Name is the SHA-256 digest of a chunk or of a text.
type Name [nameSize]byte

// NameOf returns the name of a chunk or of a text.
func NameOf(b []byte) Name {
	return sha256.Sum256(b)
}

// String returns 64 hexadecimal digits.
func (n Name) String() string {
	return hex.EncodeToString(n[:])
}

// Manifest names the chunks of a text; its encoded form covers the whole text by digests.
type Manifest struct {
	TextDigest Name
	// TextSize is in bytes.
	TextSize int
	// Depth is 1 if Names are those of the chunks of the text. Otherwise the chunks that they name
	// form the list of names of a manifest with a Depth that is smaller by 1.
	Depth int
	Names []Name
}

// Encode returns the manifest in the form of messenger.Manifest.
func (m Manifest) Encode() ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&messenger.Manifest{
		TextDigest: m.TextDigest[:],
		TextSize:   uint64(m.TextSize), //nolint:gosec // Sizes are not negative.
		Depth:      uint32(m.Depth),    //nolint:gosec // A depth is between 1 and maxDepth.
		Names:      EncodeNames(m.Names),
	})
	return b, merry.Prepend(err, "encode manifest")
}

// DecodeManifest reads the result of Encode. Errors: ErrManifest.
func DecodeManifest(b []byte) (Manifest, error) {
	var r messenger.Manifest
	if err := proto.Unmarshal(b, &r); err != nil {
		return Manifest{}, merry.Wrap(ErrManifest, merry.WithCause(err))
	}
	switch {
	case len(r.TextDigest) != nameSize:
		return Manifest{}, merry.Append(ErrManifest, "text_digest")
	case r.TextSize > MaxText:
		return Manifest{}, merry.Append(ErrManifest, "text_size")
	case r.Depth < 1 || r.Depth > maxDepth:
		return Manifest{}, merry.Append(ErrManifest, "depth")
	case len(r.Names) > maxNames*nameSize:
		return Manifest{}, merry.Append(ErrManifest, "too many names")
	}
	n, err := DecodeNames(r.Names)
	if err != nil {
		return Manifest{}, err
	}
	return Manifest{TextDigest: Name(r.TextDigest), TextSize: int(r.TextSize), Depth: int(r.Depth), Names: n}, nil //nolint:gosec // Both were bounded above.
}

// Missing returns the names of the chunks that have to be fetched next, without repetition; none if Join can succeed.
// The names of deeper chunks are known only when those above are held. Errors: ErrManifest.
func (m Manifest) Missing(get func(Name) ([]byte, bool)) ([]Name, error) {
	l := m.Names
	for d := m.Depth; d > 0; d-- {
		if n := absent(l, get); len(n) > 0 || d == 1 {
			return n, nil
		}
		b, err := concat(l, m.TextSize, get)
		if err != nil {
			return nil, err
		}
		if l, err = DecodeNames(b); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func absent(l []Name, get func(Name) ([]byte, bool)) []Name {
	var out []Name
	seen := map[Name]bool{}
	for _, n := range l {
		if _, ok := get(n); !ok && !seen[n] {
			seen[n] = true
			out = append(out, n)
		}
	}
	return out
}

// concat joins the chunks of a list; more than limit bytes are an error, since a name may be repeated without end.
func concat(l []Name, limit int, get func(Name) ([]byte, bool)) ([]byte, error) {
	size := 0
	for _, n := range l {
		b, ok := get(n)
		if !ok {
			return nil, merry.Wrap(ErrMissing)
		}
		if size += len(b); size > limit {
			return nil, merry.Append(ErrManifest, "the chunks are larger than the text")
		}
	}
	out := make([]byte, 0, size)
	for _, n := range l {
		b, _ := get(n)
		out = append(out, b...)
	}
	return out, nil
}

// EncodeNames returns the names one after the other.
func EncodeNames(l []Name) []byte {
	out := make([]byte, 0, len(l)*nameSize)
	for _, n := range l {
		out = append(out, n[:]...)
	}
	return out
}

// DecodeNames reads the result of EncodeNames. Errors: ErrManifest.
func DecodeNames(b []byte) ([]Name, error) {
	if len(b)%nameSize != 0 {
		return nil, merry.Append(ErrManifest, "list of names")
	}
	out := make([]Name, 0, len(b)/nameSize)
	for i := 0; i < len(b); i += nameSize {
		out = append(out, Name(b[i:i+nameSize]))
	}
	return out, nil
}
