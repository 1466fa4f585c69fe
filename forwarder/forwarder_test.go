package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/responder"
)

var seed = flag.Uint64("seed", 0, "seed of randomized tests; 0 draws one")

var address = netip.MustParseAddrPort("192.0.2.1:80")

// fakeServer is a server whose connections are net.Pipe pairs.
type fakeServer struct {
	serve func(n int, c net.Conn, r *bufio.Reader)
	mu    sync.Mutex
	dials int
	live  sync.WaitGroup
}

func (s *fakeServer) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	a, b := net.Pipe()
	s.mu.Lock()
	n := s.dials
	s.dials++
	s.mu.Unlock()
	s.live.Go(func() {
		s.serve(n, b, bufio.NewReader(b))
		_ = b.Close()
	})
	return a, nil
}

func (s *fakeServer) dialed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials
}

func (s *fakeServer) forwarder(c forwarder.Config) *forwarder.Forwarder {
	c.Dial, c.Now = s.dial, time.Now
	return forwarder.New(c)
}

// exchange sends r with the given time left and returns the body or the failure.
func exchange(ctx context.Context, f *forwarder.Forwarder, r *http.Request, left time.Duration) (string, *forwarder.Failure) {
	a, err := f.Do(ctx, forwarder.Call{Address: address, Request: r, Deadline: time.Now().Add(left)})
	if err == nil {
		var b []byte
		b, err = io.ReadAll(a.Body)
		_ = a.Body.Close()
		if err == nil {
			return string(b), nil
		}
	}
	var x *forwarder.Failure
	if !errors.As(err, &x) {
		panic(err)
	}
	return "", x
}

func get(path string) *http.Request {
	return httptest.NewRequest(http.MethodGet, path, nil)
}

// serveEcho responds to each request with its path until the connection ends.
func serveEcho(_ int, c net.Conn, r *bufio.Reader) {
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		reply(c, q.URL.Path)
	}
}

func reply(c net.Conn, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func discardAll(r io.Reader) {
	_, _ = io.Copy(io.Discard, r)
}

// Guards against the continued use of connections that became unresponsive, and against the reuse of a connection after
// its deadline.
func TestSilentConnectionsAreRetired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const old = 4
		var unblock sync.WaitGroup
		unblock.Add(1)
		s := &fakeServer{serve: func(n int, c net.Conn, r *bufio.Reader) {
			if n >= old {
				serveEcho(n, c, r)
				return
			}
			q, _ := http.ReadRequest(r)
			unblock.Wait()
			reply(c, q.URL.Path)
			discardAll(r)
		}}
		f := s.forwarder(forwarder.Config{MaxConnections: 8})
		defer f.Close()
		var wg sync.WaitGroup
		for range old {
			wg.Go(func() {
				if _, x := exchange(t.Context(), f, get("/a"), time.Minute); x != nil {
					t.Errorf("first exchange: %v", x)
				}
			})
		}
		synctest.Wait()
		unblock.Done()
		wg.Wait()
		start := time.Now()
		_, x := exchange(t.Context(), f, get("/unresponsive"), time.Second)
		if d := time.Since(start); d != time.Second {
			t.Errorf("deadline of 1 s took %v", d)
		}
		if x == nil || x.Ran != responder.Unknown || !x.Silent || !errors.Is(x, forwarder.ErrDeadline) {
			t.Fatalf("unresponsive exchange: %+v", x)
		}
		start = time.Now()
		for i := range 2 * old {
			p := fmt.Sprint("/", i)
			if b, x := exchange(t.Context(), f, get(p), time.Second); x != nil || b != p {
				t.Fatalf("after the timeout: %q, %v", b, x)
			}
		}
		if d := time.Since(start); d > forwarder.DefaultDialTimeout {
			t.Fatalf("recovery took %v", d)
		}
		if n := s.dialed(); n != old+1 {
			t.Fatalf("%d dials, want %d", n, old+1)
		}
	})
}

// Guards against a request that fails as past its deadline, and so is not sent elsewhere, because one address does not
// respond to a dial.
func TestUnansweredDialLeavesTheRequestItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		f := forwarder.New(forwarder.Config{Dial: dial, Now: time.Now})
		for left, want := range map[time.Duration]responder.Reason{
			time.Minute:                      responder.TargetUnreachable,
			forwarder.DefaultDialTimeout / 2: responder.DeadlineExceeded,
		} {
			_, x := exchange(t.Context(), f, get("/a"), left)
			if x == nil || x.Reason != want || x.Ran != responder.NotRun {
				t.Errorf("with %v left: %+v, want %s", left, x, want)
			}
		}
	})
}

// Guards against responses delivered to the wrong request, requests sent twice, and failures marked as not run of a
// request that the server received.
func TestExchangesUnderFaults(t *testing.T) {
	n := *seed
	if n == 0 {
		n = rand.Uint64()
	}
	const runs = 40
	complete, shed := 0, 0
	for i := range uint64(runs) {
		t.Run(fmt.Sprint("seed=", n+i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, s := runWithFaults(t, n+i)
				complete, shed = complete+w, shed+s
			})
		})
	}
	t.Logf("%d complete and %d shed responses", complete, shed)
	if complete < runs*workers*requests/10 || shed < runs {
		t.Error("too few complete or shed responses")
	}
}

// The load of each run of TestExchangesUnderFaults.
const workers, requests = 5, 30

