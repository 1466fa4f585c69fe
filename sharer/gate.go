package sharer

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// gateBurst is the number of requests that a cold target gets at once; the rate that the platform states for cold
// targets allows for more, but two instances may both take themselves for the sender after a change.
const gateBurst = 1

// Gate limits what cold targets get; it is safe for concurrent use.
type Gate struct {
	self string

	mu        sync.Mutex
	instances []string
	// senders remembers the sender of each target until the instances change.
	senders map[string]string
	targets map[string]*drip
}

type drip struct {
	tokens float64
	filled time.Time
}

// NewGate returns a gate of an instance that knows no instances yet, so that nothing passes.
func NewGate(self string) *Gate {
	return &Gate{self: self, senders: map[string]string{}, targets: map[string]*drip{}}
}

// Adopt replaces the names of the instances that may be senders.
func (g *Gate) Adopt(instances []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances = slices.Clone(instances)
	clear(g.senders)
}

// Sends reports whether this instance is the one that sends to a cold target.
func (g *Gate) Sends(target string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sender(target) == g.self
}

// Take reports whether a request may go to a cold target now, and counts it if so.
func (g *Gate) Take(now time.Time, target string, rate float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rate <= 0 || g.sender(target) != g.self {
		return false
	}
	d := g.targets[target]
	if d == nil {
		// A former process of this instance may have sent a moment ago.
		d = &drip{filled: now}
		g.targets[target] = d
	}
	d.tokens = min(gateBurst, d.tokens+rate*now.Sub(d.filled).Seconds())
	d.filled = now
	if d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}

// Keep drops what is kept of targets that do not exist any more.
func (g *Gate) Keep(exists func(target string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.targets, func(n string, _ *drip) bool { return !exists(n) })
	maps.DeleteFunc(g.senders, func(n, _ string) bool { return !exists(n) })
}

// sender returns the instance that may send to a target, or an empty name while none is known; mu is held.
func (g *Gate) sender(target string) string {
	if len(g.instances) == 0 {
		return ""
	}
	n, ok := g.senders[target]
	if !ok {
		n = highest(target, g.instances, 1)[0]
		g.senders[target] = n
	}
	return n
}
