package balancer

import (
	"math"
	"slices"
	"time"
)

// submitRemote starts w if slots beyond the reserve are free and nobody waits.
func (p *Pool) submitRemote(now time.Time, id ID, w Work, a *Actions) {
	if p.queue.length > 0 || p.free(now) <= p.reserve() {
		a.refuse(id, p.full())
		return
	}
	p.start(id, w, p.pick(now, nil), a)
}

// reserve is a share of the slots that may be used, or owners of cold targets would refuse all remote work.
func (p *Pool) reserve() int {
	return int(math.Ceil(p.c.Reserve * float64(p.usable())))
}

// other returns the best target with a free slot that r has not tried, or nil; remote work leaves the reserve free.
func (p *Pool) other(now time.Time, r *run) *target {
	if tooLate(now, Work{Deadline: r.deadline}, p.c.ServiceTime) || r.remote && p.free(now) <= p.reserve() {
		return nil
	}
	return p.pick(now, r.unreached)
}

// advance is the system that runs over all entities after each event.
func (p *Pool) advance(now time.Time, a *Actions) {
	p.refresh(now)
	if p.queue.length == 0 {
		return
	}
	for _, q := range p.queue.expire(now, p.c.ServiceTime) {
		a.refuse(q.id, p.late())
	}
	p.dispatch(now, a)
	if p.queue.length == 0 {
		return
	}
	if r := p.closed(now); r != nil {
		for _, q := range p.queue.removeIf(func(Work) bool { return true }) {
			a.refuse(q.id, r)
		}
	}
	for p.queue.length > p.c.QueuePerSlot*p.slots() {
		a.refuse(p.queue.dropNewest().id, p.full())
	}
}

// dispatch starts queued works while there are free slots.
func (p *Pool) dispatch(now time.Time, a *Actions) {
	for p.queue.length > 0 {
		t := p.pick(now, nil)
		if t == nil {
			return
		}
		q := p.queue.pop()
		p.start(q.id, q.work, t, a)
	}
}

func (p *Pool) start(id ID, w Work, t *target, a *Actions) {
	p.occupy(t)
	p.running.Put(id, run{target: t.name, deadline: w.Deadline, remote: w.Remote})
	a.Starts = append(a.Starts, Start{ID: id, Work: w, Target: t.name})
}

func (p *Pool) occupy(t *target) {
	t.running++
	p.starts++
	t.started = p.starts
}

// pick returns the best target with a free slot that is not among but, or nil.
func (p *Pool) pick(now time.Time, but []string) *target {
	ignore := p.ignoresSignals()
	var m *target
	for _, t := range p.targets.All() {
		if t.room(now, ignore) == 0 || slices.Contains(but, t.name) {
			continue
		}
		if m == nil || t.before(m) {
			m = t
		}
	}
	return m
}

// free is the number of works that may start now.
func (p *Pool) free(now time.Time) int {
	n, ignore := 0, p.ignoresSignals()
	for _, t := range p.targets.All() {
		n += t.room(now, ignore)
	}
	return n
}
