package loader

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"celeryhead.dev/celeryhead/composer"
)

type file struct {
	Name          string        `toml:"name"`
	Region        string        `toml:"region"`
	FailureDomain string        `toml:"failure_domain"`
	Listeners     fileListeners `toml:"listeners"`
	TLS           fileTLS       `toml:"tls"`
	Platform      filePlatform  `toml:"platform"`
	Timing        fileTiming    `toml:"timing"`
	Limits        fileLimits    `toml:"limits"`
	Log           fileLog       `toml:"log"`
	// PeerAddresses holds an IP address and port for the name of a peer.
	PeerAddresses map[string]string `toml:"peer_addresses"`
}

type fileListeners struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
	Metrics   string `toml:"metrics"`
}

type fileTLS struct {
	Authority          string `toml:"authority"`
	Certificate        string `toml:"certificate"`
	Key                string `toml:"key"`
	CallersCertificate string `toml:"callers_certificate"`
	CallersKey         string `toml:"callers_key"`
}

type filePlatform struct {
	Store        []string `toml:"store"`
	List         []string `toml:"list"`
	StoreTimeout string   `toml:"store_timeout"`
}

type fileTiming struct {
	Freshness  string `toml:"freshness"`
	Heartbeat  string `toml:"heartbeat"`
	Suspicion  string `toml:"suspicion"`
	ListLag    string `toml:"list_lag"`
	ListAge    string `toml:"list_age"`
	DrainLimit string `toml:"drain_limit"`
}

type fileLimits struct {
	HeaderBytes       *int   `toml:"header_bytes"`
	BodyBytes         *int64 `toml:"body_bytes"`
	Queue             *int   `toml:"queue"`
	AccountHistograms *int   `toml:"account_histograms"`
}

type fileLog struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Load reads and checks the file at path.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path) //nolint:gosec // The operator names the file on the command line.
	if err != nil {
		return Settings{}, merry.Prepend(err, "settings")
	}
	s, err := Parse(b)
	return s, merry.Prepend(err, path)
}

// Parse reads and checks the text of a settings file.
func Parse(b []byte) (Settings, error) {
	var f file
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Settings{}, describe(err)
	}
	var c checker
	s := c.settings(f)
	return s, c.err()
}

// describe adds the names of unknown settings or the position of a syntax error.
func describe(err error) error {
	var m *toml.StrictMissingError
	if errors.As(err, &m) {
		var n []string
		for _, e := range m.Errors {
			n = append(n, strings.Join(e.Key(), ".")+": unknown setting")
		}
		return merry.New(strings.Join(n, "; "))
	}
	var e *toml.DecodeError
	if errors.As(err, &e) {
		r, c := e.Position()
		return merry.Errorf("line %d, column %d: %s", r, c, e.Error())
	}
	return err
}

type checker struct {
	problems []string
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return merry.New(strings.Join(c.problems, "; "))
}

func (c *checker) problem(name, reason string) {
	c.problems = append(c.problems, name+": "+reason)
}

func (c *checker) settings(f file) Settings {
	s := Default()
	s.Name = c.name("name", f.Name)
	s.Region = c.name("region", f.Region)
	s.FailureDomain = c.name("failure_domain", f.FailureDomain)
	s.Listeners = c.listeners(f.Listeners)
	s.TLS = c.tls(f.TLS)
	s.Platform.Store = c.addresses("platform.store", f.Platform.Store)
	s.Platform.List = c.addresses("platform.list", f.Platform.List)
	c.duration("platform.store_timeout", f.Platform.StoreTimeout, &s.Platform.StoreTimeout)
	c.timing(f.Timing, &s.Timing)
	c.limits(f.Limits, &s.Limits)
	c.log(f.Log, &s.Log)
	s.PeerAddresses = c.peerAddresses(f.PeerAddresses)
	return s
}

func (c *checker) peerAddresses(f map[string]string) map[string]netip.AddrPort {
	r := make(map[string]netip.AddrPort, len(f))
	for n, v := range f {
		k := "peer_addresses." + n
		r[c.name(k, n)] = c.address(k, v)
	}
	return r
}

