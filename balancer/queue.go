package balancer

import (
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// Rates outside these bounds, in requests per second, count as the bound.
const (
	minRate = 1e-3
	maxRate = 1e9
)

// creditSlack absorbs rounding when credits are compared with the cost of a work, which is 1.
const creditSlack = 1e-9

// queue holds one FIFO per account and serves them by deficit round robin
// (Shreedhar and Varghese, 1995). A quantum is the rate of the account times a step
// of virtual time, chosen so that each round serves at least one work; thus
// accounts alternate instead of taking turns in long bursts.
type queue struct {
	accounts *indexer.Table[string, account]
	ring     []*account
	cursor   int
	length   int
	virtual  float64
}

type account struct {
	name   string
	rate   float64
	works  []queued
	credit float64
	// seen is the virtual time at which credit was computed.
	seen float64
}

type queued struct {
	id   ID
	work Work
}

func newQueue() *queue {
	return &queue{accounts: indexer.New[string, account]()}
}

func (q *queue) push(id ID, w Work) {
	a := q.accounts.Get(w.Account)
	if a == nil {
		// An account that has used none of its share may go first, once.
		a = q.accounts.Put(w.Account, account{name: w.Account, credit: 1, seen: q.virtual})
	}
	q.settle(a)
	a.rate = min(max(w.Rate, minRate), maxRate)
	if len(a.works) == 0 {
		q.ring = append(q.ring, a)
	}
	a.works = append(a.works, queued{id: id, work: w})
	q.length++
}

// settle adds the credit that a has earned; credit beyond one work is not kept.
func (q *queue) settle(a *account) {
	a.credit = min(1, a.credit+(q.virtual-a.seen)*a.rate)
	a.seen = q.virtual
}

// pop removes the next work; the queue must not be empty.
func (q *queue) pop() queued {
	for {
		for range q.ring {
			q.cursor %= len(q.ring)
			a := q.ring[q.cursor]
			q.settle(a)
			if a.credit >= 1-creditSlack {
				a.credit--
				q.cursor++
				return q.remove(a, 0)
			}
			q.cursor++
		}
		q.advance()
	}
}

// advance moves virtual time on until one account has credit for one work.
func (q *queue) advance() {
	m := q.ring[0]
	for _, a := range q.ring[1:] {
		if (1-a.credit)/a.rate < (1-m.credit)/m.rate {
			m = a
		}
	}
	q.virtual += (1 - m.credit) / m.rate
	// Set rather than computed, so that rounding cannot stop the loop in pop.
	m.credit, m.seen = 1, q.virtual
}

// remove takes the i-th work out of the FIFO of a.
func (q *queue) remove(a *account, i int) queued {
	w := a.works[i]
	a.works = append(a.works[:i], a.works[i+1:]...)
	q.length--
	if len(a.works) == 0 {
		q.leave(a)
	}
	return w
}

func (q *queue) leave(a *account) {
	for i := range q.ring {
		if q.ring[i] != a {
			continue
		}
		q.ring = append(q.ring[:i], q.ring[i+1:]...)
		if i < q.cursor {
			q.cursor--
		}
		break
	}
	if len(q.ring) == 0 {
		// Without competition no account is owed anything.
		*q = *newQueue()
	}
}

// longest returns the account with the most queued work per unit of rate.
func (q *queue) longest() *account {
	var m *account
	for _, a := range q.ring {
		if m == nil || float64(len(a.works))/a.rate > float64(len(m.works))/m.rate {
			m = a
		}
	}
	return m
}

// dropNewest removes the newest work of the account with the longest weighted queue.
func (q *queue) dropNewest() queued {
	a := q.longest()
	return q.remove(a, len(a.works)-1)
}

// removeIf takes out all works for which f is true, oldest first in each account.
func (q *queue) removeIf(f func(Work) bool) []queued {
	var r []queued
	for _, a := range append([]*account(nil), q.ring...) {
		for i := 0; i < len(a.works); {
			if !f(a.works[i].work) {
				i++
				continue
			}
			r = append(r, q.remove(a, i))
		}
	}
	return r
}

// expire removes works that must have started by their deadline less spare.
func (q *queue) expire(now time.Time, spare time.Duration) []queued {
	return q.removeIf(func(w Work) bool { return tooLate(now, w, spare) })
}

// drop removes the work id and reports whether it was queued.
func (q *queue) drop(id ID) bool {
	for _, a := range q.ring {
		for i := range a.works {
			if a.works[i].id == id {
				q.remove(a, i)
				return true
			}
		}
	}
	return false
}

func tooLate(now time.Time, w Work, spare time.Duration) bool {
	return w.Deadline.Add(-spare).Before(now)
}
