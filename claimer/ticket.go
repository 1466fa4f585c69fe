package claimer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// ticketPrefix tells tickets from keys chosen by callers; its digit is the version of the format.
	ticketPrefix   = "ct1."
	maxTicketBytes = 1 << 10
	nonceBytes     = 16
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
	Account     string `json:"account"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	ExpiresMs   int64  `json:"expires_unix_ms"`
	Nonce       []byte `json:"nonce"`
}

func (t ticket) location() Location {
	return Location{Instance: t.Instance, Incarnation: t.Incarnation}
}

func (t ticket) expires() time.Time {
	return time.UnixMilli(t.ExpiresMs)
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
	return t.location(), nil
}

// sealTicket returns prefix, payload and signature, the latter two in base64 and joined by a dot.
func sealTicket(secret []byte, t ticket) (string, error) {
	b, err := json.Marshal(t)
	if err != nil {
		return "", merry.Wrap(ErrTicket, merry.WithCause(err))
	}
	text := ticketPrefix + base64.RawURLEncoding.EncodeToString(b)
	s := text + "." + base64.RawURLEncoding.EncodeToString(sign(secret, text))
	if len(s) > maxTicketBytes {
		return "", merry.Wrap(ErrTicket, merry.AppendMessage("account or instance name too long"))
	}
	return s, nil
}

// parseTicket returns the readable part, the signed text and the signature.
func parseTicket(key string) (t ticket, text string, signature []byte, err error) {
	if !IsTicket(key) || len(key) > maxTicketBytes {
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
	if err := json.Unmarshal(b, &t); err != nil {
		return ticket{}, "", nil, merry.Wrap(ErrTicket, merry.WithCause(err))
	}
	if t.Instance == "" || len(t.Nonce) != nonceBytes {
		return ticket{}, "", nil, merry.Wrap(ErrTicket)
	}
	return t, text, signature, nil
}

func sign(secret []byte, text string) []byte {
	h := hmac.New(sha256.New, secret)
	// Write of a hash never fails.
	_, _ = h.Write([]byte(text))
	return h.Sum(nil)
}
