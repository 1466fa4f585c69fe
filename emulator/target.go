package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
)

// TargetConfig configures a target.
type TargetConfig struct {
	Name string
	// Slots is the number of requests that may run at once; more are shed.
	Slots int
	// Connections is the number of connections that may be open at once; more are closed.
	Connections int
	// ServiceTime is how long a request holds its slot.
	ServiceTime time.Duration
	// CrashPath is the path of requests that crash the target; empty for none.
	CrashPath string
	// Restart is how long the target refuses connections after a crash.
	Restart time.Duration
}

// Run is an entry of a target's ledger.
type Run struct {
	Target         string    `json:"target"`
	Request        string    `json:"request"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	IdempotencyKey string    `json:"idempotency_key"`
	Start          time.Time `json:"start"`
	End            time.Time `json:"end"`
	// Outcome is done, canceled, crashed or running.
	Outcome string `json:"outcome"`
}

// TargetReport is what a target saw since its start.
type TargetReport struct {
	Runs []Run `json:"runs"`
	// Shed counts requests that were refused because no slot was free: the steering exceeded the slots.
	Shed int `json:"shed"`
	// Late counts requests that were refused because their deadline had passed on arrival.
	Late           int `json:"late"`
	MaxInFlight    int `json:"max_in_flight"`
	MaxConnections int `json:"max_connections"`
	// DrainArrivals counts requests that arrived after the drain signal; LastDrainArrivalMs is the delay of the last one.
	DrainArrivals      int   `json:"drain_arrivals"`
	LastDrainArrivalMs int64 `json:"last_drain_arrival_ms"`
	// KeysSeen counts requests in which a caller's key was found.
	KeysSeen int `json:"keys_seen"`
}

// TargetFaults are the faults of a target that can be set at run time.
type TargetFaults struct {
	// Draining answers the health endpoint with a drain signal and sheds new work.
	Draining bool `json:"draining"`
	// LyingHealth answers the health endpoint with a failure although work succeeds.
	LyingHealth bool `json:"lying_health"`
	// Failing answers every request with status 500.
	Failing bool `json:"failing"`
	// Truncate closes the connection in the middle of each answer.
	Truncate bool `json:"truncate"`
	// Silent swallows everything on the connections that are open now.
	Silent bool `json:"silent"`
	// ServiceTimeMs replaces the service time if it is positive.
	ServiceTimeMs int `json:"service_time_ms"`
}

// Target emulates a target with slots, drain, health and load endpoints, and a ledger of what ran.
type Target struct {
	config TargetConfig
	router *mux.Router

	mu       sync.Mutex
	faults   TargetFaults
	report   TargetReport
	inFlight int
	// open maps each open connection to whether it is silent.
	open map[net.Conn]*atomic.Bool
	// drained is when the drain signal was set.
	drained time.Time

	// listener and server are set by Serve.
	listener *targetListener
	server   *http.Server
}

// NewTarget returns a target that is not listening yet.
func NewTarget(c TargetConfig) *Target {
	t := &Target{config: c, router: mux.NewRouter(), open: map[net.Conn]*atomic.Bool{}}
	t.router.HandleFunc("/health", t.health)
	t.router.HandleFunc("/load", t.load)
	t.router.HandleFunc("/admin/ledger", t.ledger).Methods(http.MethodGet)
	t.router.HandleFunc("/admin/faults", t.setFaults).Methods(http.MethodPost)
	t.router.PathPrefix("/").HandlerFunc(t.work)
	return t
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Serve accepts connections on l until it is closed.
func (t *Target) Serve(l net.Listener) error {
	t.listener = &targetListener{Listener: l, address: l.Addr(), target: t, up: make(chan struct{})}
	close(t.listener.up)
	t.server = &http.Server{
		Handler:           t.router,
		ReadHeaderTimeout: time.Minute,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	if err := t.server.Serve(t.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends the target and its connections at once; Serve must have been called.
func (t *Target) Close() error {
	return t.server.Close()
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.setFaultsFrom(f, nil)
}

// setFaultsFrom spares the connection on which the faults were set.
func (t *Target) setFaultsFrom(f TargetFaults, spared any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.Draining && !t.faults.Draining {
		t.drained = time.Now()
	}
	t.faults = f
	if !f.Silent {
		return
	}
	for c, s := range t.open {
		s.Store(c != spared)
	}
}

// Report returns what the target saw so far.
func (t *Target) Report() TargetReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.Runs = append([]Run(nil), t.report.Runs...)
	return r
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	switch {
	case f.Draining:
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "draining\n")
	case f.LyingHealth:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		_, _ = io.WriteString(w, "ok\n")
	}
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(w, "{\"slots\":%d,\"in_flight\":%d}\n", t.config.Slots, t.inFlight)
}

func (t *Target) ledger(w http.ResponseWriter, _ *http.Request) {
	answer(w, t.Report())
}

func (t *Target) setFaults(w http.ResponseWriter, r *http.Request) {
	var f TargetFaults
	if !decode(w, r, &f) {
		return
	}
	t.setFaultsFrom(f, r.Context().Value(connKey{}))
}
