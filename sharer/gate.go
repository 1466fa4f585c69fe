package sharer

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// coldBurst is the burst allowed to a cold target. The rate that the platform states for cold targets allows for
// more, but after a change of instances two of them may both consider themselves the sender.
const coldBurst = 1

// Gate limits the requests to cold targets; it is safe for concurrent use.
type Gate struct {
	self string

	mu        sync.Mutex
	instances []string
	// senders caches the sender of each target until the set of instances changes.
	senders map[string]string
	targets map[string]*tokenBucket
}

type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewGate returns a gate without instances, which admits nothing.
func NewGate(self string) *Gate {
	return &Gate{self: self, senders: map[string]string{}, targets: map[string]*tokenBucket{}}
}

// Adopt replaces the names of the instances that may be senders.
func (g *Gate) Adopt(instances []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances = slices.Clone(instances)
	clear(g.senders)
}

// Sends reports whether this instance is the sender for a cold target.
func (g *Gate) Sends(target string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sender(target) == g.self
}

// Take reports whether a request may be sent to a cold target now, and counts it if so.
func (g *Gate) Take(now time.Time, target string, rate float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rate <= 0 || g.sender(target) != g.self {
		return false
	}
	d := g.targets[target]
	if d == nil {
		// Start empty: an earlier process of this instance may have just sent a request.
		d = &tokenBucket{refilledAt: now}
		g.targets[target] = d
	}
	d.tokens = min(coldBurst, d.tokens+rate*now.Sub(d.refilledAt).Seconds())
	d.refilledAt = now
	if d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}

// Keep discards the state of targets that no longer exist.
func (g *Gate) Keep(exists func(target string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.targets, func(n string, _ *tokenBucket) bool { return !exists(n) })
	maps.DeleteFunc(g.senders, func(n, _ string) bool { return !exists(n) })
}

// sender returns the instance that may send to a target, or an empty name if no instances are known; mu is held.
func (g *Gate) sender(target string) string {
	if len(g.instances) == 0 {
		return ""
	}
	n, ok := g.senders[target]
	if !ok {
		n = rendezvous(target, g.instances, 1)[0]
		g.senders[target] = n
	}
	return n
}
