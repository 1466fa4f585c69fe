package limiter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/timer"
)

// Asker sends an ask to the owner of its part, as a Request; Ask must return when ctx ends.
type Asker interface {
	Ask(ctx context.Context, k Ask) (Reply, error)
}

// AllowanceConfig configures an Allowance.
type AllowanceConfig struct {
	Asker Asker
	// Clock is timer.Now if nil.
	Clock timer.Clock
	// AskTimeout is the longest time that an owner is given to answer; the default is 250 ms.
	AskTimeout time.Duration
	Holder     HolderConfig
}

func (c AllowanceConfig) withDefaults() AllowanceConfig {
	if c.Clock == nil {
		c.Clock = timer.Now
	}
	if c.AskTimeout == 0 {
		c.AskTimeout = 250 * time.Millisecond
	}
	return c
}

// Allowance gives tokens to the requests of an entry instance; it is safe for concurrent use.
type Allowance struct {
	c    AllowanceConfig
	ctx  context.Context
	stop context.CancelFunc
	asks sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	holder  *Holder
	waiting map[ID]chan verdict
	timers  map[string]*time.Timer
}

// verdict is a token with its lapse, or a refusal.
type verdict struct {
	lapse   time.Time
	refusal *responder.Refusal
}

// NewAllowance returns an Allowance without tokens; c.Asker is required.
func NewAllowance(c AllowanceConfig) *Allowance {
	ctx, stop := context.WithCancel(context.Background())
	return &Allowance{
		c: c.withDefaults(), ctx: ctx, stop: stop,
		holder:  NewHolder(c.Holder),
		waiting: map[ID]chan verdict{},
		timers:  map[string]*time.Timer{},
	}
}

// Take takes a token of the account, waiting for one for a bounded time and not beyond deadline, and returns nil; or
// it returns why the request was not run.
func (l *Allowance) Take(ctx context.Context, account string, deadline time.Time) *responder.Refusal {
	for {
		v := l.take(ctx, account, deadline)
		// A pause of the process may have outlasted the token.
		if v.refusal != nil || l.c.Clock().Before(v.lapse) {
			return v.refusal
		}
	}
}

func (l *Allowance) take(ctx context.Context, account string, deadline time.Time) verdict {
	id, c := l.submit(account, deadline)
	select {
	case v := <-c:
		return v
	default:
	}
	select {
	case v := <-c:
		return v
	case <-ctx.Done():
		l.cancel(account, id)
		return verdict{refusal: canceled()}
	}
}

func (l *Allowance) submit(account string, deadline time.Time) (ID, chan verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := make(chan verdict, 1)
	if l.closed {
		c <- verdict{refusal: refusal(Refused{NoOwner: true, RetryAfter: noOwnerRetry})}
		return 0, c
	}
	id, act := l.holder.Take(l.c.Clock(), account, deadline)
	l.waiting[id] = c
	l.apply(account, act)
	return id, c
}

func (l *Allowance) cancel(account string, id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.Cancel(account, id)
	delete(l.waiting, id)
}

// apply carries out actions; l.mu is held.
func (l *Allowance) apply(account string, act Actions) {
	for _, t := range act.Taken {
		l.settle(t.ID, verdict{lapse: t.Lapse})
	}
	for _, r := range act.Refused {
		l.settle(r.ID, verdict{refusal: refusal(r)})
	}
	if l.closed {
		return
	}
	for _, k := range act.Asks {
		l.asks.Go(func() { l.ask(k) })
	}
	l.wake(account, act.Wake)
}

func (l *Allowance) settle(id ID, v verdict) {
	if c, ok := l.waiting[id]; ok {
		delete(l.waiting, id)
		c <- v
	}
}

func (l *Allowance) ask(k Ask) {
	ctx, cancel := context.WithTimeout(l.ctx, l.c.AskTimeout)
	defer cancel()
	r, err := l.c.Asker.Ask(ctx, k)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.c.Clock()
	if err != nil {
		l.apply(k.Account, l.holder.Failed(now, k))
		return
	}
	l.apply(k.Account, l.holder.Granted(now, k, r))
}

// wake sets the timer of the account, or stops it if t is zero.
func (l *Allowance) wake(account string, t time.Time) {
	if t.IsZero() {
		if w := l.timers[account]; w != nil {
			w.Stop()
			delete(l.timers, account)
		}
		return
	}
	d := max(0, t.Sub(l.c.Clock()))
	if w := l.timers[account]; w != nil {
		w.Reset(d)
		return
	}
	l.timers[account] = time.AfterFunc(d, func() { l.advance(account) })
}

func (l *Allowance) advance(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.apply(account, l.holder.Advance(l.c.Clock(), account))
}

// Close refuses the waiting requests, ends the asks under way and waits for them.
func (l *Allowance) Close() {
	l.mu.Lock()
	l.closed = true
	for id := range l.waiting {
		l.settle(id, verdict{refusal: refusal(Refused{NoOwner: true, RetryAfter: noOwnerRetry})})
	}
	for _, w := range l.timers {
		w.Stop()
	}
	l.mu.Unlock()
	l.stop()
	l.asks.Wait()
}

func refusal(r Refused) *responder.Refusal {
	if r.NoOwner {
		return &responder.Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     responder.NoOwner,
			Ran:        responder.NotRun,
			Message:    "no owner of the account's allowance answers this instance; use another one",
			RetryAfter: r.RetryAfter,
		}
	}
	return &responder.Refusal{
		Status:     http.StatusTooManyRequests,
		Reason:     responder.RateExceeded,
		Ran:        responder.NotRun,
		Message:    "the account is over its rate and burst",
		RetryAfter: r.RetryAfter,
	}
}

func canceled() *responder.Refusal {
	return &responder.Refusal{
		Status:  http.StatusGatewayTimeout,
		Reason:  responder.DeadlineExceeded,
		Ran:     responder.NotRun,
		Message: "the request ended while it waited for its account's allowance",
	}
}
