package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/launcher"
	"celeryhead.dev/celeryhead/platform/imitator"
)

// Sizes of the deployment.
const (
	defaultInstances = 3
	defaultTargets   = 3
	targetSlots      = 8
)

// Ports of an instance, counted from the first one.
const (
	portPeers = iota
	portMetrics
	portFront
	portReady
	portDirectory
	portControl
	portCount
)

const (
	readyLimit = 20 * time.Second
	host       = "jepu9.example"
)

var zones = []struct{ name, region string }{{"alm-arbat", "almaty"}, {"ast-esil", "astana"}, {"shy-tauke", "shymkent"}, {"alm-medeu", "almaty"}}

type object = map[string]any

// fleet is a small deployment: the store, targets and instances.
type fleet struct {
	record    *record
	daemon    string
	dir       string
	port      int
	store     *imitator.Store
	parts     *partialStore
	storeAt   string
	instances []*instance
	targets   []*target
	// instanceCount is the number of instances that startInstances starts.
	instanceCount int
	// targetsPerService is the number of targets that addTargets adds.
	targetsPerService int
	servers           []*http.Server
}

// instance is a process of celeryheadd.
type instance struct {
	name, zone, region string
	address            netip.Addr
	settings           string
	process            *launcher.Process
}

func newFleet(r *record, daemon, dir string) (*fleet, error) {
	p, err := launcher.FreePorts(portCount)
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, daemon: daemon, dir: dir, port: p, instanceCount: defaultInstances, targetsPerService: defaultTargets, parts: newPartialStore(r, "servers")}
	f.store = f.parts.Store
	f.storeAt, _, err = f.serve("127.0.0.1:0", f.parts)
	return f, err
}

// serve serves a stand-in and returns its address and its server.
func (f *fleet) serve(address string, h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), s, nil
}

