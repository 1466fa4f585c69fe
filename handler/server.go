package handler

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"celeryhead.dev/celeryhead/abstainer"
	"celeryhead.dev/celeryhead/admitter"
	"celeryhead.dev/celeryhead/breaker"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/guarder"
	"celeryhead.dev/celeryhead/hedger"
	"celeryhead.dev/celeryhead/informer"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/meter"
	"celeryhead.dev/celeryhead/pipeliner"
	"celeryhead.dev/celeryhead/placer"
	"celeryhead.dev/celeryhead/replicator"
	"celeryhead.dev/celeryhead/sharer"
	"celeryhead.dev/celeryhead/timer"
)

const (
	// headerTimeout bounds how long a caller may take to send a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections of callers that stay unused; it exceeds the pauses of callers that keep connections.
	idleTimeout = 2 * time.Minute
	// headerBytes bounds a request's header; the configuration may set a lower limit.
	headerBytes = 1 << 20
	// targetIdle is how long a connection to a target may be unused; targets close theirs after some seconds, and a
	// request that crosses the close may be lost.
	targetIdle = 4 * time.Second
	// targetDial bounds the opening of a connection; between the farthest regions it takes 110 ms.
	targetDial = 400 * time.Millisecond
	// targetAck is how long a target may leave the bytes of a request unacknowledged; a lost packet is sent again within 0.3 s
	// between the farthest regions.
	targetAck = 700 * time.Millisecond
	// targetConnections and targetIdleConnections bound the connections to one target.
	targetConnections     = 64
	targetIdleConnections = 16
	// tickInterval is the pause between the runs of the systems that follow the tables.
	tickInterval = 250 * time.Millisecond
	// accountHistograms is the number of accounts with latencies of their own.
	accountHistograms = 256
)

// Store is the platform's store.
type Store interface {
	replicator.Source
	// Put writes a row.
	Put(ctx context.Context, table, key string, value []byte) error
	// Replace writes a row if it still has a version.
	Replace(ctx context.Context, table, key string, value []byte, version uint64) error
	// Remove removes a row if it still has a version.
	Remove(ctx context.Context, table, key string, version uint64) error
	// Era returns the highest era that an answer told.
	Era() uint64
}

// Listener is an address with what is served there beside the callers' requests.
type Listener struct {
	Name    string
	Address netip.AddrPort
	Handler http.Handler
}

// Config configures a Server.
type Config struct {
	Settings Settings
	Store    Store
	Protocol Protocol
	// Tables are the tables of the store with configuration and targets; what they hold reaches the server by Configure,
	// Evacuate and ListTargets. The first one holds the configuration.
	Tables []replicator.Table
	// Listeners serve what only the platform asks for.
	Listeners []Listener
	Log       *logger.Logger
}

// Server is one instance.
type Server struct {
	settings Settings
	protocol Protocol
	store    Store
	log      *logger.Logger
	clock    timer.Clock
	started  int64
	// begun is the start by the clock, which is never set back.
	begun     time.Time
	listeners []Listener

	// configuration is the table with the configuration.
	configuration string

	book    *cataloger.Book
	placer  *placer.Placer
	targets *forwarder.Forwarder
	rows    *replicator.Replicator
	members *gossiper.Members
	gossip  *gossiper.Gossiper
	peers   peers
	shares  *sharer.Shares
	budget  *sharer.Budget
	gate    *sharer.Gate
	hedger  *hedger.Hedger
	// throttle holds the rates that targets state.
	throttle *sharer.Throttle
	// abstainer holds what targets said of further requests.
	abstainer *abstainer.Abstainer
	// waiting holds the requests that wait for a connection to a target.
	waiting *waiters[abstainer.Incarnation]
	splits  *splits
	trips   trips
	strikes strikes
	outages outages
	meter   *meter.Meter

	limits atomic.Pointer[Limits]
	// unreadable is true while the newest configuration cannot be read, so that an older one is in force.
	unreadable atomic.Bool

	mu sync.Mutex
	// roster and listed are changed by the tables and the ticks.
	roster     cataloger.Roster
	listed     bool
	registered map[string]registration
	// enlisted is closed once this instance's row was written or found.
	enlisted chan struct{}
	// returned is when instances were seen to have registered again.
	returned map[string]time.Time
	lag      lag
	// added is when instances were added to the list since the first one.
	added map[string]time.Time
	// majority is only used to record others as gone.
	majority majority

	// assigning guards misplaced, the targets that are not used because they have the address of an instance, and keeps the
	// catalog from an older roster.
	assigning sync.Mutex
	misplaced map[string]bool

	ready    atomic.Bool
	leaving  atomic.Bool
	draining draining
	inFlight atomic.Int64
	// answers is what answers take that wait for their callers.
	answers room
	// admission holds the budgets of memory and descriptors of the listeners.
	admission admission
}

