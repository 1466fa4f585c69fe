package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"celeryhead.dev/celeryhead/launcher"
)

// caller behaves as docs/callers.md asks of callers: it keeps a look-up answer for its time to live and uses the next
// instance when one does not answer or refuses a request as not run.
type caller struct {
	deployment *launcher.Deployment
	client     *http.Client
	header     http.Header
	// address is asked for in look-ups; it decides the region.
	address   string
	instances []netip.AddrPort
	until     time.Time
	// asked rotates the instances that are asked when no answer is kept.
	asked int
}

// read sends one read and returns what came of it: "answered" by the first instance, "answered by the next", or the
// last refusal.
func (c *caller) read(ctx context.Context) string {
	if !c.refresh(ctx) {
		return "no look-up answer"
	}
	last := ""
	for n, a := range c.instances {
		s, retry := c.send(ctx, a)
		switch {
		case s == "" && n == 0:
			return "answered"
		case s == "":
			return "answered by the next"
		case !retry:
			return s
		}
		last = s
	}
	return last
}

// refresh asks for a look-up answer if none is kept, and reports whether there is one.
func (c *caller) refresh(ctx context.Context) bool {
	if len(c.instances) > 0 && time.Now().Before(c.until) {
		return true
	}
	for range c.deployment.Instances {
		c.asked++
		i := c.deployment.Instances[c.asked%len(c.deployment.Instances)]
		if l, ok := c.lookUp(ctx, i.Callers); ok {
			c.until = time.Now().Add(time.Duration(l.TimeToLiveSeconds * float64(time.Second)))
			c.instances = nil
			for _, k := range l.Instances {
				c.instances = append(c.instances, k.Address)
			}
			return true
		}
	}
	return false
}

func (c *caller) lookUp(ctx context.Context, a netip.AddrPort) (lookup, bool) {
	var l lookup
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/v1/lookup?address="+c.address, http.NoBody)
	if err != nil {
		return l, false
	}
	p, err := c.client.Do(r)
	if err != nil {
		return l, false
	}
	defer func() { _ = p.Body.Close() }()
	if err := json.NewDecoder(p.Body).Decode(&l); err != nil {
		return l, false
	}
	return l, p.StatusCode == http.StatusOK && len(l.Instances) > 0
}

// send returns the refusal, or "" if the read was answered, and whether the next instance may be asked; reads are
// idempotent, so a connection that breaks is no obstacle.
func (c *caller) send(ctx context.Context, a netip.AddrPort) (string, bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/permits/7", http.NoBody)
	if err != nil {
		return err.Error(), false
	}
	r.Header = c.header.Clone()
	p, err := c.client.Do(r)
	if err != nil {
		return "no answer", true
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode == http.StatusOK {
		return "", false
	}
	n := p.Header.Get("Celeryhead-Ran")
	return fmt.Sprintf("%s (%s)", p.Header.Get("Celeryhead-Reason"), n), n == "not-run"
}
