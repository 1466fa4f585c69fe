package breaker

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"strings"
)

// DigestPrefix is the number of bytes of a body that are read before its request is forwarded.
const DigestPrefix = 64 << 10

// Fingerprint identifies the requests that share strikes and blocks.
type Fingerprint [sha256.Size]byte

// BodyDigest is a digest of the first DigestPrefix bytes of a body and its length.
type BodyDigest [sha256.Size]byte

// Request holds the properties of a request that its fingerprint covers.
type Request struct {
	Account string
	Route   string
	Method  string
	// Path includes the query string.
	Path string
	Body BodyDigest
}

// Fingerprint returns the digest of all fields. Each string is prefixed with its length, so that different fields cannot
// yield the same input.
func (r Request) Fingerprint() Fingerprint {
	return r.digest(r.Path, "")
}

// PathFingerprint returns the fingerprint that the request shares with those that differ from it only in the query.
func (r Request) PathFingerprint() Fingerprint {
	p, _, _ := strings.Cut(r.Path, "?")
	return r.digest(p, "any query")
}

func (r Request) digest(path, scope string) Fingerprint {
	b := make([]byte, 0, 256)
	for _, s := range [...]string{r.Account, r.Route, r.Method, path} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = append(b, r.Body[:]...)
	b = append(b, scope...)
	return sha256.Sum256(b)
}

// ReadBody reads up to DigestPrefix bytes of a body of the given length (-1 if unknown). It returns the digest and a
// reader of the whole body, which is nil for an empty body. It fails only if reading the body fails.
func ReadBody(body io.Reader, length int64) (BodyDigest, io.Reader, error) {
	if body == nil || length == 0 {
		return digest(nil, 0), nil, nil
	}
	p, err := readPrefix(body, length)
	switch {
	case err == nil:
		return digest(p, length), io.MultiReader(bytes.NewReader(p), body), nil
	case errors.Is(err, io.EOF):
		// The whole body has been read, so its length is known even if it was not declared.
		return digest(p, int64(len(p))), bytes.NewReader(p), nil
	}
	return BodyDigest{}, nil, err
}

// readPrefix returns up to DigestPrefix bytes of the body, with io.EOF if the body ended before that many bytes or its
// declared length.
func readPrefix(body io.Reader, length int64) ([]byte, error) {
	n := int64(DigestPrefix)
	if length >= 0 && length < n {
		n = length
	}
	var b bytes.Buffer
	_, err := io.CopyN(&b, body, n)
	return b.Bytes(), err
}

func digest(prefix []byte, length int64) BodyDigest {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(length)) //nolint:gosec // -1 needs only a value that no known length has.
	h.Write(n[:])
	h.Write(prefix)
	return BodyDigest(h.Sum(nil))
}
