package launcher_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/launcher"
)

var seed = flag.Uint64("seed", 1, "seed of the callers' choices")

// maxReport bounds what a test prints of a fault in a log, in bytes.
const maxReport = 4000

var bin string

// TestMain builds the programs with the race detector, so that a race in a daemon shows in its log.
func TestMain(m *testing.M) {
	flag.Parse()
	d, err := os.MkdirTemp("", "celeryhead-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	bin = d
	c := exec.Command("go", "build", "-race", "-o", d+"/", "celeryhead.dev/celeryhead/cmd/...")
	c.Stderr = os.Stderr
	n := 1
	if err := c.Run(); err == nil {
		n = m.Run()
	}
	_ = os.RemoveAll(d)
	os.Exit(n)
}

// quick shortens deadlines, so that owners take over soon, and health checks stay as they are.
func quick(c *composer.Config) {
	c.Lookup.TimeToLive = 2 * time.Second
	for i := range c.Routes {
		c.Routes[i].Deadline = 3 * time.Second
	}
}

type system struct {
	*launcher.Deployment
	t      *testing.T
	dir    string
	client *http.Client
}

// start starts a deployment with its configuration applied and every target in use. Tests with deployments run side by
// side, as many as -parallel says, since they mostly wait.
func start(t *testing.T, c launcher.Config) *system {
	t.Helper()
	t.Parallel()
	c.Bin, c.Dir = bin, t.TempDir()
	if c.Edit == nil {
		c.Edit = quick
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d, err := launcher.Start(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	s := &system{Deployment: d, t: t, dir: c.Dir, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}}
	t.Cleanup(s.stop)
	r, err := d.Apply(ctx, d.Instances[0], 0)
	if err != nil || r.Version != 1 {
		t.Fatalf("apply: %v, %v", r, err)
	}
	if err := d.Ready(ctx, 1, "pitch_map", "booking_desk", "fee_ledger"); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *system) stop() {
	s.Stop()
	ls, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	if err != nil {
		s.t.Error(err)
	}
	for _, l := range ls {
		b, err := os.ReadFile(l)
		if err != nil {
			s.t.Error(err)
		}
		if bytes.Contains(b, []byte("DATA RACE")) || bytes.Contains(b, []byte("panic:")) {
			i := max(bytes.Index(b, []byte("DATA RACE")), bytes.Index(b, []byte("panic:")))
			s.t.Errorf("%s: %s", filepath.Base(l), b[i:min(len(b), i+maxReport)])
		}
		for a, k := range s.Secrets {
			if bytes.Contains(b, []byte(k)) {
				s.t.Errorf("%s holds the key of %s", filepath.Base(l), a)
			}
		}
	}
	if s.t.Failed() {
		s.keepLogs(ls)
	}
}

// keepLogs prints the ends of the logs, and copies them to the directory that CELERYHEAD_LOGS names.
func (s *system) keepLogs(ls []string) {
	d := os.Getenv("CELERYHEAD_LOGS")
	for _, l := range ls {
		b, err := os.ReadFile(l)
		if err == nil && d != "" {
			err = os.WriteFile(filepath.Join(d, filepath.Base(l)), b, 0o600)
		}
		if err != nil {
			s.t.Error(err)
		}
		n := bytes.Split(bytes.TrimSpace(b), []byte("\n"))
		s.t.Logf("end of %s:\n%s", filepath.Base(l), bytes.Join(n[max(0, len(n)-8):], []byte("\n")))
	}
}

// sending is one request and what its caller was told.
type sending struct {
	key      string
	instance string
	status   int
	reason   string
	ran      string
	body     string
	replayed bool
	err      error
	start    time.Time
	duration time.Duration
}

// answered reports whether the caller got a whole answer of a target.
func (r sending) answered() bool {
	return r.err == nil && r.ran == "" && r.status == http.StatusOK
}

func (r sending) String() string {
	return fmt.Sprintf("%s %s at %s: status %d, reason %q, ran %q, error %v, after %v: %s",
		r.start.UTC().Format("15:04:05.000"), r.key, r.instance, r.status, r.reason, r.ran, r.err, r.duration.Round(time.Millisecond), strings.TrimSpace(r.body))
}

type order struct {
	method, path, account, key, body string
	header                           http.Header
}

// send sends one request to an instance; a truncated answer is an error.
func (s *system) send(i *launcher.Instance, o order) (a sending) {
	r, err := http.NewRequest(o.method, "http://"+i.Callers.String()+o.path, strings.NewReader(o.body))
	if err != nil {
		s.t.Error(err)
	}
	if o.header != nil {
		r.Header = o.header.Clone()
	}
	if o.account != "" {
		r.Header.Set("Authorization", "Bearer "+s.Secrets[o.account])
	}
	if o.key != "" {
		r.Header.Set("Idempotency-Key", o.key)
	}
	r.Header.Set("X-Request-Id", o.key)
	a = sending{key: o.key, instance: i.Name, start: time.Now()}
	// The result is named, so that the duration is set in what the caller gets.
	defer func() { a.duration = time.Since(a.start) }()
	p, err := s.client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	a.status, a.body, a.err = p.StatusCode, string(b), err
	a.reason, a.ran = p.Header.Get("Celeryhead-Reason"), p.Header.Get("Celeryhead-Ran")
	a.replayed = p.Header.Get("Idempotency-Replayed") != ""
	return a
}

// callers send orders until stop is called, which returns all sendings.
func (s *system) callers(n int, next func(r *rand.Rand, caller, count int) []sending) (stop func() []sending) {
	var mu sync.Mutex
	var all []sending
	done := make(chan struct{})
	var g sync.WaitGroup
	for c := range n {
		g.Go(func() {
			r := rand.New(rand.NewPCG(*seed, uint64(c)))
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				default:
				}
				a := next(r, c, k)
				mu.Lock()
				all = append(all, a...)
				mu.Unlock()
			}
		})
	}
	return sync.OnceValue(func() []sending {
		close(done)
		g.Wait()
		return all
	})
}

