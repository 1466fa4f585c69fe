package claimer

import (
	"crypto/hmac"
	"crypto/rand"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/indexer"
)

const (
	defaultTicketLifetime     = 2 * time.Minute
	defaultMaxTickets         = 20_000
	defaultMaxTicketBodyBytes = 16 << 20
	secretBytes               = 32
)

// TicketConfig configures Tickets. Only Location is required.
type TicketConfig struct {
	// Location is this instance and its incarnation.
	Location Location
	// Life is the validity period of a ticket; the default is 2 min.
	Life time.Duration
	// MaxTickets limits the used tickets kept in memory; the default is 20,000.
	MaxTickets int
	// MaxAccountTickets limits the used tickets of one account, so that no account can exhaust the memory of the others; the
	// default is a quarter of MaxTickets.
	MaxAccountTickets int
	// MaxBodyBytes limits the total size of the stored response bodies; the default is 16 MiB. Responses over the limit are
	// stored without their bodies.
	MaxBodyBytes int
	// Random is the source of the secret and the nonces; the default is crypto/rand.
	Random io.Reader
}

// TicketRun is the exclusive right of one attempt with a ticket to execute. It is settled exactly once, by Finish or Abandon.
type TicketRun struct {
	nonce    [nonceBytes]byte
	serial   uint64
	deadline time.Time
}

// Deadline returns the time from which the request must not be started. Callers check it immediately before the effect.
func (r *TicketRun) Deadline() time.Time {
	return r.deadline
}

// usedTicket is the record of a used ticket. Unused tickets have no record.
type usedTicket struct {
	account, route string
	digest         [32]byte
	serial         uint64
	deadline       time.Time
	// retainUntil is the expiry of the ticket or the deadline of its request, whichever is later.
	retainUntil time.Time
	state       state
	row         row
}

// Tickets issues tickets and decides requests that use them at this incarnation. Its methods are safe for concurrent use.
type Tickets struct {
	config TicketConfig
	secret []byte

	mu        sync.Mutex
	used      *indexer.Table[[nonceBytes]byte, usedTicket]
	accounts  map[string]int
	bodyBytes int
	serial    uint64
}

// NewTickets returns Tickets with a new secret. Tickets of earlier incarnations cannot be used.
func NewTickets(c TicketConfig) (*Tickets, error) {
	if c.Random == nil {
		c.Random = rand.Reader
	}
	c.Life = positiveOr(c.Life, defaultTicketLifetime)
	c.MaxTickets = positiveOr(c.MaxTickets, defaultMaxTickets)
	c.MaxAccountTickets = positiveOr(c.MaxAccountTickets, max(1, c.MaxTickets/4))
	c.MaxBodyBytes = positiveOr(c.MaxBodyBytes, defaultMaxTicketBodyBytes)
	t := &Tickets{
		config:   c,
		secret:   make([]byte, secretBytes),
		used:     indexer.New[[nonceBytes]byte, usedTicket](),
		accounts: make(map[string]int),
	}
	if _, err := io.ReadFull(c.Random, t.secret); err != nil {
		return nil, merry.Prepend(err, "generate ticket secret")
	}
	return t, nil
}

// Issue returns a ticket for one request of the account, valid for the configured lifetime. It returns ErrTicket if the
// account or instance name is empty or too long.
func (t *Tickets) Issue(account string, now time.Time) (string, error) {
	x := ticket{account: account, location: t.config.Location, expires: now.Add(t.config.Life)}
	t.mu.Lock()
	_, err := io.ReadFull(t.config.Random, x.nonce[:])
	t.mu.Unlock()
	if err != nil {
		return "", merry.Prepend(err, "generate ticket nonce")
	}
	return signTicket(t.secret, x)
}

