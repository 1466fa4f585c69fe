package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"celeryhead.dev/celeryhead/platform/imitator"
)

const (
	host       = "pitch.example"
	key        = "key-of-tenant-one"
	tenant     = "tenant-one"
	startLimit = 20 * time.Second
	portsEach  = 6
)

// lab holds the processes and stand-ins of a case.
type lab struct {
	daemon  string
	dir     string
	trouble bool
	started time.Time
	store   *imitator.Store
	storeAt netip.AddrPort
	ports   int
	// fds is max_fds of the daemons.
	fds int

	mu     sync.Mutex
	record *os.File
	nodes  []*node
	ends   []func()
}

func newLab(daemon, record string) (*lab, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	d, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	l := &lab{daemon: daemon, dir: d, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: f, store: imitator.NewStore(), fds: 4100}
	l.note("trouble %t", l.trouble)
	l.storeAt, _, err = l.serve("127.0.0.1", l.store)
	if err == nil {
		err = l.findPorts()
	}
	return l, err
}

// note writes a line to the record.
func (l *lab) note(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f s  "+format+"\n", append([]any{time.Since(l.started).Seconds()}, a...)...)
}

// serve serves h at an address of its own until the end of the case or until stop is called, which closes all connections.
func (l *lab) serve(ip string, h http.Handler) (at netip.AddrPort, stop func(), err error) {
	k, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(k) }()
	stop = func() { _ = s.Close() }
	l.ends = append(l.ends, stop)
	return k.Addr().(*net.TCPAddr).AddrPort(), stop, nil
}