// pick returns an instance by the caller's own choice, as if it held an older answer.
func (s *system) pick(r *rand.Rand) *launcher.Instance {
	return s.Instances[r.IntN(len(s.Instances))]
}

// book sends one booking until it has an answer or its tries are used up, with the same key each time.
func (s *system) book(r *rand.Rand, key string, tries int) []sending {
	var all []sending
	for range tries {
		a := s.send(s.pick(r), order{method: http.MethodPost, path: "/bookings", account: "almaty-markets", key: key, body: key})
		all = append(all, a)
		if a.answered() || a.reason == "outcome_unknown" {
			break
		}
		pause(100 * time.Millisecond)
	}
	return all
}

// pause waits in real time: the processes under test have clocks of their own.
func pause(d time.Duration) {
	<-time.After(d)
}

// runs returns the ledgers of all targets, checked against the slots and for keys.
func (s *system) runs() []emulator.Run {
	s.t.Helper()
	var all []emulator.Run
	for n := range s.Targets {
		var r emulator.TargetReport
		// A target that crashed accepts connections again after a second.
		s.eventually(5*time.Second, func() bool {
			var err error
			r, err = s.Report(s.t.Context(), n)
			return err == nil
		})
		if r.Shed > 0 || r.MaxInFlight > 3 {
			s.t.Errorf("target %s: %d requests beyond its slots, at most %d in flight", n, r.Shed, r.MaxInFlight)
		}
		if r.KeysSeen > 0 {
			s.t.Errorf("target %s saw a caller's key", n)
		}
		if r.MaxConnections > 330 {
			s.t.Errorf("target %s had %d connections", n, r.MaxConnections)
		}
		all = append(all, r.Runs...)
	}
	return all
}

// checkOnce compares ledgers and answers: no key runs twice, and no request whose sendings were all refused as not run has run.
func (s *system) checkOnce(all []sending) {
	s.t.Helper()
	count := map[string]int{}
	body := map[string]string{}
	for _, r := range s.runs() {
		if r.IdempotencyKey != "" {
			count[r.IdempotencyKey]++
		}
	}
	maybe := map[string]bool{}
	answered := 0
	for _, a := range all {
		if a.answered() {
			answered++
			if count[a.key] != 1 {
				s.t.Errorf("%v was answered but ran %d times", a, count[a.key])
			}
			if b, ok := body[a.key]; ok && b != a.body {
				s.t.Errorf("%s got two answers: %q and %q", a.key, b, a.body)
			}
			body[a.key] = a.body
		}
		if a.ran != "not-run" {
			maybe[a.key] = true
		}
	}
	for k, n := range count {
		if n > 1 {
			s.t.Errorf("%s ran %d times", k, n)
		}
		if !maybe[k] {
			s.t.Errorf("%s ran although every sending was refused as not run", k)
		}
	}
	s.t.Logf("%d sendings, %d answered, %d keys ran", len(all), answered, len(count))
}

// restart starts an instance again and waits until its listener is open.
func (s *system) restart(i *launcher.Instance) {
	s.t.Helper()
	if err := s.StartInstance(i); err != nil {
		s.t.Fatal(err)
	}
	s.eventually(20*time.Second, func() bool {
		c, err := net.Dial("tcp", i.Callers.String())
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
}

// eventually waits until f holds; the bound is that of the requirement.
func (s *system) eventually(d time.Duration, f func() bool) time.Duration {
	s.t.Helper()
	b := time.Now()
	for !f() {
		if time.Since(b) > d {
			s.t.Fatalf("not reached within %v", d)
		}
		pause(20 * time.Millisecond)
	}
	return time.Since(b)
}

// network holds a relay on each path from a daemon to the store, to the list and to each other daemon.
type network struct {
	t      *testing.T
	relays map[launcher.Path]*launcher.Relay
}

func newNetwork(t *testing.T) *network {
	t.Helper()
	n := &network{t: t, relays: map[launcher.Path]*launcher.Relay{}}
	t.Cleanup(func() { n.on(anyPath, (*launcher.Relay).Close) })
	return n
}

// through returns the relay's address on a path to a.
func (n *network) through(p launcher.Path, a netip.AddrPort) netip.AddrPort {
	if n.relays[p] == nil {
		r, err := launcher.NewRelay(a)
		if err != nil {
			n.t.Fatal(err)
		}
		n.relays[p] = r
	}
	return n.relays[p].Address()
}

// on calls f for the relays of all paths that match, and fails the test if there are none.
func (n *network) on(match func(launcher.Path) bool, f func(*launcher.Relay)) {
	n.t.Helper()
	k := 0
	for p, r := range n.relays {
		if match(p) {
			f(r)
			k++
		}
	}
	if k == 0 {
		n.t.Error("no path matches")
	}
}

func anyPath(launcher.Path) bool {
	return true
}

// around matches the paths between a group of daemons and everything else, in both directions.
func around(names ...string) func(launcher.Path) bool {
	return func(p launcher.Path) bool { return slices.Contains(names, p.From) != slices.Contains(names, p.To) }
}

// peersOf matches the paths between a daemon and the other daemons, in both directions.
func peersOf(name string) func(launcher.Path) bool {
	return func(p launcher.Path) bool {
		return around(name)(p) && p.To != launcher.ToTable && p.To != launcher.ToList
	}
}
