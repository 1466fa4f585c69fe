package placer

import "time"

const (
	// replicationShare is the fraction of a service's processing time that may go to requests that cache an object on
	// a further target while others already hold it. Such a request occupies a slot several times as long, so a
	// larger fraction makes peaks worse.
	replicationShare = 0.15
	// maxReplicationBudget caps the budget that accumulates for the start of a peak.
	maxReplicationBudget = 6 * time.Second
)

// replicationBudget is the processing time that a service may spend on caching objects on further targets.
type replicationBudget struct {
	remaining time.Duration
}

func (p *Placer) replicationFor(service string) *replicationBudget {
	r := p.replication[service]
	if r == nil {
		r = &replicationBudget{remaining: maxReplicationBudget}
		p.replication[service] = r
	}
	return r
}

// earn credits the budget for a request whose object was cached and whose run took the given time.
func (r *replicationBudget) earn(run time.Duration) {
	r.remaining = min(maxReplicationBudget, r.remaining+time.Duration(replicationShare*float64(run)))
}

// covers reports whether the budget covers a run.
func (r *replicationBudget) covers(run time.Duration) bool {
	return r.remaining >= run
}

// spend deducts a run from the budget.
func (r *replicationBudget) spend(run time.Duration) {
	r.remaining -= run
}