// findPorts finds ports that are free on the addresses of all daemons.
func (l *lab) findPorts() error {
	for p := 21000 + os.Getpid()%500*20; p < 60000; p += 20 {
		if free(p) {
			l.ports = p
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func free(first int) bool {
	for i := range maxNodes {
		for p := range portsEach {
			k, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeIP(i), first+p))
			if err != nil {
				return false
			}
			_ = k.Close()
		}
	}
	return true
}

func (l *lab) close() {
	for _, n := range l.nodes {
		n.kill()
	}
	for _, f := range l.ends {
		f()
	}
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// maxNodes is the number of daemons of the largest case.
const maxNodes = 5

var (
	zones   = []string{"alm-arbat", "ast-baiterek", "shy-ordabasy"}
	regions = []string{"almaty", "astana", "shymkent"}
)

func nodeIP(i int) string { return fmt.Sprintf("127.0.1.%d", 11+i) }

// node is a daemon, which may be started several times.
type node struct {
	lab      *lab
	name     string
	ip       string
	settings string
	command  *exec.Cmd
	done     chan struct{}
	starts   int
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, n.lab.ports+2) }
func (n *node) ready() string { return fmt.Sprintf("%s:%d", n.ip, n.lab.ports+3) }

// addNode writes the settings of a further daemon.
func (l *lab) addNode(memoryMB int) (*node, error) {
	i := len(l.nodes)
	n := &node{lab: l, name: fmt.Sprintf("edge-%d", i+1), ip: nodeIP(i), settings: filepath.Join(l.dir, fmt.Sprintf("node-%d.toml", i+1))}
	l.nodes = append(l.nodes, n)
	var s strings.Builder
	fmt.Fprintf(&s, "node_name = %q\nrole = \"entry\"\nmachine_class = \"edge\"\nserves = [\"edge\",\"directory\"]\nip = %q\nzone = %q\nregion = %q\n", n.name, n.ip, zones[i%len(zones)], regions[i%len(regions)])
	fmt.Fprintf(&s, "port_range = [%d,%d]\nseeds = [\"%s:%d\",\"%s:%d\"]\nbootstrap = true\nheartbeat = \"1500ms\"\n", l.ports, l.ports+1, nodeIP(0), l.ports+5, nodeIP(1), l.ports+5)
	fmt.Fprintf(&s, "[zones]\n")
	for j, z := range zones {
		fmt.Fprintf(&s, "%s = %q\n", z, regions[j])
	}
	fmt.Fprintf(&s, "[listen]\nfront = %q\nready = %q\ndirectory = \"%s:%d\"\n", n.front(), n.ready(), n.ip, l.ports+4)
	fmt.Fprintf(&s, "[limits]\ncpu_share = 0.32\ncpu_cores = 1\nmemory_mb = %d\nmax_fds = %d\nlink_mbps = 1000.0\ndisk_mb = 0\n", memoryMB, l.fds)
	s.WriteString("[bounds]\ncontact = \"3000ms\"\nack = \"4000ms\"\ndrain = \"2500ms\"\ngrace = \"6s\"\nloss_slack = \"200ms\"\nconfig_apply = \"2500ms\"\nretry_budget_ratio = 0.2\nbudget_window = \"10s\"\nretry_budget_slack = 58\nquota_window = \"5s\"\nttl_max = \"5s\"\n")
	fmt.Fprintf(&s, "[platform]\naddress = %q\nform = \"table\"\n", l.storeAt)
	return n, os.WriteFile(n.settings, []byte(s.String()), 0o600)
}

// start starts the daemon and waits until it is ready.
func (n *node) start() error {
	n.starts++
	out, err := os.Create(filepath.Join(n.lab.dir, fmt.Sprintf("%s-%d.log", n.name, n.starts)))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(n.lab.daemon)
	c.Env = []string{"CELERYHEAD_SETTINGS=" + n.settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	n.command, n.done = c, make(chan struct{})
	n.lab.note("%s starts, process %d", n.name, c.Process.Pid)
	go func(done chan struct{}) {
		err := c.Wait()
		n.lab.note("%s ended: %v", n.name, err)
		close(done)
	}(n.done)
	return nil
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready() + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (n *node) signal(s syscall.Signal) {
	n.lab.note("%s to %s", s, n.name)
	_ = n.command.Process.Signal(s)
}

func (n *node) ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

func (n *node) kill() {
	if n.command == nil || n.ended() {
		return
	}
	_ = n.command.Process.Kill()
	<-n.done
}

// awaitReady waits until all daemons are ready.
func (l *lab) awaitReady() error {
	end := time.Now().Add(startLimit)
	for _, n := range l.nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.note("all daemons are ready")
	return nil
}

// startNodes starts n daemons and waits until they are ready and have heard of each other.
func (l *lab) startNodes(n, memoryMB int) error {
	for range n {
		k, err := l.addNode(memoryMB)
		if err == nil {
			err = k.start()
		}
		if err != nil {
			return err
		}
	}
	if err := l.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// route is a route of the configuration.
type route struct {
	service, kind, timeout string
	public                 bool
	// name is the prefix between slashes; if it is empty the service is.
	name string
	// regions limits where requests run; nil allows all.
	regions []string
}

func (l *lab) configure(version int, rs ...route) error {
	rules, clusters := []any{}, []any{}
	for _, r := range rs {
		name := cmp.Or(r.name, r.service)
		regions := slices.Concat([]string{}, r.regions)
		rules = append(rules, map[string]any{
			"name": "r-" + name, "kind": r.kind, "target_latency": "800ms", "priority": 1, "public": r.public, "sticky": true,
			"match":  map[string]any{"prefix": "/" + name + "/"},
			"action": map[string]any{"service": r.service, "timeout": r.timeout, "max_attempts": 2, "allowed_regions": regions},
		})
		if r.name != "" {
			// Another route has its service.
			continue
		}
		clusters = append(clusters, map[string]any{
			"name": r.service, "health_path": "/healthz", "max_conns": 330, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 2.9,
		})
	}
	b, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants":   []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1, "rate_per_s": 60, "burst": 60, "allowed_regions": []string{}}},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters":  clusters,
	})
	if err == nil {
		l.store.Put("op", "config", string(b))
		l.note("configuration r%d", version)
	}
	return err
}
