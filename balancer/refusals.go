package balancer

import (
	"fmt"
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/responder"
)

// submissionRefusal returns the refusal of a request that must not be queued, or nil.
func (p *Pool) submissionRefusal(now time.Time, w Work) *responder.Refusal {
	if deadlineTooClose(now, w, p.config.ServiceTime) {
		return p.deadlineRefusal()
	}
	return p.closedRefusal(now)
}

// closedRefusal returns the refusal of all requests while no target accepts any, or nil.
func (p *Pool) closedRefusal(now time.Time) *responder.Refusal {
	var opens time.Time
	serves, inherited, ignore := false, true, p.ignoresSignals()
	for _, t := range p.targets.All() {
		if !t.serves() {
			continue
		}
		inherited = inherited && t.occupiedByOthers() && !t.closedUntil.After(now)
		o := t.opensAt(now, ignore)
		if !serves || o.Before(opens) {
			opens = o
		}
		serves = true
	}
	if !serves {
		return p.refusal(responder.NoOwner, "this instance owns no target of pool %s that accepts work")
	}
	wait := opens.Sub(now)
	if wait <= maxClosedWait {
		return nil
	}
	r := p.refusal(responder.NoSlot, "no target of pool %s that this instance owns accepts work at present")
	if inherited {
		// The cause is a change of owner rather than load, and the earlier owner may soon report that its requests have
		// ended.
		r = p.refusal(responder.NoOwner, "works of earlier owners occupy all targets of pool %s that this instance owns")
	}
	r.RetryAfter = max(wait, minRetryAfter)
	return r
}

func (p *Pool) fullRefusal() *responder.Refusal {
	r := p.refusal(responder.NoSlot, "all slots and queue places of pool %s are taken")
	drained := time.Duration(p.queue.length) * p.config.ServiceTime / time.Duration(max(p.servingSlots(), 1))
	r.RetryAfter = max(drained, minRetryAfter)
	return r
}

func (p *Pool) deadlineRefusal() *responder.Refusal {
	r := p.refusal(responder.DeadlineExceeded, "no slot of pool %s was free in time")
	r.Status = http.StatusGatewayTimeout
	return r
}

// refusal returns a refusal with status 503; format takes the name of the pool.
func (p *Pool) refusal(reason responder.Reason, format string) *responder.Refusal {
	return &responder.Refusal{
		Status:  http.StatusServiceUnavailable,
		Reason:  reason,
		Ran:     responder.NotRun,
		Message: fmt.Sprintf(format, p.config.Name),
	}
}
