package commander_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"errors"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"celeryhead.dev/celeryhead/certifier"
	"celeryhead.dev/celeryhead/commander"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/exemplifier"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/operator"
	"celeryhead.dev/celeryhead/storer"
)

// authority signs the certificates of one test.
type authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	So(err, ShouldBeNil)
	a := &authority{dir: t.TempDir(), key: key, cert: template("authority")}
	a.cert.IsCA, a.cert.BasicConstraintsValid = true, true
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, key.Public(), key)
	So(err, ShouldBeNil)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

func (a *authority) write(name, kind string, der []byte) {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	So(os.WriteFile(filepath.Join(a.dir, name), b, 0o600), ShouldBeNil)
}

// issue returns a certificate and writes it to <name>.pem and <name>.key.
func (a *authority) issue(name string) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	So(err, ShouldBeNil)
	der, err := x509.CreateCertificate(rand.Reader, template(name), a.cert, key.Public(), a.key)
	So(err, ShouldBeNil)
	b, err := x509.MarshalPKCS8PrivateKey(key)
	So(err, ShouldBeNil)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "PRIVATE KEY", b)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// service is the part of an instance that operators see.
type service struct {
	*operator.Operator
	store *emulator.Memory
	mu    sync.Mutex
	// lacking holds the missing instances of each wait; the last entry stays.
	lacking [][]string
	// waits counts the waits; overdue is called when the second one begins, if it is not nil.
	waits   int
	overdue func()
}

func newService() *service {
	s := &service{store: emulator.NewMemory(), lacking: [][]string{nil}}
	s.Operator = operator.New(operator.Config{
		Store: s.store, Publish: s.publish, Instance: "entry_1", Attempts: 3, Backoff: 1, Timeout: time.Hour,
	})
	return s
}

func (s *service) publish(context.Context, operator.Commit) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waits++; s.waits == 2 && s.overdue != nil {
		s.overdue()
	}
	v := s.lacking[0]
	if len(s.lacking) > 1 {
		s.lacking = s.lacking[1:]
	}
	return v, nil
}

type operatorName struct{}

func (s *service) Apply(ctx context.Context, r *messenger.ApplyRequest) (*messenger.ApplyReply, error) {
	return operator.Reply(s.Operator.Apply(ctx, operator.Change{
		OperationID: r.OperationId,
		BaseVersion: r.BaseVersion,
		Text:        r.Text,
		Operator:    ctx.Value(operatorName{}).(string),
		Reason:      r.Reason,
		Kind:        operator.Kind(r.Kind),
	}))
}

func (s *service) Configuration(ctx context.Context, r *messenger.ConfigurationRequest) (*messenger.ConfigurationText, error) {
	v, text, err := s.Operator.Configuration(ctx, r.Version)
	if err != nil {
		return nil, operator.TwirpError(err)
	}
	return &messenger.ConfigurationText{Version: v, Text: text}, nil
}

func (s *service) Audit(ctx context.Context, r *messenger.AuditRequest) (*messenger.AuditReply, error) {
	rows, err := s.Operator.Audit(ctx, r.AfterVersion, int(r.Limit))
	if err != nil {
		return nil, operator.TwirpError(err)
	}
	return operator.AuditReply(rows), nil
}

func (s *service) Status(context.Context, *messenger.Empty) (*messenger.StatusReply, error) {
	return &messenger.StatusReply{
		AnsweredBy:    "entry_1",
		ConfigVersion: 7,
		Instances:     []*messenger.InstanceStatus{{Member: &messenger.Member{Name: "entry_2"}, View: "suspected"}},
	}, nil
}

// wrapper changes how a server answers.
type wrapper func(w http.ResponseWriter, r *http.Request, next http.Handler)

func plainly(w http.ResponseWriter, r *http.Request, next http.Handler) {
	next.ServeHTTP(w, r)
}

