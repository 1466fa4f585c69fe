package handler

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/sharer"
)

// recordRate records the rate that an answer of a target states.
func (s *Server) recordRate(c *call, t *cataloger.Target, status int, rate float64) {
	if s.throttle.Record(s.clock(), t.Name, t.Started, rate) {
		s.log.RateStated(t.Name, t.Started, rate, c.envelope.ID, status)
		s.meter.TargetStatesRate()
	}
}

// issuers returns the names of the instances that may issue permits: those that are ready. Nil means that they are not known,
// since this process was suspended and has not heard all others again: it would take itself for the only one.
func (s *Server) issuers(now time.Time) []string {
	if e := s.gossip.Resumed(now); !e.IsZero() && now.Sub(e) < gossiper.Silence {
		return nil
	}
	var ns []string
	for _, m := range s.members.Alive(now) {
		if m.Ready {
			ns = append(ns, m.Name)
		}
	}
	if s.Ready() {
		ns = append(ns, s.settings.Name)
	}
	slices.Sort(ns)
	return ns
}

// askForPermits asks the issuers of targets for permits whenever some are missing.
func (s *Server) askForPermits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.throttle.Wake():
		}
		now := s.clock()
		addresses := map[string]netip.Addr{}
		for _, m := range s.members.Alive(now) {
			addresses[m.Name] = m.Address
		}
		for issuer, wanted := range s.throttle.Requests(now) {
			a, ok := addresses[issuer]
			if !ok {
				continue
			}
			ps := make(map[string]gossiper.PermitRequest, len(wanted))
			for k, r := range wanted {
				ps[k] = gossiper.PermitRequest{
					Permits: r.Permits, Rate: r.Statement.Rate, AgeMilliseconds: now.Sub(r.Statement.At).Milliseconds(),
				}
			}
			s.gossip.AskPermits(a, ps)
		}
	}
}

// awaitPermit waits for a permit to send a request to a target that states a rate, if there is one, and reports whether the
// issuer answered.
func (s *Server) awaitPermit(ctx context.Context, c *call) bool {
	p := s.book.Catalog().Pool(c.service)
	if p == nil || !s.throttle.Any() {
		return false
	}
	now := s.clock()
	for _, t := range s.placer.Throttled(now, p, c.work()) {
		answered := s.throttle.Await(now, t.Name, t.Started)
		if answered == nil {
			continue
		}
		k := time.NewTimer(askWait)
		defer k.Stop()
		select {
		case <-answered:
			return true
		case <-k.C:
		case <-ctx.Done():
		}
		return false
	}
	return false
}

// issuePermits answers another instance that asks for permits.
func (s *Server) issuePermits(wanted map[string]gossiper.PermitRequest) map[string]int {
	now := s.clock()
	rs := make(map[string]sharer.PermitRequest, len(wanted))
	for k, p := range wanted {
		if p.AgeMilliseconds < 0 || p.Rate < 0 {
			continue
		}
		at := now.Add(-time.Duration(p.AgeMilliseconds) * time.Millisecond)
		rs[k] = sharer.PermitRequest{Permits: p.Permits, Statement: sharer.Statement{Rate: p.Rate, At: at}}
	}
	return s.throttle.Issue(now, rs)
}
