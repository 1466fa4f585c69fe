package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"celeryhead.dev/celeryhead/composer"
)

const (
	prefix       = "ch_"
	secretLength = 43
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// Identity is what a valid key stands for.
type Identity struct {
	Account string
	Digest  Digest
}

// Table holds the keys of one configuration version; it is immutable and safe for concurrent use.
type Table struct {
	accounts map[string][]Digest
}

// New returns the table of the accounts' keys.
func New(a []composer.Account) *Table {
	t := &Table{accounts: make(map[string][]Digest, len(a))}
	for _, c := range a {
		for _, k := range c.Keys {
			t.accounts[c.Name] = append(t.accounts[c.Name], Digest(k.Digest))
		}
	}
	return t
}

// Check returns the identity that a key stands for, and false if the key is not in the table.
func (t *Table) Check(key string) (Identity, bool) {
	a, ok := account(key)
	if !ok {
		return Identity{}, false
	}
	i := Identity{Account: a, Digest: sha256.Sum256([]byte(key))}
	return i, t.Valid(i)
}

// Valid reports whether the key behind an identity is still in the table, in time that does not depend on the digest.
func (t *Table) Valid(i Identity) bool {
	n := 0
	for _, d := range t.accounts[i.Account] {
		n |= subtle.ConstantTimeCompare(d[:], i.Digest[:])
	}
	return n == 1
}

// account returns the account named in a key that has the right form.
func account(key string) (string, bool) {
	if len(key) < len(prefix)+secretLength || !strings.HasPrefix(key, prefix) {
		return "", false
	}
	a, _, ok := strings.Cut(key[len(prefix):], "_")
	return a, ok && a != ""
}