// loseApply carries out changes, and closes the connection in place of an answer.
func loseApply(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if !strings.HasSuffix(r.URL.Path, "/Apply") {
		next.ServeHTTP(w, r)
		return
	}
	next.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

// fleet is a service behind several addresses.
type fleet struct {
	*authority
	service *service
	flags   []string
	servers []*httptest.Server
}

func newFleet(t *testing.T, wrappers ...wrapper) *fleet {
	f := &fleet{authority: newAuthority(t), service: newService()}
	f.issue("dina")
	for _, wrap := range wrappers {
		s := f.listen(wrap)
		t.Cleanup(s.Close)
		f.servers = append(f.servers, s)
		f.flags = append(f.flags, "--server", s.Listener.Addr().String())
	}
	f.flags = append(f.flags, f.credentials("ca.pem", "dina")...)
	return f
}

func (f *fleet) credentials(ca, name string) []string {
	path := func(s string) string { return filepath.Join(f.dir, s) }
	return []string{"--ca", path(ca), "--cert", path(name + ".pem"), "--key", path(name + ".key")}
}

func (f *fleet) listen(wrap wrapper) *httptest.Server {
	next := messenger.NewOperatorServer(f.service)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), operatorName{}, r.TLS.PeerCertificates[0].Subject.CommonName)
		wrap(w, r.WithContext(ctx), next)
	}))
	pool := x509.NewCertPool()
	ca, err := os.ReadFile(filepath.Join(f.dir, "ca.pem"))
	So(err, ShouldBeNil)
	So(pool.AppendCertsFromPEM(ca), ShouldBeTrue)
	s.TLS = &tls.Config{
		Certificates: []tls.Certificate{f.issue("entry")},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}
	// Refused handshakes are part of the tests.
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.StartTLS()
	return s
}

// file writes a configuration and returns its path.
func (f *fleet) file(c composer.Config) string {
	b, err := composer.Encode(c)
	So(err, ShouldBeNil)
	path := filepath.Join(f.dir, "config.toml")
	So(os.WriteFile(path, b, 0o600), ShouldBeNil)
	return path
}

// patience is longer than a process that gets little time needs for a command.
const patience = 5 * time.Minute

// run returns the exit code and both outputs.
func (f *fleet) run(args ...string) (int, string, string) {
	return f.runContext(context.Background(), args...)
}

func (f *fleet) runContext(ctx context.Context, args ...string) (int, string, string) {
	if !slices.Contains(args, "--wait") {
		args = append(args, "--wait", patience.String())
	}
	return runContext(ctx, append(args, f.flags...)...)
}

func run(args ...string) (int, string, string) {
	return runContext(context.Background(), args...)
}

func runContext(ctx context.Context, args ...string) (int, string, string) {
	var out, err bytes.Buffer
	c := commander.Config{Out: &out, Err: &err, Pause: time.Millisecond, DialTimeout: patience, CallTimeout: patience}
	code := commander.Run(ctx, c, args)
	return code, out.String(), err.String()
}

func koshe() composer.Config {
	return exemplifier.Koshe(exemplifier.Settings{})
}

func (f *fleet) versions() int {
	rows, err := f.service.Operator.Audit(context.Background(), 0, 0)
	So(err, ShouldBeNil)
	return len(rows)
}

// Guards against a first change that a newcomer cannot follow from check to audit.
func TestFirstChange(t *testing.T) {
	Convey("Check, plan, apply, export, audit and status", t, func() {
		f := newFleet(t, plainly)
		path := f.file(koshe())
		code, _, notes := run("check", path)
		So(code, ShouldEqual, commander.ExitDone)
		So(notes, ShouldContainSubstring, "is valid: 3 regions, 3 pools, 6 routes, 8 accounts, 24 blocks")

		code, out, notes := f.run("plan", path)
		So(code, ShouldEqual, commander.ExitDone)
		So(out, ShouldContainSubstring, "added account winter-fair: rate 2, burst 4\n")
		So(notes, ShouldContainSubstring, "changes against version 0")

		code, _, notes = f.run("apply", path, "--reason", "first season")
		So(notes, ShouldContainSubstring, "version 1 is in force everywhere")
		So(code, ShouldEqual, commander.ExitDone)
		code, _, notes = f.run("apply", path, "--reason", "again")
		So(code, ShouldEqual, commander.ExitDone)
		So(notes, ShouldContainSubstring, "no changes against version 1")

		code, out, _ = f.run("export")
		So(code, ShouldEqual, commander.ExitDone)
		text, err := composer.Encode(koshe())
		So(err, ShouldBeNil)
		So(out, ShouldEqual, string(text))

		c := koshe()
		c.Accounts[0].Rate = 250
		f.file(c)
		code, out, _ = f.run("plan", path, "--json")
		So(code, ShouldEqual, commander.ExitDone)
		So(out, ShouldContainSubstring, `"base_version": 1,`)
		So(out, ShouldContainSubstring, `"changed account almaty-markets: rate 240 -\u003e 250"`)
		code, _, _ = f.run("apply", path, "--reason", "second season", "--base", "1")
		So(code, ShouldEqual, commander.ExitDone)

		code, out, _ = f.run("audit", "--after", "1")
		So(code, ShouldEqual, commander.ExitDone)
		So(out, ShouldStartWith, "version 2, apply by dina at ")
		So(out, ShouldContainSubstring, "on entry_1: second season\n    changed account almaty-markets: rate 240 -> 250\n")
		code, out, _ = f.run("audit", "--json", "--limit", "1")
		So(code, ShouldEqual, commander.ExitDone)
		So(out, ShouldContainSubstring, `"base_version": "0"`)
		code, out, _ = f.run("export", "--version", "1", "--json")
		So(code, ShouldEqual, commander.ExitDone)
		So(json.Valid([]byte(out)), ShouldBeTrue)
		So(out, ShouldContainSubstring, `"version": 1,`)

		code, out, _ = f.run("status")
		So(code, ShouldEqual, commander.ExitDone)
		So(out, ShouldContainSubstring, "suspected")
		code, out, _ = f.run("status", "--json")
		So(code, ShouldEqual, commander.ExitDone)
		So(out, ShouldContainSubstring, `"fleet_fresh": false`)
	})
}