func (c *checker) name(n, v string) string {
	switch {
	case v == "":
		c.problem(n, "is missing")
	case len(v) > composer.MaxNameLength:
		c.problem(n, fmt.Sprintf("is longer than %d bytes", composer.MaxNameLength))
	case strings.Trim(v, "abcdefghijklmnopqrstuvwxyz0123456789-_") != "":
		c.problem(n, "may hold only a-z, 0-9, - and _")
	}
	return v
}

func (c *checker) listeners(f fileListeners) Listeners {
	l := Listeners{
		Callers:   c.address("listeners.callers", f.Callers),
		Peers:     c.address("listeners.peers", f.Peers),
		Operators: c.address("listeners.operators", f.Operators),
		Metrics:   c.address("listeners.metrics", f.Metrics),
	}
	seen := map[netip.AddrPort]bool{}
	for _, a := range []netip.AddrPort{l.Callers, l.Peers, l.Operators, l.Metrics} {
		if a.IsValid() && seen[a] {
			c.problem("listeners", a.String()+" is used twice")
		}
		seen[a] = true
	}
	return l
}

func (c *checker) tls(f fileTLS) TLS {
	for n, v := range map[string]string{"tls.authority": f.Authority, "tls.certificate": f.Certificate, "tls.key": f.Key} {
		if v == "" {
			c.problem(n, "is missing; peers and operators connect only over mutual TLS")
		}
	}
	if (f.CallersCertificate == "") != (f.CallersKey == "") {
		c.problem("tls.callers_certificate", "needs tls.callers_key, and the reverse")
	}
	return TLS(f)
}

func (c *checker) addresses(n string, vs []string) []netip.AddrPort {
	if len(vs) == 0 {
		c.problem(n, "is missing")
	}
	var r []netip.AddrPort
	for _, v := range vs {
		r = append(r, c.address(n, v))
	}
	return r
}

func (c *checker) address(n, v string) netip.AddrPort {
	if v == "" {
		c.problem(n, "is missing")
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.problem(n, `must be an IP address and port, such as "192.0.2.7:8080", got "`+v+`"`)
	}
	return a
}

func (c *checker) duration(n, v string, d *time.Duration) {
	if v == "" {
		return
	}
	p, err := time.ParseDuration(v)
	if err != nil || p <= 0 {
		c.problem(n, `must be a positive duration, such as "500ms", got "`+v+`"`)
		return
	}
	*d = p
}

func (c *checker) timing(f fileTiming, t *Timing) {
	c.duration("timing.freshness", f.Freshness, &t.Freshness)
	c.duration("timing.heartbeat", f.Heartbeat, &t.Heartbeat)
	c.duration("timing.suspicion", f.Suspicion, &t.Suspicion)
	c.duration("timing.list_lag", f.ListLag, &t.ListLag)
	c.duration("timing.list_age", f.ListAge, &t.ListAge)
	c.duration("timing.drain_limit", f.DrainLimit, &t.DrainLimit)
	if 2*t.Heartbeat > t.Freshness {
		c.problem("timing.freshness", "must be at least two heartbeats, or one lost heartbeat stops the service")
	}
	if 2*t.Heartbeat > t.Suspicion {
		c.problem("timing.suspicion", "must be at least two heartbeats")
	}
}

func (c *checker) limits(f fileLimits, l *Limits) {
	if f.HeaderBytes != nil {
		l.HeaderBytes = *f.HeaderBytes
	}
	if f.BodyBytes != nil {
		l.BodyBytes = *f.BodyBytes
	}
	if f.Queue != nil {
		l.Queue = *f.Queue
	}
	if f.AccountHistograms != nil {
		l.AccountHistograms = *f.AccountHistograms
	}
	if l.HeaderBytes < 1024 {
		c.problem("limits.header_bytes", "must be at least 1024")
	}
	if l.BodyBytes < 0 {
		c.problem("limits.body_bytes", "must not be negative")
	}
	if l.Queue < 1 {
		c.problem("limits.queue", "must be at least 1")
	}
	if l.AccountHistograms < 0 {
		c.problem("limits.account_histograms", "must not be negative")
	}
}

func (c *checker) log(f fileLog, l *Log) {
	if f.Level != "" {
		l.Level = f.Level
	}
	if f.Format != "" {
		l.Format = f.Format
	}
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		c.problem("log.level", "must be debug, info, warn or error")
	}
	switch l.Format {
	case "json", "logfmt":
	default:
		c.problem("log.format", "must be json or logfmt")
	}
}
