// Package rig runs processes of the daemon over stand-ins of the platform's
// store, backends and clients for the scripts of the third review.
package rig

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"celeryhead.dev/celeryhead/platform/imitator"
)

// Zones of a small deployment, as in the site file koshe-pitch.
var Zones = []struct{ Name, Region string }{
	{"alm-arbat", "almaty"}, {"ast-baiterek", "astana"}, {"shy-ordabasy", "shymkent"},
	{"alm-medeu", "almaty"}, {"ast-esil", "astana"}, {"shy-tauke", "shymkent"},
}

// Bounds of the same site file.
const (
	Contact    = 3 * time.Second
	Evacuate   = 5 * time.Second
	MaxStretch = 5 * time.Second
	Apply      = 2500 * time.Millisecond
	Grace      = 6 * time.Second
)

// Record writes what happened.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Line writes one line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Note also prints the line.
func (r *Record) Note(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }

// Serve serves a handler on a loopback address and returns the address.
func Serve(h http.Handler) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}

// Instance is one process of the daemon.
type Instance struct {
	Name, Zone, Region, IP string
	port                   int
	dir                    string
	settings               string
	daemon                 string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Front, Ready and Directory return the addresses of the listeners.
func (i *Instance) Front() string     { return fmt.Sprintf("%s:%d", i.IP, i.port+3) }
func (i *Instance) Ready() string     { return fmt.Sprintf("%s:%d", i.IP, i.port+4) }
func (i *Instance) Directory() string { return fmt.Sprintf("%s:%d", i.IP, i.port+5) }

// FleetConfig configures NewFleet.
type FleetConfig struct {
	Daemon, Dir string
	// Count is the number of instances.
	Count int
	// Store returns the address of the store for an instance.
	Store func(i int) string
	// MemoryMB is the memory of each instance; 0 leaves it out.
	MemoryMB int
}

// NewFleet writes the settings of instances and starts them.
func NewFleet(c FleetConfig) ([]*Instance, error) {
	var is []*Instance
	ip := func(i int) string { return fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, i+1) }
	port, err := freePorts(ip(0), 6)
	if err != nil {
		return nil, err
	}
	for i := range c.Count {
		z := Zones[i%len(Zones)]
		n := &Instance{Name: fmt.Sprintf("edge-%s-%d", z.Name, i/len(Zones)+1), Zone: z.Name, Region: z.Region, IP: ip(i), port: port, dir: c.Dir, daemon: c.Daemon}
		n.settings = filepath.Join(c.Dir, n.Name+".toml")
		var b bytes.Buffer
		fmt.Fprintf(&b, "node_name = %q\nrole = \"entry\"\nmachine_class = \"edge\"\nserves = [\"edge\",\"directory\"]\nip = %q\nzone = %q\nregion = %q\nport_range = [%d,%d]\nseeds = [\"%s:1\",\"%s:1\",\"%s:1\"]\nbootstrap = true\nheartbeat = \"1500ms\"\n[zones]\n",
			n.Name, n.IP, n.Zone, n.Region, port, port+2, ip(0), ip(1), ip(2))
		for _, z := range Zones {
			fmt.Fprintf(&b, "%s = %q\n", z.Name, z.Region)
		}
		fmt.Fprintf(&b, "[listen]\nfront = %q\nready = %q\ndirectory = %q\n", n.Front(), n.Ready(), n.Directory())
		b.WriteString("[bounds]\nseed_lag = \"3s\"\nreuse_delay = \"2s\"\ncontact = \"3000ms\"\nack = \"4000ms\"\ncatch_up = \"4s\"\ndrain = \"2500ms\"\ngrace = \"6s\"\nloss_slack = \"200ms\"\nconfig_apply = \"2500ms\"\nrollback_slack = \"250ms\"\nmax_stretch = \"5000ms\"\nretry_budget_ratio = 0.2\nbudget_window = \"10s\"\nretry_budget_slack = 58\nquota_window = \"5s\"\nquota_overage = 0.1\nquota_slack = 20\ncold_overage = 1.5\ncold_slack = 5\nevacuate = \"5000ms\"\nrecovery = \"15s\"\nttl_max = \"5s\"\nmax_shift = 0.15\n")
		if c.MemoryMB > 0 {
			fmt.Fprintf(&b, "[limits]\nmemory_mb = %d\nmax_fds = 4100\n", c.MemoryMB)
		}
		fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"table\"\nwrites_per_s = 400\nreads_per_s = 2000\n", c.Store(i))
		if err := os.WriteFile(n.settings, b.Bytes(), 0o600); err != nil {
			return is, err
		}
		is = append(is, n)
	}
	for _, n := range is {
		if err := n.Start(); err != nil {
			return is, err
		}
	}
	return is, nil
}

