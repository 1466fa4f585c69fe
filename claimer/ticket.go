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

// MaxTicketBytes bounds the length of a ticket, so that servers accept it like other Idempotency-Keys;
// tickets with the longest names have 243 bytes.
const MaxTicketBytes = 255

const (
	// ticketPrefix tells tickets from keys chosen by callers; its digit is the version of the format.
	ticketPrefix = "ct1."
	nonceBytes   = 16
	// maxNameBytes is the longest name of an account or instance; its length takes one byte.
	maxNameBytes = composer.MaxNameLength
	// signatureBytes is the truncation of HMAC-SHA-256-128 (RFC 4868).
	signatureBytes = 16
)

// ErrTicket says that a text is not a ticket.
var ErrTicket = merry.Sentinel("invalid ticket")

// Location names one incarnation of an instance.
type Location struct {
	Instance    string
	Incarnation uint64
}

// Place says where a request with a ticket is decided.
type Place int

// The places.
const (
	// Here is this incarnation, by Tickets.Begin.
	Here Place = iota
	// Elsewhere is the instance that the ticket names; it also decides if it has another incarnation by now.
	Elsewhere
	// Gone means that the incarnation cannot be asked, so that the outcome is unknown.
	Gone
)

// Place returns where a ticket of location l is decided, seen from self; reachable says whether l's instance is a known peer.
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

// ticket is the readable part of a ticket.
type ticket struct {
	account  string
	location Location
	expires  time.Time
	nonce    [nonceBytes]byte
}

// encode returns both names, each after a byte with its length, the incarnation, the expiry in Unix milliseconds and the nonce.
func (t ticket) encode() ([]byte, error) {
	var b []byte
	for _, s := range []string{t.account, t.location.Instance} {
		if len(s) == 0 || len(s) > maxNameBytes {
			return nil, merry.Wrap(ErrTicket, merry.AppendMessagef("name of account or instance must have 1 to %d bytes, not %d", maxNameBytes, len(s)))
		}
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return binary.Append(b, binary.BigEndian, ticketTail{t.location.Incarnation, t.expires.UnixMilli(), t.nonce})
}

// ticketTail holds the fields of fixed length.
type ticketTail struct {
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
	var x ticketTail
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

// IsTicket reports whether an Idempotency-Key has the form of a ticket; callers must not choose such keys.
func IsTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// Locate returns the incarnation that a ticket names, unverified; its error is ErrTicket.
func Locate(key string) (Location, error) {
	t, _, _, err := parseTicket(key)
	if err != nil {
		return Location{}, err
	}
	return t.location, nil
}

// sealTicket returns prefix, payload and signature, the latter two in base64 and joined by a dot.
func sealTicket(secret []byte, t ticket) (string, error) {
	b, err := t.encode()
	if err != nil {
		return "", err
	}
	text := ticketPrefix + base64.RawURLEncoding.EncodeToString(b)
	return text + "." + base64.RawURLEncoding.EncodeToString(sign(secret, text)), nil
}

// parseTicket returns the readable part, the signed text and the signature.
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
	// Write of a hash never fails.
	_, _ = h.Write([]byte(text))
	return h.Sum(nil)[:signatureBytes]
}