// New returns a server that does not listen yet.
func New(c Config) (*Server, error) {
	s := &Server{
		settings:  c.Settings,
		protocol:  c.Protocol,
		store:     c.Store,
		log:       c.Log,
		clock:     timer.Now,
		started:   time.Now().UnixNano(),
		begun:     timer.Now(),
		listeners: c.Listeners,
		enlisted:  make(chan struct{}),
		book:      cataloger.NewBook(),
		gate:      sharer.NewGate(c.Settings.Name),
		throttle:  sharer.NewThrottle(c.Settings.Name),
		abstainer: abstainer.New(abstainer.Config{Instance: c.Settings.Name}),
		waiting:   newWaiters[abstainer.Incarnation](),
		budget:    sharer.NewBudget(c.Settings.Limits.Retries),
		hedger:    hedger.New(c.Settings.Limits.hedgeConfig()),
		splits:    newSplits(),
		trips:     trips{regions: map[string]*trip{}},
		meter:     meter.New(meter.Config{AccountHistograms: accountHistograms}),
	}
	s.draining.ending, s.draining.finish = context.WithCancel(context.Background())
	if len(c.Tables) > 0 {
		s.configuration = c.Tables[0].Name
	}
	s.limits.Store(&c.Settings.Limits)
	s.shares = sharer.NewShares(c.Settings.Name, s.begun)
	s.strikes.breaker = breaker.New(breaker.Config{})
	s.targets = forwarder.New(forwarder.Config{
		Protocol:       c.Protocol,
		Dial:           s.dial,
		MaxConnections: targetConnections,
		MaxIdle:        targetIdleConnections,
		IdleLimit:      targetIdle,
		DialTimeout:    targetDial,
		AckTimeout:     targetAck,
	})
	s.peers = newPeers()
	s.placer = placer.New(placer.Config{Name: c.Settings.Name, Region: c.Settings.Region, FailureDomain: c.Settings.FailureDomain, Trip: s.trips.to, Cold: s.gate, Abstainer: s.abstainer, Throttle: s.throttle})
	s.members = gossiper.NewMembers(s.self(), c.Settings.Seeds)
	s.rows = replicator.New(replicator.Config{
		Source: c.Store,
		Peers:  s,
		Tables: s.announced(append(c.Tables, replicator.Table{
			Name:      tableInstances,
			Wait:      instancesWait,
			Pause:     instancesPause,
			Recheck:   instancesRecheck,
			Changed:   s.listInstances,
			Begun:     s.contactInstances,
			Retention: replicator.Retention{Life: retainInstance},
		})),
		Follows: s.follows,
		Log:     c.Log,
		Origin:  c.Settings.Name + "/" + strconv.FormatInt(s.started, 36),
	})
	var err error
	s.gossip, err = gossiper.Listen(gossiper.Config{
		Listen:  c.Settings.Peers,
		Members: s.members,
		Hooks: gossiper.Hooks{
			Self:  s.self,
			State: s.state,
			Load:  s.load,
			Heard: s.hear,
			HeardLoad: func(at time.Time, a netip.Addr, l gossiper.Load) {
				s.placer.Heard(at, a.String(), placer.Report{InFlight: l.InFlight, Placed: l.Placed})
			},
			Give:    func(w map[string]int) map[string]int { return s.shares.Give(s.clock(), w) },
			Receive: func(g map[string]int) { s.shares.Receive(s.clock(), g) },
			Issue:   s.issuePermits,
			ReceivePermits: func(asked time.Time, g map[string]int) {
				s.throttle.Receive(s.clock(), asked, g)
			},
			GrantRun: s.grantRun,
		},
		Log: c.Log,
	})
	return s, err
}

// Limit replaces the limits.
func (s *Server) Limit(l Limits) {
	s.limits.Store(&l)
	s.resize(l)
	s.hedger.Adopt(l.hedgeConfig())
	s.divide()
}