// freePorts returns the first of n consecutive ports that are free at an address.
func freePorts(ip string, n int) (int, error) {
	for p := 21000; p < 29000; p += n + 2 {
		var ls []net.Listener
		for k := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p+k))
			if err != nil {
				break
			}
			ls = append(ls, l)
		}
		for _, l := range ls {
			_ = l.Close()
		}
		if len(ls) == n {
			return p, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports at %s", n, ip)
}

// Start starts the process with the command of the deploy file.
func (i *Instance) Start() error {
	log, err := os.OpenFile(filepath.Join(i.dir, i.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(i.daemon)
	c.Env = append(os.Environ(), "CELERYHEAD_SETTINGS="+i.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.done = c, done
	i.mu.Unlock()
	go func() {
		err := c.Wait()
		i.mu.Lock()
		i.err = err
		i.mu.Unlock()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

// Pid returns the process id.
func (i *Instance) Pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd.Process.Pid
}

// Done is closed when the process has ended.
func (i *Instance) Done() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.done
}

// Err returns how the process ended.
func (i *Instance) Err() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.err
}

// Kill ends the process and waits for its end.
func (i *Instance) Kill() {
	i.Signal(syscall.SIGCONT)
	i.Signal(syscall.SIGKILL)
	if d := i.Done(); d != nil {
		<-d
	}
}

// IsReady asks the instance as the platform does.
func (i *Instance) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	p, err := c.Get("http://" + i.Ready() + "/readyz")
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}

// WaitReady waits until all instances are ready.
func WaitReady(is []*Instance, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, i := range is {
		for !i.IsReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", i.Name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ID returns a new identifier of a request.
func ID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Backend is a stand-in of a backend.
type Backend struct {
	*imitator.Target
	Service, Zone, Address string
	Born                   int64
}

// Row returns the row of the backend.
func (b *Backend) Row(state, cold string, seq int) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":3},"status":{"state":%q,"seq":%d,"cold_left":%q}}`,
		b.Address, b.Born, b.Service, b.Zone, state, seq, cold)
}

// NewBackend starts a backend.
func NewBackend(name, service, zone string) (*Backend, func(), error) {
	b := &Backend{Target: &imitator.Target{Name: name, Slots: 3}, Service: service, Zone: zone, Born: time.Now().UnixMilli()}
	a, stop, err := Serve(b.Target)
	b.Address = a
	return b, stop, err
}

// Client sends requests to one instance over a connection that it keeps.
func Client(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// Do sends a request and returns its status, or 0 with an error.
func Do(ctx context.Context, c *http.Client, method, url, host, id, key, object string, deadline time.Duration, body string) (int, http.Header, string, error) {
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	q.Host = host
	q.Header.Set("Request-Id", id)
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set("Affinity-Key", object)
	q.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	p, err := c.Do(q)
	if err != nil {
		return 0, nil, "", err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return 0, p.Header, string(b), err
	}
	return p.StatusCode, p.Header, string(b), nil
}

// Memory returns what the platform counts of the process, in bytes: its resident memory, and the bytes that its connections at its own
// address have received and it has not read yet.
func (i *Instance) Memory() (resident, unread int64) {
	pid := i.Pid()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for l := range strings.Lines(string(b)) {
		if _, err := fmt.Sscanf(l, "VmRSS: %d kB", &resident); err == nil {
			resident <<= 10
		}
	}
	b, err = os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return resident, 0
	}
	a := net.ParseIP(i.IP).To4()
	own := fmt.Sprintf("%02X%02X%02X%02X:", a[3], a[2], a[1], a[0])
	for l := range strings.Lines(string(b)) {
		// The fields are a number, the addresses, the state (0A listens), and the bytes that wait to be sent and to be read.
		f := strings.Fields(l)
		if len(f) < 5 || !strings.HasPrefix(f[1], own) || f[3] == "0A" {
			continue
		}
		var tx, rx int64
		if _, err := fmt.Sscanf(f[4], "%x:%x", &tx, &rx); err == nil {
			unread += rx
		}
	}
	return resident, unread
}
