package server_test

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"celeryhead.dev/celeryhead/certifier"
	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/loader"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/server"
	"celeryhead.dev/celeryhead/timer"
)

// newServer returns a server that was never run: it has no proof, no configuration and no peers.
func newServer(t testing.TB) *server.Server {
	t.Helper()
	s, _ := newCertified(t)
	return s
}

// newCertified also returns the authority of the server's peers.
func newCertified(t testing.TB) (*server.Server, *certifier.Authority) {
	t.Helper()
	a, err := certifier.NewAuthority("test", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	listener := netip.MustParseAddrPort("127.0.0.1:2")
	p, err := a.Issue(certifier.Peer, "west-1", time.Now(), time.Hour, listener.Addr())
	if err != nil {
		t.Fatal(err)
	}
	d := t.TempDir()
	s := loader.Default()
	s.Name, s.Region, s.FailureDomain = "west-1", "west", "west_a"
	// Nothing listens or is called before Run.
	s.Listeners.Peers = listener
	s.Platform.Store = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	for path, b := range map[*string][]byte{&s.TLS.Authority: a.Pair().Certificate, &s.TLS.Certificate: p.Certificate, &s.TLS.Key: p.Key} {
		f, err := os.CreateTemp(d, "*.pem")
		if err != nil {
			t.Fatal(err)
		}
		*path = filepath.Clean(f.Name())
		if _, err := f.Write(b); err != nil {
			t.Fatal(err)
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}
	r, err := server.New(server.Config{Settings: s, Log: logger.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	return r, a
}

// connection returns the state of a connection of a peer, whose certificate the authority signed.
func connection(t *testing.T, a *certifier.Authority) *tls.ConnectionState {
	t.Helper()
	p, err := a.Issue(certifier.Peer, "west-2", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	var chain []*x509.Certificate
	for _, text := range [][]byte{p.Certificate, a.Pair().Certificate} {
		b, _ := pem.Decode(text)
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			t.Fatal(err)
		}
		chain = append(chain, c)
	}
	return &tls.ConnectionState{PeerCertificates: chain[:1], VerifiedChains: [][]*x509.Certificate{chain}}
}

// Guards P5 and P12: without a proof of freshness an instance must neither run nor admit anything, and must say so.
func TestFreshInstanceRefuses(t *testing.T) {
	s := newServer(t)
	for _, c := range []struct {
		method, path string
		upgrade      string
		leaving      bool
		status       int
		reason       responder.Reason
	}{
		{http.MethodGet, "/v1/health", "", false, 200, ""},
		{http.MethodGet, "/v1/lookup", "", false, 503, responder.Stale},
		{http.MethodGet, "/v1/lookup?address=nowhere", "", false, 400, responder.BadRequest},
		{http.MethodPost, "/v1/tickets", "", false, 503, responder.Stale},
		{http.MethodGet, "/orders", "", false, 503, responder.Stale},
		{http.MethodGet, "/orders/../keys", "", false, 400, responder.BadRequest},
		{http.MethodConnect, "/orders", "", false, 400, responder.BadRequest},
		{http.MethodGet, "/orders", "websocket", false, 400, responder.BadRequest},
		{http.MethodGet, "/v1/health", "", true, 503, ""},
	} {
		if c.leaving {
			s.SetLeaving()
		}
		w := httptest.NewRecorder()
		r := httptest.NewRequest(c.method, c.path, http.NoBody)
		if c.upgrade != "" {
			r.Header.Set("Upgrade", c.upgrade)
		}
		s.CallersHandler().ServeHTTP(w, r)
		h := w.Header()
		if w.Code != c.status || h.Get(responder.HeaderReason) != string(c.reason) {
			t.Errorf("%s %s: status %d, header %v", c.method, c.path, w.Code, h)
		}
		if c.reason != "" && h.Get(responder.HeaderRan) != string(responder.NotRun) {
			t.Errorf("%s %s: ran %q", c.method, c.path, h.Get(responder.HeaderRan))
		}
		if c.leaving && h.Get("Connection") != "close" {
			t.Errorf("%s %s: a leaving instance keeps the connection", c.method, c.path)
		}
	}
}

// Guards against a path or method that is denied by an instance whose configuration may lack the newest routes.
func TestInstanceWithoutProofDeniesNoRoute(t *testing.T) {
	s := newServer(t)
	s.Configure(7, composer.Config{Routes: []composer.Route{{Name: "order", PathPrefix: "/orders", Methods: []string{"POST"}, Pool: "stock", Deadline: time.Minute}}})
	for _, path := range []string{"/orders", "/returns"} {
		w := httptest.NewRecorder()
		s.CallersHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
		if h := w.Header(); w.Code != http.StatusServiceUnavailable || h.Get(responder.HeaderReason) != string(responder.Stale) || h.Get(responder.HeaderRan) != string(responder.NotRun) {
			t.Errorf("%s: status %d, header %v; want 503, stale", path, w.Code, h)
		}
	}
}

// Guards P9: a ticket that cannot be decided where it was issued must not run, and must not be said not to have run.
func TestTicketOfAnotherIncarnation(t *testing.T) {
	s := newServer(t)
	issue := func(instance string) string {
		k, err := claimer.NewTickets(claimer.TicketConfig{Location: claimer.Location{Instance: instance, Incarnation: 7}})
		if err != nil {
			t.Fatal(err)
		}
		text, err := k.Issue("maker", timer.Now())
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	for name, c := range map[string]struct {
		ticket string
		passed bool
		status int
		ran    responder.Ran
	}{
		"earlier incarnation":      {issue("west-1"), false, http.StatusConflict, responder.Unknown},
		"unknown instance":         {issue("west-2"), false, http.StatusConflict, responder.Unknown},
		"unknown instance, passed": {issue("west-2"), true, http.StatusConflict, responder.Unknown},
		"not a ticket":             {"ct1.none", false, http.StatusUnprocessableEntity, responder.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			f := s.EnterTicket(c.ticket, c.passed)
			if f == nil || f.Status != c.status || f.Ran != c.ran {
				t.Errorf("refusal %v, want status %d, ran %s", f, c.status, c.ran)
			}
		})
	}
}

// Guards against a resend whose caller takes the stored answer for that of a second run.
func TestReplay(t *testing.T) {
	w := httptest.NewRecorder()
	server.Replay(w, &claimer.Outcome{Status: http.StatusCreated, Header: http.Header{"X-Order": {"7"}}, Body: []byte("made")})
	if w.Code != http.StatusCreated || w.Body.String() != "made" || w.Header().Get("X-Order") != "7" || w.Header().Get("Idempotency-Replayed") != "true" {
		t.Errorf("status %d, header %v, body %q", w.Code, w.Header(), w.Body)
	}
}

// Guards against claims that are written for a sender without the certificate of an instance, and against a message of any size.
func TestClaimNeedsCertificate(t *testing.T) {
	s, a := newCertified(t)
	const path = "/twirp/celeryhead.messenger.Peer/Claim"
	send := func(state *tls.ConnectionState, size int) (int, string) {
		b, err := proto.Marshal(&messenger.ClaimRequest{Writes: []*messenger.ClaimWrite{{Value: make([]byte, size)}}})
		if err != nil {
			t.Fatal(err)
		}
		r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(b))
		r.Header.Set("Content-Type", "application/protobuf")
		r.TLS = state
		w := httptest.NewRecorder()
		s.PeersHandler().ServeHTTP(w, r)
		return w.Code, w.Body.String()
	}
	if c, _ := send(nil, 0); c != http.StatusForbidden {
		t.Errorf("status %d without a certificate, want 403", c)
	}
	nameless := connection(t, a)
	nameless.PeerCertificates[0].URIs[0].Path = ""
	if c, _ := send(nameless, 0); c != http.StatusForbidden {
		t.Errorf("status %d for a certificate without a name, want 403", c)
	}
	for size, want := range map[int]string{0: "invalid_argument", 3 << 20: "malformed"} {
		if c, b := send(connection(t, a), size); c != http.StatusBadRequest || !strings.Contains(b, want) {
			t.Errorf("status %d, %s for a write of %d bytes, want 400, %s", c, b, size, want)
		}
	}
}

// Guards against callers who are told that a target refused the connection while another target of this instance has a
// free slot. A request that reaches that one is refused there as stale, since the instance has no proof.
func TestRefusedConnectionGoesToAnotherTarget(t *testing.T) {
	listen := func() (net.Listener, netip.AddrPort) {
		var c net.ListenConfig
		l, err := c.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l, netip.MustParseAddrPort(l.Addr().String())
	}
	up, well := listen()
	defer func() { _ = up.Close() }()
	down, refusing := listen()
	if err := down.Close(); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		targets []netip.AddrPort
		reason  responder.Reason
	}{
		"another has room":  {[]netip.AddrPort{refusing, well}, responder.Stale},
		"all refuse":        {[]netip.AddrPort{refusing, refusing}, responder.TargetUnreachable},
		"there is no other": {[]netip.AddrPort{refusing}, responder.TargetUnreachable},
	} {
		if f := newServer(t).RunAt(c.targets...); f == nil || f.Reason != c.reason || f.Ran != responder.NotRun {
			t.Errorf("%s: refusal %v, want %s", name, f, c.reason)
		}
	}
}

// Guards against a look-up that is refused because several copies of it were in flight at one crash, and against one that goes on
// although each copy crashed a target.
func TestCopiesInFlightAtOneCrashBlockNothing(t *testing.T) {
	c := newServer(t).NewCopy("maker", "/orders/1")
	c.Strike("first", 500*time.Millisecond, 300*time.Millisecond)
	c.Strike("second", 490*time.Millisecond, 200*time.Millisecond)
	if f := c.Pass(t.Context()); f != nil {
		t.Errorf("copies of one moment: %+v", f)
	}
	c = newServer(t).NewCopy("maker", "/orders/1")
	c.Strike("first", 500*time.Millisecond, 300*time.Millisecond)
	c.Strike("second", 100*time.Millisecond, 300*time.Millisecond)
	if f := c.Pass(t.Context()); f == nil || f.Reason != responder.CrashSuspect || f.RetryAfter > 15*time.Second {
		t.Errorf("one copy after the other: %+v", f)
	}
}

// Guards against a request path that computes the fingerprint at each step, or starts a timer for a copy that need not wait.
func TestStrikesCostOneFingerprint(t *testing.T) {
	c := newServer(t).NewCopy("maker", "/orders/1")
	if !c.ComputesOnce() {
		t.Error("the fingerprint is computed again")
	}
	n := testing.AllocsPerRun(100, func() {
		if f := c.Pass(t.Context()); f != nil {
			t.Error(f)
		}
	})
	if n > 0 {
		t.Errorf("%.0f allocations, as for a timer", n)
	}
}

func BenchmarkStrikes(b *testing.B) {
	c := newServer(b).NewCopy("maker", "/orders/1")
	b.ReportAllocs()
	for b.Loop() {
		if f := c.Pass(b.Context()); f != nil {
			b.Fatal(f)
		}
	}
}

// Guards against a caller who is told that its new key is invalid because the owner of the pool has an older configuration
// than the instance that accepted the request.
func TestNewKeyAtOwnerWithOlderConfiguration(t *testing.T) {
	s, a := newCertified(t)
	digest := sha256.Sum256([]byte("new"))
	old := sha256.Sum256([]byte("old"))
	s.Configure(7, composer.Config{
		Routes:   []composer.Route{{Name: "order", PathPrefix: "/orders", Pool: "stock", Deadline: time.Minute}},
		Accounts: []composer.Account{{Name: "maker", Keys: []composer.Key{{Name: "till", Digest: old}}}},
	})
	state := connection(t, a)
	for name, c := range map[string]struct {
		account string
		digest  [sha256.Size]byte
		version string
		status  int
		reason  responder.Reason
	}{
		"new key":              {"maker", digest, "8", 503, responder.Stale},
		"new account":          {"clerk", digest, "8", 503, responder.Stale},
		"known key":            {"maker", old, "8", 503, responder.NoOwner},
		"withdrawn key":        {"maker", digest, "7", 401, responder.KeyInvalid},
		"withdrawn later":      {"maker", digest, "6", 401, responder.KeyInvalid},
		"no version":           {"maker", digest, "", 401, responder.KeyInvalid},
		"malformed version":    {"maker", old, "r8", 400, responder.BadRequest},
		"key of somebody else": {"clerk", old, "7", 401, responder.KeyInvalid},
	} {
		r := httptest.NewRequest(http.MethodPost, "/forward", http.NoBody)
		r.TLS = state
		for k, v := range map[string]string{
			"Route": "order", "Account": c.account, "Key-Digest": hex.EncodeToString(c.digest[:]), "Config-Version": c.version, "Region": "west",
			"Uri": "/orders",
		} {
			if v != "" {
				r.Header.Set("Celeryhead-"+k, v)
			}
		}
		r.Header.Set(forwarder.HeaderDeadline, time.Now().Add(time.Minute).Format(time.RFC3339Nano))
		w := httptest.NewRecorder()
		s.PeersHandler().ServeHTTP(w, r)
		if h := w.Header(); w.Code != c.status || h.Get(responder.HeaderReason) != string(c.reason) || h.Get(responder.HeaderRan) != string(responder.NotRun) {
			t.Errorf("%s: status %d, header %v; want %d, %s", name, w.Code, h, c.status, c.reason)
		}
	}
}
