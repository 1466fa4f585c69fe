package attester

import (
	"sync/atomic"
	"time"
)

// Gate publishes expiry times to concurrent readers without locks; the zero value is closed.
type Gate struct {
	expiry [scopes]atomic.Int64
}

// Publish stores the expiry times of a; the owner of a calls it after each event.
func (g *Gate) Publish(a *Attester) {
	for i := range g.expiry {
		g.expiry[i].Store(nanoseconds(a.Expiry(Scope(i))))
	}
}

// Valid reports whether the published proof of the scope holds at now.
func (g *Gate) Valid(s Scope, now time.Time) bool {
	return now.UnixNano() < g.expiry[s].Load()
}

// Expiry returns the published expiry time of the scope, or zero without a proof.
func (g *Gate) Expiry(s Scope) time.Time {
	n := g.expiry[s].Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// nanoseconds maps the zero time, whose UnixNano is undefined, to 0.
func nanoseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
