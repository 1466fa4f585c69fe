package server_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/server"
	"celeryhead.dev/celeryhead/spooler"
)

// buffered is the length of the part of a body that is buffered, in bytes.
const buffered = 64 << 10

// Guards against bodies beyond the limit that reach a target, and against small ones that cannot be sent again.
func TestReadBody(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		length int64
		limit  int64
		status int
		whole  bool
		broken bool
	}{
		"none":                         {whole: true},
		"small":                        {text: "abc", length: 3, limit: 3, whole: true},
		"small, of unknown length":     {text: "abc", length: -1, limit: 3, whole: true},
		"buffered in full":             {text: strings.Repeat("a", buffered), length: buffered, whole: true},
		"longer than the buffer":       {text: strings.Repeat("a", buffered+1), length: buffered + 1},
		"announced beyond the limit":   {text: "abcd", length: 4, limit: 3, status: http.StatusRequestEntityTooLarge},
		"long, announced beyond it":    {text: strings.Repeat("a", 3*buffered), length: 3 * buffered, limit: 2 * buffered, status: http.StatusRequestEntityTooLarge},
		"found beyond the limit":       {text: "abcd", length: -1, limit: 3, status: http.StatusRequestEntityTooLarge},
		"found beyond it after buffer": {text: strings.Repeat("a", 3*buffered), length: -1, limit: 2 * buffered, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader(c.text))
			r.ContentLength = c.length
			b, f := server.ReadBody(c.limit, httptest.NewRecorder(), r)
			if f != nil || c.status != 0 {
				if f == nil || f.Status != c.status || f.Ran != responder.NotRun {
					t.Fatalf("refusal %v, want status %d, not run", f, c.status)
				}
				return
			}
			if (b.Err != nil) != c.broken || b.Whole != c.whole {
				t.Errorf("error %v, whole %t", b.Err, b.Whole)
			}
			if !c.broken && b.Text != c.text {
				t.Errorf("%d bytes, want %d", len(b.Text), len(c.text))
			}
		})
	}
}

// Guards against a request that runs with half its body, and against one digest for two requests.
func TestBodyBreaksOffAndDigest(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/orders", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	if _, f := server.ReadBody(0, httptest.NewRecorder(), r); f == nil || f.Status != http.StatusRequestTimeout || f.Ran != responder.NotRun {
		t.Errorf("refusal %v, want status 408, not run", f)
	}
	digests := map[[32]byte]bool{}
	for _, n := range []int{0, 1, buffered + 1, buffered + 2} {
		r := httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader(strings.Repeat("a", n)))
		b, _ := server.ReadBody(0, httptest.NewRecorder(), r)
		digests[b.Digest] = true
	}
	if len(digests) != 4 {
		t.Errorf("4 bodies have %d digests", len(digests))
	}
}

// Guards against work beyond the caller's own deadline, and against a caller that extends the route's.
func TestDeadline(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		header string
		want   time.Duration
		status int
	}{
		"none":      {"", 5 * time.Second, 0},
		"earlier":   {"2026-01-01T00:00:02Z", 2 * time.Second, 0},
		"later":     {"2026-01-01T00:01:00Z", 5 * time.Second, 0},
		"passed":    {"2026-01-01T00:00:00Z", 0, http.StatusGatewayTimeout},
		"malformed": {"soon", 0, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/orders", http.NoBody)
			r.Header.Set(forwarder.HeaderDeadline, c.header)
			d, f := server.Deadline(r, composer.Route{Deadline: 5 * time.Second}, now)
			if c.status != 0 {
				if f == nil || f.Status != c.status || f.Ran != responder.NotRun {
					t.Fatalf("refusal %v, want status %d, not run", f, c.status)
				}
				return
			}
			if f != nil || d.Sub(now) != c.want {
				t.Errorf("deadline in %v, refusal %v; want %v", d.Sub(now), f, c.want)
			}
		})
	}
}

// Guards against callers that speak for an instance: headers that only the system sets must not pass.
func TestOutgoing(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/orders", http.NoBody)
	r.Header.Set("celeryhead-account", "other")
	r.Header.Set("Accept", "text/plain")
	o := server.Outgoing(r)
	if len(o.Header) != 1 || o.Header.Get("Accept") == "" || r.Header.Get("Celeryhead-Account") == "" {
		t.Errorf("outgoing header %v, caller's %v", o.Header, r.Header)
	}
}

// Guards against a caller whose Connection field has an instance remove what it tells the owner of the request.
func TestConnectionFieldRemovesNoInternalHeader(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/orders", http.NoBody)
	r.Header.Set("Connection", "keep-alive, Celeryhead-Account, X-Own")
	r.Header.Set("X-Own", "yes")
	o := server.Outgoing(r)
	o.Header.Set("Celeryhead-Account", "maker")
	forwarder.RemoveHopByHop(o.Header)
	if o.Header.Get("Celeryhead-Account") != "maker" || o.Header.Get("X-Own") != "" || r.Header.Get("X-Own") == "" {
		t.Errorf("outgoing header %v, caller's %v", o.Header, r.Header)
	}
}

