package limiter

import (
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	// MaxWaiting limits the waiting requests of an account; the default is 1024. Beyond it, the request whose wait ends
	// last is refused.
	MaxWaiting int
	// MaxAccounts limits the accounts kept in memory; the default is 4096.
	MaxAccounts int
}

func (c HolderConfig) withDefaults() HolderConfig {
	if c.MaxWaiting == 0 {
		c.MaxWaiting = 1024
	}
	if c.MaxAccounts == 0 {
		c.MaxAccounts = 4096
	}
	return c
}

// RequestID identifies a client request within a Holder.
type RequestID uint64

// Ask is a token request to the owner of a part.
type Ask struct {
	// ID increases with each token request of a Holder.
	ID      uint64
	Account string
	Part    int
	Tokens  int
	// Held is the number of tokens from earlier requests to the part that the holder can still spend.
	Held int
	// Sent is when the TTL of the granted tokens starts.
	Sent time.Time
}

// Admitted is a client request that received a token.
type Admitted struct {
	ID RequestID
	// Expiry is when the token becomes unusable.
	Expiry time.Time
}

// Refused is a client request that received no token.
type Refused struct {
	ID RequestID
	// NoOwner is true if no owner of any part replied; otherwise the account exceeds its rate and burst.
	NoOwner bool
	// RetryAfter is the time until a token may be available.
	RetryAfter time.Duration
}

// Actions is the outcome of a call to a Holder for one account.
type Actions struct {
	// Fetches are the token requests to send now; the caller must report the result of each with Granted or Failed.
	Fetches  []Ask
	Admitted []Admitted
	Refused  []Refused
	// Wake is when to call Advance for the account unless another call for it comes first; zero if no call is needed.
	Wake time.Time
}

// Holder manages the grants of an entry instance and the client requests that wait for tokens.
type Holder struct {
	config      HolderConfig
	accounts    *indexer.Table[string, account]
	lastID      RequestID
	lastFetchID uint64
}

// NewHolder returns an empty Holder.
func NewHolder(c HolderConfig) *Holder {
	return &Holder{config: c.withDefaults(), accounts: indexer.New[string, account]()}
}

// waitEnd returns when a request with the given deadline stops waiting for a token. The wait grows with the deadline, and
// at least half of the time remains for running the request.
func waitEnd(now, deadline time.Time) time.Time {
	return now.Add(min(deadline.Sub(now)/waitDivisor, maxWait))
}

// Take takes a token for a request, queues the request, or refuses it. Waiting requests are served in the order in which
// their waits end.
func (h *Holder) Take(now time.Time, name string, deadline time.Time) (RequestID, Actions) {
	h.lastID++
	a := h.account(now, name)
	if a == nil {
		return h.lastID, Actions{Refused: []Refused{{ID: h.lastID, NoOwner: true, RetryAfter: noOwnerRetryAfter}}}
	}
	a.lastTake = now
	a.demand.add(now, 1)
	w := waiter{id: h.lastID, arrival: now, waitEnd: waitEnd(now, deadline)}
	a.enqueue(w)
	act := h.advance(now, name, a)
	if n := len(a.waiting); n > h.config.MaxWaiting {
		act.Refused = append(act.Refused, a.refused(now, a.waiting[n-1]))
		a.waiting = a.waiting[:n-1]
	}
	return w.id, act
}

// Cancel removes a waiting request.
func (h *Holder) Cancel(name string, id RequestID) {
	a := h.accounts.Get(name)
	if a == nil {
		return
	}
	for i, w := range a.waiting {
		if w.id == id {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return
		}
	}
}

// Granted processes the reply to token request k. A reply to a request that is no longer pending is ignored.
func (h *Holder) Granted(now time.Time, k Ask, r Reply) Actions {
	if r.NotOwner {
		return h.Failed(now, k)
	}
	a := h.pendingAccount(k)
	if a == nil {
		return Actions{}
	}
	s := &a.parts[k.Part]
	s.replyReceived(now, k, r)
	n := min(r.Tokens, k.Tokens)
	if n > 0 {
		a.addGrant(n, k.Part, k.Sent.Add(min(r.Life, GrantTTL)))
	}
	return h.advance(now, k.Account, a)
}

// Failed records that token request k got no reply from an owner of the part.
func (h *Holder) Failed(now time.Time, k Ask) Actions {
	a := h.pendingAccount(k)
	if a == nil {
		return Actions{}
	}
	a.parts[k.Part].fetchFailed(now)
	return h.advance(now, k.Account, a)
}

// Advance refuses the requests whose wait has ended and sends the token requests that are due.
func (h *Holder) Advance(now time.Time, name string) Actions {
	a := h.accounts.Get(name)
	if a == nil {
		return Actions{}
	}
	return h.advance(now, name, a)
}

// pendingAccount returns the account of token request k, or nil if k is not pending.
func (h *Holder) pendingAccount(k Ask) *account {
	a := h.accounts.Get(k.Account)
	if a == nil || k.ID == 0 || a.parts[k.Part].pending.ID != k.ID {
		return nil
	}
	return a
}

func (h *Holder) advance(now time.Time, name string, a *account) Actions {
	var act Actions
	a.serveWaiting(now, &act)
	for _, k := range a.fetches(now) {
		h.lastFetchID++
		k.ID, k.Account, k.Sent = h.lastFetchID, name, now
		k.Held = a.heldTokensOf(k.Part)
		a.parts[k.Part].fetchSent(now, k)
		act.Fetches = append(act.Fetches, k)
	}
	act.Wake = a.wakeTime(now)
	return act
}

// account returns the state of an account, creating it if needed, or nil if MaxAccounts are in use.
func (h *Holder) account(now time.Time, name string) *account {
	if a := h.accounts.Get(name); a != nil {
		return a
	}
	if h.accounts.Len() >= h.config.MaxAccounts {
		h.evict(now)
	}
	if h.accounts.Len() >= h.config.MaxAccounts {
		return nil
	}
	return h.accounts.Put(name, account{})
}

// evict removes accounts whose grants have expired and that have no waiting requests.
func (h *Holder) evict(now time.Time) {
	for n, a := range h.accounts.All() {
		if len(a.waiting) == 0 && now.Sub(a.lastTake) > GrantTTL {
			h.accounts.Delete(n)
		}
	}
}