// Guards against exit codes that differ from the documented ones.
func TestExitCodes(t *testing.T) {
	Convey("Faulty arguments and files are 1", t, func() {
		f := newFleet(t, plainly)
		path := f.file(koshe())
		for _, args := range [][]string{
			{}, {"move"}, {"check"}, {"check", path, "extra"}, {"check", "/no/such/file"}, {"apply", path},
			{"apply", path, "--reason", " "}, {"apply", path, "--reason"}, {"apply", path, "--reason", "r", "--base", "x"},
			{"status", "--paint"}, {"rollback", "newest", "--reason", "r"}, {"rollback", "9", "--reason", "r"},
			{"export", "--version", "9"}, {"key", "issue", "koshe"}, {"key", "withdraw", "nobody", "first"},
			{"key", "issue", "a_b", "first"}, {"status", "--server", "localhost:80"},
		} {
			code, _, notes := f.run(args...)
			SoMsg(strings.Join(args, " "), notes, ShouldNotBeEmpty)
			SoMsg(strings.Join(args, " "), code, ShouldEqual, commander.ExitRefused)
		}
		code, _, _ := run("status")
		So(code, ShouldEqual, commander.ExitRefused)
		c := koshe()
		c.Routes[0].Pool, c.Accounts[0].Rate = "moon", 0
		code, _, notes := run("check", f.file(c))
		So(code, ShouldEqual, commander.ExitRefused)
		So(notes, ShouldContainSubstring, `route "pitch": pool: "moon" is not a pool`)
		So(notes, ShouldContainSubstring, `account "almaty-markets": rate: must be above 0`)
		code, _, _ = run("--help")
		So(code, ShouldEqual, commander.ExitDone)
	})
	Convey("A newer version is 2, and names its author", t, func() {
		f := newFleet(t, plainly)
		path := f.file(koshe())
		for i, want := range []int{commander.ExitDone, commander.ExitDone} {
			c := koshe()
			c.Accounts[0].Rate += float64(i)
			f.file(c)
			code, _, _ := f.run("apply", path, "--reason", "season")
			So(code, ShouldEqual, want)
		}
		f.file(koshe())
		code, _, notes := f.run("apply", path, "--reason", "late", "--base", "1")
		So(code, ShouldEqual, commander.ExitConflict)
		So(notes, ShouldContainSubstring, "version 2 by dina at")
		So(notes, ShouldContainSubstring, "season")
	})
	Convey("No instance, a store that is down and a foreign certificate are 3", t, func() {
		f := newFleet(t, plainly)
		path := f.file(koshe())
		f.service.store.Inject(emulator.MemoryFaults{BeforeRead: func([]string) error { return errors.New("injected fault") }})
		code, _, _ := f.run("apply", path, "--reason", "r")
		So(code, ShouldEqual, commander.ExitUnreachable)
		f.service.store.Inject(emulator.MemoryFaults{})
		other := newAuthority(t)
		other.issue("eve")
		args := []string{"export", "--server", f.servers[0].Listener.Addr().String(), "--ca", filepath.Join(f.dir, "ca.pem"),
			"--cert", filepath.Join(other.dir, "eve.pem"), "--key", filepath.Join(other.dir, "eve.key")}
		code, _, _ = run(args...)
		So(code, ShouldEqual, commander.ExitUnreachable)
		args[4] = filepath.Join(other.dir, "ca.pem")
		code, _, _ = run(args...)
		So(code, ShouldEqual, commander.ExitUnreachable)
		f.servers[0].Close()
		code, _, _ = f.run("status")
		So(code, ShouldEqual, commander.ExitUnreachable)
	})
	Convey("An instance without confirmation is 4", t, func() {
		f := newFleet(t, plainly)
		f.service.lacking = [][]string{{"entry_4"}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f.service.overdue = cancel
		code, _, notes := f.runContext(ctx, "apply", f.file(koshe()), "--reason", "r")
		So(code, ShouldEqual, commander.ExitNotInForce)
		So(notes, ShouldContainSubstring, "version 1 lacks a confirmation of entry_4")
		So(f.versions(), ShouldEqual, 1)
	})
}

// Guards against changes made twice, or reported as failed, when instances or their answers are lost.
func TestLostAnswers(t *testing.T) {
	Convey("The next instance finds the change that the first made", t, func() {
		f := newFleet(t, loseApply, plainly)
		code, _, notes := f.run("apply", f.file(koshe()), "--reason", "r")
		So(notes, ShouldContainSubstring, "version 1 is in force everywhere")
		So(code, ShouldEqual, commander.ExitDone)
		So(f.versions(), ShouldEqual, 1)
	})
	Convey("A dead instance is passed over", t, func() {
		f := newFleet(t, plainly, plainly)
		f.servers[0].Close()
		code, _, _ := f.run("apply", f.file(koshe()), "--reason", "r")
		So(code, ShouldEqual, commander.ExitDone)
	})
	Convey("An unknown outcome is found out later", t, func() {
		f := newFleet(t, loseApply)
		path := f.file(koshe())
		code, _, notes := f.run("apply", path, "--reason", "r", "--wait", "50ms")
		So(code, ShouldEqual, commander.ExitUnreachable)
		_, hint, ok := strings.Cut(notes, "repeat it with ")
		So(ok, ShouldBeTrue)
		base, id := strings.Fields(hint)[1], strings.Fields(hint)[3]
		s := f.listen(plainly)
		defer s.Close()
		f.flags[1] = s.Listener.Addr().String()
		code, _, notes = f.run("apply", path, "--reason", "r", "--base", base, "--operation-id", id)
		So(notes, ShouldContainSubstring, "version 1 is in force everywhere")
		So(code, ShouldEqual, commander.ExitDone)
		So(f.versions(), ShouldEqual, 1)
	})
	Convey("A change that no instance received is not in doubt", t, func() {
		var f *fleet
		f = newFleet(t, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			_ = f.servers[0].Listener.Close()
			next.ServeHTTP(w, r)
		})
		code, _, notes := f.run("apply", f.file(koshe()), "--reason", "r")
		So(code, ShouldEqual, commander.ExitUnreachable)
		So(notes, ShouldNotContainSubstring, "may be made")
	})
	Convey("A store that loses the commit leaves the outcome open", t, func() {
		f := newFleet(t, plainly)
		f.service.store.Inject(emulator.MemoryFaults{BeforeCommit: func(storer.Txn) error { return errors.New("injected fault") }})
		code, _, notes := f.run("apply", f.file(koshe()), "--reason", "r", "--wait", "50ms")
		So(code, ShouldEqual, commander.ExitUnreachable)
		So(notes, ShouldContainSubstring, "the change may be made")
	})
}