// stop ends all that the fleet started.
func (f *fleet) stop() {
	for _, n := range f.instances {
		n.process.Kill()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// addTargets adds the targets of a service, one in each zone.
func (f *fleet) addTargets(service string, delay time.Duration) error {
	for i := range f.targetsPerService {
		t := &target{record: f.record, name: fmt.Sprintf("i-%s-%d", service, i+1), service: service, delay: delay}
		t.zone, t.born = zones[i%defaultInstances].name, time.Now()
		var err error
		if t.address, t.server, err = f.serve(fmt.Sprintf("127.0.2.%d:0", len(f.targets)+1), t); err != nil {
			return err
		}
		f.targets = append(f.targets, t)
		f.list(t, "ready", 1)
	}
	return nil
}

// list writes the entry of a target.
func (f *fleet) list(t *target, state string, seq int) {
	f.store.Put("servers", t.name, encode(object{
		"address": t.address,
		"born":    t.born.UnixMilli(),
		"info":    object{"service": t.service, "version": "v1", "zone": t.zone, "slots": targetSlots},
		"status":  object{"state": state, "seq": seq, "cold_left": "0ms"},
	}))
}

// route is a route of the host.
type route struct {
	prefix, kind, service string
}

// tenant is a tenant without a quota.
type tenant struct{ name, key string }

// configure writes a version of the configuration.
func (f *fleet) configure(version int, routes []route, tenants []tenant) {
	rules, services, accounts, seen := []object{}, []object{}, []object{}, map[string]bool{}
	for _, r := range routes {
		rules = append(rules, object{
			"name": "r-" + strings.Trim(r.prefix, "/"), "kind": r.kind, "target_latency": "600ms", "priority": 1, "public": false, "sticky": true,
			"match":  object{"prefix": r.prefix},
			"action": object{"service": r.service, "timeout": "3000ms", "max_attempts": 2, "allowed_regions": []string{}},
		})
		if !seen[r.service] {
			services = append(services, object{"name": r.service, "health_path": "/healthz", "max_conns": 330, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 2.9})
		}
		seen[r.service] = true
	}
	for _, t := range tenants {
		accounts = append(accounts, object{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "allowed_regions": []string{}})
	}
	f.store.Put("op", "config", encode(object{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants":   accounts,
		"listeners": []object{{"host": host, "rules": rules}},
		"clusters":  services,
	}))
}

func encode(o object) string {
	b, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// startInstances starts the instances and waits until all are ready.
func (f *fleet) startInstances() error {
	for i := range f.instanceCount {
		n := &instance{name: fmt.Sprintf("edge-%s-1", zones[i].name), zone: zones[i].name, region: zones[i].region, address: netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})}
		n.settings = filepath.Join(f.dir, n.name+".toml")
		if err := f.writeSettings(n); err != nil {
			return err
		}
		var err error
		n.process, err = launcher.StartProcess(launcher.ProcessConfig{
			Program:     f.daemon,
			Environment: []string{"CELERYHEAD_SETTINGS=" + n.settings},
			Log:         filepath.Join(f.dir, n.name+".log"),
		})
		if err != nil {
			return err
		}
		f.instances = append(f.instances, n)
	}
	end := time.Now().Add(readyLimit)
	for _, n := range f.instances {
		for !f.ready(n) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", n.name, readyLimit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.addf("all %d instances are ready", len(f.instances))
	return nil
}

func (f *fleet) at(n *instance, port int) string {
	return netip.AddrPortFrom(n.address, uint16(f.port+port)).String()
}

func (f *fleet) ready(n *instance) bool {
	c := http.Client{Timeout: time.Second}
	p, err := c.Get("http://" + f.at(n, portReady) + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, p.Body)
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}

// writeSettings writes the settings file with the fields and bounds of a small deployment.
func (f *fleet) writeSettings(n *instance) error {
	t := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge","directory"]
ip = %q
zone = %q
region = %q
port_range = [%d,%d]
seeds = ["127.0.1.1:%d","127.0.1.2:%d"]
bootstrap = true
heartbeat = "1500ms"
[zones]
`, n.name, n.address, n.zone, n.region, f.port+portPeers, f.port+portMetrics, f.port+portControl, f.port+portControl)
	for _, z := range zones {
		t += fmt.Sprintf("%s = %q\n", z.name, z.region)
	}
	t += fmt.Sprintf(`[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu_share = 0.32
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact = "3000ms"
drain = "2500ms"
grace = "6s"
loss_slack = "200ms"
config_apply = "2500ms"
retry_budget_ratio = 0.2
budget_window = "10s"
retry_budget_slack = 58
quota_window = "5s"
ttl_max = "5s"
[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
row_bytes = 65536
across = true
history = "20s"
`, f.at(n, portFront), f.at(n, portReady), f.at(n, portControl), f.at(n, portDirectory), f.storeAt)
	return os.WriteFile(n.settings, []byte(t), 0o600)
}

// work is a request that a target began to work on.
type work struct {
	id, tenant, expected, target, service string
	at, ended                             time.Time
	// cut is true if the connection ended before the answer.
	cut bool
}

// target is a sound backend: it checks Expect-Instance, works for a fixed time and signs its answer.
type target struct {
	record                       *record
	name, service, address, zone string
	delay                        time.Duration
	born                         time.Time
	server                       *http.Server
	// began is told of each request that begins to run, and reports whether the target crashes on it; nil never does.
	began func(*http.Request) bool

	mu   sync.Mutex
	runs []*work
}

// ServeHTTP runs a request that is meant for this target.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", t.name)
		return
	}
	id := r.Header.Get("Request-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Request-Id", id)
	expected := r.Header.Get("Expect-Instance")
	if expected != "" && expected != t.name {
		w.Header().Set("Instance-Id", t.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	x := &work{id: id, tenant: r.Header.Get("Tenant"), expected: expected, target: t.name, service: t.service, at: time.Now()}
	t.mu.Lock()
	t.runs = append(t.runs, x)
	t.mu.Unlock()
	t.record.addf("target %s runs %s; Tenant %q, Expect-Instance %q", t.name, id, x.tenant, expected)
	if t.began != nil && t.began(r) {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(t.delay):
	case <-r.Context().Done():
		x.cut = true
	}
	t.mu.Lock()
	x.ended = time.Now()
	t.mu.Unlock()
	t.record.addf("target %s ends %s; its connection is gone: %v", t.name, id, x.cut)
	w.Header().Set("Server-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, answerOf(id))
}

// busy returns the number of requests that the target works on and whose ids begin so.
func (t *target) busy(prefix string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, x := range t.runs {
		if x.ended.IsZero() && strings.HasPrefix(x.id, prefix) {
			n++
		}
	}
	return n
}

// end ends the target: its connections are closed, and it takes no new ones.
func (t *target) end() { _ = t.server.Close() }

func answerOf(id string) string { return "answer to " + id }

// runs returns all runs of all targets.
func (f *fleet) runs() []*work {
	var rs []*work
	for _, t := range f.targets {
		t.mu.Lock()
		rs = append(rs, t.runs...)
		t.mu.Unlock()
	}
	return rs
}
