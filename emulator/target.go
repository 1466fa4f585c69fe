package emulator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
)

// Headers that a target reads and writes.
const (
	headerDeadline = "Celeryhead-Deadline"
	headerRan      = "Celeryhead-Ran"
	headerRequest  = "X-Request-Id"
	headerTarget   = "X-Target"
)

// keyShape matches a caller's key; a target must never see one.
var keyShape = regexp.MustCompile(`ch_[a-z0-9-]+_[a-z0-9-]+_[A-Za-z0-9_-]{43}`)

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
	open     map[net.Conn]*atomic.Bool
	listener *targetListener
	drained  time.Time
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

// Close ends the target and its connections at once.
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

// work runs a request: it takes a slot, holds it for the service time and answers with what it received.
func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	i, f, ok := t.start(w, r, b)
	if !ok {
		return
	}
	d := t.config.ServiceTime
	if f.ServiceTimeMs > 0 {
		d = time.Duration(f.ServiceTimeMs) * time.Millisecond
	}
	e := time.NewTimer(d)
	defer e.Stop()
	select {
	case <-e.C:
	case <-r.Context().Done():
		t.finish(i, "canceled")
		panic(http.ErrAbortHandler)
	}
	if t.config.CrashPath != "" && r.URL.Path == t.config.CrashPath {
		t.finish(i, "crashed")
		t.crash()
		panic(http.ErrAbortHandler)
	}
	t.finish(i, "done")
	reply(w, r, t.config.Name, b, f)
}

// start enters a run into the ledger, or answers why the request does not run.
func (t *Target) start(w http.ResponseWriter, r *http.Request, body []byte) (int, TargetFaults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if showsKey(r, body) {
		t.report.KeysSeen++
	}
	if late(r.Header.Get(headerDeadline)) {
		t.report.Late++
		shed(w, http.StatusGatewayTimeout)
		return 0, t.faults, false
	}
	if t.faults.Draining {
		t.report.DrainArrivals++
		t.report.LastDrainArrivalMs = time.Since(t.drained).Milliseconds()
		shed(w, http.StatusServiceUnavailable)
		return 0, t.faults, false
	}
	if t.inFlight >= t.config.Slots {
		t.report.Shed++
		shed(w, http.StatusServiceUnavailable)
		return 0, t.faults, false
	}
	t.inFlight++
	t.report.MaxInFlight = max(t.report.MaxInFlight, t.inFlight)
	t.report.Runs = append(t.report.Runs, Run{
		Target:         t.config.Name,
		Request:        r.Header.Get(headerRequest),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Start:          time.Now(),
		Outcome:        "running",
	})
	return len(t.report.Runs) - 1, t.faults, true
}

func (t *Target) finish(i int, outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.report.Runs[i].End = time.Now()
	t.report.Runs[i].Outcome = outcome
}

// crash breaks every connection and refuses new ones until the restart.
func (t *Target) crash() {
	t.listener.down(t.config.Restart)
	t.mu.Lock()
	open := slices.Collect(maps.Keys(t.open))
	t.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

func reply(w http.ResponseWriter, r *http.Request, name string, body []byte, f TargetFaults) {
	h := w.Header()
	h.Set(headerRequest, r.Header.Get(headerRequest))
	h.Set(headerTarget, name)
	h.Set("Content-Type", "text/plain")
	s := sha256.Sum256(body)
	a := strings.Repeat(fmt.Sprintf("%s %s %s body=%s\n", name, r.Method, r.URL.RequestURI(), hex.EncodeToString(s[:8])), repeats(r))
	if f.Failing {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if f.Truncate {
		h.Set("Content-Length", strconv.Itoa(len(a)))
		_, _ = io.WriteString(w, a[:len(a)/2]) //nolint:gosec // Plain text for tests.
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, a) //nolint:gosec // Plain text for tests.
}

// repeats lets a request ask for a long answer.
func repeats(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("repeat"))
	if err != nil || n < 1 {
		return 1
	}
	return min(n, 100_000)
}

func shed(w http.ResponseWriter, status int) {
	w.Header().Set(headerRan, "not-run")
	w.WriteHeader(status)
}

func late(deadline string) bool {
	if deadline == "" {
		return false
	}
	d, err := time.Parse(time.RFC3339, deadline)
	return err == nil && time.Now().After(d)
}

func showsKey(r *http.Request, body []byte) bool {
	if keyShape.MatchString(r.URL.RequestURI()) || keyShape.Match(body) {
		return true
	}
	for _, h := range []http.Header{r.Header, r.Trailer} {
		for n, vs := range h {
			if keyShape.MatchString(n + " " + strings.Join(vs, " ")) {
				return true
			}
		}
	}
	return false
}

// targetListener counts connections, closes those beyond the limit, and refuses all while the target is down.
type targetListener struct {
	net.Listener
	address net.Addr
	target  *Target

	mu sync.Mutex
	// up is closed while the target accepts connections.
	up chan struct{}
}

// Accept returns the next connection that the target has room for.
func (l *targetListener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if c == nil {
			continue
		}
		if k := l.target.admit(c); k != nil {
			return k, nil
		}
		// A reset tells the client that no byte of its request was read.
		if s, ok := c.(*net.TCPConn); ok {
			_ = s.SetLinger(0)
		}
		_ = c.Close()
	}
}

// accept returns nil without an error if the target went down meanwhile.
func (l *targetListener) accept() (net.Conn, error) {
	l.mu.Lock()
	up, k := l.up, l.Listener
	l.mu.Unlock()
	<-up
	c, err := k.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.up != up || l.Listener != k {
		return nil, nil
	}
	return nil, err
}

// down closes the listener, so that connections are refused, and opens it again after d.
func (l *targetListener) down(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.up:
	default:
		return
	}
	l.up = make(chan struct{})
	_ = l.Close()
	time.AfterFunc(d, l.open)
}

func (l *targetListener) open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c net.ListenConfig
	k, err := c.Listen(context.Background(), l.address.Network(), l.address.String())
	if err != nil {
		time.AfterFunc(retryListen, l.open)
		return
	}
	l.Listener = k
	close(l.up)
}

// retryListen is the pause before another try to listen, while another process holds the port.
const retryListen = 50 * time.Millisecond

func (t *Target) admit(c net.Conn) net.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config.Connections > 0 && len(t.open) >= t.config.Connections {
		return nil
	}
	k := &targetConn{Conn: c, target: t}
	t.open[k] = &k.silent
	t.report.MaxConnections = max(t.report.MaxConnections, len(t.open))
	return k
}

type targetConn struct {
	net.Conn
	target *Target
	silent atomic.Bool
	closed sync.Once
}

// Read drops what arrives once the connection is silent.
func (c *targetConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends to send once the connection is silent.
func (c *targetConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and gives its place free.
func (c *targetConn) Close() error {
	c.closed.Do(c.release)
	return c.Conn.Close()
}

func (c *targetConn) release() {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	delete(c.target.open, c)
}