// Guards against secrets that leak or do not work, withdrawn keys that come back, and key changes lost to races.
func TestKeys(t *testing.T) {
	Convey("A key is issued, withdrawn, and not brought back by a rollback", t, func() {
		f := newFleet(t, plainly)
		code, _, _ := f.run("apply", f.file(koshe()), "--reason", "season")
		So(code, ShouldEqual, commander.ExitDone)

		f.service.lacking = [][]string{{"entry_4"}, {"entry_4"}, nil}
		code, out, notes := f.run("key", "issue", "craft-fairs", "till-2")
		So(code, ShouldEqual, commander.ExitDone)
		So(notes, ShouldContainSubstring, "waiting for entry_4")
		So(notes, ShouldContainSubstring, "version 2 is in force everywhere")
		secret := strings.TrimSuffix(out, "\n")
		account, name, ok := composer.SplitSecret(secret)
		So(ok, ShouldBeTrue)
		So(account+"/"+name, ShouldEqual, "craft-fairs/till-2")
		So(notes, ShouldNotContainSubstring, secret)
		_, text, err := f.service.Operator.Configuration(t.Context(), 0)
		So(err, ShouldBeNil)
		want, err := koshe().WithKey("craft-fairs", composer.Key{Name: "till-2", Digest: composer.SecretDigest(secret)})
		So(err, ShouldBeNil)
		encoded, err := composer.Encode(want)
		So(err, ShouldBeNil)
		So(string(text), ShouldEqual, string(encoded))
		_, trail, _ := f.run("audit")
		So(trail, ShouldNotContainSubstring, secret)

		code, _, _ = f.run("key", "issue", "craft-fairs", "till-2")
		So(code, ShouldEqual, commander.ExitRefused)
		code, _, _ = f.run("key", "withdraw", "craft-fairs", "till-2", "--reason", "lost")
		So(code, ShouldEqual, commander.ExitDone)
		code, _, notes = f.run("rollback", "2", "--reason", "mistake")
		So(code, ShouldEqual, commander.ExitRefused)
		So(notes, ShouldContainSubstring, "craft-fairs/till-2")
		So(f.versions(), ShouldEqual, 3)
		code, _, _ = f.run("rollback", "1", "--reason", "mistake")
		So(code, ShouldEqual, commander.ExitDone)
		code, _, notes = f.run("rollback", "2", "--reason", "found again", "--restore-keys")
		So(code, ShouldEqual, commander.ExitDone)
		So(notes, ShouldContainSubstring, "warning: key craft-fairs/till-2 of the earlier version is valid again")
		So(f.versions(), ShouldEqual, 4)
	})
	Convey("A change by somebody else in between does not stop a key", t, func() {
		f := newFleet(t, plainly)
		path := f.file(koshe())
		code, _, _ := f.run("apply", path, "--reason", "season")
		So(code, ShouldEqual, commander.ExitDone)
		c := koshe()
		c.Accounts[0].Rate++
		f.file(c)
		f.service.store.Inject(emulator.MemoryFaults{BeforeCommit: func(storer.Txn) error {
			f.service.store.Inject(emulator.MemoryFaults{})
			code, _, _ = f.run("apply", path, "--reason", "in between")
			return nil
		}})
		issued, _, _ := f.run("key", "issue", "craft-fairs", "till-2")
		So(code, ShouldEqual, commander.ExitDone)
		So(issued, ShouldEqual, commander.ExitDone)
		So(f.versions(), ShouldEqual, 3)
	})
	Convey("A secret whose key may not exist is not shown", t, func() {
		f := newFleet(t, plainly)
		code, _, _ := f.run("apply", f.file(koshe()), "--reason", "season")
		So(code, ShouldEqual, commander.ExitDone)
		f.service.store.Inject(emulator.MemoryFaults{BeforeCommit: func(storer.Txn) error { return errors.New("injected fault") }})
		code, out, notes := f.run("key", "issue", "craft-fairs", "till-2", "--wait", "50ms")
		So(code, ShouldEqual, commander.ExitUnreachable)
		So(out, ShouldBeEmpty)
		So(notes, ShouldContainSubstring, "look with export")
	})
}