// Guards P8: a refusal that says "not run" must not be passed on for a request that may have run.
func TestRefusalOf(t *testing.T) {
	stale := &responder.Refusal{Status: 503, Reason: responder.Stale, Ran: responder.NotRun}
	for name, c := range map[string]struct {
		failure forwarder.Failure
		status  int
		reason  responder.Reason
	}{
		"refused before the first byte": {forwarder.Failure{Reason: responder.Stale, Ran: responder.NotRun, Err: stale}, 503, responder.Stale},
		"refused, but may have run":     {forwarder.Failure{Reason: responder.TargetFailed, Ran: responder.Unknown, Err: stale}, 502, responder.TargetFailed},
		"deadline":                      {forwarder.Failure{Reason: responder.DeadlineExceeded, Ran: responder.Unknown, Err: forwarder.ErrDeadline}, 504, responder.DeadlineExceeded},
		"shed":                          {forwarder.Failure{Reason: responder.TargetShed, Ran: responder.NotRun, Err: forwarder.ErrShed}, 503, responder.TargetShed},
		"malformed":                     {forwarder.Failure{Reason: responder.BadRequest, Ran: responder.NotRun, Err: forwarder.ErrRequest}, 400, responder.BadRequest},
		"broken":                        {forwarder.Failure{Reason: responder.TargetFailed, Ran: responder.Unknown, Err: errors.New("reset")}, 502, responder.TargetFailed},
	} {
		t.Run(name, func(t *testing.T) {
			if f := server.RefusalOf(&c.failure, &spooler.Body{}); f.Status != c.status || f.Reason != c.reason || f.Ran != c.failure.Ran {
				t.Errorf("refusal %d %v, want %d %s (%s)", f.Status, f, c.status, c.reason, c.failure.Ran)
			}
		})
	}
}

// Guards against a rate of parts of a window, or of one long ago; shift steps are decided on it.
func TestRate(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var r server.Rate
	for _, s := range []struct {
		at    time.Duration
		count int
		want  float64
	}{
		{0, 3, 0}, {999 * time.Millisecond, 1, 0}, {time.Second, 2, 4}, {1500 * time.Millisecond, 0, 4}, {2 * time.Second, 5, 2}, {10 * time.Second, 0, 0},
	} {
		for range s.count {
			r.Count(now.Add(s.at))
		}
		if got := r.PerSecond(now.Add(s.at)); got != s.want {
			t.Errorf("at %v: %v a second, want %v", s.at, got, s.want)
		}
	}
}

// Guards against blaming a caller's request, or its target, when the rest of a long body is too large or does not arrive.
func TestRestOfBodyIsNotMalformed(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	f := forwarder.New(forwarder.Config{Protocol: forwarder.InstanceProtocol()})
	refused := make(chan *responder.Refusal, 1)
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, n := spooler.Read(w, r, spooler.Limits{Left: 10 * time.Second, Bytes: 300_000})
		if n != nil {
			refused <- n
			return
		}
		q := &http.Request{Method: r.Method, URL: &url.URL{Path: "/"}, Header: http.Header{}, Body: b.Open(), ContentLength: b.Length}
		_, err := f.Do(r.Context(), forwarder.Call{
			Address: target.Addr().(*net.TCPAddr).AddrPort(), Request: q, Deadline: time.Now().Add(10 * time.Second),
		})
		var x *forwarder.Failure
		if !errors.As(err, &x) {
			t.Errorf("error %v", err)
			x = &forwarder.Failure{}
		}
		refused <- server.RefusalOf(x, b)
	}))
	defer front.Close()
	for name, c := range map[string]struct {
		head   string
		status int
		reason responder.Reason
	}{
		"ends":         {"Content-Length: 250000\r\n\r\n", http.StatusRequestTimeout, responder.BodyIncomplete},
		"is too large": {"Transfer-Encoding: chunked\r\n\r\n100000\r\n", http.StatusRequestEntityTooLarge, responder.BodyTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			k, err := net.Dial("tcp", front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = k.Close() }()
			_, _ = io.WriteString(k, "POST / HTTP/1.1\r\nHost: a\r\n"+c.head+strings.Repeat("x", 200_000))
			if c.status == http.StatusRequestEntityTooLarge {
				_, _ = io.WriteString(k, strings.Repeat("x", 200_000))
			}
			if err := k.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if n := <-refused; n.Status != c.status || n.Reason != c.reason || n.Ran != responder.Unknown {
				t.Errorf("status %d, %v; want %d %s (unknown)", n.Status, n, c.status, c.reason)
			}
		})
	}
}
