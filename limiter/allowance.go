package limiter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/timer"
)

// Asker sends token requests to the owners of parts.
type Asker interface {
	// Ask sends k as a Request to the owner of its part and returns the reply. It must return when ctx ends.
	Ask(ctx context.Context, k Ask) (Reply, error)
}

// AllowanceConfig configures an Allowance.
type AllowanceConfig struct {
	Asker Asker
	// Clock is the time source; the default is timer.Now.
	Clock timer.Clock
	// FetchTimeout is the timeout of a token request; the default is 250 ms.
	FetchTimeout time.Duration
	Holder       HolderConfig
}

func (c AllowanceConfig) withDefaults() AllowanceConfig {
	if c.Clock == nil {
		c.Clock = timer.Now
	}
	if c.FetchTimeout == 0 {
		c.FetchTimeout = 250 * time.Millisecond
	}
	return c
}

// Allowance enforces the rates and bursts of accounts on the client requests of an entry instance. It is safe for
// concurrent use.
type Allowance struct {
	config  AllowanceConfig
	ctx     context.Context
	stop    context.CancelFunc
	fetches sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	holder  *Holder
	waiting map[RequestID]chan result
	timers  map[string]*time.Timer
}

// result is the expiry of a token, or a refusal.
type result struct {
	expiry  time.Time
	refusal *responder.Refusal
}

// NewAllowance returns an Allowance that holds no tokens; c.Asker is required.
func NewAllowance(c AllowanceConfig) *Allowance {
	ctx, stop := context.WithCancel(context.Background())
	return &Allowance{
		config: c.withDefaults(), ctx: ctx, stop: stop,
		holder:  NewHolder(c.Holder),
		waiting: map[RequestID]chan result{},
		timers:  map[string]*time.Timer{},
	}
}

// Take takes a token of the account and returns nil, or returns why the request must not run. The wait for a token
// is bounded and ends before deadline.
func (l *Allowance) Take(ctx context.Context, account string, deadline time.Time) *responder.Refusal {
	for {
		v := l.take(ctx, account, deadline)
		// The token may have expired while the process was paused.
		if v.refusal != nil || l.config.Clock().Before(v.expiry) {
			return v.refusal
		}
	}
}

func (l *Allowance) take(ctx context.Context, account string, deadline time.Time) result {
	id, c := l.submit(account, deadline)
	// Prefer a result that is already there to the end of ctx.
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
		return result{refusal: canceled()}
	}
}

func (l *Allowance) submit(account string, deadline time.Time) (RequestID, chan result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := make(chan result, 1)
	if l.closed {
		c <- result{refusal: refusal(Refused{NoOwner: true, RetryAfter: noOwnerRetryAfter})}
		return 0, c
	}
	id, act := l.holder.Take(l.config.Clock(), account, deadline)
	l.waiting[id] = c
	l.apply(account, act)
	return id, c
}

func (l *Allowance) cancel(account string, id RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.Cancel(account, id)
	delete(l.waiting, id)
}

// apply carries out the actions of the holder; l.mu is held.
func (l *Allowance) apply(account string, act Actions) {
	for _, t := range act.Admitted {
		l.deliver(t.ID, result{expiry: t.Expiry})
	}
	for _, r := range act.Refused {
		l.deliver(r.ID, result{refusal: refusal(r)})
	}
	if l.closed {
		return
	}
	for _, k := range act.Fetches {
		l.fetches.Go(func() { l.fetch(k) })
	}
	l.setTimer(account, act.Wake)
}

func (l *Allowance) deliver(id RequestID, v result) {
	if c, ok := l.waiting[id]; ok {
		delete(l.waiting, id)
		c <- v
	}
}

func (l *Allowance) fetch(k Ask) {
	ctx, cancel := context.WithTimeout(l.ctx, l.config.FetchTimeout)
	defer cancel()
	r, err := l.config.Asker.Ask(ctx, k)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock()
	if err != nil {
		l.apply(k.Account, l.holder.Failed(now, k))
		return
	}
	l.apply(k.Account, l.holder.Granted(now, k, r))
}

// setTimer schedules the next call of advance for the account, or cancels it if t is zero.
func (l *Allowance) setTimer(account string, t time.Time) {
	if t.IsZero() {
		if w := l.timers[account]; w != nil {
			w.Stop()
			delete(l.timers, account)
		}
		return
	}
	d := max(0, t.Sub(l.config.Clock()))
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
	l.apply(account, l.holder.Advance(l.config.Clock(), account))
}

// Close refuses the waiting requests, cancels the pending token requests and waits for them to return.
func (l *Allowance) Close() {
	l.mu.Lock()
	l.closed = true
	for id := range l.waiting {
		l.deliver(id, result{refusal: refusal(Refused{NoOwner: true, RetryAfter: noOwnerRetryAfter})})
	}
	for _, w := range l.timers {
		w.Stop()
	}
	l.mu.Unlock()
	l.stop()
	l.fetches.Wait()
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
