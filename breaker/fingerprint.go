package breaker

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
)

// DigestPrefix is how much of a body is read before its request is forwarded, in bytes.
const DigestPrefix = 64 << 10

// Fingerprint identifies requests that are the same to a target.
type Fingerprint [sha256.Size]byte

// BodyDigest identifies a body by its first DigestPrefix bytes and its length.
type BodyDigest [sha256.Size]byte

// Request holds the parts of a request that its fingerprint covers.
type Request struct {
	Account string
	Route   string
	Method  string
	// Path includes the query.
	Path string
	Body BodyDigest
}

// Fingerprint returns the digest of all parts, each with its length in front so that parts cannot run together.
func (r Request) Fingerprint() Fingerprint {
	b := make([]byte, 0, 256)
	for _, s := range [...]string{r.Account, r.Route, r.Method, r.Path} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = append(b, r.Body[:]...)
	return sha256.Sum256(b)
}

// ReadBody reads up to DigestPrefix bytes of a body of the given length (-1 if unknown) and returns the digest and a
// reader of the whole body; an error means that the caller's body failed.
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

// readPrefix returns io.EOF if the body ended within the prefix.
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
	binary.BigEndian.PutUint64(n[:], uint64(length)) //nolint:gosec // Any distinct value serves for -1.
	h.Write(n[:])
	h.Write(prefix)
	return BodyDigest(h.Sum(nil))
}
