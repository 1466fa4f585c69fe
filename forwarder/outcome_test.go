package forwarder_test

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/textproto"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/responder"
)

var errStale = errors.New("proof of freshness expired")

// Guards against failures that are classified by anything but what reached the server. Each case uses the first
// connection for one complete exchange, so that the second request reuses it.
func TestOutcomeOnReusedConnection(t *testing.T) {
	for _, c := range []struct {
		name string
		// serve handles the connection after its first exchange; nil discards all bytes.
		serve func(c net.Conn, r *bufio.Reader)
		// call modifies the second call.
		call   func(*forwarder.Call, context.CancelFunc)
		ran    responder.Ran
		reason responder.Reason
		cause  error
		broken bool
		// received is true if the server receives a byte of the second request.
		received bool
	}{
		{
			name:  "closed before the write",
			serve: func(c net.Conn, _ *bufio.Reader) { _ = c.Close() },
			ran:   responder.NotRun, reason: responder.TargetUnreachable, cause: io.ErrClosedPipe,
		},
		{
			name:  "closed after one byte",
			serve: func(c net.Conn, _ *bufio.Reader) { _, _ = c.Read(make([]byte, 1)) },
			ran:   responder.Unknown, reason: responder.TargetFailed, broken: true, received: true,
		},
		{
			name:  "closed after the request",
			serve: func(_ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) },
			ran:   responder.Unknown, reason: responder.TargetFailed, broken: true, received: true,
		},
		{
			name:  "response before the request",
			serve: func(c net.Conn, _ *bufio.Reader) { reply(c, "unasked") },
			call:  func(c *forwarder.Call, _ context.CancelFunc) { c.Request = post(blockingBody{}) },
			ran:   responder.NotRun, reason: responder.TargetUnreachable, cause: forwarder.ErrUnsolicited,
		},
		{
			name: "body never comes",
			call: func(c *forwarder.Call, _ context.CancelFunc) { c.Request = post(blockingBody{}) },
			ran:  responder.NotRun, reason: responder.DeadlineExceeded, cause: forwarder.ErrDeadline,
		},
		{
			name: "body stops",
			call: func(c *forwarder.Call, _ context.CancelFunc) {
				c.Request = post(strings.NewReader("abc"), blockingBody{})
			},
			ran: responder.Unknown, reason: responder.DeadlineExceeded, cause: forwarder.ErrDeadline, received: true,
		},
		{
			name: "body fails",
			call: func(c *forwarder.Call, _ context.CancelFunc) {
				c.Request = post(strings.NewReader("abc"), failingBody{})
			},
			ran: responder.Unknown, reason: responder.BadRequest, cause: forwarder.ErrRequest, received: true,
		},
		{
			name: "body stalls until the caller's read deadline",
			call: func(c *forwarder.Call, _ context.CancelFunc) {
				c.Request = post(strings.NewReader("abc"), iotest.ErrReader(os.ErrDeadlineExceeded))
			},
			ran: responder.Unknown, reason: responder.DeadlineExceeded, cause: forwarder.ErrBodyTimeout, received: true,
		},
		{
			name: "proof expired",
			call: func(c *forwarder.Call, _ context.CancelFunc) { c.Before = func() error { return errStale } },
			ran:  responder.NotRun, reason: responder.Stale, cause: errStale,
		},
		{
			name: "proof expired while the body came",
			call: func(c *forwarder.Call, _ context.CancelFunc) {
				c.Request = post(strings.NewReader("abc"))
				c.Before = func() error { return errStale }
			},
			ran: responder.NotRun, reason: responder.Stale, cause: errStale,
		},
		{
			name: "deadline passed",
			call: func(c *forwarder.Call, _ context.CancelFunc) { c.Deadline = time.Now() },
			ran:  responder.NotRun, reason: responder.DeadlineExceeded, cause: forwarder.ErrDeadline,
		},
		{
			name: "canceled",
			call: func(_ *forwarder.Call, cancel context.CancelFunc) { time.AfterFunc(time.Second/2, cancel) },
			ran:  responder.Unknown, reason: responder.DeadlineExceeded, cause: context.Canceled, received: true,
		},
		{
			name: "connect",
			call: func(c *forwarder.Call, _ context.CancelFunc) { c.Request.Method = http.MethodConnect },
			ran:  responder.NotRun, reason: responder.BadRequest, cause: forwarder.ErrConnect,
		},
		{
			name: "upgrade that the server accepts",
			serve: func(c net.Conn, r *bufio.Reader) {
				if q, _ := http.ReadRequest(r); len(q.Header["Upgrade"]) == 0 {
					_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n")
				}
			},
			call: func(c *forwarder.Call, _ context.CancelFunc) { c.Request.Header.Set("Upgrade", "websocket") },
			ran:  responder.Unknown, reason: responder.TargetFailed, cause: forwarder.ErrSwitchedProtocols, received: true,
		},
		{
			name: "shed",
			serve: func(c net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nCeleryhead-Ran: not-run\r\nContent-Length: 0\r\n\r\n")
			},
			ran: responder.NotRun, reason: responder.TargetShed, cause: forwarder.ErrShed, received: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got atomic.Int32
				s := &fakeServer{serve: func(n int, k net.Conn, r *bufio.Reader) {
					if n > 0 {
						t.Error("request sent again on a new connection")
						return
					}
					_, _ = http.ReadRequest(r)
					reply(k, "first")
					k = &countingConn{Conn: k, n: &got}
					if c.serve == nil {
						discardAll(k)
						return
					}
					c.serve(k, bufio.NewReader(k))
				}}
				f := s.forwarder(forwarder.Config{})
				defer s.live.Wait()
				defer f.Close()
				if _, x := exchange(t.Context(), f, get("/first"), time.Second); x != nil {
					t.Fatal(x)
				}
				synctest.Wait()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				q := forwarder.Call{Address: address, Request: get("/"), Deadline: time.Now().Add(time.Second)}
				if c.call != nil {
					c.call(&q, cancel)
				}
				_, err := f.Do(ctx, q)
				var x *forwarder.Failure
				if !errors.As(err, &x) {
					t.Fatalf("error %v", err)
				}
				if x.Silent && !errors.Is(x, forwarder.ErrDeadline) {
					t.Errorf("the server counts as silent: %+v", x)
				}
				if x.Ran != c.ran || x.Reason != c.reason || x.Broken != c.broken || (c.cause != nil && !errors.Is(x, c.cause)) {
					t.Errorf("failure %+v", x)
				}
				synctest.Wait()
				if (got.Load() > 0) != c.received {
					t.Errorf("server received %d bytes", got.Load())
				}
				<-time.After(2 * time.Hour) // Ends the reads of blocking bodies.
			})
		})
	}
}

