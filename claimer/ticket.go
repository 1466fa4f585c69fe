package claimer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/composer"
)

// MaxTicketBytes limits the length of a ticket to what servers accept as an Idempotency-Key. Tickets with names of the
// maximum length have 243 bytes.
const MaxTicketBytes = 255

const (
	// ticketPrefix distinguishes tickets from keys chosen by callers. Its digit is the format version.
	ticketPrefix = "ct1."
	nonceBytes   = 16
	// maxNameBytes is the maximum length of an account or instance name. The length must fit in one byte.
	maxNameBytes = composer.MaxNameLength
	// signatureBytes is the length of a truncated HMAC-SHA-256-128 (RFC 4868).
	signatureBytes = 16
)

// ErrTicket reports an invalid ticket.
var ErrTicket = merry.Sentinel("invalid ticket")

// Location identifies one incarnation of an instance.
type Location struct {
	Instance    string
	Incarnation uint64
}

// Place identifies where a request with a ticket is decided, relative to this incarnation.
type Place int

// Values of Place.
const (
	// Here is this incarnation, which uses Tickets.Begin.
	Here Place = iota
	// Elsewhere is the instance named in the ticket, which also decides if it has restarted since.
	Elsewhere
	// Gone means that the incarnation is not reachable, so that the outcome is unknown.
	Gone
)

// Place returns where a ticket of location l is decided, as seen from self. The argument reachable reports whether the
// instance of l is a known peer.
func (l Location) Place(self Location, reachable bool) Place {
	switch {
	case l == self:
		return Here
	case l.Instance == self.Instance || !reachable:
		return Gone
	default:
		return Elsewhere
	}
}

// ticket is the unsigned content of a ticket.
type ticket struct {
	account  string
	location Location
	expires  time.Time
	nonce    [nonceBytes]byte
}

// encode returns the two length-prefixed names, the incarnation, the expiry in Unix milliseconds and the nonce.
func (t ticket) encode() ([]byte, error) {
	var b []byte
	for _, s := range []string{t.account, t.location.Instance} {
		if len(s) == 0 || len(s) > maxNameBytes {
			return nil, merry.Wrap(ErrTicket, merry.AppendMessagef("account or instance name has invalid length: want 1 to %d bytes, got %d", maxNameBytes, len(s)))
		}
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return binary.Append(b, binary.BigEndian, fixedFields{t.location.Incarnation, t.expires.UnixMilli(), t.nonce})
}

// fixedFields holds the fixed-length fields of an encoded ticket.
type fixedFields struct {
	Incarnation uint64
	ExpiresMs   int64
	Nonce       [nonceBytes]byte
}

func decodeTicket(b []byte) (ticket, error) {
	var names [2]string
	for i := range names {
		if len(b) == 0 || b[0] == 0 || b[0] > maxNameBytes || len(b) <= int(b[0]) {
			return ticket{}, merry.Wrap(ErrTicket)
		}
		names[i], b = string(b[1:1+b[0]]), b[1+b[0]:]
	}
	var x fixedFields
	if len(b) != binary.Size(x) {
		return ticket{}, merry.Wrap(ErrTicket)
	}
	if _, err := binary.Decode(b, binary.BigEndian, &x); err != nil {
		return ticket{}, merry.Wrap(ErrTicket, merry.WithCause(err))
	}
	return ticket{
		account:  names[0],
		location: Location{Instance: names[1], Incarnation: x.Incarnation},
		expires:  time.UnixMilli(x.ExpiresMs),
		nonce:    x.Nonce,
	}, nil
}

// IsTicket reports whether an Idempotency-Key has the ticket prefix. Callers must not choose such keys.
func IsTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// Locate returns the incarnation named in a ticket without verifying the signature. It returns ErrTicket if the ticket
// is malformed.
func Locate(key string) (Location, error) {
	t, _, _, err := parseTicket(key)
	if err != nil {
		return Location{}, err
	}
	return t.location, nil
}

// signTicket returns the prefix, the payload and the signature. The payload and the signature are base64-encoded and
// separated by a dot.
func signTicket(secret []byte, t ticket) (string, error) {
	b, err := t.encode()
	if err != nil {
		return "", err
	}
	text := ticketPrefix + base64.RawURLEncoding.EncodeToString(b)
	return text + "." + base64.RawURLEncoding.EncodeToString(sign(secret, text)), nil
}

// parseTicket returns the decoded content, the signed text and the signature, which is not verified.
func parseTicket(key string) (t ticket, text string, signature []byte, err error) {
	if !IsTicket(key) || len(key) > MaxTicketBytes {
		return ticket{}, "", nil, merry.Wrap(ErrTicket)
	}
	i := strings.LastIndexByte(key, '.')
	if i < len(ticketPrefix) {
		return ticket{}, "", nil, merry.Wrap(ErrTicket)
	}
	text = key[:i]
	encoding := base64.RawURLEncoding.Strict()
	signature, err = encoding.DecodeString(key[i+1:])
	if err != nil {
		return ticket{}, "", nil, merry.Wrap(ErrTicket, merry.WithCause(err))
	}
	b, err := encoding.DecodeString(text[len(ticketPrefix):])
	if err != nil {
		return ticket{}, "", nil, merry.Wrap(ErrTicket, merry.WithCause(err))
	}
	t, err = decodeTicket(b)
	return t, text, signature, err
}

func sign(secret []byte, text string) []byte {
	h := hmac.New(sha256.New, secret)
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write([]byte(text))
	return h.Sum(nil)[:signatureBytes]
}
