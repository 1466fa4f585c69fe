package balancer

import (
	"time"
)

// Load is what an owner reports about its part of a pool.
type Load struct {
	Slots, Free, Queued int
}

// Load returns the slots that works of this instance may take, how many are free, and the length of the queue.
func (p *Pool) Load(now time.Time) Load {
	p.refresh(now)
	// Slots in which works of an earlier owner run do not count, so that an owner without others gets no requests.
	return Load{Slots: p.usable(), Free: p.free(now), Queued: p.queue.length}
}

// usable is the number of slots that works of this instance may take.
func (p *Pool) usable() int {
	n := 0
	for _, t := range p.targets.All() {
		n += t.usable()
	}
	return n
}

// slots is the number of slots of targets that serve.
func (p *Pool) slots() int {
	n := 0
	for _, t := range p.targets.All() {
		if t.serves() {
			n += t.capacity()
		}
	}
	return n
}

// Status describes one target.
type Status struct {
	Target string
	State  State
	Slots  int
	// Running counts works of this instance, Inherited slots that others or abandoned works may occupy.
	Running, Inherited int
}

// Statuses returns the targets in the order in which they were gained.
func (p *Pool) Statuses(now time.Time) []Status {
	var ss []Status
	p.refresh(now)
	for _, t := range p.targets.All() {
		ss = append(ss, Status{Target: t.name, State: t.state, Slots: t.slots, Running: t.running, Inherited: t.inherited()})
	}
	return ss
}
