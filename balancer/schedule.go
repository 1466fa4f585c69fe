package balancer

import (
	"math"
	"slices"
	"time"
)

// submitRemote starts w if the queue is empty and more slots than the reserve are free; otherwise it refuses w.
func (p *Pool) submitRemote(now time.Time, id ID, w Work, a *Actions) {
	if p.queue.length > 0 || p.freeSlots(now) <= p.reservedSlots() {
		a.refuse(id, p.fullRefusal())
		return
	}
	p.start(id, w, p.pick(now, nil), a)
}

// reservedSlots is a fraction of the usable slots rather than of all slots; otherwise owners of cold targets would
// refuse all requests of other regions.
func (p *Pool) reservedSlots() int {
	return int(math.Ceil(p.config.Reserve * float64(p.usableSlots())))
}

// failoverTarget returns the best target with a free slot that has not failed to accept a connection for r, or nil.
// Requests of other regions leave the reserve free.
func (p *Pool) failoverTarget(now time.Time, r *run) *target {
	if deadlineTooClose(now, Work{Deadline: r.deadline}, p.config.ServiceTime) || r.remote && p.freeSlots(now) <= p.reservedSlots() {
		return nil
	}
	return p.pick(now, r.unreachable)
}

// advance brings the pool up to date after each event: it refuses expired requests, starts queued ones on free slots
// and trims the queue to its limit.
func (p *Pool) advance(now time.Time, a *Actions) {
	p.refresh(now)
	if p.queue.length == 0 {
		return
	}
	for _, q := range p.queue.expire(now, p.config.ServiceTime) {
		a.refuse(q.id, p.deadlineRefusal())
	}
	p.dispatch(now, a)
	if p.queue.length == 0 {
		return
	}
	if r := p.closedRefusal(now); r != nil {
		for _, q := range p.queue.removeIf(func(Work) bool { return true }) {
			a.refuse(q.id, r)
		}
	}
	for p.queue.length > p.config.QueuePerSlot*p.servingSlots() {
		a.refuse(p.queue.dropNewest().id, p.fullRefusal())
	}
}

// dispatch starts queued requests while slots are free.
func (p *Pool) dispatch(now time.Time, a *Actions) {
	for p.queue.length > 0 {
		t := p.pick(now, nil)
		if t == nil {
			return
		}
		q := p.queue.pop()
		p.start(q.id, q.request, t, a)
	}
}

func (p *Pool) start(id ID, w Work, t *target, a *Actions) {
	p.assign(t)
	p.running.Put(id, run{target: t.name, deadline: w.Deadline, remote: w.Remote})
	a.Starts = append(a.Starts, Start{ID: id, Request: w, Target: t.name})
}

func (p *Pool) assign(t *target) {
	t.running++
	p.startCount++
	t.lastStart = p.startCount
}

// pick returns the best target with a free slot that is not in but, or nil.
func (p *Pool) pick(now time.Time, but []string) *target {
	ignore := p.ignoresSignals()
	var m *target
	for _, t := range p.targets.All() {
		if t.freeSlots(now, ignore) == 0 || slices.Contains(but, t.name) {
			continue
		}
		if m == nil || t.lessLoaded(m) {
			m = t
		}
	}
	return m
}

// freeSlots is the number of requests that may start now.
func (p *Pool) freeSlots(now time.Time) int {
	n, ignore := 0, p.ignoresSignals()
	for _, t := range p.targets.All() {
		n += t.freeSlots(now, ignore)
	}
	return n
}
