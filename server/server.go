package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/breaker"
	"celeryhead.dev/celeryhead/certifier"
	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/closer"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/guarder"
	"celeryhead.dev/celeryhead/limiter"
	"celeryhead.dev/celeryhead/lister"
	"celeryhead.dev/celeryhead/loader"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/meter"
	"celeryhead.dev/celeryhead/operator"
	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/timer"
	"celeryhead.dev/celeryhead/tracker"
)

const (
	// headerTimeout bounds how long a caller may take to send a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections of callers that stay unused; it exceeds the pauses of callers that keep connections.
	idleTimeout = 2 * time.Minute
	// maxPeerConnections bounds the connections to one peer.
	maxPeerConnections = 256
)

// Config configures a server.
type Config struct {
	Settings loader.Settings
	Log      *logger.Logger
}

// Server is the daemon of one entry instance.
type Server struct {
	settings loader.Settings
	log      *logger.Logger
	clock    timer.Clock
	self     tracker.Instance

	control   *controller.Controller
	store     *storer.Client
	links     *links
	targets   *forwarder.Forwarder
	peers     *forwarder.Forwarder
	pools     *pools
	choosers  *choosers
	buckets   *limiter.Owner
	meter     *meter.Meter
	strikes   strikes
	started   rate
	allowance *limiter.Allowance
	claims    *claimer.Claims
	fleet     *claimFleet
	tickets   *claimer.Tickets
	operator  *operator.Operator

	certificates *certifier.Renewer

	inFlight atomic.Int64
	leaving  atomic.Bool
	draining draining
	// finishing counts outcomes that are being stored.
	finishing sync.WaitGroup
}

// New reads the certificates and returns a server that does not listen yet.
func New(c Config) (*Server, error) {
	s := &Server{settings: c.Settings, log: c.Log, clock: timer.Now}
	s.self = tracker.Instance{
		Name:          c.Settings.Name,
		Incarnation:   uint64(time.Now().UnixNano()), //nolint:gosec // The time is after 1970.
		Region:        c.Settings.Region,
		FailureDomain: c.Settings.FailureDomain,
		Caller:        c.Settings.Listeners.Callers,
		Peer:          c.Settings.Listeners.Peers,
	}
	var err error
	if s.certificates, err = certifier.NewRenewer(RenewerConfig(c.Settings)); err != nil {
		return nil, merry.Prepend(err, "tls")
	}
	if s.store, err = storer.New(storer.Config{Addresses: c.Settings.Platform.Store, Timeout: c.Settings.Platform.StoreTimeout}); err != nil {
		return nil, err
	}
	s.links = newLinks(s.certificates.Client, c.Settings.PeerAddresses)
	s.targets = forwarder.New(forwarder.Config{MaxConnections: maxTargetConnections})
	s.draining.ending, s.draining.finish = context.WithCancel(context.Background()) //nolint:gosec // shutdown calls finish.
	s.peers = forwarder.New(forwarder.Config{
		Protocol:       forwarder.InstanceProtocol(),
		TLS:            s.certificates.Client,
		MaxConnections: maxPeerConnections,
		MaxIdle:        maxPeerConnections,
		// An owner adds its own fields to those of the target.
		MaxFields: 2 * forwarder.DefaultMaxFields,
	})
	s.pools = newPools(s)
	s.choosers = newChoosers(s)
	s.buckets = limiter.NewOwner()
	s.meter = meter.New(meter.Config{AccountHistograms: c.Settings.Limits.AccountHistograms})
	s.strikes.breaker = breaker.New(breaker.Config{})
	s.allowance = limiter.NewAllowance(limiter.AllowanceConfig{Asker: asker{server: s}})
	s.fleet = &claimFleet{server: s}
	s.claims = claimer.New(claimer.Config{Store: s.store, Self: s.self.Name, Fleet: s.fleet})
	s.tickets, err = claimer.NewTickets(claimer.TicketConfig{
		Location: claimer.Location{Instance: s.self.Name, Incarnation: s.self.Incarnation},
		Life:     ticketLife,
	})
	if err != nil {
		return nil, err
	}
	s.control, err = controller.New(controller.Config{
		Self:         s.self,
		Timing:       c.Settings.Timing,
		Store:        s.store,
		StoreTimeout: c.Settings.Platform.StoreTimeout,
		List: lister.New(lister.Config{
			Addresses: c.Settings.Platform.List,
			Timeout:   c.Settings.Timing.ListAge / 3,
			Rejected:  func(entry string, err error) { c.Log.EntryRejected("instances", entry, 0, err) },
		}),
		Dialer: s.links,
		Hooks:  s.pools,
		Log:    c.Log,
		Clock:  s.clock,
		Seed:   s.self.Incarnation,
	})
	if err != nil {
		return nil, err
	}
	s.operator = operator.New(operator.Config{
		Store:     s.store,
		Publish:   s.control.Publish,
		Instance:  s.self.Name,
		Collector: s.control.Collector(),
		Held:      s.control.Chunk,
	})
	return s, nil
}

