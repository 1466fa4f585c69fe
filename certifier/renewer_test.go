package certifier_test

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/certifier"
)

// files are the certificate files of one instance.
type files struct {
	t *testing.T
	certifier.RenewerConfig
}

func newFiles(t *testing.T) *files {
	d := t.TempDir()
	return &files{t: t, RenewerConfig: certifier.RenewerConfig{
		Files: certifier.Files{
			Authority: filepath.Join(d, "authority.pem"), Certificate: filepath.Join(d, "peer.pem"), Key: filepath.Join(d, "peer.key"),
		},
		Name: "west-1", Address: loopback,
	}}
}

func (f *files) write(path string, parts ...[]byte) {
	f.t.Helper()
	var b []byte
	for _, p := range parts {
		b = append(b, p...)
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// hold writes a peer certificate of an authority, and the authorities to trust.
func (f *files) hold(signer *certifier.Authority, name string, trusted ...*certifier.Authority) {
	f.t.Helper()
	p, err := signer.Issue(certifier.Peer, name, time.Now(), time.Hour, loopback)
	if err != nil {
		f.t.Fatal(err)
	}
	f.write(f.Files.Certificate, p.Certificate)
	f.write(f.Files.Key, p.Key)
	f.trust(trusted...)
}

func (f *files) trust(trusted ...*certifier.Authority) {
	f.t.Helper()
	var b [][]byte
	for _, a := range trusted {
		b = append(b, a.Pair().Certificate)
	}
	f.write(f.Files.Authority, b...)
}

// Guards against an instance that starts, or goes over to, certificates with which no peer would connect.
func TestUnusableFilesAreRefused(t *testing.T) {
	now := time.Now()
	a, b := authority(t, now), authority(t, now)
	for want, spoil := range map[string]func(f *files){
		"no such file":                   func(f *files) { _ = os.Remove(f.Files.Key) },
		"authority holds no certificate": func(f *files) { f.write(f.Files.Authority, []byte("x")) },
		`want peer "west-1"`:             func(f *files) { f.hold(a, "west-2", a) },
		"against the authority":          func(f *files) { f.hold(b, "west-1", a) },
		"certificate and key":            func(f *files) { f.write(f.Files.Key, a.Pair().Key) },
		"does not hold the address": func(f *files) {
			f.Address = f.Address.Next()
			f.hold(a, "west-1", a)
		},
	} {
		f := newFiles(t)
		f.hold(a, "west-1", a)
		r, err := certifier.NewRenewer(f.RenewerConfig)
		if err != nil {
			t.Fatal(err)
		}
		spoil(f)
		if _, err := certifier.NewRenewer(f.RenewerConfig); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("at the start: %v, want %q", err, want)
		}
		if want == "does not hold the address" {
			continue
		}
		if changed, err := r.Renew(); err == nil || changed {
			t.Errorf("%s: files taken over: %t, %v", want, changed, err)
		}
		if !connect(t, r, r, nil) {
			t.Errorf("%s: the former certificates are not in use any more", want)
		}
	}
}

// Guards the replacement of an authority step by step: instances that are a step ahead or behind connect to each other,
// and afterwards a certificate of the former authority is refused, also on a connection that is still open.
func TestAuthorityIsReplaced(t *testing.T) {
	now := time.Now()
	a, b := authority(t, now), authority(t, now)
	one, two := newFiles(t), newFiles(t)
	for _, f := range []*files{one, two} {
		f.hold(a, "west-1", a)
	}
	r, k := renewer(t, one), renewer(t, two)
	var before tls.ConnectionState
	if !connect(t, r, k, &before) || !r.Trusts(&before, now) {
		t.Fatal("not connected before the replacement")
	}
	for i, step := range []func(f *files){
		func(f *files) { f.trust(a, b) },
		func(f *files) { f.hold(b, "west-1", a, b) },
		func(f *files) { f.trust(b) },
	} {
		for _, f := range []*files{one, two} {
			step(f)
			for _, x := range []*certifier.Renewer{r, k} {
				if _, err := x.Renew(); err != nil {
					t.Fatal(err)
				}
			}
			if !connect(t, r, k, nil) || !connect(t, k, r, nil) {
				t.Errorf("step %d: not connected", i+1)
			}
		}
	}
	if r.Trusts(&before, now) {
		t.Error("a connection of the former authority is still trusted")
	}
	var after tls.ConnectionState
	if !connect(t, r, k, &after) || !r.Trusts(&after, now) || r.Trusts(&after, now.Add(2*time.Hour)) {
		t.Error("a connection is not trusted until its certificate expires")
	}
	if changed, err := r.Renew(); changed || err != nil {
		t.Errorf("the same files are reported as changed: %t, %v", changed, err)
	}
}

func renewer(t *testing.T, f *files) *certifier.Renewer {
	t.Helper()
	r, err := certifier.NewRenewer(f.RenewerConfig)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// connect reports whether a client reads a byte of a server; state is that of the server's side.
func connect(t *testing.T, server, client *certifier.Renewer, state *tls.ConnectionState) bool {
	t.Helper()
	c := client.Client().Clone()
	c.ServerName = loopback.String()
	return exchangeWith(t, server.Server(certifier.Peer), c, state)
}