func runWithFaults(t *testing.T, seed uint64) (complete, shed int) {
	var mu sync.Mutex
	seen := map[string]int{}
	d := rand.New(rand.NewPCG(seed, 0))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return d.IntN(n)
	}
	serve := func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if draw(12) == 0 {
				return
			}
			if _, err := r.Peek(1); err != nil || draw(20) == 0 {
				return
			}
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			mu.Lock()
			seen[q.URL.Path]++
			mu.Unlock()
			if draw(3) > 0 {
				_, _ = io.Copy(io.Discard, q.Body)
			}
			<-time.After(time.Duration(draw(1500)) * time.Millisecond)
			full := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(q.URL.Path), q.URL.Path)
			switch draw(10) {
			case 0:
				_, _ = io.WriteString(c, full[:draw(len(full))])
				return
			case 1:
				// The second response belongs to no request; its first byte is sent with the first response.
				_, _ = io.WriteString(c, full+"\n")
				reply(c, "surplus")
			case 2:
				discardAll(r)
				return
			case 3:
				_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nCeleryhead-Ran: not-run\r\nContent-Length: 0\r\n\r\n")
			default:
				_, _ = io.WriteString(c, full)
			}
		}
	}
	s := &fakeServer{serve: serve}
	f := s.forwarder(forwarder.Config{MaxConnections: 3, MaxIdle: 2})
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range requests {
				p := fmt.Sprintf("/%d.%d", w, i)
				r := get(p)
				if draw(2) == 0 {
					r = httptest.NewRequest(http.MethodPost, p, strings.NewReader(strings.Repeat("x", draw(9000))))
					r.Header.Set("Idempotency-Key", p)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(200+draw(2000))*time.Millisecond)
				b, x := exchange(ctx, f, r, time.Duration(1+draw(1500))*time.Millisecond)
				cancel()
				mu.Lock()
				switch {
				case x == nil && b != p:
					t.Errorf("%s got the response %q", p, b)
				case x == nil:
					complete++
				case errors.Is(x, forwarder.ErrShed):
					shed++
				case x.Ran == responder.NotRun && seen[p] > 0:
					t.Errorf("%s: failed as not run but was received by the server: %v", p, x)
				}
				mu.Unlock()
				<-time.After(time.Duration(draw(200)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	f.Close()
	s.live.Wait()
	for p, n := range seen {
		if n > 1 {
			t.Errorf("%s was sent %d times", p, n)
		}
	}
	return complete, shed
}

// Guards against truncated responses that look complete to a caller behind Copy.
func TestTruncatedAnswersAbort(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
	for _, c := range []struct{ name, answer, body string }{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc"},
		{"whole chunked", chunked + "3\r\nabc\r\n0\r\nX-Sum: 7\r\n\r\n", "abc"},
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", ""},
		{"no last chunk", chunked + "3\r\nabc\r\n", ""},
		{"cut in a chunk", chunked + "3\r\nab", ""},
		{"cut in the trailer", chunked + "3\r\nabc\r\n0\r\nX-Sum", ""},
		{"unframed", "HTTP/1.1 200 OK\r\n\r\nabc", ""},
		{"cut in the header", "HTTP/1.1 200 OK\r\nContent-", ""},
		{"switched", "HTTP/1.1 101 Switching Protocols\r\n\r\n", ""},
		{"header too large", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 70<<10) + "\r\nContent-Length: 0\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &fakeServer{serve: func(_ int, k net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(k, c.answer)
			}}
			f := s.forwarder(forwarder.Config{})
			h := httptest.NewServer(proxy(f, address))
			defer h.Close()
			p, err := fetch(h.Client(), httptest.NewRequest(http.MethodGet, h.URL, nil))
			failed := err != nil || p.status == http.StatusBadGateway
			if failed != (c.body == "") || (!failed && p.body != c.body) {
				t.Fatalf("response %v, error %v", p, err)
			}
			if want := strings.Contains(c.answer, "X-Sum: 7"); want != (p.trailer.Get("X-Sum") == "7") {
				t.Fatalf("trailer %v", p.trailer)
			}
		})
	}
}

// receivedResponse is a response with its body.
type receivedResponse struct {
	status          int
	length          int64
	header, trailer http.Header
	body            string
}

// fetch sends r. An error means that the response is not complete.
func fetch(c *http.Client, r *http.Request) (receivedResponse, error) {
	r.RequestURI = ""
	p, err := c.Do(r)
	if err != nil {
		return receivedResponse{}, err
	}
	b, err := io.ReadAll(p.Body)
	f := receivedResponse{status: p.StatusCode, length: p.ContentLength, header: p.Header, trailer: p.Trailer, body: string(b)}
	return f, errors.Join(err, p.Body.Close())
}

// proxy forwards to one address and responds to a Failure with a refusal.
func proxy(f *forwarder.Forwarder, to netip.AddrPort) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := forwarder.Call{Address: to, Request: r, Deadline: time.Now().Add(10 * time.Second)}
		c.Informational = func(status int, h http.Header) {
			w.Header().Set("Link", h.Get("Link"))
			w.WriteHeader(status)
		}
		a, err := f.Do(r.Context(), c)
		var x *forwarder.Failure
		if errors.As(err, &x) {
			_ = (&responder.Refusal{Status: http.StatusBadGateway, Reason: x.Reason, Ran: x.Ran}).Write(w)
			return
		}
		forwarder.Copy(w, a)
	})
}
