package server

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/spooler"
	"celeryhead.dev/celeryhead/timer"
	"celeryhead.dev/celeryhead/tracker"
)

// Parts of the request path that work alone.
var (
	Deadline  = deadline
	Outgoing  = outgoing
	RefusalOf = refusalOf
	Replay    = replay
)

// Rate is a counter of events.
type Rate = rate

// Count counts an event.
func (r *rate) Count(now time.Time) { r.count(now) }

// PerSecond returns the rate of the last whole window.
func (r *rate) PerSecond(now time.Time) float64 { return r.perSecond(now) }

// Body is what an instance took of a body.
type Body struct {
	Text   string
	Whole  bool
	Digest [sha256.Size]byte
	Err    error
}

// ReadBody takes the body of r, of at most limit bytes.
func ReadBody(limit int64, w http.ResponseWriter, r *http.Request) (Body, *responder.Refusal) {
	s := &Server{clock: timer.Now}
	s.settings.Limits.BodyBytes = limit
	b, f := spooler.Read(w, r, s.bodyLimits(timer.Now().Add(time.Minute)))
	if f != nil {
		return Body{}, f
	}
	text, err := io.ReadAll(b.Open())
	return Body{Text: string(text), Whole: b.Whole(), Digest: b.Digest(), Err: err}, nil
}

// RunAt runs a request of an open route in a pool of one target for each address, all owned by this instance.
func (s *Server) RunAt(as ...netip.AddrPort) *responder.Refusal {
	p := composer.Pool{Name: "stock"}
	var hs []balancer.Holding
	for i, a := range as {
		n := strconv.Itoa(i)
		p.Targets = append(p.Targets, composer.Target{Name: n, Address: a})
		hs = append(hs, balancer.Holding{Target: n, Slots: 1})
	}
	s.control.View().Configuration = controller.NewConfiguration(nil, composer.Config{Pools: []composer.Pool{p}})
	o := s.pools.ensure(p)
	defer o.stop()
	o.adopt(hs)
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: http.Header{}}
	c := &call{request: r, route: composer.Route{Pool: p.Name, Open: true}, deadline: s.clock().Add(time.Minute), region: s.self.Region, body: &spooler.Body{}}
	_, f := s.run(context.Background(), c)
	return f
}

// Copy is a copy of a request on its way.
type Copy struct {
	server *Server
	call   call
}

// NewCopy returns a copy of a GET request of an account.
func (s *Server) NewCopy(account, path string) *Copy {
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Header: http.Header{}}
	return &Copy{server: s, call: call{request: r, account: composer.Account{Name: account}, route: composer.Route{Name: "read", Pool: "stock"}}}
}

// ComputesOnce reports whether the fingerprint is that of the first time it was asked for, whatever changes later.
func (c *Copy) ComputesOnce() bool {
	k := c.call
	first := k.fingerprint()
	k.digest[0]++
	return k.fingerprint() == first
}

// Pass takes a new request of the same kind through the steps that ask for strikes, from its entry to its end at a target
// of the same instance.
func (c *Copy) Pass(ctx context.Context) *responder.Refusal {
	k := c.call
	if f := c.server.checkCrash(&k); f != nil {
		return f
	}
	c.server.markSuspect(&k)
	if f := c.server.start(ctx, &k); f != nil {
		return f
	}
	c.server.end(&k, balancer.Success)
	return nil
}

// Strike records that a target crashed some time ago that had had the request for a while.
func (c *Copy) Strike(id string, age, ran time.Duration) {
	f := c.call.fingerprint()
	c.server.recordStrike(&messenger.StrikeNotice{Id: id, Fingerprint: f[:], AgeMs: age.Milliseconds(), RanMs: ran.Milliseconds()})
}

// CallersHandler returns the handler of the callers' listener.
func (s *Server) CallersHandler() http.Handler { return s.callersHandler() }

// PeersHandler returns the handler of the peers' listener.
func (s *Server) PeersHandler() http.Handler { return s.peersHandler() }

// SetLeaving begins a shutdown as far as callers see it.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// EnterTicket decides about a request with a ticket; passed says that another instance passed it on.
func (s *Server) EnterTicket(ticket string, passed bool) *responder.Refusal {
	return s.enterTicket(context.Background(), nil, &call{passed: passed}, claimer.Request{Account: "maker", Route: "order", Key: ticket})
}

// Configure puts a version of the configuration in force, whatever was before.
func (s *Server) Configure(version uint64, c composer.Config) {
	v := s.control.View()
	v.Configuration = controller.NewConfiguration(nil, c)
	v.Heads.ConfigVersion = version
}

// Probe reads the health endpoint of a target.
func (s *Server) Probe(ctx context.Context, a netip.AddrPort, path string) balancer.Signal {
	return s.probe(ctx, a, path)
}

// LinkTo returns a client of the peer at an address.
func LinkTo(t *tls.Config, a netip.AddrPort) messenger.Peer {
	return newLinks(func() *tls.Config { return t }, nil).Peer(tracker.Instance{Peer: a})
}

// RefusesNew reports whether a shutdown has come so far that new requests are refused.
func (s *Server) RefusesNew() bool { return s.draining.closed.Load() }

// ShutdownWithin shuts the instance and the server of its callers down within a time.
func (s *Server) ShutdownWithin(limit time.Duration, callers *http.Server) {
	s.settings.Timing.DrainLimit = limit
	s.shutdown([]*listener{{name: "callers", server: callers}})
}