// countingConn counts the bytes that the server received.
type countingConn struct {
	net.Conn
	n *atomic.Int32
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int32(n))
	return n, err
}

func post(body ...io.Reader) *http.Request {
	return httptest.NewRequest(http.MethodPost, "/", io.MultiReader(body...))
}

// blockingBody returns nothing before any deadline, like a caller that became unresponsive.
type blockingBody struct{}

func (blockingBody) Read([]byte) (int, error) {
	<-time.After(time.Hour)
	return 0, io.EOF
}

type failingBody struct{}

func (failingBody) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}

// Guards against more connections than the limit, and against a wait for a connection that outlasts the deadline or
// counts as run.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServer{serve: func(_ int, _ net.Conn, r *bufio.Reader) { discardAll(r) }}
		f := s.forwarder(forwarder.Config{MaxConnections: 2})
		out := make(chan *forwarder.Failure, 5)
		for range cap(out) {
			go func() {
				_, x := exchange(t.Context(), f, get("/"), time.Second)
				out <- x
			}()
		}
		synctest.Wait()
		if n, d := f.Tick(), s.dialed(); n != 2 || d != 2 {
			t.Fatalf("%d connections after %d dials", n, d)
		}
		count := map[responder.Ran]int{}
		for range cap(out) {
			count[(<-out).Ran]++
		}
		if count[responder.Unknown] != 2 || count[responder.NotRun] != 3 {
			t.Fatalf("outcomes %v", count)
		}
		if n := f.Tick(); n != 0 {
			t.Fatalf("%d connections left", n)
		}
	})
}

