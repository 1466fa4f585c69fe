package balancer

import (
	"time"
)

// Load is an owner's report of its part of a pool.
type Load struct {
	Slots, Free, Queued int
}

// Load returns the number of slots available to requests of this instance, how many of them are free, and the queue
// length.
func (p *Pool) Load(now time.Time) Load {
	p.refresh(now)
	// Slots occupied by requests of an earlier owner do not count, so that an owner without other slots receives no
	// requests.
	return Load{Slots: p.usableSlots(), Free: p.freeSlots(now), Queued: p.queue.length}
}

// usableSlots is the number of slots available to requests of this instance.
func (p *Pool) usableSlots() int {
	n := 0
	for _, t := range p.targets.All() {
		n += t.usableSlots()
	}
	return n
}

// servingSlots is the number of slots of targets that serve.
func (p *Pool) servingSlots() int {
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
	// Running counts requests of this instance, Inherited the slots that other outstanding requests may occupy.
	Running, Inherited int
}

// Statuses returns the status of each target, in the order in which they were acquired.
func (p *Pool) Statuses(now time.Time) []Status {
	var ss []Status
	p.refresh(now)
	for _, t := range p.targets.All() {
		ss = append(ss, Status{Target: t.name, State: t.state, Slots: t.slots, Running: t.running, Inherited: t.outstandingSlots()})
	}
	return ss
}
