package balancer

import (
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// Rates are clamped to these bounds, in requests per second.
const (
	minRate = 1e-3
	maxRate = 1e9
)

// creditTolerance absorbs rounding errors when a credit is compared with the cost of a request, which is 1.
const creditTolerance = 1e-9

// queue holds one FIFO per account and serves them by deficit round robin (Shreedhar and Varghese, 1995). A quantum is
// the rate of the account times a step of virtual time, chosen so that each round serves at least one request; thus
// accounts alternate instead of taking turns in long bursts.
type queue struct {
	accounts    *indexer.Table[string, account]
	active      []*account
	cursor      int
	length      int
	virtualTime float64
}

type account struct {
	name     string
	rate     float64
	requests []queued
	credit   float64
	// accruedAt is the virtual time up to which credit has been accrued.
	accruedAt float64
}

type queued struct {
	id      ID
	request Work
}

func newQueue() *queue {
	return &queue{accounts: indexer.New[string, account]()}
}

func (q *queue) push(id ID, w Work) {
	a := q.accounts.Get(w.Account)
	if a == nil {
		// A new account starts with credit for one request, because it has used none of its share.
		a = q.accounts.Put(w.Account, account{name: w.Account, credit: 1, accruedAt: q.virtualTime})
	}
	q.accrue(a)
	a.rate = min(max(w.Rate, minRate), maxRate)
	if len(a.requests) == 0 {
		q.active = append(q.active, a)
	}
	a.requests = append(a.requests, queued{id: id, request: w})
	q.length++
}

// accrue adds the credit that a has earned since accruedAt; credit is capped at one request.
func (q *queue) accrue(a *account) {
	a.credit = min(1, a.credit+(q.virtualTime-a.accruedAt)*a.rate)
	a.accruedAt = q.virtualTime
}

// pop removes and returns the next request; the queue must not be empty.
func (q *queue) pop() queued {
	for {
		for range q.active {
			q.cursor %= len(q.active)
			a := q.active[q.cursor]
			q.accrue(a)
			if a.credit >= 1-creditTolerance {
				a.credit--
				q.cursor++
				return q.remove(a, 0)
			}
			q.cursor++
		}
		q.advance()
	}
}

// advance moves virtual time forward until one account has credit for one request.
func (q *queue) advance() {
	m := q.active[0]
	for _, a := range q.active[1:] {
		if (1-a.credit)/a.rate < (1-m.credit)/m.rate {
			m = a
		}
	}
	q.virtualTime += (1 - m.credit) / m.rate
	// Assigned rather than accrued, so that rounding cannot make the loop in pop endless.
	m.credit, m.accruedAt = 1, q.virtualTime
}

// remove removes the i-th request from the FIFO of a.
func (q *queue) remove(a *account, i int) queued {
	w := a.requests[i]
	a.requests = append(a.requests[:i], a.requests[i+1:]...)
	q.length--
	if len(a.requests) == 0 {
		q.deactivate(a)
	}
	return w
}

func (q *queue) deactivate(a *account) {
	for i := range q.active {
		if q.active[i] != a {
			continue
		}
		q.active = append(q.active[:i], q.active[i+1:]...)
		if i < q.cursor {
			q.cursor--
		}
		break
	}
	if len(q.active) == 0 {
		// Without competing accounts no credit carries over.
		*q = *newQueue()
	}
}

// longest returns the account with the most queued requests per unit of rate.
func (q *queue) longest() *account {
	var m *account
	for _, a := range q.active {
		if m == nil || float64(len(a.requests))/a.rate > float64(len(m.requests))/m.rate {
			m = a
		}
	}
	return m
}

// dropNewest removes the newest request of the account with the longest weighted queue.
func (q *queue) dropNewest() queued {
	a := q.longest()
	return q.remove(a, len(a.requests)-1)
}

// removeIf removes all requests for which f is true, oldest first within each account.
func (q *queue) removeIf(f func(Work) bool) []queued {
	var r []queued
	for _, a := range append([]*account(nil), q.active...) {
		for i := 0; i < len(a.requests); {
			if !f(a.requests[i].request) {
				i++
				continue
			}
			r = append(r, q.remove(a, i))
		}
	}
	return r
}

// expire removes the requests that have less than spare left until their deadline.
func (q *queue) expire(now time.Time, spare time.Duration) []queued {
	return q.removeIf(func(w Work) bool { return deadlineTooClose(now, w, spare) })
}

// drop removes the request id and reports whether it was queued.
func (q *queue) drop(id ID) bool {
	for _, a := range q.active {
		for i := range a.requests {
			if a.requests[i].id == id {
				q.remove(a, i)
				return true
			}
		}
	}
	return false
}

func deadlineTooClose(now time.Time, w Work, spare time.Duration) bool {
	return w.Deadline.Add(-spare).Before(now)
}