// Guards against reuse of a connection that was in use when its address was retired, and of connections that were idle
// too long.
func TestRetiredAndIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServer{serve: func(n int, c net.Conn, r *bufio.Reader) {
			q, _ := http.ReadRequest(r)
			<-time.After(time.Second)
			reply(c, q.URL.Path)
			serveEcho(n, c, r)
		}}
		f := s.forwarder(forwarder.Config{})
		time.AfterFunc(time.Second/2, func() { f.Retire(address) })
		for i, want := range []int{1, 2, 2, 3} {
			if i == 3 {
				<-time.After(forwarder.DefaultIdleLimit + time.Millisecond)
			}
			if _, x := exchange(t.Context(), f, get("/"), 2*time.Second); x != nil || s.dialed() != want {
				t.Fatalf("exchange %d: %v after %d dials, want %d", i, x, s.dialed(), want)
			}
		}
		<-time.After(forwarder.DefaultIdleLimit + time.Millisecond)
		if n := f.Tick(); n != 0 {
			t.Fatalf("%d connections idle too long", n)
		}
		f.Close()
		s.live.Wait()
	})
}

// Guards against differences between exchanges in memory and over real connections with mutual TLS: bodies in both
// directions, trailers, informational responses, responses without body, hop-by-hop fields, and idle connections closed
// by the server.
func TestForwardOverMutualTLS(t *testing.T) {
	client, server := mutualTLS(t)
	var requests, opened atomic.Int32
	h := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if _, err := time.Parse(time.RFC3339, r.Header.Get(forwarder.HeaderDeadline)); err != nil {
			t.Errorf("deadline: %v", err)
		}
		if r.Header.Get("X-Hop") != "" || r.Header.Get("X-End") != "kept" {
			t.Errorf("header %v", r.Header)
		}
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "target")
		switch r.URL.Path {
		case "/early":
			w.Header().Set("Link", "</style.css>")
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "after hints")
		case "/head":
			w.Header().Set("Content-Length", "1000")
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/same":
			w.WriteHeader(http.StatusNotModified)
		case "/die":
			if r.Header.Get("Idempotency-Key") != "k" || r.ContentLength != 0 {
				t.Errorf("length %d, header %v", r.ContentLength, r.Header)
			}
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set("Trailer", "X-Sum")
			b, _ := io.ReadAll(r.Body)
			_, _ = w.Write(b)
			w.Header().Set("X-Sum", fmt.Sprint(len(b), r.Trailer.Get("X-Client"), r.Trailer.Get("Authorization")))
		}
	}))
	h.TLS = server
	h.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	h.StartTLS()
	defer h.Close()
	f := forwarder.New(forwarder.Config{TLS: func() *tls.Config { return client }, IdleLimit: time.Hour})
	defer f.Close()
	to := netip.MustParseAddrPort(h.Listener.Addr().String())
	front := httptest.NewServer(proxy(f, to))
	defer front.Close()
	send := func(method, path string, body io.Reader, change func(*http.Request)) receivedResponse {
		t.Helper()
		r := httptest.NewRequest(method, front.URL+path, body)
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "caller")
		r.Header.Set("X-End", "kept")
		if change != nil {
			change(r)
		}
		p, err := fetch(front.Client(), r)
		if err != nil || p.header.Get("X-Hop") != "" {
			t.Fatalf("%s: error %v, header %v", path, err, p.header)
		}
		return p
	}
	large := strings.Repeat("0123456789", 100_000)
	p := send(http.MethodPost, "/", strings.NewReader(large), func(r *http.Request) {
		r.ContentLength = -1
		r.Trailer = http.Header{"X-Client": {"c"}, "Authorization": {"secret"}}
	})
	if p.body != large || p.trailer.Get("X-Sum") != "1000000c" {
		t.Errorf("%d bytes, trailer %v", len(p.body), p.trailer)
	}
	if p := send(http.MethodGet, "/early", nil, nil); p.body != "after hints" {
		t.Errorf("after informational response: %q", p.body)
	}
	if p := send(http.MethodHead, "/head", nil, nil); p.body != "" || p.length != 1000 {
		t.Errorf("HEAD: %q, length %d", p.body, p.length)
	}
	for path, status := range map[string]int{"/none": http.StatusNoContent, "/same": http.StatusNotModified} {
		if p := send(http.MethodGet, path, nil, nil); p.status != status {
			t.Errorf("%s: status %d", path, p.status)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("%d connections opened, want all exchanges on one", n)
	}
	requests.Store(0)
	p = send(http.MethodPost, "/die", nil, func(r *http.Request) { r.Header.Set("Idempotency-Key", "k") })
	if p.header.Get(responder.HeaderRan) != string(responder.Unknown) || requests.Load() != 1 {
		t.Errorf("header %v after %d requests", p.header, requests.Load())
	}
	send(http.MethodGet, "/none", nil, nil)
	h.CloseClientConnections()
	if p := send(http.MethodGet, "/none", nil, nil); p.status != http.StatusNoContent {
		t.Errorf("after idle connections were closed: status %d", p.status)
	}
	if err := f.Probe(t.Context(), to); err != nil {
		t.Errorf("probe: %v", err)
	}
}

