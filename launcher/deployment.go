package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/certifier"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/exemplifier"
)

const (
	keyName      = "first"
	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// client reaches the stand-ins; it opens a connection for each call, since a stand-in may let open ones go silent.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}

// Config configures a deployment.
type Config struct {
	// Bin is the directory of the built programs, Dir an empty directory for settings, certificates and logs.
	Bin, Dir string
	// Example returns the configuration; the default is exemplifier.Koshe.
	Example func(exemplifier.Settings) composer.Config
	// Instances is the number of daemons; the default is 7.
	Instances int
	// ListLag is the lag of the platform's list; the default is 1 s, to start quickly.
	ListLag time.Duration
	// CrashPath is the path of requests that crash targets.
	CrashPath string
	// Edit changes the configuration before it is written; nil changes nothing.
	Edit func(*composer.Config)
	// Through returns the address by which a daemon reaches a service at a, for tests that put a relay in between; nil
	// changes nothing. It is asked again when a daemon is started again.
	Through func(p Path, a netip.AddrPort) netip.AddrPort
}

// Instance is a daemon of a deployment.
type Instance struct {
	Name          string
	Region        string
	FailureDomain string
	Callers       netip.AddrPort
	Peers         netip.AddrPort
	Operators     netip.AddrPort
	Metrics       netip.AddrPort
	Settings      string
	Process       *Process
}

// Deployment is a set of running processes.
type Deployment struct {
	Config        Config
	Table         *Process
	TableAddress  netip.AddrPort
	List          *Process
	ListAddress   netip.AddrPort
	Instances     []*Instance
	Targets       map[string]netip.AddrPort
	Pools         []*Process
	Configuration composer.Config
	// Secrets holds a key of each account.
	Secrets map[string]string
	// Authority issued the certificates that are in use.
	Authority *certifier.Authority
	// Operator holds the paths of the operator's certificate files.
	Operator Files
}

// Files names the files for mutual TLS.
type Files struct {
	Authority, Certificate, Key string
}

// Start starts the stand-ins and the daemons and writes the configuration to configuration.toml in the directory; nothing is applied yet.
func Start(ctx context.Context, c Config) (*Deployment, error) {
	if c.Example == nil {
		c.Example = exemplifier.Koshe
	}
	if c.Instances == 0 {
		c.Instances = 7
	}
	if c.ListLag == 0 {
		c.ListLag = time.Second
	}
	if c.Through == nil {
		c.Through = func(_ Path, a netip.AddrPort) netip.AddrPort { return a }
	}
	d := &Deployment{Config: c, Secrets: map[string]string{}}
	for _, f := range []func(context.Context) error{d.plan, d.certify, d.startPlatform, d.startTargets, d.startInstances} {
		if err := f(ctx); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, nil
}

// Stop ends every process that is still running.
func (d *Deployment) Stop() {
	ps := append([]*Process{d.Table, d.List}, d.Pools...)
	for _, i := range d.Instances {
		ps = append(ps, i.Process)
	}
	for _, p := range ps {
		p.Kill()
	}
}

// plan chooses addresses and writes the configuration.
func (d *Deployment) plan(context.Context) error {
	c := d.Config.Example(exemplifier.Settings{})
	s := exemplifier.Settings{Addresses: map[string]netip.AddrPort{}, Digests: map[string][32]byte{}}
	n := 2 + 4*d.Config.Instances
	for _, p := range c.Pools {
		n += len(p.Targets)
	}
	as, err := freeAddresses(n)
	if err != nil {
		return err
	}
	next := func() netip.AddrPort {
		a := as[0]
		as = as[1:]
		return a
	}
	d.TableAddress, d.ListAddress = next(), next()
	for _, p := range c.Pools {
		for _, t := range p.Targets {
			s.Addresses[t.Name] = next()
		}
	}
	for _, a := range c.Accounts {
		k, g, err := composer.NewKey(a.Name, keyName)
		if err != nil {
			return err
		}
		d.Secrets[a.Name] = k
		s.Digests[a.Name+"/"+keyName] = g.Digest
	}
	d.Targets = s.Addresses
	d.Configuration = d.Config.Example(s)
	if d.Config.Edit != nil {
		d.Config.Edit(&d.Configuration)
	}
	d.planInstances(next)
	return d.writeConfiguration()
}

func (d *Deployment) planInstances(next func() netip.AddrPort) {
	r := d.Configuration.Regions
	for i := range d.Config.Instances {
		g := r[i%len(r)]
		k := i / len(r)
		d.Instances = append(d.Instances, &Instance{
			Name:          fmt.Sprintf("%s-%d", g.Name, k+1),
			Region:        g.Name,
			FailureDomain: g.FailureDomains[k%len(g.FailureDomains)],
			Callers:       next(),
			Peers:         next(),
			Operators:     next(),
			Metrics:       next(),
		})
	}
}

func (d *Deployment) writeConfiguration() error {
	var b bytes.Buffer
	if err := composer.Print(&b, d.Configuration); err != nil {
		return err
	}
	return os.WriteFile(d.path("configuration.toml"), b.Bytes(), 0o600)
}

func (d *Deployment) path(name string) string {
	return filepath.Join(d.Config.Dir, name)
}

func (d *Deployment) startPlatform(ctx context.Context) error {
	var err error
	if d.Table, err = d.start("table", "standin", "table", "--listen", d.TableAddress.String()); err != nil {
		return err
	}
	if d.List, err = d.start("list", "standin", "list", "--listen", d.ListAddress.String(), "--lag", d.Config.ListLag.String()); err != nil {
		return err
	}
	if err := waitFor(ctx, d.ListAddress); err != nil {
		return err
	}
	return waitFor(ctx, d.TableAddress)
}

func (d *Deployment) startTargets(context.Context) error {
	for _, p := range d.Configuration.Pools {
		a := []string{"targets", "--service-time", p.ServiceTime.String()}
		if d.Config.CrashPath != "" {
			a = append(a, "--crash-path", d.Config.CrashPath)
		}
		for _, t := range p.Targets {
			a = append(a, "--target", t.Name+"="+t.Address.String())
		}
		k, err := d.start(p.Name, "standin", a...)
		if err != nil {
			return err
		}
		d.Pools = append(d.Pools, k)
	}
	return nil
}

func (d *Deployment) startInstances(ctx context.Context) error {
	for _, i := range d.Instances {
		if err := d.Register(ctx, i); err != nil {
			return err
		}
		if err := d.StartInstance(i); err != nil {
			return err
		}
	}
	for _, i := range d.Instances {
		if err := waitFor(ctx, i.Callers); err != nil {
			return merry.Prependf(err, "%s, which logged %q", i.Name, d.Log(i.Name))
		}
	}
	return nil
}

// Log returns what a process has written so far.
func (d *Deployment) Log(name string) string {
	b, err := os.ReadFile(d.path(name + ".log"))
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Register puts an instance on the platform's list; it is listed while it accepts connections.
func (d *Deployment) Register(ctx context.Context, i *Instance) error {
	b, err := json.Marshal(emulator.Instance{
		Name:          i.Name,
		Region:        i.Region,
		FailureDomain: i.FailureDomain,
		CallerAddress: i.Callers,
		PeerAddress:   i.Peers,
		State:         "live",
	})
	if err != nil {
		return err
	}
	return send(ctx, http.MethodPut, "http://"+d.ListAddress.String()+"/admin/instances", b)
}

// StartInstance starts, or starts again, the daemon of an instance.
func (d *Deployment) StartInstance(i *Instance) error {
	i.Settings = d.path(i.Name + ".toml")
	if err := os.WriteFile(i.Settings, []byte(d.settings(i)), 0o600); err != nil {
		return err
	}
	var err error
	i.Process, err = d.start(i.Name, "celeryheadd", "--settings", i.Settings)
	return err
}

func (d *Deployment) settings(i *Instance) string {
	return fmt.Sprintf(`name = %q
region = %q
failure_domain = %q

[listeners]
callers = %q
peers = %q
operators = %q
metrics = %q

[tls]
authority = %q
certificate = %q
key = %q

[platform]
store = [%q]
list = [%q]

[timing]
list_lag = %q

[peer_addresses]
%s`, i.Name, i.Region, i.FailureDomain, i.Callers, i.Peers, i.Operators, i.Metrics,
		d.path("authority.pem"), d.path(i.Name+".pem"), d.path(i.Name+".key"),
		d.Config.Through(Path{From: i.Name, To: ToTable}, d.TableAddress),
		d.Config.Through(Path{From: i.Name, To: ToList}, d.ListAddress),
		d.Config.ListLag, d.peerAddresses(i))
}

// peerAddresses returns the settings of the peers that an instance reaches by another address than they announce.
func (d *Deployment) peerAddresses(i *Instance) string {
	var b strings.Builder
	for _, p := range d.Instances {
		if p == i {
			continue
		}
		if a := d.Config.Through(Path{From: i.Name, To: p.Name}, p.Peers); a != p.Peers {
			fmt.Fprintf(&b, "%s = %q\n", p.Name, a)
		}
	}
	return b.String()
}

// SetFaults posts faults to a stand-in.
func (d *Deployment) SetFaults(ctx context.Context, a netip.AddrPort, faults any) error {
	b, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return send(ctx, http.MethodPost, "http://"+a.String()+"/admin/faults", b)
}

// Report returns what a target saw.
func (d *Deployment) Report(ctx context.Context, target string) (emulator.TargetReport, error) {
	var t emulator.TargetReport
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Targets[target].String()+"/admin/ledger", http.NoBody)
	if err != nil {
		return t, err
	}
	p, err := client.Do(r)
	if err != nil {
		return t, err
	}
	defer func() { _ = p.Body.Close() }()
	return t, json.NewDecoder(p.Body).Decode(&t)
}

func send(ctx context.Context, method, url string, b []byte) error {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	p, err := client.Do(r)
	if err != nil {
		return err
	}
	_ = p.Body.Close()
	if p.StatusCode >= http.StatusMultipleChoices {
		return merry.Errorf("%s %s: status %d", method, url, p.StatusCode)
	}
	return nil
}

func waitFor(ctx context.Context, a netip.AddrPort) error {
	x, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var n net.Dialer
	for {
		c, err := n.DialContext(x, "tcp", a.String())
		if err == nil {
			return c.Close()
		}
		select {
		case <-x.Done():
			return merry.Prependf(err, "%s accepts no connections", a)
		case <-time.After(pollInterval):
		}
	}
}
