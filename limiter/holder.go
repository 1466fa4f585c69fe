package limiter

import (
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	// MaxWaiting limits the waiting requests of an account; the default is 1024. Beyond it the one is refused whose wait
	// would end last.
	MaxWaiting int
	// MaxAccounts limits the accounts in memory; the default is 4096.
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

// ID identifies a request that takes a token, within a Holder.
type ID uint64

// Ask is a request for tokens to send to the owner of a part.
type Ask struct {
	// ID rises with each ask of a Holder.
	ID      uint64
	Account string
	Part    int
	Tokens  int
	// Held is how many tokens of earlier asks for the part may still be spent.
	Held int
	// Sent is when the life of the tokens begins.
	Sent time.Time
}

// Taken is a request that took a token.
type Taken struct {
	ID ID
	// Lapse is when the token may no longer be used.
	Lapse time.Time
}

// Refused is a request that got no token.
type Refused struct {
	ID ID
	// NoOwner is true if no owner of any part answered; otherwise the account is over its allowance.
	NoOwner bool
	// RetryAfter is the time until a token may be there.
	RetryAfter time.Duration
}

// Actions is what a call of Holder decided about one account.
type Actions struct {
	// Asks are to be sent now; each must be answered by Granted or Failed.
	Asks    []Ask
	Taken   []Taken
	Refused []Refused
	// Wake is when to call Advance for the account, unless another call comes first; zero if it need not be called.
	Wake time.Time
}

// Holder holds the grants of an entry instance and the requests that wait for them.
type Holder struct {
	c        HolderConfig
	accounts *indexer.Table[string, account]
	last     ID
	lastAsk  uint64
}

// NewHolder returns a Holder without grants.
func NewHolder(c HolderConfig) *Holder {
	return &Holder{c: c.withDefaults(), accounts: indexer.New[string, account]()}
}

// waitUntil returns how long a request with a deadline waits for a token: one that may take long waits longer before it
// is refused, and each keeps half of its time for what follows.
func waitUntil(now, deadline time.Time) time.Time {
	return now.Add(min(deadline.Sub(now)/waitShare, maxWait))
}

// Take takes a token for a request with a deadline, lets it wait for one, or refuses it. Of the requests that wait, those
// whose wait ends first are served first.
func (h *Holder) Take(now time.Time, name string, deadline time.Time) (ID, Actions) {
	h.last++
	a := h.account(now, name)
	if a == nil {
		return h.last, Actions{Refused: []Refused{{ID: h.last, NoOwner: true, RetryAfter: noOwnerRetry}}}
	}
	a.seen = now
	a.demand.add(now, 1)
	w := waiter{id: h.last, since: now, until: waitUntil(now, deadline)}
	a.wait(w)
	act := h.advance(now, name, a)
	if n := len(a.waiting); n > h.c.MaxWaiting {
		act.Refused = append(act.Refused, a.refuse(now, a.waiting[n-1]))
		a.waiting = a.waiting[:n-1]
	}
	return w.id, act
}

// Cancel forgets a waiting request.
func (h *Holder) Cancel(name string, id ID) {
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

// Granted applies the answer to an ask; a second answer to it is ignored.
func (h *Holder) Granted(now time.Time, k Ask, r Reply) Actions {
	if r.NotOwner {
		return h.Failed(now, k)
	}
	a := h.asked(k)
	if a == nil {
		return Actions{}
	}
	s := &a.sides[k.Part]
	s.answer(now, k, r)
	n := min(r.Tokens, k.Tokens)
	if n > 0 {
		a.hold(n, k.Part, k.Sent.Add(min(r.Life, GrantLife)))
	}
	return h.advance(now, k.Account, a)
}

// Failed applies that an ask was not answered by an owner of the part.
func (h *Holder) Failed(now time.Time, k Ask) Actions {
	a := h.asked(k)
	if a == nil {
		return Actions{}
	}
	a.sides[k.Part].fail(now)
	return h.advance(now, k.Account, a)
}

// Advance refuses requests that have waited long enough, and asks again.
func (h *Holder) Advance(now time.Time, name string) Actions {
	a := h.accounts.Get(name)
	if a == nil {
		return Actions{}
	}
	return h.advance(now, name, a)
}

// asked returns the account of an ask that awaits its answer, or nil.
func (h *Holder) asked(k Ask) *account {
	a := h.accounts.Get(k.Account)
	if a == nil || k.ID == 0 || a.sides[k.Part].pending.ID != k.ID {
		return nil
	}
	return a
}

func (h *Holder) advance(now time.Time, name string, a *account) Actions {
	var act Actions
	a.serve(now, &act)
	for _, k := range a.asks(now) {
		h.lastAsk++
		k.ID, k.Account, k.Sent = h.lastAsk, name, now
		k.Held = a.heldOf(k.Part)
		a.sides[k.Part].ask(now, k)
		act.Asks = append(act.Asks, k)
	}
	act.Wake = a.wake(now)
	return act
}

// account returns the state of an account, or nil if there is no room for it.
func (h *Holder) account(now time.Time, name string) *account {
	if a := h.accounts.Get(name); a != nil {
		return a
	}
	if h.accounts.Len() >= h.c.MaxAccounts {
		h.evict(now)
	}
	if h.accounts.Len() >= h.c.MaxAccounts {
		return nil
	}
	return h.accounts.Put(name, account{})
}

// evict forgets accounts whose grants have lapsed and for which nobody waits.
func (h *Holder) evict(now time.Time) {
	for n, a := range h.accounts.All() {
		if len(a.waiting) == 0 && now.Sub(a.seen) > GrantLife {
			h.accounts.Delete(n)
		}
	}
}
