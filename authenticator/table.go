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

// Identity is the account and the digest of a key.
type Identity struct {
	Account string
	Digest  Digest
}

// Table holds the keys of one configuration version; it is immutable and safe for concurrent use.
type Table struct {
	accounts map[string][]Digest
}

// New builds a table of the keys of the accounts.
func New(a []composer.Account) *Table {
	t := &Table{accounts: make(map[string][]Digest, len(a))}
	for _, c := range a {
		for _, k := range c.Keys {
			t.accounts[c.Name] = append(t.accounts[c.Name], Digest(k.Digest))
		}
	}
	return t
}

// Check returns the identity of a key, and whether the key is in the table.
func (t *Table) Check(key string) (Identity, bool) {
	a, ok := parseAccount(key)
	if !ok {
		return Identity{}, false
	}
	i := Identity{Account: a, Digest: sha256.Sum256([]byte(key))}
	return i, t.Valid(i)
}

// Valid reports whether the key of an identity is in the table. Digests are compared in constant time.
func (t *Table) Valid(i Identity) bool {
	n := 0
	for _, d := range t.accounts[i.Account] {
		n |= subtle.ConstantTimeCompare(d[:], i.Digest[:])
	}
	return n == 1
}

// parseAccount returns the account name in a key, or false if the key has no valid prefix, length or account.
func parseAccount(key string) (string, bool) {
	if len(key) < len(prefix)+secretLength || !strings.HasPrefix(key, prefix) {
		return "", false
	}
	a, _, ok := strings.Cut(key[len(prefix):], "_")
	return a, ok && a != ""
}
