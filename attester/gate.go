package attester

import (
	"sync/atomic"
	"time"
)

// Gate publishes the expiry times of proofs to concurrent readers without locks. The zero value has no valid proof.
type Gate struct {
	expiry [scopeCount]atomic.Int64
}

// Publish stores the expiry times of a. It must be called after each change of a, by the goroutine that changes a.
func (g *Gate) Publish(a *Attester) {
	for i := range g.expiry {
		g.expiry[i].Store(nanoseconds(a.Expiry(Scope(i))))
	}
}

// Valid reports whether the published proof of the scope is valid at now.
func (g *Gate) Valid(s Scope, now time.Time) bool {
	return now.UnixNano() < g.expiry[s].Load()
}

// Expiry returns the published expiry time of the scope; zero if there is no proof.
func (g *Gate) Expiry(s Scope) time.Time {
	n := g.expiry[s].Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// nanoseconds returns the Unix time of t in nanoseconds, and 0 for the zero time, whose UnixNano is undefined.
func nanoseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
