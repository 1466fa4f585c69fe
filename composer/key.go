package composer

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Errors of changes to keys.
var (
	ErrKeyName        = merry.Sentinel("name of an account or key must be of a-z, 0-9 and '-', and have 1 to 64 bytes")
	ErrUnknownAccount = merry.Sentinel("account does not exist")
	ErrUnknownKey     = merry.Sentinel("key does not exist")
	ErrKeyExists      = merry.Sentinel("key exists already")
)

const (
	secretPrefix = "ch"
	// secretBytes of randomness make 43 characters of base64url.
	secretBytes  = 32
	secretParts  = 4
	secretLength = 43
)

// NewKey returns a new secret of the form ch_<account>_<name>_<43 characters> and the key that holds its digest.
func NewKey(account, name string) (string, Key, error) {
	if !isKeyName(account) || !isKeyName(name) {
		return "", Key{}, merry.Wrap(ErrKeyName)
	}
	b := make([]byte, secretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", Key{}, merry.Prepend(err, "new key")
	}
	random := base64.RawURLEncoding.EncodeToString(b)
	secret := strings.Join([]string{secretPrefix, account, name, random}, "_")
	return secret, Key{Name: name, Digest: SecretDigest(secret)}, nil
}

// MustKey returns the key with a digest of 64 hexadecimal digits, for use in
// programs that print a configuration; it panics if digest is malformed.
func MustKey(name, digest string) Key {
	d, err := parseDigest(digest)
	if err != nil {
		panic("composer: digest of key " + name + ": " + err.Error())
	}
	return Key{Name: name, Digest: d}
}

// SecretDigest returns the SHA-256 digest of a whole secret, as Key holds it.
func SecretDigest(secret string) [32]byte {
	return sha256.Sum256([]byte(secret))
}

// SplitSecret returns the account and key name in a secret; it does not say that the key exists.
func SplitSecret(secret string) (account, name string, ok bool) {
	p := strings.SplitN(secret, "_", secretParts)
	if len(p) != secretParts || p[0] != secretPrefix || len(p[3]) != secretLength {
		return "", "", false
	}
	if !isKeyName(p[1]) || !isKeyName(p[2]) {
		return "", "", false
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(p[3])
	if err != nil || len(b) != secretBytes {
		return "", "", false
	}
	return p[1], p[2], true
}

// WithKey returns a copy of c in which the account has the key; errors: ErrUnknownAccount, ErrKeyExists.
func (c Config) WithKey(account string, k Key) (Config, error) {
	return c.withAccount(account, func(a *Account) error {
		if slices.ContainsFunc(a.Keys, func(v Key) bool { return v.Name == k.Name }) {
			return merry.Wrap(ErrKeyExists)
		}
		a.Keys = append(a.Keys, k)
		return nil
	})
}

// WithoutKey returns a copy of c in which the account lacks the key; errors: ErrUnknownAccount, ErrUnknownKey.
func (c Config) WithoutKey(account, name string) (Config, error) {
	return c.withAccount(account, func(a *Account) error {
		n := len(a.Keys)
		a.Keys = slices.DeleteFunc(a.Keys, func(v Key) bool { return v.Name == name })
		if len(a.Keys) == n {
			return merry.Wrap(ErrUnknownKey)
		}
		return nil
	})
}

// withAccount returns a copy of c in which one account was edited.
func (c Config) withAccount(name string, edit func(*Account) error) (Config, error) {
	c = c.Canonical()
	i := slices.IndexFunc(c.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return Config{}, merry.Wrap(ErrUnknownAccount)
	}
	if err := edit(&c.Accounts[i]); err != nil {
		return Config{}, err
	}
	return c.Canonical(), nil
}
