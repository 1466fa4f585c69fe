package balancer

import (
	"fmt"
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/responder"
)

// unfit returns the refusal of a work that should not wait here, or nil.
func (p *Pool) unfit(now time.Time, w Work) *responder.Refusal {
	if tooLate(now, w, p.c.ServiceTime) {
		return p.late()
	}
	return p.closed(now)
}

// closed returns the refusal of all work while no target can take any, or nil.
func (p *Pool) closed(now time.Time) *responder.Refusal {
	var opens time.Time
	serves, inherited, ignore := false, true, p.ignoresSignals()
	for _, t := range p.targets.All() {
		if !t.serves() {
			continue
		}
		inherited = inherited && t.occupied() && !t.closed.After(now)
		o := t.opens(now, ignore)
		if !serves || o.Before(opens) {
			opens = o
		}
		serves = true
	}
	if !serves {
		return p.refusal(responder.NoOwner, "this instance owns no target of pool %s that accepts work")
	}
	wait := opens.Sub(now)
	if wait <= maxStall {
		return nil
	}
	r := p.refusal(responder.NoSlot, "no target of pool %s that this instance owns accepts work at present")
	if inherited {
		// Not load but a change of owner is the cause, and the earlier owner may report soon that its works have ended.
		r = p.refusal(responder.NoOwner, "works of earlier owners occupy all targets of pool %s that this instance owns")
	}
	r.RetryAfter = max(wait, minRetryAfter)
	return r
}

func (p *Pool) full() *responder.Refusal {
	r := p.refusal(responder.NoSlot, "all slots and queue places of pool %s are taken")
	drained := time.Duration(p.queue.length) * p.c.ServiceTime / time.Duration(max(p.slots(), 1))
	r.RetryAfter = max(drained, minRetryAfter)
	return r
}

func (p *Pool) late() *responder.Refusal {
	r := p.refusal(responder.DeadlineExceeded, "no slot of pool %s was free in time")
	r.Status = http.StatusGatewayTimeout
	return r
}

// refusal inserts the name of the pool into format.
func (p *Pool) refusal(reason responder.Reason, format string) *responder.Refusal {
	return &responder.Refusal{
		Status:  http.StatusServiceUnavailable,
		Reason:  reason,
		Ran:     responder.NotRun,
		Message: fmt.Sprintf(format, p.c.Name),
	}
}
