package handler

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"celeryhead.dev/celeryhead/abstainer"
	"celeryhead.dev/celeryhead/admitter"
	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/guarder"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/meter"
	"celeryhead.dev/celeryhead/pipeliner"
	"celeryhead.dev/celeryhead/replicator"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/sharer"
	"celeryhead.dev/celeryhead/timer"
)

// Shares returns how many of n requests of a route go to each of its destinations.
func Shares(r *cataloger.Route, n int) map[string]int {
	s, m := newSplits(), map[string]int{}
	for range n {
		m[s.next(r)]++
	}
	return m
}

// TripAfter returns the time to a region after connections that took these times, one each pause.
func TripAfter(pause time.Duration, ds ...time.Duration) time.Duration {
	t := trips{regions: map[string]*trip{}}
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	for _, d := range ds {
		now = now.Add(pause)
		t.add("far", d, now)
	}
	return t.to("far")
}

// MayUseKey reports whether a request accepted by one catalog may be sent with its key under another one, some time after
// its arrival.
func MayUseKey(key authenticator.Digest, accepted, current *cataloger.Catalog, waited time.Duration) bool {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	c := call{key: key, catalog: accepted, arrival: now.Add(-waited)}
	c.account, _ = accepted.Account(key)
	return c.mayUseKey(current, now)
}

// MayRun reports whether a request may be sent to a target, just before its first byte.
func MayRun(b *cataloger.Book, a *abstainer.Abstainer, t *cataloger.Target) error {
	s := &Server{book: b, abstainer: a, clock: timer.Now}
	return s.mayRun(&call{}, t)
}

// Peers keeps what an instance of a region knows of the others' copies of one table.
type Peers struct {
	peers  peers
	region string
}

// NewPeers returns peers of which nothing was heard.
func NewPeers(region string) *Peers { return &Peers{peers: newPeers(), region: region} }

// Hear records the version of a peer's copy.
func (p *Peers) Hear(a netip.Addr, content uint64) {
	p.peers.versions[a] = map[string]replicator.Version{"table": {Content: content}}
}

// Answered records whether a peer answered a call.
func (p *Peers) Answered(now time.Time, a netip.Addr, ok bool) { p.peers.answered(now, a, ok) }

// Newest returns the peer to ask for what changed after a version.
func (p *Peers) Newest(now time.Time, alive []gossiper.Member, after uint64) (netip.Addr, bool) {
	a, _, ok := p.peers.newest(now, alive, p.region, "table", replicator.Version{Content: after})
	return a, ok
}

// PassiveInstance is an instance that calls nobody and has an empty copy of the configuration's table.
type PassiveInstance struct {
	server *Server
	now    time.Time
}

// NewPassiveInstance returns an instance of a region.
func NewPassiveInstance(name, region string) *PassiveInstance {
	h := &PassiveInstance{now: time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)}
	s := &Server{configuration: "op", book: cataloger.NewBook(), peers: newPeers(), abstainer: abstainer.New(abstainer.Config{}), clock: func() time.Time { return h.now }}
	s.settings.Name, s.settings.Region = name, region
	s.members = gossiper.NewMembers(s.self(), nil)
	s.rows = replicator.New(replicator.Config{
		Tables: []replicator.Table{{Name: s.configuration}},
		Log:    logger.Discard(),
		Clock:  s.clock,
		Origin: name,
	})
	h.server = s
	return h
}

// ReceiveState takes over the state of another instance.
func (h *PassiveInstance) ReceiveState(m gossiper.Member, t gossiper.State) {
	h.server.members.HearFirstHand(m, h.now)
	h.server.hear(h.now, m, t)
}

// Advance advances the clock.
func (h *PassiveInstance) Advance(d time.Duration) { h.now = h.now.Add(d) }

// Claim returns the claim that others are told.
func (h *PassiveInstance) Claim() *gossiper.Claim { return h.server.state().Configuration }

// Follows reports whether the instance calls the store.
func (h *PassiveInstance) Follows() bool { return h.server.follows() }

// Deny returns what a request without a route is told that was accepted by one version of the configuration while another
// one is in force now.
func (h *PassiveInstance) Deny(accepted, current uint64) *responder.Refusal {
	h.server.book.Configure(cataloger.Configuration{Version: accepted})
	c := &call{catalog: h.server.book.Catalog()}
	h.server.book.Configure(cataloger.Configuration{Version: current})
	return h.server.deny(c, refusal(http.StatusNotFound, responder.NoRoute, "no route"))
}

// MayRun returns why a request with a key may not be sent under a configuration, some time after it was accepted.
func (h *PassiveInstance) MayRun(key authenticator.Digest, accepted *cataloger.Catalog, current cataloger.Configuration, waited time.Duration) error {
	c := &call{key: key, catalog: accepted, arrival: h.now.Add(-waited)}
	c.account, _ = accepted.Account(key)
	t := cataloger.Target{Name: "target", Service: "map"}
	current.Services = []cataloger.Service{{Name: t.Service}}
	h.server.book.Configure(current)
	h.server.book.Assign(map[string]cataloger.Target{t.Name: t})
	return h.server.mayRun(c, &t)
}