type listener struct {
	name    string
	address netip.AddrPort
	tls     *tls.Config
	server  *http.Server
	socket  net.Listener
}

func (s *Server) listeners() []*listener {
	l := s.settings.Listeners
	return []*listener{
		{name: "callers", address: l.Callers, tls: s.certificates.Callers(), server: s.httpServer(s.callersHandler())},
		{name: "peers", address: l.Peers, tls: s.certificates.Server(certifier.Peer), server: s.httpServer(s.peersHandler())},
		{name: "operators", address: l.Operators, tls: s.certificates.Server(certifier.Operator), server: s.httpServer(s.operatorsHandler())},
		{name: "metrics", address: l.Metrics, server: s.httpServer(s.metricsHandler())},
	}
}

func (s *Server) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: guarder.LogPanics(s.log, h),
		// net/http would answer "OPTIONS *" by itself.
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               s.settings.Limits.HeaderBytes,
		ErrorLog:                     discardLog,
	}
}

// Run serves until ctx ends, then leaves without cutting requests.
func (s *Server) Run(ctx context.Context) error {
	ls := s.listeners()
	for _, l := range ls {
		if err := s.open(ctx, l); err != nil {
			s.log.ListenerFailed(l.name, err)
			return err
		}
	}
	failed := make(chan error, len(ls))
	for _, l := range ls {
		go func() {
			if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
				s.log.ListenerFailed(l.name, err)
				failed <- err
			}
		}()
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g sync.WaitGroup
	for _, f := range []func(context.Context){s.control.Run, s.pools.run, s.runClaims, s.runSweeps, s.runProbes, s.runTicks, s.runCertificates} {
		g.Go(func() { f(work) })
	}
	s.log.Started(s.self.Caller, s.self.Peer, s.settings.Listeners.Operators, s.self.Incarnation)
	var err error
	select {
	case <-ctx.Done():
		s.shutdown(ls)
	case err = <-failed:
	}
	cancel()
	s.allowance.Close()
	g.Wait()
	for _, l := range ls {
		_ = l.server.Close()
	}
	return err
}

func (s *Server) open(ctx context.Context, l *listener) error {
	var c net.ListenConfig
	k, err := c.Listen(ctx, "tcp", l.address.String())
	if err != nil {
		return err
	}
	// Answers end connections while the instance leaves.
	k = &closer.Listener{Listener: k, While: &s.leaving}
	if l.tls != nil {
		k = tls.NewListener(k, l.tls)
	}
	l.socket = k
	return nil
}

func (s *Server) runClaims(ctx context.Context) {
	if err := s.claims.Run(ctx); err != nil && ctx.Err() == nil {
		s.log.ListenerFailed("claims", err)
	}
}

// runSweeps deletes expired claims.
func (s *Server) runSweeps(ctx context.Context) {
	w := claimer.NewSweeper(claimer.SweeperConfig{Store: s.store, Self: s.self.Name, Owners: s.fleet.ClaimOwners})
	// Run returns only the end of ctx.
	_ = w.Run(ctx)
}

// tickInterval is how often idle connections and old tickets are dropped.
const tickInterval = time.Second

func (s *Server) runTicks(ctx context.Context) {
	timer.Every(ctx, tickInterval, func(context.Context) {
		s.tickets.Tick(s.clock())
		s.targets.Tick()
		s.peers.Tick()
	})
}
