package handler

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"celeryhead.dev/celeryhead/admitter"
	"celeryhead.dev/celeryhead/meter"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/spooler"
)

// Admission configures the budgets of connections; 0 means the default of a field.
type Admission struct {
	// MemoryPercent is the part of the memory of the process that requests may hold.
	MemoryPercent int
	// Files is the number of descriptors that no connection may use.
	Files int
	// AddressPercent is the part of the budget of a listener above which the connections of one address are closed first.
	AddressPercent int
}

// Defaults of Admission. Together with the quarter of the memory for answers the budgets stay below the memory at which the
// collector begins to hinder the process.
const (
	defaultMemoryPercent  = 25
	defaultFiles          = 200
	defaultAddressPercent = 25
	// filesDivisor bounds the descriptors for files to a part of all, for processes with few.
	filesDivisor = 4
)

const (
	// Names of the listeners that each server has.
	listenerCallers = "callers"
	listenerPeers   = "peers"
	listenerMetrics = "metrics"
	// ListenerLookups is the name under which the platform serves look-ups; they get a larger part of the budgets than others.
	ListenerLookups = "lookups"

	percent = 100
)

// part is the part of the budgets that a listener has, in percent.
type part struct {
	memory, descriptors int
}

// parts are the parts of the listeners; peers, the store, metrics and unused connections to targets have the rest of the
// descriptors.
var parts = map[string]part{
	listenerCallers: {memory: 66, descriptors: 70},
	ListenerLookups: {memory: 18, descriptors: 15},
}

// otherPart is the part of each further listener.
var otherPart = part{memory: 16, descriptors: 5}

func partOf(listener string) part {
	if p, ok := parts[listener]; ok {
		return p
	}
	return otherPart
}

// reportInterval is the shortest time between two log lines of a listener on closed connections.
const reportInterval = time.Second

// overloadedRetryAfter is told to callers whose request found no room.
const overloadedRetryAfter = 200 * time.Millisecond

// errOverloaded is the refusal of a request that finds no room.
var errOverloaded = &responder.Refusal{
	Status:     http.StatusServiceUnavailable,
	Reason:     responder.Overloaded,
	Ran:        responder.NotRun,
	Message:    "this instance has no room for the request; use another one",
	RetryAfter: overloadedRetryAfter,
}

// admission holds the budgets of the listeners.
type admission struct {
	mu     sync.Mutex
	gates  map[string]*admitter.Listener
	logged map[string]reported
}

// reported is the state of the log lines of a listener.
type reported struct {
	last     time.Time
	unlogged int
}

// size returns the budget of a listener.
func (l Limits) size(listener string) admitter.Limits {
	a := l.Admission
	p := partOf(listener)
	memory := l.Memory
	if memory <= 0 {
		memory = unknownMemory
	}
	return admitter.Limits{
		Bytes:          memory * int64(or(a.MemoryPercent, defaultMemoryPercent)) / percent * int64(p.memory) / percent,
		Descriptors:    max(1, l.sockets()*p.descriptors/percent),
		AddressPercent: or(a.AddressPercent, defaultAddressPercent),
	}
}

// sockets returns the number of descriptors that connections may have.
func (l Limits) sockets() int {
	n := descriptorLimit()
	if l.Descriptors > 0 {
		n = min(n, l.Descriptors)
	}
	return n - min(or(l.Admission.Files, defaultFiles), n/filesDivisor)
}

// maxDescriptors is counted for a process that has no limit of its own.
const maxDescriptors = 1 << 20

func descriptorLimit() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return maxDescriptors
	}
	return int(min(r.Cur, maxDescriptors)) //nolint:gosec // It is at most maxDescriptors.
}

func or(v, otherwise int) int {
	if v > 0 {
		return v
	}
	return otherwise
}

// budgeted puts the budget of a listener above its socket.
func (s *Server) budgeted(name string, l net.Listener) *admitter.Listener {
	run := 0
	if name == listenerCallers {
		// The connection to the target.
		run = 1
	}
	g := admitter.Listen(l, admitter.Config{
		Limits:         s.limits.Load().size(name),
		RunDescriptors: run,
		Bounds: func() admitter.Bounds {
			b := s.book.Catalog().Limits
			return admitter.Bounds{HeadBytes: b.HeadBytes, HeadTime: b.HeadTime, IdleTime: b.IdleTime}
		},
		Report: func(r admitter.Report) { s.reportClosed(name, r) },
	})
	s.admission.mu.Lock()
	defer s.admission.mu.Unlock()
	if s.admission.gates == nil {
		s.admission.gates, s.admission.logged = map[string]*admitter.Listener{}, map[string]reported{}
	}
	s.admission.gates[name] = g
	return g
}

// resize gives the listeners their parts of changed limits.
func (s *Server) resize(l Limits) {
	s.admission.mu.Lock()
	defer s.admission.mu.Unlock()
	for n, g := range s.admission.gates {
		g.Limit(l.size(n))
	}
}

// reportClosed counts a connection that was closed or a request that was refused, and logs it at most once a second.
func (s *Server) reportClosed(listener string, r admitter.Report) {
	s.meter.AdmissionDenied(listener, string(r.Reason))
	now := s.clock()
	s.admission.mu.Lock()
	k := s.admission.logged[listener]
	log := now.Sub(k.last) >= reportInterval
	if log {
		s.admission.logged[listener] = reported{last: now}
	} else {
		k.unlogged++
		s.admission.logged[listener] = k
	}
	s.admission.mu.Unlock()
	if log {
		s.log.AdmissionDenied(listener, string(r.Reason), r.Remote, r.Bytes, k.unlogged)
	}
}

// use returns what the listeners use of their budgets.
func (s *Server) use() map[string]meter.Budget {
	s.admission.mu.Lock()
	defer s.admission.mu.Unlock()
	m := map[string]meter.Budget{}
	for n, g := range s.admission.gates {
		b, c := g.Use()
		z := s.limits.Load().size(n)
		m[n] = meter.Budget{Bytes: b, Descriptors: c, MaxBytes: z.Bytes, MaxDescriptors: z.Descriptors}
	}
	return m
}

// boundCalls bounds how long a call that has no deadline may wait for its caller, and closes the connection of one that finds no
// room.
func boundCalls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if admitter.FromContext(r.Context()).Refused() {
			panic(http.ErrAbortHandler)
		}
		spooler.LimitWrites(w, time.Now())
		h.ServeHTTP(w, r)
		if r.ContentLength != 0 {
			// net/http reads the rest of the body.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
		}
	})
}

// restTimeout bounds how long net/http waits for the rest of a body after the answer to a call.
const restTimeout = time.Second