// Enter serves a request of a caller.
func (s *Server) Enter(w http.ResponseWriter, r *http.Request) { s.enter(w, r) }

// ListInstances takes over the table of instances, whose rows are given by key.
func (s *Server) ListInstances(rows map[string]string) {
	var rs []replicator.Row
	for k, v := range rows {
		rs = append(rs, replicator.Row{Key: k, Value: []byte(v), Version: 1})
	}
	s.listInstances(rs)
}

// UsableTargets returns the names of the targets of a service that may get requests.
func (s *Server) UsableTargets(service string) []string {
	var ns []string
	for _, t := range s.book.Catalog().Pool(service).Targets {
		ns = append(ns, t.Name)
	}
	return ns
}

// Departed returns the targets that get no further requests.
func Departed(before, now map[string]cataloger.Target) []string { return departed(before, now) }

// Outages tells an outage of the store from a store that turns only this instance away.
type Outages struct{ outages outages }

// Lapsing reports whether rows may be missing only because the store was away, when it last answered any instance at one time
// and the outage that this instance saw ended at another one.
func (o *Outages) Lapsing(now, contact, returned time.Time) bool {
	o.outages.observe(now, contact)
	return o.outages.lapsing(now, returned)
}

// BufferedBytes returns what answers take that wait for their callers, in bytes.
func (s *Server) BufferedBytes() int64 { return s.answers.taken.Load() }

// ServeCallers serves the requests of callers as Run does.
func (s *Server) ServeCallers(l net.Listener) (*http.Server, *pipeliner.Listener) {
	h := s.httpServer(guarder.Count(guarder.Config{InFlight: &s.inFlight}, http.HandlerFunc(s.enter)))
	k := s.startPipelined(h, guarder.ReportUnhandled(h, l, s.reportUnhandled))
	go func() { _ = h.Serve(k) }()
	return h, k
}

// Drain shuts the instance down as Run does.
func (s *Server) Drain(callers *pipeliner.Listener, grace, lookupLife time.Duration) {
	l := *s.limits.Load()
	l.Grace, l.LookupLife = grace, lookupLife
	s.limits.Store(&l)
	s.drain(callers)
}

// WriteMetrics writes the metrics.
func (s *Server) WriteMetrics(w io.Writer) { s.meter.Write(w, meter.State{}) }

// SizeOf returns the budget of a listener.
func SizeOf(l Limits, listener string) admitter.Limits { return l.size(listener) }

// Lag tells for how long a copy lacks what others have.
type Lag struct{ lag }

// Behind reports whether the copy has lacked it for too long.
func (l *Lag) Behind(now time.Time, own, newest uint64) bool {
	return l.behind(now, replicator.Position{Version: own}, replicator.Position{Version: newest})
}

// Metrics returns the metrics as they are served.
func (s *Server) Metrics() string {
	w := httptest.NewRecorder()
	s.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	return w.Body.String()
}

// HearVersion records the version of a peer's copy.
func (p *Peers) HearVersion(a netip.Addr, v replicator.Version) {
	p.peers.versions[a] = map[string]replicator.Version{"table": v}
}

// Question returns the peer to ask for a copy of a version, and the position to ask it from.
func (p *Peers) Question(now time.Time, alive []gossiper.Member, have replicator.Version) (netip.Addr, replicator.Position, bool) {
	a, known, ok := p.peers.newest(now, alive, p.region, "table", have)
	return a, after(have, known), ok
}

// InstanceRetention is that of the table of instances.
var InstanceRetention = replicator.Retention{Life: retainInstance}

// Rewrite tells when a row that the store lost is written again.
type Rewrite struct{ rewrite rewrite }

// Due reports whether a row that is missing in an era is to be written now, and takes it for written then.
func (w *Rewrite) Due(now time.Time, era uint64) bool {
	if !w.rewrite.due(now, era) {
		return false
	}
	w.rewrite.wrote(now, era)
	return true
}

// ListRows takes over the table of instances at a time.
func (s *Server) ListRows(now time.Time, rows []replicator.Row) {
	s.clock = func() time.Time { return now }
	s.listInstances(rows)
}

// RecordsAbsence returns the instances that this one has to record as gone.
func (s *Server) RecordsAbsence(now time.Time) []string {
	return sharer.Absent(s.settings.Name, s.listedPeers(now))
}

// HearMember records that another instance was heard at a time.
func (s *Server) HearMember(m gossiper.Member, now time.Time) { s.members.HearFirstHand(m, now) }

// RecordAbsent records which instances are gone.
func (s *Server) RecordAbsent(ctx context.Context, now time.Time) { s.recordAbsent(ctx, now) }

// OwnRow reports whether the store has this instance's row as it should be, and whether the row has to be written again.
func (s *Server) OwnRow() (there, lost bool) {
	_, there, lost = s.registeredAs(s.ownRegistration())
	return there, lost
}

// ListInstance has the table of instances name another one.
func (h *PassiveInstance) ListInstance(m gossiper.Member) {
	h.server.registered = map[string]registration{m.Name: {Address: m.Address, Region: m.Region}}
}

// Behind reports whether the list of instances lacks what others have.
func (h *PassiveInstance) Behind() bool { return h.server.behind(h.now) }