// mutualTLS returns the configurations of both sides, which share one self-signed certificate.
func mutualTLS(t *testing.T) (client, server *tls.Config) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, k.Public(), k)
	if err != nil {
		t.Fatal(err)
	}
	if c, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(c)
	own := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: k}}
	client = &tls.Config{RootCAs: pool, Certificates: own, MinVersion: tls.VersionTLS13}
	server = &tls.Config{ClientCAs: pool, Certificates: own, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}
	return client, server
}

// Guards against hop-by-hop fields that are kept and end-to-end fields that are lost.
func FuzzRemoveHopByHop(f *testing.F) {
	const fixed = ",Connection,Keep-Alive,Proxy-Authenticate,Proxy-Authorization,Proxy-Connection,Te,Trailer,Transfer-Encoding,Upgrade,"
	f.Add("close, X-One", "x-two,", "X-One", "X-Two")
	f.Add(" , ,Keep-Alive", "upgrade\t", "Te", "X-Kept")
	f.Fuzz(func(t *testing.T, c1, c2, k1, k2 string) {
		h := http.Header{"Connection": {c1, c2}, "Upgrade": {"x"}, "Transfer-Encoding": {"chunked"}}
		h.Add(k1, "1")
		h.Add(k2, "2")
		before := h.Clone()
		forwarder.RemoveHopByHop(h)
		named := func(k string) bool {
			for _, n := range strings.Split(strings.Join(before["Connection"], ","), ",") {
				if textproto.CanonicalMIMEHeaderKey(strings.Trim(n, " \t\r\n")) == k {
					return true
				}
			}
			return strings.Contains(fixed, ","+k+",")
		}
		for k := range before {
			if _, kept := h[k]; kept == named(k) {
				t.Errorf("%q: kept %t, header %q", k, kept, before)
			}
		}
	})
}

func BenchmarkDo(b *testing.B) {
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Without full duplex the server discards the rest of the body when the response starts.
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	}))
	defer h.Close()
	f := forwarder.New(forwarder.Config{})
	defer f.Close()
	to := netip.MustParseAddrPort(h.Listener.Addr().String())
	for _, size := range []int{0, 4 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("body_%dKiB", size>>10), func(b *testing.B) {
			b.ReportAllocs()
			body := strings.Repeat("x", size)
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
				a, err := f.Do(b.Context(), forwarder.Call{Address: to, Request: r, Deadline: time.Now().Add(time.Minute)})
				if err != nil {
					b.Fatal(err)
				}
				n, err := io.Copy(io.Discard, a.Body)
				if err != nil || n != int64(size) {
					b.Fatalf("%d bytes, %v", n, err)
				}
			}
		})
	}
}
