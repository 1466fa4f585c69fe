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
	defaultTicketLife  = 2 * time.Minute
	defaultTicketLimit = 20_000
	defaultTicketBytes = 16 << 20
	secretBytes        = 32
)

// TicketConfig configures Tickets; only Location is required.
type TicketConfig struct {
	// Location is this instance and its incarnation.
	Location Location
	// Life is the time in which a ticket can be used; 2 min if zero.
	Life time.Duration
	// Limit bounds the used tickets that are remembered; 20,000 if zero.
	Limit int
	// AccountLimit bounds those of one account, so that no account takes the memory of the others; a quarter of Limit if zero.
	AccountLimit int
	// Bytes bounds the bodies of stored answers together; 16 MiB if zero. Beyond it answers are stored without their bodies.
	Bytes int
	// Random is the source of the secret and the nonces; crypto/rand if nil.
	Random io.Reader
}

// TicketRun is the right of one sending with a ticket to run; it is settled once, by Finish or Abandon.
type TicketRun struct {
	nonce    [nonceBytes]byte
	serial   uint64
	deadline time.Time
}

// Deadline returns the time at and after which the request must not be started; it is checked just before the effect.
func (r *TicketRun) Deadline() time.Time {
	return r.deadline
}

// usedTicket is the memory of a ticket that was used; an unused one has none.
type usedTicket struct {
	account, route string
	digest         [32]byte
	serial         uint64
	deadline       time.Time
	// forget is the end of the ticket's life, or the deadline of its request if that is later.
	forget time.Time
	state  state
	row    row
}

// Tickets issues tickets and decides about their use at this incarnation; its methods may be called concurrently.
type Tickets struct {
	config TicketConfig
	secret []byte

	mu       sync.Mutex
	used     *indexer.Table[[nonceBytes]byte, usedTicket]
	accounts map[string]int
	bytes    int
	serial   uint64
}

// NewTickets returns Tickets with a secret of their own; tickets of earlier incarnations cannot be used.
func NewTickets(c TicketConfig) (*Tickets, error) {
	if c.Random == nil {
		c.Random = rand.Reader
	}
	c.Life = valueOr(c.Life, defaultTicketLife)
	c.Limit = valueOr(c.Limit, defaultTicketLimit)
	c.AccountLimit = valueOr(c.AccountLimit, max(1, c.Limit/4))
	c.Bytes = valueOr(c.Bytes, defaultTicketBytes)
	t := &Tickets{
		config:   c,
		secret:   make([]byte, secretBytes),
		used:     indexer.New[[nonceBytes]byte, usedTicket](),
		accounts: make(map[string]int),
	}
	if _, err := io.ReadFull(c.Random, t.secret); err != nil {
		return nil, merry.Prepend(err, "secret of tickets")
	}
	return t, nil
}

// Issue returns a ticket for one request of the account, to be used before now plus the life of tickets;
// its error is ErrTicket for names that are empty or do not fit.
func (t *Tickets) Issue(account string, now time.Time) (string, error) {
	x := ticket{account: account, location: t.config.Location, expires: now.Add(t.config.Life)}
	t.mu.Lock()
	_, err := io.ReadFull(t.config.Random, x.nonce[:])
	t.mu.Unlock()
	if err != nil {
		return "", merry.Prepend(err, "nonce of ticket")
	}
	return sealTicket(t.secret, x)
}

// Begin decides about one sending whose key is a ticket, without the store.
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
		return u.decide(r, now)
	}
	return t.use(p, r, now)
}

// use records the first use of a ticket; an expired one may have been used and forgotten.
func (t *Tickets) use(p ticket, r Request, now time.Time) Decision {
	if !now.Before(p.expires) {
		return Decision{Verdict: OutcomeUnknown}
	}
	full := t.used.Len() >= t.config.Limit || t.accounts[p.account] >= t.config.AccountLimit
	if full || r.check() != nil || !now.Before(r.Deadline) {
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
		deadline: r.Deadline, forget: forget, state: claimed,
	})
	return Decision{Verdict: Run, Ticket: &TicketRun{nonce: p.nonce, serial: t.serial, deadline: r.Deadline}}
}

func (u *usedTicket) decide(r Request, now time.Time) Decision {
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

// Finish stores the outcome of a request that ran, until its ticket is forgotten.
func (t *Tickets) Finish(r *TicketRun, o Outcome) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, err := t.running(r)
	if err != nil {
		return err
	}
	u.row = row{}.finished(o, t.bytes+len(o.Body) <= t.config.Bytes)
	u.state = done
	t.bytes += len(u.row.Body)
	return nil
}

// Abandon makes a ticket usable again whose request certainly did not run and never will.
func (t *Tickets) Abandon(r *TicketRun) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, err := t.running(r)
	if err != nil {
		return err
	}
	t.remove(r.nonce, u)
	return nil
}

// running returns the entry of r, if r has neither been settled nor forgotten.
func (t *Tickets) running(r *TicketRun) (*usedTicket, error) {
	u := t.used.Get(r.nonce)
	if u == nil || u.serial != r.serial || u.state != claimed {
		return nil, merry.Wrap(ErrSettled)
	}
	return u, nil
}

// Tick forgets the tickets that can no longer be used.
func (t *Tickets) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, u := range t.used.All() {
		if !now.Before(u.forget) {
			t.remove(k, u)
		}
	}
}

func (t *Tickets) remove(nonce [nonceBytes]byte, u *usedTicket) {
	t.bytes -= len(u.row.Body)
	t.accounts[u.account]--
	if t.accounts[u.account] == 0 {
		delete(t.accounts, u.account)
	}
	t.used.Delete(nonce)
}

// Remembered returns the number of used tickets in memory and the bytes of their bodies.
func (t *Tickets) Remembered() (tickets, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used.Len(), t.bytes
}
