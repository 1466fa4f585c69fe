package server

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/timer"
)

const (
	probeInterval = time.Second
	// probeLimit bounds what is read of a health endpoint, in bytes; a longer page counts as one without end.
	probeLimit = 64 << 10
)

// runProbes reads the health endpoints of owned targets.
func (s *Server) runProbes(ctx context.Context) {
	timer.Every(ctx, probeInterval, s.probeAll)
}

func (s *Server) probeAll(ctx context.Context) {
	v := s.control.View()
	var g sync.WaitGroup
	for _, o := range s.pools.all() {
		p := v.Pools[o.name]
		if p.HealthPath == "" {
			continue
		}
		for _, t := range o.Statuses() {
			a, ok := v.Address(t.Target)
			if !ok || t.State == balancer.Gone {
				continue
			}
			g.Go(func() { o.Observe(t.Target, s.probe(ctx, a, p.HealthPath)) })
		}
	}
	g.Wait()
}

// probe reads a health endpoint; a body that begins with "draining" announces that the target leaves.
func (s *Server) probe(ctx context.Context, a netip.AddrPort, path string) balancer.Signal {
	x, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: a.String(), Header: http.Header{}}
	p, err := s.targets.Do(x, forwarder.Call{Address: a, Request: r, Deadline: s.clock().Add(probeInterval)})
	if err != nil {
		return balancer.Signal{}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(p.Body, probeLimit+1))
	return balancer.Signal{
		Healthy: err == nil && len(b) <= probeLimit && p.Status == http.StatusOK,
		Leaving: strings.HasPrefix(string(b), "draining"),
	}
}
