package guarder_test

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"celeryhead.dev/celeryhead/guarder"
	"celeryhead.dev/celeryhead/logger"
)

// Guards against panics that are not logged, and against log lines for answers that are aborted on purpose with
// http.ErrAbortHandler.
func TestPanicsAreLogged(t *testing.T) {
	var b bytes.Buffer
	l, err := logger.New(logger.Config{Writer: &b, Level: "info", Format: "json", Instance: "entry"})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		cause  any
		logged bool
	}{{"a fault", true}, {http.ErrAbortHandler, false}} {
		b.Reset()
		s := httptest.NewServer(guarder.LogPanics(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(c.cause) })))
		r, err := http.Get(s.URL)
		if err == nil {
			_ = r.Body.Close()
			t.Errorf("%v: answered with %d", c.cause, r.StatusCode)
		}
		s.Close()
		if got := strings.Contains(b.String(), "a fault"); got != c.logged {
			t.Errorf("%v: logged %t: %s", c.cause, got, b.String())
		}
	}
}

// Guards against an answer without a length that broke off and looks complete to an HTTP/1.0 caller.
func TestAbortedAnswerIsResetForHTTP10(t *testing.T) {
	h := guarder.LogPanics(logger.Discard(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	reported := func(s *httptest.Server) {
		s.Listener = guarder.ReportUnhandled(s.Config, s.Listener, func(guarder.Unhandled) {})
		s.Start()
	}
	for name, start := range map[string]func(*httptest.Server){
		"plain": (*httptest.Server).Start, "tls": (*httptest.Server).StartTLS, "reported": reported,
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewUnstartedServer(h)
			start(s)
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if s.TLS != nil {
				d := s.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
				d.ServerName = "example.com"
				c = tls.Client(c, d)
			}
			if _, err := io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if b, err := io.ReadAll(c); err == nil {
				t.Errorf("looks complete: %q", b)
			}
		})
	}
}

// Guards against connections that stay open while the instance shuts down, and against requests that are not counted.
func TestCount(t *testing.T) {
	var n atomic.Int64
	var leaving atomic.Bool
	h := guarder.Count(guarder.Config{InFlight: &n, Leaving: &leaving}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n.Load() != 1 {
			t.Errorf("%d requests in flight, want 1", n.Load())
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	for _, l := range []bool{false, true} {
		leaving.Store(l)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
		if got := w.Header().Get("Connection") == "close"; got != l {
			t.Errorf("shutting down %t: connection closed %t", l, got)
		}
	}
	if n.Load() != 0 {
		t.Errorf("%d requests in flight after all have ended", n.Load())
	}
}