// Run serves until ctx ends, then leaves without cutting requests.
func (s *Server) Run(ctx context.Context) error {
	callers := s.httpServer(guarder.Count(guarder.Config{InFlight: &s.inFlight}, http.HandlerFunc(s.enter)))
	servers := []*http.Server{callers}
	addresses := []Listener{{Name: listenerCallers, Address: s.settings.Callers}, {Name: listenerPeers, Address: s.settings.Peers, Handler: s.peersHandler()}}
	if s.settings.Metrics.IsValid() {
		addresses = append(addresses, Listener{Name: listenerMetrics, Address: s.settings.Metrics, Handler: s.metricsHandler()})
	}
	for _, l := range s.listeners {
		l.Handler = boundCalls(l.Handler)
		addresses = append(addresses, l)
	}
	for _, l := range addresses[1:] {
		servers = append(servers, s.httpServer(l.Handler))
	}
	var front *pipeliner.Listener
	failed := make(chan error, len(servers))
	for i, l := range addresses {
		k, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.Address.String())
		if err != nil {
			s.log.ListenerFailed(l.Name, err)
			return err
		}
		// Calls of peers and for metrics come from the platform's own machines.
		own := l.Name == listenerPeers || l.Name == listenerMetrics
		var b *admitter.Listener
		if !own {
			b = s.budgeted(l.Name, k)
			k = b
		}
		switch {
		case servers[i] == callers:
			front = s.startPipelined(callers, guarder.ReportUnhandled(callers, k, s.reportUnhandled))
			k = front
		case !own:
			k = readOneByOne(servers[i], k)
		}
		if !own {
			b.Attach(servers[i])
		}
		go func() {
			// The listener of callers is closed before its server.
			if err := servers[i].Serve(k); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				s.log.ListenerFailed(l.Name, err)
				failed <- err
			}
		}()
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g sync.WaitGroup
	for _, f := range []func(context.Context){s.rows.Run, s.gossip.Run, s.register, s.followPresence, s.runTicks, s.askForPermits} {
		g.Go(func() { f(work) })
	}
	s.log.Started(s.settings.Callers, s.settings.Peers, netip.AddrPort{}, uint64(s.started)) //nolint:gosec // The time is after 1970.
	var err error
	select {
	case <-ctx.Done():
		s.drain(front)
	case err = <-failed:
	}
	cancel()
	g.Wait()
	for _, h := range servers {
		_ = h.Close()
	}
	return err
}

func (s *Server) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: guarder.LogPanics(s.log, h),
		// net/http would answer "OPTIONS *" by itself.
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               headerBytes,
		// net/http writes only of broken connections of strangers.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func (s *Server) reportUnhandled(u guarder.Unhandled) {
	s.meter.Unhandled(u.Status)
	s.log.RequestUnhandled(u.Status, u.Line, u.Remote, u.Requests, u.BytesRead)
}

func (s *Server) peersHandler() http.Handler {
	r := mux.NewRouter()
	r.Handle(replicator.PathRows, s.rows).Methods(http.MethodGet)
	return r
}

func (s *Server) metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.meter.Write(w, meter.State{InFlight: s.inFlight.Load(), ConfigVersion: s.book.Catalog().Version, TableDifferences: s.rows.Differences(), Budgets: s.use(), Restores: s.restores()})
	}).Methods(http.MethodGet)
	r.HandleFunc(informer.Path, s.serveStatus).Methods(http.MethodGet)
	return r
}

// runTicks runs the systems that follow the tables and the clock.
func (s *Server) runTicks(ctx context.Context) {
	timer.Poll(ctx, tickInterval, func(context.Context) {
		now := s.clock()
		s.extendShares(now)
		s.lapse(now)
		s.checkReady()
		s.sweep(ctx, now)
		s.targets.Tick()
		s.endAbstentions(now)
		s.strikes.tick(now)
		k := s.book.Catalog()
		s.placer.Keep(k.Has)
		s.placer.Adopt(s.instancesByRegion(now), s.instancesByDomain(now))
		s.gate.Keep(k.Has)
		s.throttle.Adopt(s.issuers(now))
		s.throttle.Tick(now)
	})
}

// Ready reports whether callers may be sent here.
func (s *Server) Ready() bool {
	return s.ready.Load()
}

func (s *Server) checkReady() {
	s.mu.Lock()
	listed, registered := s.listed, s.registered != nil
	s.mu.Unlock()
	ready, reason := true, "configuration and targets are known"
	switch {
	case s.leaving.Load():
		ready, reason = false, "leaving"
	case s.book.Catalog().Version == 0:
		ready, reason = false, "no configuration is known"
	case !listed:
		ready, reason = false, "no targets are known"
	case !registered:
		ready, reason = false, "the instances that share the limits are not known"
	}
	if s.ready.Swap(ready) != ready {
		s.log.ReadyChanged(ready, reason)
		s.gossip.Announce("")
	}
}