// Guards against certificates that the listeners of instances would refuse, and against files that are replaced.
func TestCertificates(t *testing.T) {
	d := t.TempDir()
	run := func(args ...string) int {
		var b bytes.Buffer
		n := commander.Run(t.Context(), commander.Config{Out: &b, Err: &b}, append([]string{"certificate"}, args...))
		t.Log(b.String())
		return n
	}
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"operator", "aigerim", "-d", d}, 1},
		{[]string{"authority", "koshe", "-d", d}, 0},
		{[]string{"authority", "koshe", "-d", d}, 1},
		{[]string{"peer", "almaty-1", "-d", d}, 1},
		{[]string{"peer", "almaty-1", "--address", "almaty", "-d", d}, 1},
		{[]string{"peer", "almaty-1", "--address", "127.0.0.1", "-d", d}, 0},
		{[]string{"operator", "aigerim", "-d", d}, 0},
	} {
		if n := run(c.args...); n != c.code {
			t.Errorf("%v: exit code %d, want %d", c.args, n, c.code)
		}
	}
	for name, role := range map[string]certifier.Role{"almaty-1": certifier.Peer, "aigerim": certifier.Operator} {
		c, err := tls.LoadX509KeyPair(filepath.Join(d, name+".pem"), filepath.Join(d, name+".key"))
		if err != nil {
			t.Fatal(err)
		}
		r, n, err := certifier.Identity(&tls.ConnectionState{PeerCertificates: []*x509.Certificate{c.Leaf}})
		if err != nil || r != role || n != name {
			t.Errorf("certificate of %s names %s %s: %v", name, r, n, err)
		}
	}
}