// Begin decides an attempt whose key is a ticket. It does not access the store.
func (t *Tickets) Begin(r Request, now time.Time) Decision {
	p, text, signature, err := parseTicket(r.Key)
	if err != nil || p.account != r.Account {
		return Decision{Verdict: Invalid}
	}
	if p.location != t.config.Location {
		return Decision{Verdict: OutcomeUnknown}
	}
	if !hmac.Equal(signature, sign(t.secret, text)) {
		return Decision{Verdict: Invalid}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.used.Get(p.nonce); u != nil {
		return u.decideResend(r, now)
	}
	return t.firstUse(p, r, now)
}

// firstUse records the first use of a ticket. An expired ticket without a record may have been used and forgotten, so that
// its outcome is unknown.
func (t *Tickets) firstUse(p ticket, r Request, now time.Time) Decision {
	if !now.Before(p.expires) {
		return Decision{Verdict: OutcomeUnknown}
	}
	full := t.used.Len() >= t.config.MaxTickets || t.accounts[p.account] >= t.config.MaxAccountTickets
	if full || r.validate() != nil || !now.Before(r.Deadline) {
		return Decision{Verdict: Unavailable, RetryAfter: unavailableRetry}
	}
	t.serial++
	forget := p.expires
	if r.Deadline.After(forget) {
		forget = r.Deadline
	}
	t.accounts[p.account]++
	t.used.Put(p.nonce, usedTicket{
		account: p.account, route: r.Route, digest: r.RequestDigest, serial: t.serial,
		deadline: r.Deadline, retainUntil: forget, state: claimed,
	})
	return Decision{Verdict: Run, Ticket: &TicketRun{nonce: p.nonce, serial: t.serial, deadline: r.Deadline}}
}

func (u *usedTicket) decideResend(r Request, now time.Time) Decision {
	switch {
	case u.digest != r.RequestDigest || u.route != r.Route:
		return Decision{Verdict: Mismatch}
	case u.state == done && u.row.Partial:
		return Decision{Verdict: Completed, Outcome: u.row.outcome()}
	case u.state == done:
		return Decision{Verdict: Stored, Outcome: u.row.outcome()}
	case now.Before(u.deadline):
		return Decision{Verdict: InProgress, RetryAfter: min(u.deadline.Sub(now), inProgressRetry)}
	default:
		return Decision{Verdict: OutcomeUnknown}
	}
}

// Finish stores the outcome of an executed request until the record of its ticket expires.
func (t *Tickets) Finish(r *TicketRun, o Outcome) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, err := t.unsettled(r)
	if err != nil {
		return err
	}
	u.row = row{}.withOutcome(o, t.bodyBytes+len(o.Body) <= t.config.MaxBodyBytes)
	u.state = done
	t.bodyBytes += len(u.row.Body)
	return nil
}

// Abandon makes a ticket usable again after its request did not run and never will.
func (t *Tickets) Abandon(r *TicketRun) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, err := t.unsettled(r)
	if err != nil {
		return err
	}
	t.remove(r.nonce, u)
	return nil
}

// unsettled returns the record of r, or ErrSettled if r was settled or its record has expired.
func (t *Tickets) unsettled(r *TicketRun) (*usedTicket, error) {
	u := t.used.Get(r.nonce)
	if u == nil || u.serial != r.serial || u.state != claimed {
		return nil, merry.Wrap(ErrSettled)
	}
	return u, nil
}

// Tick removes the records of tickets that can no longer be used.
func (t *Tickets) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, u := range t.used.All() {
		if !now.Before(u.retainUntil) {
			t.remove(k, u)
		}
	}
}

func (t *Tickets) remove(nonce [nonceBytes]byte, u *usedTicket) {
	t.bodyBytes -= len(u.row.Body)
	t.accounts[u.account]--
	if t.accounts[u.account] == 0 {
		delete(t.accounts, u.account)
	}
	t.used.Delete(nonce)
}

// Usage returns the number of used tickets in memory and the total size of their stored bodies.
func (t *Tickets) Usage() (tickets, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used.Len(), t.bodyBytes
}
